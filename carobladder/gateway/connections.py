"""Connections of callers and the requests on them."""

import asyncio
import logging
import random
from dataclasses import dataclass, field

import h11

from carobladder.clock import Clock
from carobladder.exceptions import (
    CallerError,
    CallerGoneError,
    InternalFaultError,
    RequestTimeoutError,
)
from carobladder.gateway.ports import Answer, Handler, Request
from carobladder.gateway.problems import describe_problem
from carobladder.gateway.requests import (
    RequestLimits,
    body_too_large,
    build_request,
    check_head,
    explain_protocol_error,
    new_request_id,
)
from carobladder.headers import Headers
from carobladder.telemetry import GatewayMetrics, log_event

__all__ = ["CallerConnection", "Serving"]

# Bytes that a caller may send ahead while its request before is being answered.
_AHEAD_BYTES = 65_536
# After an early answer the caller's bytes are discarded for this long, since
# closing with unread bytes would reset the connection and lose the answer.
_LINGER_SECONDS = 1.0
_NO_BODY_STATUSES = frozenset({204, 304})


@dataclass
class Serving:
    """Hold what the connections of a server share.

    ``labels_answers`` adds the request id that the gateway made to each answer.
    ``limits`` may be replaced while connections are open.
    """

    handler: Handler
    limits: RequestLimits
    clock: Clock
    metrics: GatewayMetrics
    generator: random.Random
    labels_answers: bool = True
    draining: bool = False
    connections: set["CallerConnection"] = field(default_factory=set)
    empty: asyncio.Event = field(default_factory=asyncio.Event)

    def add(self, connection: "CallerConnection") -> None:
        """Note an open connection."""
        self.connections.add(connection)
        self.empty.clear()
        self.metrics.open_connections.inc()

    def remove(self, connection: "CallerConnection") -> None:
        """Forget a connection that was closed after its last byte was sent."""
        self.connections.discard(connection)
        self.metrics.open_connections.dec()
        if not self.connections:
            self.empty.set()


class CallerConnection(asyncio.Protocol):
    """Serve the requests of one connection in their order.

    The task of the connection is cancelled when the caller closes it, which
    cancels the request at its target. A caller that only closes its sending side
    counts as gone as well, because the two look the same.
    """

    def __init__(self, serving: Serving) -> None:
        self._serving = serving
        self._loop = asyncio.get_running_loop()
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=serving.limits.max_header_bytes
        )
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._reader: asyncio.Future[None] | None = None
        self._writer: asyncio.Future[None] | None = None
        self._unread_bytes = 0
        self._reading_paused = False
        self.writing_paused = False
        self._idle = True
        self._discarding = False

    @property
    def _limits(self) -> RequestLimits:
        return self._serving.limits

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the task that serves the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._serving.add(self)
        self._task = self._loop.create_task(self._run())

    def data_received(self, data: bytes) -> None:
        """Buffer bytes until the task asks for the next event."""
        if self._discarding:
            return
        # The task may run only after a drain has asked for idle connections.
        self._idle = False
        self._http.receive_data(data)
        self._unread_bytes += len(data)
        if self._unread_bytes > _AHEAD_BYTES and not self._reading_paused:
            self._reading_paused = True
            assert self._transport is not None
            self._transport.pause_reading()
        _wake(self._reader)

    def eof_received(self) -> bool:
        """Treat the end of the caller's bytes as the end of the connection."""
        self._cancel()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """End the request that is being served."""
        assert self._task is not None
        self._task.cancel()
        self._task.add_done_callback(lambda _: self._serving.remove(self))

    def pause_writing(self) -> None:
        """Note that the caller reads slowly."""
        self.writing_paused = True

    def resume_writing(self) -> None:
        """Let the handler write again."""
        self.writing_paused = False
        _wake(self._writer)

    def close_if_idle(self) -> None:
        """Close a connection that waits for its next request."""
        if self._idle:
            self._close()

    def abort(self) -> None:
        """Cut the connection."""
        self._cancel()
        if self._transport is not None:
            self._transport.abort()

    def write(self, event: h11.Event) -> None:
        """Send an event; raises CallerGoneError on a closed connection."""
        transport = self._transport
        assert transport is not None
        if transport.is_closing():
            raise CallerGoneError("the caller closed its connection")
        data = self._http.send(event)
        if data:
            transport.write(data)

    async def drain(self) -> None:
        """Wait while the caller reads slowly; cut it when it stalls too long."""
        if not self.writing_paused:
            return
        self._writer = self._loop.create_future()
        try:
            async with asyncio.timeout(self._limits.stalled_write_seconds):
                await self._writer
        except TimeoutError:
            self._discard_transport()
            raise CallerGoneError("the caller stopped reading its answer") from None
        finally:
            self._writer = None

    def _cancel(self) -> None:
        if self._task is not None:
            self._task.cancel()

    def _discard_transport(self) -> None:
        assert self._transport is not None
        self._transport.abort()

    async def _run(self) -> None:
        try:
            while await self._serve_next():
                pass
        except asyncio.CancelledError:
            if self._idle:
                self._close()
            else:
                self._discard_transport()
        except CallerGoneError:
            self._discard_transport()
        except h11.LocalProtocolError as error:
            log_event("answer is not valid HTTP", logging.ERROR, error=str(error))
            self._discard_transport()

    async def _serve_next(self) -> bool:
        """Serve one request; tell whether another may follow."""
        request_id = new_request_id()
        exchange = _Exchange(self, self._serving, request_id)
        try:
            request = await self._read_request(request_id)
        except CallerError as error:
            exchange.keep_alive = False
            await exchange.send_problem(error)
            self._linger()
            return False
        if request is None:
            self._close()
            return False
        exchange.head_only = request.method == "HEAD"
        await self._handle(request, exchange)
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
            if not self._ends_here():
                return True
            self._close()
            return False
        if self._http.our_state is h11.MUST_CLOSE:
            self._close()
        else:
            self._discard_transport()
        return False

    def _ends_here(self) -> bool:
        """Tell whether a drain ends the connection after the present answer.

        Its head may have been sent before the drain, without a close.
        """
        return self._serving.draining and not self._http.trailing_data[0]

    async def _handle(self, request: Request, exchange: "_Exchange") -> None:
        try:
            await self._serving.handler.handle(request, exchange)
            if not exchange.started:
                raise InternalFaultError("the request was not answered")
        except CallerError as error:
            if not exchange.started:
                await exchange.send_problem(error)
        except CallerGoneError:
            raise
        except Exception as error:
            log_event(
                "request failed by a fault of the instance",
                logging.ERROR,
                request_id=request.request_id,
                path=request.path,
                error=repr(error),
            )
            if not exchange.started:
                await exchange.send_problem(InternalFaultError("internal fault"))

    async def _read_request(self, request_id: str) -> Request | None:
        """Return the next request, or None if the connection stays idle."""
        self._idle = not self._http.trailing_data[0]
        try:
            async with asyncio.timeout(self._limits.idle_seconds) as limit:
                if self._idle:
                    await self._wait_for_bytes()
                    self._idle = False
                limit.reschedule(self._loop.time() + self._limits.read_seconds)
                return await self._parse_request(request_id)
        except TimeoutError:
            if self._idle:
                return None
            raise RequestTimeoutError(
                f"the request was not complete after {self._limits.read_seconds} s"
            ) from None
        except h11.RemoteProtocolError as error:
            raise explain_protocol_error(error, self._limits) from None

    async def _parse_request(self, request_id: str) -> Request:
        received = self._serving.clock.monotonic()
        head = await self._next_event()
        if not isinstance(head, h11.Request):
            raise CallerGoneError("the caller closed its connection")
        check_head(head, self._limits)
        if self._http.they_are_waiting_for_100_continue:
            self.write(h11.InformationalResponse(status_code=100, headers=[]))
        parts: list[bytes] = []
        size = 0
        while not isinstance(event := await self._next_event(), h11.EndOfMessage):
            assert isinstance(event, h11.Data)
            size += len(event.data)
            if size > self._limits.max_body_bytes:
                raise body_too_large(self._limits)
            parts.append(bytes(event.data))
        return build_request(head, b"".join(parts), request_id, received)

    async def _next_event(self) -> object:
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            await self._wait_for_bytes()

    async def _wait_for_bytes(self) -> None:
        """Wait for more bytes; all that have arrived are parsed by now."""
        self._unread_bytes = 0
        if self._reading_paused:
            self._reading_paused = False
            assert self._transport is not None
            self._transport.resume_reading()
        self._reader = self._loop.create_future()
        try:
            await self._reader
        finally:
            self._reader = None

    def _close(self) -> None:
        assert self._transport is not None
        self._transport.close()

    def _linger(self) -> None:
        transport = self._transport
        assert transport is not None
        self._discarding = True
        if transport.is_closing():
            return
        if transport.can_write_eof():
            transport.write_eof()
        if self._reading_paused:
            transport.resume_reading()
        self._loop.call_later(_LINGER_SECONDS, transport.abort)


