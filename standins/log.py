"""Append-only log with offsets, limited retention and an append rate limit."""

import asyncio
import contextlib
import re
from dataclasses import dataclass, field
from typing import Annotated, Any

import cappa

from carobladder.clock import Clock
from standins.http import App, Exchange, Request, RequestError, run_app

__all__ = ["LogApp", "LogOptions"]

_RECORDS_PATH = re.compile(r"/v1/streams/([a-z0-9-]{1,64})/records")
_MAX_RECORDS = 10_000
_MAX_WAIT_SECONDS = 30.0


@cappa.command(name="standins.log")
@dataclass(frozen=True)
class LogOptions:
    """Serve an append-only log."""

    listen: Annotated[str, cappa.Arg(long=True, help="IP:PORT.")] = "127.0.0.1:0"
    appends_per_second: Annotated[
        float, cappa.Arg(long=True, help="Rate limit of append requests.")
    ] = 400.0
    append_burst: Annotated[
        int, cappa.Arg(long=True, help="Append requests accepted at once.")
    ] = 100
    retain_records: Annotated[
        int, cappa.Arg(long=True, help="Records that a stream retains.")
    ] = 100_000
    retain_seconds: Annotated[
        float, cappa.Arg(long=True, help="Time that a record is retained.")
    ] = 3600.0


@dataclass(frozen=True, slots=True)
class _Record:
    offset: int
    written: float
    data: str


@dataclass(slots=True)
class _Stream:
    records: list[_Record] = field(default_factory=list)
    next_offset: int = 0
    appended: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def oldest_offset(self) -> int:
        return self.records[0].offset if self.records else self.next_offset


class LogApp(App):
    """Keep streams of records in memory."""

    def __init__(self, options: LogOptions, clock: Clock | None = None) -> None:
        super().__init__(clock)
        self._options = options
        self._streams: dict[str, _Stream] = {}
        self._tokens = float(options.append_burst)
        self._refilled = self.clock.monotonic()

    async def handle(self, exchange: Exchange) -> None:
        """Append to a stream or read from it."""
        request = exchange.request
        match = _RECORDS_PATH.fullmatch(request.path)
        if match is None:
            raise RequestError(404, "unknown path; use /v1/streams/NAME/records")
        stream = self._streams.setdefault(match[1], _Stream())
        self._drop_old(stream)
        if request.method == "POST":
            if not self._take_token():
                message = "append rate limit exceeded; join records in one append"
                error = RequestError(429, message)
                await exchange.answer(429, error.body, (("Retry-After", "1"),))
                return
            await exchange.answer(200, self._append(stream, request))
        elif request.method == "GET":
            await exchange.answer(200, await self._read(stream, request))
        else:
            raise RequestError(405, "use GET or POST")

    def _take_token(self) -> bool:
        now = self.clock.monotonic()
        gained = (now - self._refilled) * self._options.appends_per_second
        self._tokens = min(self._options.append_burst, self._tokens + gained)
        self._refilled = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _append(self, stream: _Stream, request: Request) -> dict[str, Any]:
        body = request.json()
        records = body.get("records") if isinstance(body, dict) else None
        if not isinstance(records, list) or not records:
            raise RequestError(400, "send {'records': [text, ...]}")
        if not all(isinstance(record, str) for record in records):
            raise RequestError(400, "each record must be text")
        first = stream.next_offset
        for data in records:
            record = _Record(stream.next_offset, self.clock.monotonic(), data)
            stream.records.append(record)
            stream.next_offset += 1
        self._drop_old(stream)
        stream.appended.set()
        stream.appended = asyncio.Event()
        return {"first_offset": first}

    def _drop_old(self, stream: _Stream) -> None:
        limit = self.clock.monotonic() - self._options.retain_seconds
        records = stream.records
        dropped = max(0, len(records) - self._options.retain_records)
        while dropped < len(records) and records[dropped].written < limit:
            dropped += 1
        del records[:dropped]

    async def _read(self, stream: _Stream, request: Request) -> dict[str, Any]:
        start = _read_number(request, "from", 0)
        limit = min(_read_number(request, "limit", 1000), _MAX_RECORDS)
        wait_seconds = _read_number(request, "wait_ms", 0) / 1000
        if start >= stream.next_offset and wait_seconds:
            await self._wait_append(stream, min(wait_seconds, _MAX_WAIT_SECONDS))
            self._drop_old(stream)
        oldest = stream.oldest_offset
        if start < oldest:
            message = "offset is no longer retained; read from oldest_offset"
            raise RequestError(410, message, oldest_offset=oldest)
        skipped = start - oldest
        chosen = stream.records[skipped : skipped + limit]
        return {
            "records": [{"offset": r.offset, "data": r.data} for r in chosen],
            "next_offset": start + len(chosen),
            "oldest_offset": oldest,
        }

    async def _wait_append(self, stream: _Stream, seconds: float) -> None:
        appended = asyncio.ensure_future(stream.appended.wait())
        timer = asyncio.ensure_future(self.clock.sleep(seconds))
        await asyncio.wait({appended, timer}, return_when=asyncio.FIRST_COMPLETED)
        for task in (appended, timer):
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task


def _read_number(request: Request, name: str, default: int) -> int:
    text = request.query.get(name, str(default))
    if not text.isdecimal():
        raise RequestError(400, f"{name} must be a whole number")
    return int(text)


def main() -> None:
    """Run the log as a process of its own."""
    options = cappa.parse(LogOptions)
    run_app(LogApp(options), options.listen)


if __name__ == "__main__":
    main()
