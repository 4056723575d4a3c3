"""Reads of a topic, with the time at which each was sent."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from carobladder.clock import Clock
from carobladder.fleet import KeyedPage
from carobladder.telemetry import StoreReadRepeated, emit
from carobladder.topics.backoff import ReadBackoff
from carobladder.topics.hedging import run_hedged
from carobladder.topics.readpauses import LARGE_READ_BYTES

__all__ = ["TimedPage", "TopicFetcher"]


@dataclass(frozen=True, slots=True)
class TimedPage:
    """Result of a read and the time, in seconds of boot time, at which it was sent."""

    sent_at: float
    page: KeyedPage


class TopicFetcher:
    """Fetcher of pages of one topic.

    ``repeat_seconds`` is the delay after which a read without an answer is made a
    second time, 0 for no second attempt. It is longer by the time that the last large
    answer took: a second one beside it would only delay both.
    """

    def __init__(
        self, topic: str, clock: Clock, backoff: ReadBackoff, repeat_seconds: float
    ) -> None:
        self._topic = topic
        self._clock = clock
        self._backoff = backoff
        self._repeat_seconds = repeat_seconds
        self._transfer_seconds = 0.0

    @property
    def transfer_seconds(self) -> float:
        """Time that the last large answer took from its first byte to its last."""
        return self._transfer_seconds

    async def fetch(self, read: Callable[[], Awaitable[KeyedPage]]) -> TimedPage:
        """Read once; raises LogUnavailableError or OffsetDroppedError."""
        sent_at = self._clock.boottime()
        page = await read()
        if page.size >= LARGE_READ_BYTES:
            self._transfer_seconds = page.transfer_seconds
        return TimedPage(sent_at, page)

    async def fetch_in_time(
        self, read: Callable[[], Awaitable[KeyedPage]]
    ) -> TimedPage:
        """Read, with a second attempt unless the store has been failing already.

        The second attempt counts as a failed read too, so that the next pause is no
        shorter than after as many single reads.
        """
        if self._backoff.is_failing or not self._repeat_seconds:
            return await self.fetch(read)
        return await run_hedged(
            self._clock,
            lambda: self.fetch(read),
            self._repeat_seconds + self._transfer_seconds,
            self._note_second_attempt,
        )

    def _note_second_attempt(self, reason: str) -> None:
        self._backoff.note_second_attempt()
        emit(StoreReadRepeated(self._topic, reason))
