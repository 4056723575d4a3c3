"""Callers with kept connections, or with a new one for each request."""

import asyncio
import random
import time
from collections.abc import Callable
from hashlib import sha256

from review.bed import read_head
from tests.soak.records import CONNECT_SECONDS, HOST, ROUTES, End, Record, Sent

__all__ = ["KEY", "Address", "Caller"]

KEY = "n2ctnfzs989anu6wsjnb"
_RETRY_SECONDS = 0.05
_DEADLINES_MS = (800, 6000, 9000, 12_000)
# Waiting beyond the time limit shows whether the instance ends the request at all.
_GIVE_UP_SECONDS = 1.0
_LONGEST_BODY_BYTES = 72_000
_LEAVING_SHARE = 0.06
# Callers reuse connections up to this share of the stated idle time.
_REUSE_SHARE = 0.8

Address = tuple[str, str]


class Caller:
    """Caller that sends one request after another."""

    def __init__(
        self,
        record: Record,
        seed: str,
        keeps: bool,
        addresses: list[Address],
        idle_seconds: Callable[[], float],
        started: float,
    ) -> None:
        self._record = record
        self._seed = seed
        self._keeps = keeps
        self._addresses = addresses
        self._idle_seconds = idle_seconds
        self._started = started
        self._generator = random.Random(seed)
        self._home = self._generator.choice(addresses)
        self._channel: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self._reusable_until = 0.0

    async def run(self, until: float) -> None:
        """Send requests until a time in seconds since the start of the run."""
        count = 0
        while self._now() < until:
            await asyncio.sleep(self._draw_pause())
            count += 1
            await self._send(self._draw_request(count))
        self._drop()

    def _now(self) -> float:
        return time.monotonic() - self._started

    def _draw_pause(self) -> float:
        if self._generator.random() < 0.1:
            return self._generator.uniform(0.5, 1.8)
        return self._generator.expovariate(20.0)

    def _draw_request(self, count: int) -> Sent:
        generator = self._generator
        name, _ = self._home if self._keeps else generator.choice(self._addresses)
        route = generator.choice(list(ROUTES.values()))
        has_body = route.name != "look" or generator.random() < 0.3
        size = int(_LONGEST_BODY_BYTES ** generator.random()) if has_body else 0
        request_id = sha256(f"{self._seed}/{count}".encode()).hexdigest()[:16]
        return Sent(
            request_id,
            route,
            "POST" if has_body else "GET",
            f"/{route.name}/{generator.randrange(9)}",
            (request_id.encode() * (size // 16 + 1))[:size],
            name,
            generator.choice(_DEADLINES_MS),
        )

    async def _send(self, sent: Sent) -> None:
        leaves = self._generator.random() < _LEAVING_SHARE
        patience = self._generator.uniform(0.02, 0.8)
        pieces = self._build_pieces(sent)
        self._record.sent.append(sent)
        began = self._now()
        try:
            reader, writer = await self._connect(sent)
        except OSError as error:
            is_late = isinstance(error, TimeoutError)
            sent.end = End.UNCONNECTED if is_late else End.REFUSED
            sent.began, sent.ended = began, self._now()
            await asyncio.sleep(_RETRY_SECONDS)
            return
        if not leaves:
            patience = sent.limit_seconds + _GIVE_UP_SECONDS
        sent.began = self._now()
        try:
            async with asyncio.timeout(patience):
                keeps = await self._exchange(sent, pieces, reader, writer)
            sent.end = End.ANSWERED
        except TimeoutError:
            sent.end = End.LEFT if leaves else End.GIVEN_UP
            keeps = False
        except (OSError, EOFError):
            sent.end, keeps = End.CUT, False
        sent.ended = self._now()
        if not keeps:
            self._drop()

    async def _connect(
        self, sent: Sent
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        channel = self._channel
        if channel and not channel[0].at_eof() and self._now() < self._reusable_until:
            sent.reused = True
            return channel
        self._drop()
        host, _, port = dict(self._addresses)[sent.instance].rpartition(":")
        async with asyncio.timeout(CONNECT_SECONDS):
            self._channel = await asyncio.open_connection(host, int(port))
        return self._channel

    def _drop(self) -> None:
        if self._channel:
            self._channel[1].transport.abort()
        self._channel = None

    async def _exchange(
        self,
        sent: Sent,
        pieces: list[tuple[float, bytes]],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Send a request and read its answer; return whether to keep the connection."""
        writing = asyncio.ensure_future(self._write(sent, pieces, writer))
        try:
            return await self._read(sent, reader)
        finally:
            # An answer may come before the whole request is written.
            writing.cancel()
            await asyncio.gather(writing, return_exceptions=True)

    async def _write(
        self,
        sent: Sent,
        pieces: list[tuple[float, bytes]],
        writer: asyncio.StreamWriter,
    ) -> None:
        for pause, piece in pieces:
            await asyncio.sleep(pause)
            writer.write(piece)
            await writer.drain()
        sent.sent = self._now()

    async def _read(self, sent: Sent, reader: asyncio.StreamReader) -> bool:
        head = await read_head(reader)
        if head is None:
            raise EOFError
        sent.headers = head.headers
        sent.status = int(head.start.split(" ")[1])
        is_framed = await _read_body(sent, reader)
        is_closed = head.headers.get("connection", "").lower() == "close"
        stated = head.headers.get("keep-alive", "").rpartition("timeout=")[2]
        idle = float(stated.split(",")[0]) if stated else self._idle_seconds()
        limit = min(idle, self._idle_seconds()) * _REUSE_SHARE
        self._reusable_until = self._now() + limit
        return self._keeps and is_framed and not is_closed and sent.sent is not None

    def _build_pieces(self, sent: Sent) -> list[tuple[float, bytes]]:
        """Return the bytes of a request, each with the pause before it."""
        generator = self._generator
        lines = [
            f"{sent.method} {sent.path} HTTP/1.1",
            f"Host: {HOST}",
            f"Carobladder-Request-Id: {sent.request_id}",
            f"Carobladder-Deadline: {sent.deadline_ms}",
            f"X-Api-Key: {KEY}",
        ]
        if not self._keeps:
            lines.append("Connection: close")
        shape = generator.choice(("whole", "two", "two", "chunked"))
        pauses = [generator.uniform(0.0, 0.3) for _ in range(2)]
        cut = generator.randrange(len(sent.body) + 1)
        parts = [sent.body[:cut], sent.body[cut:]]
        if shape == "chunked" and sent.body:
            head = "\r\n".join([*lines, "Transfer-Encoding: chunked", "", ""]).encode()
            chunks = [b"%x\r\n%s\r\n" % (len(part), part) for part in parts if part]
            chunks[-1] += b"0\r\n\r\n"
            return [(0.0, head), *zip(pauses, chunks, strict=False)]
        if sent.body:
            lines.append(f"Content-Length: {len(sent.body)}")
        head = "\r\n".join([*lines, "", ""]).encode()
        if shape == "two" and sent.body:
            return [(0.0, head + parts[0]), (pauses[0], parts[1])]
        return [(0.0, head + sent.body)]


async def _read_body(sent: Sent, reader: asyncio.StreamReader) -> bool:
    """Read the body; return False if it ends with the connection."""
    if sent.headers.get("transfer-encoding") == "chunked":
        while size := int(await _read_line(reader), 16):
            sent.answer += (await reader.readexactly(size + 2))[:-2]
        while await _read_line(reader):
            pass
        return True
    if "content-length" not in sent.headers:
        while piece := await reader.read(65_536):
            sent.answer += piece
        return False
    left = int(sent.headers["content-length"])
    while left:
        piece = await reader.read(left)
        if not piece:
            raise EOFError
        sent.answer += piece
        left -= len(piece)
    return True


async def _read_line(reader: asyncio.StreamReader) -> bytes:
    return (await reader.readuntil(b"\r\n"))[:-2]
