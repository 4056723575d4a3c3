"""Pauses after large reads, which leave a narrow link to requests."""

from carobladder.clock import Clock
from carobladder.fleet import KeyedPage

__all__ = ["LARGE_READ_BYTES", "LargeReadPause"]

# At 5 Mbit/s such an answer takes 0.1 s, which delays requests noticeably.
LARGE_READ_BYTES = 65_536
# Reads then take at most a third of the link.
_PAUSE_RATIO = 2.0


class LargeReadPause:
    """Time until which the next read should wait, in proportion to the last large one.

    ``longest_seconds`` bounds the pause after the end of a read, ``proof_seconds`` the
    age of the last proof at its end. Times are seconds of boot time.
    """

    def __init__(
        self, clock: Clock, longest_seconds: float, proof_seconds: float
    ) -> None:
        self._clock = clock
        self._longest_seconds = longest_seconds
        self._proof_seconds = proof_seconds
        self._until = float("-inf")

    def note_page(self, page: KeyedPage) -> None:
        """Record an answer that has just arrived."""
        if page.size >= LARGE_READ_BYTES:
            seconds = min(page.transfer_seconds * _PAUSE_RATIO, self._longest_seconds)
            self._until = self._clock.boottime() + seconds

    def postpone(self, due_at: float) -> float:
        """Return when a read that is due at a time should be made."""
        return max(due_at, self._until)

    def find_end(self, proved_at: float) -> float:
        """Return the end of the pause for a reader with a proof of this time."""
        return min(self._until, proved_at + self._proof_seconds)
