"""Small HTTP client for stand-ins, tests and the demonstration."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any

import h11

__all__ = ["EventStream", "JsonAnswer", "StreamEvent", "fetch_json", "open_stream"]

_READ_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class JsonAnswer:
    """Carry a whole answer; header names are lower case; other bodies are text."""

    status: int
    headers: dict[str, str]
    body: Any


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """Carry one server-sent event."""

    event_id: str
    data: str


class _Call:
    """Send one request and read its answer over a connection of its own."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._http = h11.Connection(h11.CLIENT)
        self.status = 0
        self.headers: dict[str, str] = {}

    async def send(
        self, method: str, address: str, path: str, body: Any, headers: dict[str, str]
    ) -> None:
        data = b"" if body is None else json.dumps(body).encode()
        lines = {
            "Host": address,
            "Content-Length": str(len(data)),
            "Content-Type": "application/json",
            "Connection": "close",
            **headers,
        }
        head = h11.Request(method=method, target=path, headers=list(lines.items()))
        for event in (head, h11.Data(data=data), h11.EndOfMessage()):
            self._writer.write(self._http.send(event) or b"")
        # A refusal may close the connection while a large body is being written;
        # the answer is still to be read.
        with contextlib.suppress(ConnectionError):
            await self._writer.drain()

    async def read_head(self) -> None:
        event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise ConnectionError("connection closed before the answer")
        self.status = event.status_code
        self.headers = {
            name.decode(): value.decode("latin-1") for name, value in event.headers
        }

    async def read_part(self) -> bytes | None:
        event = await self._next_event()
        return bytes(event.data) if isinstance(event, h11.Data) else None

    async def read_json(self) -> JsonAnswer:
        body = bytearray()
        while (part := await self.read_part()) is not None:
            body += part
        return JsonAnswer(self.status, self.headers, _decode(bytes(body)))

    async def _next_event(self) -> Any:
        try:
            while (event := self._http.next_event()) is h11.NEED_DATA:
                self._http.receive_data(await self._reader.read(_READ_BYTES))
        except h11.RemoteProtocolError as error:
            raise ConnectionError(f"the answer is cut: {error}") from error
        return event


def _decode(body: bytes) -> Any:
    # Health paths and proxies may answer plain text, which is kept as it is.
    try:
        return json.loads(body or b"null")
    except ValueError:
        return body.decode(errors="replace")


@contextlib.asynccontextmanager
async def _open_call(
    method: str, address: str, path: str, body: Any, headers: dict[str, str] | None
) -> AsyncIterator[_Call]:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        call = _Call(reader, writer)
        await call.send(method, address, path, body, headers or {})
        await call.read_head()
        yield call
    finally:
        writer.close()


async def fetch_json(
    method: str,
    address: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_seconds: float = 10.0,
) -> JsonAnswer:
    """Return the answer of the server at IP:PORT.

    Raises OSError (TimeoutError included) if there is no whole answer.
    """
    async with (
        asyncio.timeout(timeout_seconds),
        _open_call(method, address, path, body, headers) as call,
    ):
        return await call.read_json()


class EventStream:
    """Read the events of an answer, or its body if it is not a stream."""

    def __init__(self, call: _Call) -> None:
        self._call = call
        self.status = call.status
        self.headers = call.headers

    async def read_json(self) -> Any:
        """Return the body of an answer that is not a stream."""
        return (await self._call.read_json()).body

    async def events(self) -> AsyncIterator[StreamEvent]:
        """Yield the events; raises ConnectionError if the answer is cut."""
        buffer = ""
        while (part := await self._call.read_part()) is not None:
            buffer += part.decode()
            *blocks, buffer = buffer.split("\n\n")
            for block in blocks:
                yield _parse_event(block)


def _parse_event(block: str) -> StreamEvent:
    fields = dict(line.partition(": ")[::2] for line in block.split("\n"))
    return StreamEvent(fields.get("id", ""), fields.get("data", ""))


@contextlib.asynccontextmanager
async def open_stream(
    address: str, path: str, body: Any, headers: dict[str, str] | None = None
) -> AsyncIterator[EventStream]:
    """Post a request and yield its answer; leaving closes the connection."""
    async with _open_call("POST", address, path, body, headers) as call:
        yield EventStream(call)
