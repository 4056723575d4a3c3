"""Age of an instance's copy of a topic of the platform's store."""

__all__ = ["Freshness"]


class Freshness:
    """Upper bound on the age of the local copy of a topic.

    After a read the copy contains all records that the store accepted before the read
    was sent. Times are seconds of a clock that also counts while the machine is
    suspended, so that an instance that resumes finds its copy outdated before using it.
    """

    def __init__(self) -> None:
        self._synced_at: float | None = None

    @property
    def synced(self) -> bool:
        """Return whether any read has completed."""
        return self._synced_at is not None

    @property
    def synced_at(self) -> float:
        """Return the time up to which all records are known, or minus infinity."""
        return float("-inf") if self._synced_at is None else self._synced_at

    def note_read(self, sent_at: float) -> None:
        """Record a completed read that was sent at this time."""
        if self._synced_at is None or sent_at > self._synced_at:
            self._synced_at = sent_at

    def is_within(self, seconds: float, now: float) -> bool:
        """Return whether all records older than this age are known."""
        return self._synced_at is not None and now - self._synced_at <= seconds

    def age(self, now: float) -> float:
        """Return the age of the copy in seconds, infinite before the first read."""
        return float("inf") if self._synced_at is None else now - self._synced_at
