"""Pauses after large reads, which leave a narrow link to requests."""

import random

from carobladder.clock import Clock
from carobladder.fleet import KeyedPage
from carobladder.topics.paces import ReadPolicy

__all__ = ["LARGE_READ_BYTES", "LargeReadPause"]

# At 5 Mbit/s such an answer takes 0.1 s, which delays requests noticeably.
LARGE_READ_BYTES = 65_536
# Shorter transfers leave room for requests between the reads of all versions.
_SLOW_SECONDS = 0.2
# Reads then take less than half of the link. The pauses differ, so that readers take
# turns, and what one has read makes reads of the others unnecessary.
_PAUSE_RATIO = (0.2, 2.2)
# Age of the last proof at the begin of a read, of the age at which passive instances
# read: its records must reach them before.
_PROOF_FRACTION = (0.1, 0.4)


class LargeReadPause:
    """Time until which the next read should wait, after a large one.

    Times are seconds of boot time.
    """

    def __init__(
        self, clock: Clock, policy: ReadPolicy, generator: random.Random
    ) -> None:
        self._clock = clock
        self._longest_seconds = policy.reader_age_seconds or 0.0
        self._proof_seconds = policy.passive_age_seconds or 0.0
        self._generator = generator
        self._until = float("-inf")
        self._min_age_seconds = 0.0
        self._is_slow = False

    @property
    def is_slow(self) -> bool:
        """Whether the last large answer took long."""
        return self._is_slow

    def note_page(self, page: KeyedPage) -> None:
        """Record an answer that has just arrived."""
        if page.size < LARGE_READ_BYTES:
            return
        seconds = page.transfer_seconds * self._generator.uniform(*_PAUSE_RATIO)
        self._until = self._clock.boottime() + min(seconds, self._longest_seconds)
        fraction = self._generator.uniform(*_PROOF_FRACTION)
        self._is_slow = page.transfer_seconds >= _SLOW_SECONDS
        self._min_age_seconds = self._proof_seconds * fraction if self._is_slow else 0.0

    def postpone(self, due_at: float) -> float:
        """Return when a read that is due at a time should be made."""
        return max(due_at, self._until)

    def find_end(self, proved_at: float) -> float:
        """Return the end of the pause for a reader with a proof of this time."""
        begin = max(self._until, proved_at + self._min_age_seconds)
        return min(begin, proved_at + self._proof_seconds)
