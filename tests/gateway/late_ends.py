"""Engine that keeps the end of its streams back, and callers on kept connections."""

import asyncio
from dataclasses import dataclass

import msgspec

from tests.gateway.engines import Engine, EngineRequest
from tests.gateway.fakes import CHAT, KEY

STREAM_END = b"0\r\n\r\n"


@dataclass
class LateEndEngine(Engine):
    """Fake engine that keeps the end of its first stream back.

    The engine sends ``end`` after ``seconds``. A copy of the answer follows after
    ``copy_seconds``, if there are any.
    """

    seconds: float = 0.0
    end: bytes = STREAM_END
    copy_seconds: float | None = None

    async def answer(
        self,
        request: EngineRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Write one streamed response; the end of the first one comes late."""
        stream = self.stream_answer(request)
        if len(self.requests) > 1:
            writer.write(stream)
            return
        writer.write(stream.removesuffix(STREAM_END))
        await asyncio.sleep(self.seconds)
        writer.write(self.end)
        if self.copy_seconds is not None:
            await asyncio.sleep(self.copy_seconds)
            writer.write(stream)


def build_chat_request() -> bytes:
    """Return the bytes of a request for a streamed completion."""
    body = msgspec.json.encode({**CHAT, "stream": True})
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: chat.example\r\n"
        f"Authorization: Bearer {KEY}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def read_stream(reader: asyncio.StreamReader) -> bytes:
    """Return the content of the next streamed response of a connection."""
    await reader.readuntil(b"\r\n\r\n")
    content = b""
    while size := int(await reader.readline(), 16):
        content += (await reader.readexactly(size + 2))[:-2]
    await reader.readline()
    return content
