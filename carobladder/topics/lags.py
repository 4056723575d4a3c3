"""Records that other instances know and this one lacks."""

__all__ = ["PeerLag"]

# Limits the reads that wrong offsets from another instance can cause.
_REJECTED_END_PAUSE_SECONDS = 1.0


class PeerLag:
    """Newest end of a topic that another instance has told of, and since when.

    Times are seconds of boot time; offsets are those of one era of the store.
    """

    def __init__(self) -> None:
        self.end = 0
        self._rejected_end = 0
        self._since: float | None = None
        self._blocked_until = float("-inf")

    def is_behind(self, next_offset: int, end: int) -> bool:
        """Return whether records before ``end`` are missing beyond ``next_offset``."""
        return end > max(next_offset, self._rejected_end)

    def note_end(self, end: int, now: float) -> bool:
        """Record an end beyond the known records; return whether it is the first."""
        self.end = max(self.end, end)
        if self._since is not None:
            return False
        self._since = now
        return True

    def reject(self, end: int, now: float) -> None:
        """Ignore an end that the store has not reached."""
        self._rejected_end = end
        self._blocked_until = now + _REJECTED_END_PAUSE_SECONDS

    def update(self, next_offset: int | None) -> None:
        """Record that all records before an offset are known, or none."""
        if next_offset is None or not self.is_behind(next_offset, self.end):
            self._since = None

    def reset(self) -> None:
        """Forget all offsets, as others will count."""
        self.end = self._rejected_end = 0
        self._since = None

    def find_due_time(self, delay_seconds: float) -> float:
        """Return when missing records are read that no other instance has sent."""
        if self._since is None:
            return float("inf")
        return max(self._since + delay_seconds, self._blocked_until)
