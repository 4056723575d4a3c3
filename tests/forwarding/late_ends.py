"""Targets that keep the end of their streams back."""

import asyncio

from tests.forwarding.fixtures import (
    build_response,
    build_stream_head,
    encode_chunk,
    encode_event,
    read_header,
)
from tests.forwarding.silence import EVENTS

STREAM_END = b"0\r\n\r\n"
FIRST_END_SECONDS = 3.0


def stream_events(request: bytes) -> bytes:
    """Return the head and all events that a request asks for, without the end."""
    first = int(read_header(request, "last-event-id") or 0) + 1
    events = b"".join(
        encode_chunk(encode_event(number)) for number in range(first, EVENTS.stop)
    )
    return build_stream_head(request) + events


def keep_end_back(seconds: float):
    """Return a script whose streams end some seconds after their last event."""

    async def script(request: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(stream_events(request))
        await asyncio.sleep(seconds)
        writer.write(STREAM_END)

    return script


async def keep_first_end_back(request: bytes, writer: asyncio.StreamWriter) -> None:
    """Keep the end of a stream back unless it is resumed; answer other requests."""
    if b" /safe/" in request:
        writer.write(build_response(request, b"whole"))
        return
    writer.write(stream_events(request))
    if not read_header(request, "last-event-id"):
        await asyncio.sleep(FIRST_END_SECONDS)
    writer.write(STREAM_END)


async def send_without_end(request: bytes, writer: asyncio.StreamWriter) -> None:
    """Respond with all events that a request asks for, and close without the end."""
    writer.write(stream_events(request))
    await writer.drain()
    await asyncio.sleep(0.05)
    writer.transport.abort()


async def close_after_head(request: bytes, writer: asyncio.StreamWriter) -> None:
    """Respond with a head whose body ends with the connection, and end it."""
    head = build_stream_head(request)
    writer.write(head.replace(b"Transfer-Encoding: chunked\r\n", b""))
    writer.close()