class _Exchange:
    """Answer one request of a connection."""

    def __init__(
        self, connection: CallerConnection, serving: Serving, request_id: str
    ) -> None:
        self.started = False
        self.keep_alive = True
        self.head_only = False
        self._connection = connection
        self._serving = serving
        self._request_id = request_id

    async def send_answer(self, answer: Answer) -> None:
        """Send a whole answer."""
        headers = list(answer.headers)
        has_length = any(name.lower() == "content-length" for name, _ in headers)
        # The body of an answer to HEAD is left out, so its length may be unknown.
        is_sized = bool(answer.body) or not self.head_only
        if answer.status not in _NO_BODY_STATUSES and is_sized and not has_length:
            headers.append(("Content-Length", str(len(answer.body))))
        self._start(answer.status, headers)
        if answer.body and not self.head_only:
            self._connection.write(h11.Data(data=answer.body))
        self._connection.write(h11.EndOfMessage())
        await self._connection.drain()

    async def start_stream(self, status: int, headers: Headers) -> None:
        """Send the status and headers of a streamed answer."""
        self._start(status, list(headers))

    async def send_chunk(self, data: bytes) -> None:
        """Send a part of a streamed answer; waits while the caller is slow."""
        if not self.write_chunk(data):
            await self.drain()

    def write_chunk(self, data: bytes) -> bool:
        """Send a part of a streamed answer; return False if the caller is slow."""
        connection = self._connection
        connection.write(h11.Data(data=data))
        return not connection.writing_paused

    async def drain(self) -> None:
        """Wait while the caller is slow."""
        await self._connection.drain()

    async def end_stream(self) -> None:
        """Mark a streamed answer as whole."""
        self._connection.write(h11.EndOfMessage())

    async def send_problem(self, error: CallerError) -> None:
        """Send an error as JSON and count it."""
        self._serving.metrics.count_refusal(error.code)
        await self.send_answer(describe_problem(error, self._serving.generator))

    def _start(self, status: int, headers: list[tuple[str, str]]) -> None:
        if self._serving.labels_answers:
            headers.append(("X-Request-Id", self._request_id))
        if self._serving.draining or not self.keep_alive:
            headers.append(("Connection", "close"))
        self._connection.write(h11.Response(status_code=status, headers=headers))
        self.started = True
        self._serving.metrics.count_answer(status)


def _wake(waiter: asyncio.Future[None] | None) -> None:
    if waiter is not None and not waiter.done():
        waiter.set_result(None)
