"""The operator platform's store as a process, with limited retention and rate."""

import asyncio
import contextlib
from collections import deque
from dataclasses import dataclass, replace
from typing import Annotated
from urllib.parse import urlencode

import cappa

from carobladder.clock import Clock
from standins.http import App, Exchange, Request, RequestError, run_app
from standins.store import LostWrite, StoreAnswer, StoreCopy, StoreState

__all__ = ["LogApp", "LogOptions"]

_APPEND_PATH = "/-/log-append"
_READ_PATH = "/-/log-read"
# The two offsets before the records of an answer.
_EMPTY_PAGE_BYTES = 16
_MAX_WAIT_SECONDS = 30.0


@cappa.command(name="standins.log")
@dataclass(frozen=True)
class LogOptions:
    """Serve the store of the operator platform."""

    listen: Annotated[str, cappa.Arg(long=True, help="IP:PORT.")] = "127.0.0.1:0"
    appends_per_second: Annotated[
        float, cappa.Arg(long=True, help="Rate limit of append requests.")
    ] = 400.0
    append_burst: Annotated[
        int, cappa.Arg(long=True, help="Append requests accepted at once.")
    ] = 100
    retain_records: Annotated[
        int, cappa.Arg(long=True, help="Records that a partition retains.")
    ] = 100_000
    retain_seconds: Annotated[
        float, cappa.Arg(long=True, help="Time that a record is retained.")
    ] = 3600.0


@dataclass(frozen=True, slots=True)
class _Append:
    """Remember when the records before ``end`` were written."""

    written: float
    topic: str
    part: int
    end: int


class LogApp(App):
    """Keep the topics of the store in memory."""

    def __init__(self, options: LogOptions, clock: Clock | None = None) -> None:
        super().__init__(clock)
        self.state = StoreState()
        self._options = options
        self._appends: deque[_Append] = deque()
        self._appended = asyncio.Event()
        self._tokens = float(options.append_burst)
        self._refilled = self.clock.monotonic()

    def answer_headers(self) -> tuple[tuple[str, str], ...]:
        """Return the era, which refusals carry too."""
        return self.state.era_headers

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy; waiting reads are answered in the new era."""
        self.state.restore(copy)
        self._appends = deque(
            replace(old, end=min(old.end, self.state.find_end(old.topic, old.part)))
            for old in self._appends
        )
        self._wake_waiting_reads()

    def write_lost_again(self) -> list[LostWrite]:
        """Write the lost writes of the operator and the servers again."""
        again = self.state.write_lost_again()
        self._wake_waiting_reads()
        return again

    async def handle(self, exchange: Exchange) -> None:
        """Answer a call of the store."""
        request = exchange.request
        self._drop_old()
        if request.path == _APPEND_PATH and not self._take_token():
            error = RequestError(429, "append rate limit exceeded; join records")
            await exchange.answer(429, error.body, (("Retry-After", "1"),))
            return
        answer = self._call(request)
        if request.path == _READ_PATH:
            answer = await self._wait_for_records(request, answer)
        if request.path == _APPEND_PATH and answer.status == 200:
            self._note_append(request)
        await exchange.answer_bytes(answer.status, answer.body, answer.headers)

    def _call(self, request: Request) -> StoreAnswer:
        target = f"{request.path}?{urlencode(request.query)}"
        return self.state.call(request.method, target, request.body)

    def _take_token(self) -> bool:
        now = self.clock.monotonic()
        gained = (now - self._refilled) * self._options.appends_per_second
        self._tokens = min(self._options.append_burst, self._tokens + gained)
        self._refilled = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _note_append(self, request: Request) -> None:
        topic, part = request.query["topic"], int(request.query["part"])
        end = self.state.find_end(topic, part)
        self._appends.append(_Append(self.clock.monotonic(), topic, part, end))
        self.state.drop_before(topic, part, end - self._options.retain_records)
        self._wake_waiting_reads()

    def _wake_waiting_reads(self) -> None:
        self._appended.set()
        self._appended = asyncio.Event()

    def _drop_old(self) -> None:
        limit = self.clock.monotonic() - self._options.retain_seconds
        while self._appends and self._appends[0].written < limit:
            old = self._appends.popleft()
            self.state.drop_before(old.topic, old.part, old.end)

    async def _wait_for_records(
        self, request: Request, answer: StoreAnswer
    ) -> StoreAnswer:
        """Return the answer once it holds records or the wait is over."""
        wait_seconds = float(request.query.get("waitMs", "0")) / 1000
        limit = self.clock.monotonic() + min(wait_seconds, _MAX_WAIT_SECONDS)
        while answer.status == 200 and len(answer.body) == _EMPTY_PAGE_BYTES:
            left_seconds = limit - self.clock.monotonic()
            if left_seconds <= 0.0:
                break
            await self._wait_for_append(left_seconds)
            answer = self._call(request)
        return answer

    async def _wait_for_append(self, seconds: float) -> None:
        appended = asyncio.ensure_future(self._appended.wait())
        timer = asyncio.ensure_future(self.clock.sleep(seconds))
        await asyncio.wait({appended, timer}, return_when=asyncio.FIRST_COMPLETED)
        for task in (appended, timer):
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task


def main() -> None:
    """Run the store as a process of its own."""
    options = cappa.parse(LogOptions)
    run_app(LogApp(options), options.listen)


if __name__ == "__main__":
    main()
