"""HTTP/1.1 server that the stand-ins share, on asyncio and h11."""

import asyncio
import contextlib
import json
import signal
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl, urlsplit

import h11
from pydantic import ValidationError

from carobladder.clock import Clock, SystemClock
from standins.faults import FaultInjector, FaultSet

__all__ = ["App", "Exchange", "Request", "RequestError", "run_app", "start_app"]

_READ_BYTES = 65_536
_MAX_BODY_BYTES = 64 * 1024 * 1024
_FAULTS_PATH = "/faults"


class RequestError(Exception):
    """Answer the request with an error status."""

    def __init__(self, status: int, message: str, **fields: Any) -> None:
        super().__init__(message)
        self.status = status
        self.body = {"error": {"code": str(status), "message": message}, **fields}


@dataclass(frozen=True, slots=True)
class Request:
    """Carry a whole request; header names are lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes = b""

    def facts(self) -> dict[str, Any]:
        """Return what fault rules match on."""
        return {"method": self.method, "path": self.path}

    def json(self) -> Any:
        """Return the decoded body; raises RequestError with status 400."""
        try:
            return json.loads(self.body or b"{}")
        except ValueError:
            raise RequestError(400, "the body is not JSON") from None


class Exchange:
    """Write the answer of one request."""

    def __init__(self, connection: "_Connection", request: Request) -> None:
        self._connection = connection
        self.request = request
        self.lose_answer = False

    @property
    def connection_state(self) -> Any:
        """Return what an earlier request of the connection stored."""
        return self._connection.state

    @connection_state.setter
    def connection_state(self, value: Any) -> None:
        self._connection.state = value

    async def answer(
        self, status: int, body: Any, headers: tuple[tuple[str, str], ...] = ()
    ) -> None:
        """Send a whole JSON answer, or close the connection if it is to be lost."""
        if self.lose_answer:
            self.abort()
            return
        kind = ("Content-Type", "application/json")
        await self._send_whole(status, json.dumps(body).encode(), (kind, *headers))

    async def answer_bytes(
        self, status: int, data: bytes, headers: tuple[tuple[str, str], ...] = ()
    ) -> None:
        """Send a whole answer of bytes, or close the connection if it is to be lost."""
        if self.lose_answer:
            self.abort()
            return
        kind = ("Content-Type", "application/octet-stream")
        await self._send_whole(status, data, (kind, *headers))

    async def start_events(self) -> None:
        """Send the head of a stream of server-sent events."""
        if self.lose_answer:
            self.abort()
            return
        kind = ("Content-Type", "text/event-stream")
        await self._start(200, (kind, ("Cache-Control", "no-cache")))

    async def send(self, data: bytes) -> None:
        """Send a part of a streamed answer."""
        await self._connection.write(h11.Data(data=data))

    async def end(self) -> None:
        """Finish the answer."""
        await self._connection.write(h11.EndOfMessage())

    def abort(self) -> None:
        """Close the connection without finishing the answer."""
        self._connection.close()

    async def _send_whole(
        self, status: int, data: bytes, headers: tuple[tuple[str, str], ...]
    ) -> None:
        length = ("Content-Length", str(len(data)))
        await self._start(status, (length, *headers))
        await self._connection.write(h11.Data(data=data))
        await self.end()

    async def _start(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        own_names = {name for name, _ in headers}
        common = self._connection.app.answer_headers()
        extra = [header for header in common if header[0] not in own_names]
        head = h11.Response(status_code=status, headers=[*headers, *extra])
        await self._connection.write(head)


class App:
    """Base of a stand-in: its state, its faults and its handler."""

    # A model engine cancels a request when its connection closes. A plain service
    # or a log has no such notion, so an effect may follow the caller's leaving.
    cancel_on_close = False
    fault_set: type[FaultSet] = FaultSet

    def __init__(self, clock: Clock | None = None) -> None:
        self.clock: Clock = clock or SystemClock()
        self.faults = FaultInjector()

    def answer_headers(self) -> tuple[tuple[str, str], ...]:
        """Return headers that each answer carries unless it has its own."""
        return ()

    async def start(self) -> None:
        """Start background tasks."""

    async def stop(self) -> None:
        """Stop background tasks."""

    async def handle(self, exchange: Exchange) -> None:
        """Answer a request."""
        raise NotImplementedError

    def request_facts(self, request: Request) -> dict[str, Any]:
        """Return what fault rules match on."""
        return request.facts()

    def apply_faults(self, faults: Any) -> None:
        """Replace the fault rules."""
        self.faults.load(faults)

    async def run(self, exchange: Exchange) -> None:
        """Answer a request; apply the faults that all stand-ins share."""
        try:
            if exchange.request.path == _FAULTS_PATH:
                await self._handle_faults(exchange)
            elif not await self._inject(exchange):
                await self.handle(exchange)
        except RequestError as error:
            await exchange.answer(error.status, error.body)

    async def _inject(self, exchange: Exchange) -> bool:
        facts = self.request_facts(exchange.request)
        if refuse := self.faults.pick("refuse", facts):
            raise RequestError(refuse.status, "the stand-in refuses by a fault rule")
        if hang := self.faults.pick("hang", facts):
            await self.clock.sleep(hang.seconds or 3600.0)
            exchange.abort()
            return True
        if slow := self.faults.pick("slow", facts):
            await self.clock.sleep(slow.seconds)
        exchange.lose_answer = self.faults.pick("lose_answer", facts) is not None
        return False

    async def _handle_faults(self, exchange: Exchange) -> None:
        if exchange.request.method == "POST":
            try:
                faults = self.fault_set.model_validate(exchange.request.json())
            except ValidationError as error:
                raise RequestError(400, f"invalid fault set: {error}") from None
            self.apply_faults(faults)
        await exchange.answer(200, {"rules": self.faults.describe()})


class _Connection:
    def __init__(
        self, app: App, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.app = app
        self._reader = reader
        self._writer = writer
        self._http = h11.Connection(h11.SERVER)
        self._closed = False
        self.state: Any = None

    def close(self) -> None:
        self._closed = True
        self._writer.close()

    async def write(self, event: Any) -> None:
        if self._closed:
            return
        data = self._http.send(event)
        if data:
            self._writer.write(data)
            await self._writer.drain()

    async def serve(self) -> None:
        try:
            while not self._closed and await self._serve_one():
                self._http.start_next_cycle()
        except (ConnectionError, h11.ProtocolError):
            pass
        finally:
            self.close()
            with contextlib.suppress(ConnectionError):
                await self._writer.wait_closed()

    async def _serve_one(self) -> bool:
        request = await self._read_request()
        if request is None:
            return False
        exchange = Exchange(self, request)
        task = asyncio.ensure_future(self.app.run(exchange))
        watch = asyncio.ensure_future(self._watch_close())
        try:
            await asyncio.wait({task, watch}, return_when=asyncio.FIRST_COMPLETED)
            if not task.done() and self.app.cancel_on_close:
                return False
            self._closed = self._closed or not task.done()
            await task
        finally:
            await _cancel(watch)
            await _cancel(task)
        return self._http.our_state is h11.DONE and self._http.their_state is h11.DONE

    async def _watch_close(self) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await self._reader.read(_READ_BYTES):
                self._http.receive_data(data)

    async def _read_request(self) -> Request | None:
        head = await self._next_event()
        if not isinstance(head, h11.Request):
            return None
        request = _parse_head(head)
        if request.path != _FAULTS_PATH and self.app.faults.pick(
            "close", self.app.request_facts(request)
        ):
            return None
        body = bytearray()
        while isinstance(event := await self._next_event(), h11.Data):
            body += event.data
            if len(body) > _MAX_BODY_BYTES:
                return None
        if not isinstance(event, h11.EndOfMessage):
            return None
        return Request(
            request.method, request.path, request.query, request.headers, bytes(body)
        )

    async def _next_event(self) -> Any:
        while (event := self._http.next_event()) is h11.NEED_DATA:
            if self._http.they_are_waiting_for_100_continue:
                continue_head = h11.InformationalResponse(status_code=100, headers=[])
                await self.write(continue_head)
            self._http.receive_data(await self._reader.read(_READ_BYTES))
        return event


def _parse_head(head: h11.Request) -> Request:
    parts = urlsplit(head.target.decode("ascii"))
    headers = {name.decode(): value.decode("latin-1") for name, value in head.headers}
    query = dict(parse_qsl(parts.query))
    return Request(head.method.decode(), parts.path, query, headers)


async def _cancel(task: asyncio.Future[Any]) -> None:
    if not task.done():
        task.cancel()
        await asyncio.wait({task})


@contextlib.asynccontextmanager
async def start_app(app: App, listen: str = "127.0.0.1:0") -> AsyncIterator[str]:
    """Serve the stand-in inside this process and yield its IP:PORT."""
    host, _, port = listen.rpartition(":")
    tasks: set[asyncio.Task[None]] = set()

    async def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        tasks.add(task)
        try:
            await _Connection(app, reader, writer).serve()
        except asyncio.CancelledError:
            # asyncio logs a cancelled connection callback as an error; the only
            # cancellation is the one below, at shutdown.
            writer.close()
        finally:
            tasks.discard(task)

    server = await asyncio.start_server(accept, host, int(port), backlog=1024)
    await app.start()
    try:
        bound = server.sockets[0].getsockname()
        yield f"{bound[0]}:{bound[1]}"
    finally:
        server.close()
        pending = list(tasks)
        for task in pending:
            task.cancel()
        if pending:
            await asyncio.wait(pending)
        await app.stop()


def run_app(app: App, listen: str) -> None:
    """Serve the stand-in until SIGTERM or SIGINT."""
    asyncio.run(_run_until_signal(app, listen))


async def _run_until_signal(app: App, listen: str) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    async with start_app(app, listen):
        await stop.wait()
