"""Outages of the store, as opposed to failed reads of one instance."""

__all__ = ["OutageMonitor"]


class OutageMonitor:
    """Bounds the length of an outage by the times at which the store served anybody.

    All times are in seconds of the same clock. Records that are not renewed expire
    during an outage longer than ``expiry_seconds``.
    """

    def __init__(self, expiry_seconds: float) -> None:
        self._expiry_seconds = expiry_seconds
        self._served_at = float("-inf")
        self._failed_at: float | None = None

    def note_failure(self, now: float) -> None:
        """Record that a read of this instance failed."""
        if self._failed_at is None:
            self._failed_at = now

    def note_served(self, at: float) -> float | None:
        """Record that the store has served this or another instance.

        Return the longest possible length in seconds of an outage that has ended, or
        None if no read has failed since the store served before.
        """
        if at <= self._served_at:
            return None
        seconds = at - self._served_at
        self._served_at = at
        if self._failed_at is None or at <= self._failed_at:
            return None
        self._failed_at = None
        return seconds

    def may_have_expired(self, now: float) -> bool:
        """Return whether records may expire in an outage that has not ended."""
        if self._failed_at is None:
            return False
        return now - self._served_at > self._expiry_seconds
