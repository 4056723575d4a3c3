"""Scripted TCP servers for tests."""

import asyncio
from collections.abc import Awaitable, Callable

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter, int], Awaitable[None]]


class ScriptedServer:
    """TCP server that runs a script for each connection, numbered from 0."""

    def __init__(self, script: Script) -> None:
        self.connections = 0
        self._script = script
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.connected = asyncio.Event()

    async def __aenter__(self) -> "ScriptedServer":
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._start, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop listening and cancel the scripts."""
        assert self._server is not None
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _start(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number = self.connections
        self.connections += 1
        self.connected.set()
        try:
            await self._script(reader, writer, number)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def read_head(reader: asyncio.StreamReader) -> bytes:
    """Return the request line and headers of the next request."""
    return await reader.readuntil(b"\r\n\r\n")


def plain_answer(body: bytes) -> bytes:
    """Return the bytes of a complete response."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
