"""Fake engine that streams numbered tokens, for tests of the gateway."""

import asyncio
from dataclasses import dataclass, field

import msgspec

from tests.gateway.scripted_servers import ScriptedServer

DONE = b"data: [DONE]\n\n"


def token_event(index: int) -> bytes:
    """Return the event of a token, whose text depends only on its index."""
    return b'id: %d\ndata: {"choices":[{"delta":{"content":"t%d"}}]}\n\n' % (
        index,
        index,
    )


def whole_stream(count: int) -> bytes:
    """Return the complete stream that a caller must receive."""
    return b"".join(token_event(index) for index in range(count)) + DONE


@dataclass
class EngineRequest:
    """Request that reached the engine."""

    head: str
    headers: dict[str, str]
    body: bytes

    @property
    def start(self) -> int:
        """Index of the first token to send."""
        return int(self.headers.get("last-event-id", "-1")) + 1


@dataclass
class Engine:
    """Fake engine that serves completions.

    ``cuts`` lists, for each connection, the bytes of the body to send before closing
    it; None or a missing entry sends complete responses. With ``hold``, a stream stops
    after its first token until the connection is closed.
    """

    tokens: int = 5
    cuts: list[int | None] = field(default_factory=list)
    status: int = 200
    hold: asyncio.Event | None = None
    silent: bool = False
    wrong_request_id: bool = False
    own_request_id: bool = False
    requests: list[EngineRequest] = field(default_factory=list)
    cancelled: int = 0
    cancellation: asyncio.Event = field(default_factory=asyncio.Event)

    def server(self) -> ScriptedServer:
        """Return a server that runs this engine."""
        return ScriptedServer(self.serve)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int
    ) -> None:
        """Respond to the requests of one connection."""
        cut = self.cuts[number] if number < len(self.cuts) else None
        while True:
            request = await read_request(reader)
            self.requests.append(request)
            if cut is not None:
                stream = self.stream_answer(request)
                writer.write(stream[: stream.index(b"\r\n\r\n") + 4 + cut])
                await writer.drain()
                return
            await self.answer(request, reader, writer)

    async def answer(
        self,
        request: EngineRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Write one complete or streamed response."""
        if self.silent:
            await self.start_and_wait(reader, writer)
        elif self.status != 200 or b'"stream":true' not in request.body:
            writer.write(self.whole_answer(request))
        elif self.hold is None:
            writer.write(self.stream_answer(request))
        else:
            stream = self.stream_answer(request)
            writer.write(stream[: stream.index(token_event(1)[:5])])
            await self.wait_for_close(reader)

    async def start_and_wait(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Send headers but no event until the gateway closes the connection."""
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        await self.wait_for_close(reader)

    async def wait_for_close(self, reader: asyncio.StreamReader) -> None:
        """Count a cancellation when the gateway closes the connection."""
        try:
            await reader.read()
        finally:
            self.cancelled += 1
            self.cancellation.set()

    def stream_answer(self, request: EngineRequest) -> bytes:
        """Return the bytes of a complete streamed response."""
        events = [token_event(i) for i in range(request.start, self.tokens)] + [DONE]
        chunks = b"".join(b"%x\r\n%s\r\n" % (len(e), e) for e in events)
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"X-Request-Id: {self.echoed_id(request)}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        return head.encode() + chunks + b"0\r\n\r\n"

    def whole_answer(self, request: EngineRequest) -> bytes:
        """Return the bytes of a complete response."""
        body = msgspec.json.encode(
            {"usage": {"total_tokens": 40}, "for": request.headers["x-request-id"]}
        )
        head = (
            f"HTTP/1.1 {self.status} Status\r\nContent-Type: application/json\r\n"
            f"X-Request-Id: {self.echoed_id(request)}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body

    def echoed_id(self, request: EngineRequest) -> str:
        """Return the request id to send in the response."""
        if self.own_request_id:
            return "engine-7"
        own_id = request.headers["x-request-id"]
        return "cb-other" if self.wrong_request_id else own_id


async def read_request(reader: asyncio.StreamReader) -> EngineRequest:
    """Return the next request of a connection."""
    head, *lines = (await reader.readuntil(b"\r\n\r\n")).decode().splitlines()
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return EngineRequest(head, headers, body)
