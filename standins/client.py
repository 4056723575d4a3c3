"""Small HTTP client for stand-ins, tests and the demonstration."""

import asyncio
import json
from dataclasses import dataclass
from typing import Any

import h11

__all__ = ["JsonAnswer", "fetch_json"]

_READ_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class JsonAnswer:
    """Carry a whole answer; header names are lower case."""

    status: int
    headers: dict[str, str]
    body: Any


async def fetch_json(
    method: str,
    address: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_seconds: float = 10.0,
) -> JsonAnswer:
    """Return the answer of the server at IP:PORT over a connection of its own.

    Raises OSError (TimeoutError included) if there is no whole answer.
    """
    async with asyncio.timeout(timeout_seconds):
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            connection = h11.Connection(h11.CLIENT)
            data = b"" if body is None else json.dumps(body).encode()
            _send_request(connection, writer, method, address, path, data, headers)
            return await _read_answer(connection, reader)
        except h11.RemoteProtocolError as error:
            raise ConnectionError(f"answer of {address} is cut: {error}") from error
        finally:
            writer.close()


def _send_request(
    connection: h11.Connection,
    writer: asyncio.StreamWriter,
    method: str,
    address: str,
    path: str,
    data: bytes,
    headers: dict[str, str] | None,
) -> None:
    lines = {
        "Host": address,
        "Content-Length": str(len(data)),
        "Content-Type": "application/json",
        "Connection": "close",
        **(headers or {}),
    }
    request = h11.Request(method=method, target=path, headers=list(lines.items()))
    for event in (request, h11.Data(data=data), h11.EndOfMessage()):
        writer.write(connection.send(event) or b"")


async def _read_answer(
    connection: h11.Connection, reader: asyncio.StreamReader
) -> JsonAnswer:
    head: h11.Response | None = None
    body = bytearray()
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await reader.read(_READ_BYTES))
        elif isinstance(event, h11.Response):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            break
        elif isinstance(event, h11.ConnectionClosed):
            raise ConnectionError("connection closed before the answer")
    assert head is not None
    names = {name.decode(): value.decode("latin-1") for name, value in head.headers}
    return JsonAnswer(head.status_code, names, json.loads(body or b"null"))
