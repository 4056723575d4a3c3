"""HTTP connection of the command line to an instance."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import h11

from carobladder.clients.ports import HttpAnswer
from carobladder.exceptions import ConnectionBrokenError
from carobladder.headers import Headers

__all__ = ["SocketFetcher", "StreamedAnswer"]

_READ_BYTES = 65_536
_MAX_HEADER_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class StreamedAnswer:
    """Carry the start of an answer and its body in chunks."""

    status: int
    chunks: AsyncIterator[bytes]


class SocketFetcher:
    """Send each request over a connection of its own.

    Implements HttpFetcher. Errors are ConnectionBrokenError, which tells whether
    any byte of the request was written.
    """

    async def fetch(
        self,
        method: str,
        address: str,
        path: str,
        *,
        headers: Headers = (),
        body: bytes = b"",
        timeout_seconds: float,
    ) -> HttpAnswer:
        """Return the whole answer."""
        exchange = _Exchange(address)
        try:
            async with asyncio.timeout(timeout_seconds):
                return await exchange.run(method, path, headers, body)
        except (OSError, h11.ProtocolError, TimeoutError) as error:
            raise exchange.explain(error) from error
        finally:
            exchange.close()

    @asynccontextmanager
    async def stream(
        self,
        method: str,
        address: str,
        path: str,
        *,
        headers: Headers = (),
        timeout_seconds: float,
    ) -> AsyncIterator[StreamedAnswer]:
        """Give the answer as it arrives; each chunk may take the given time."""
        exchange = _Exchange(address)
        try:
            async with asyncio.timeout(timeout_seconds):
                await exchange.send(method, path, headers, b"")
                start = await exchange.receive_start()
            chunks = exchange.iter_chunks(timeout_seconds)
            yield StreamedAnswer(start.status_code, chunks)
        except (OSError, h11.ProtocolError, TimeoutError) as error:
            raise exchange.explain(error) from error
        finally:
            exchange.close()


class _Exchange:
    """Run one request and its answer on a new connection."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._connection = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEADER_BYTES
        )
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._written = False

    async def run(
        self, method: str, path: str, headers: Headers, body: bytes
    ) -> HttpAnswer:
        """Return the whole answer of a request."""
        await self.send(method, path, headers, body)
        start = await self.receive_start()
        parts = [chunk async for chunk in self.iter_chunks(None)]
        found = tuple((n.decode().lower(), v.decode()) for n, v in start.headers)
        return HttpAnswer(start.status_code, found, b"".join(parts))

    async def send(self, method: str, path: str, headers: Headers, body: bytes) -> None:
        """Connect and write the request."""
        host, _, port = self._address.rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(
            host.strip("[]"), int(port)
        )
        fields = [
            ("host", self._address),
            ("content-length", str(len(body))),
            ("connection", "close"),
            *headers,
        ]
        events = [
            h11.Request(method=method, target=path, headers=fields),
            *([h11.Data(data=body)] if body else []),
            h11.EndOfMessage(),
        ]
        data = b"".join(self._connection.send(event) or b"" for event in events)
        self._written = True
        self._writer.write(data)
        await self._writer.drain()

    async def receive_start(self) -> h11.Response:
        """Return status and headers of the answer."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise h11.RemoteProtocolError("connection closed before the answer")

    async def iter_chunks(self, timeout_seconds: float | None) -> AsyncIterator[bytes]:
        """Yield the body of the answer."""
        while True:
            async with asyncio.timeout(timeout_seconds):
                event = await self._next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise h11.RemoteProtocolError("connection closed inside the answer")

    async def _next_event(self) -> object:
        assert self._reader is not None
        while True:
            event = self._connection.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._connection.receive_data(await self._reader.read(_READ_BYTES))

    def explain(self, error: Exception) -> ConnectionBrokenError:
        """Return the typed error of a failed exchange."""
        reason = str(error) or type(error).__name__
        return ConnectionBrokenError(
            f"request to {self._address} failed: {reason}",
            request_written=self._written,
        )

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
