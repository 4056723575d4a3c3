"""HTTP server on the loopback address that carries the operators' interface."""

import asyncio
import contextlib
import threading
from collections.abc import Iterator
from datetime import UTC, datetime
from urllib.parse import parse_qsl, unquote, urlsplit

import h11

from carobladder.admin.api import AdminAnswer, AdminRequest
from tests.admin.harness import Harness


class LoopbackServer:
    """Serve a harness in a thread; ``lose_answers`` drops the next answers."""

    def __init__(self) -> None:
        # Change ids of the commands carry the system's time.
        self.harness = Harness(start=datetime.now(UTC))
        self.lose_answers = 0
        self.address = ""
        self._started = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    @classmethod
    @contextlib.contextmanager
    def serve(cls) -> Iterator["LoopbackServer"]:
        """Serve until the block ends."""
        server = cls()
        server._thread.start()
        server._started.wait()
        try:
            yield server
        finally:
            server._loop.call_soon_threadsafe(server._stopped.set)
            server._thread.join()

    def _run(self) -> None:
        asyncio.run(self._serve())

    async def _serve(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._stopped = asyncio.Event()
        listening = await asyncio.start_server(self._answer, "127.0.0.1", 0)
        port = listening.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        ticking = asyncio.ensure_future(self._tick())
        await self.harness.settle()
        self._started.set()
        await self._stopped.wait()
        ticking.cancel()
        listening.close()

    async def _tick(self) -> None:
        while True:
            await self.harness.reader.step()
            self.harness.clock.advance(0.05)
            await asyncio.sleep(0.001)

    async def _answer(self, reader, writer) -> None:
        connection = h11.Connection(h11.SERVER)
        with contextlib.suppress(ConnectionError), contextlib.closing(writer):
            request = await _read_request(connection, reader)
            answer = await self.harness.api.handle(request)
            if self.lose_answers:
                self.lose_answers -= 1
                return
            await _write_answer(connection, writer, answer)


async def _read_request(connection, reader) -> AdminRequest:
    head, body = None, b""
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await reader.read(65536))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        else:
            break
    target = urlsplit(head.target.decode())
    headers = {name.decode(): value.decode() for name, value in head.headers}
    return AdminRequest(
        head.method.decode(),
        unquote(target.path),
        dict(parse_qsl(target.query)),
        headers,
        body,
    )


async def _write_answer(connection, writer, answer: AdminAnswer) -> None:
    start = h11.Response(status_code=answer.status, headers=list(answer.headers))
    writer.write(connection.send(start))
    if answer.stream is None:
        writer.write(connection.send(h11.Data(data=answer.body)))
    else:
        async for chunk in answer.stream:
            writer.write(connection.send(h11.Data(data=chunk)))
            await writer.drain()
    writer.write(connection.send(h11.EndOfMessage()))
    await writer.drain()
