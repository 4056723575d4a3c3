"""Memory that the unsent answers of all connections together may use."""

from dataclasses import dataclass
from typing import Protocol

from carobladder.clock import Clock

__all__ = ["SendMemory", "UnsentAnswer"]


class UnsentAnswer(Protocol):
    """Connection whose send buffer is full."""

    @property
    def unsent_bytes(self) -> int:
        """Bytes in the send buffer."""

    def cut(self) -> None:
        """Abort the connection, which empties its send buffer."""


@dataclass(slots=True)
class _Progress:
    """Bytes that were unsent when last seen, and since when none was taken."""

    unsent_bytes: int
    stalled_at: float


class SendMemory:
    """Bound on the bytes in the send buffers of connections with full ones.

    ``limit_bytes`` is None if there is no bound. Above it the connection is cut that
    has taken nothing for the longest time, of those that hold at least the mean.
    """

    def __init__(self, limit_bytes: int | None, clock: Clock) -> None:
        self._limit_bytes = limit_bytes
        self._clock = clock
        self._seen: dict[UnsentAnswer, _Progress] = {}

    def note_write(self, answer: UnsentAnswer) -> None:
        """Count bytes that were added to a full send buffer, and keep the bound."""
        if self._limit_bytes is None:
            return
        now = self._clock.monotonic()
        stalled_at = self._seen[answer].stalled_at if answer in self._seen else now
        self._seen[answer] = _Progress(answer.unsent_bytes, stalled_at)
        self._note_progress(now)
        total_bytes = sum(each.unsent_bytes for each in self._seen.values())
        while total_bytes > self._limit_bytes:
            slowest = self._find_slowest(total_bytes / len(self._seen))
            total_bytes -= self._seen.pop(slowest).unsent_bytes
            slowest.cut()

    def forget(self, answer: UnsentAnswer) -> None:
        """Leave out a connection whose send buffer has room, or that is closed."""
        self._seen.pop(answer, None)

    def _note_progress(self, now: float) -> None:
        for answer, seen in self._seen.items():
            unsent_bytes = answer.unsent_bytes
            if unsent_bytes < seen.unsent_bytes:
                seen.stalled_at = now
            seen.unsent_bytes = unsent_bytes

    def _find_slowest(self, mean_bytes: float) -> UnsentAnswer:
        large = [
            (seen.stalled_at, -seen.unsent_bytes, index, answer)
            for index, (answer, seen) in enumerate(self._seen.items())
            if seen.unsent_bytes >= mean_bytes
        ]
        return min(large)[-1]
