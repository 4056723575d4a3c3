"""Age of what an instance knows from the platform's store."""

__all__ = ["Freshness"]


class Freshness:
    """Tell how old the knowledge of a topic may be.

    A read proves that all records accepted before it was sent are known. Times are
    seconds of a clock that also counts while the machine is suspended, so that an
    instance which wakes up finds its knowledge old before it uses it.
    """

    def __init__(self) -> None:
        self._proved_at: float | None = None

    @property
    def proved(self) -> bool:
        """Tell whether any read has returned."""
        return self._proved_at is not None

    @property
    def proved_at(self) -> float:
        """Return the time up to which all records are known, or minus infinity."""
        return float("-inf") if self._proved_at is None else self._proved_at

    def note_read(self, sent_at: float) -> None:
        """Take a read that was sent at this time and has returned."""
        if self._proved_at is None or sent_at > self._proved_at:
            self._proved_at = sent_at

    def is_within(self, seconds: float, now: float) -> bool:
        """Tell whether all records older than the given age are known."""
        return self._proved_at is not None and now - self._proved_at <= seconds

    def age(self, now: float) -> float:
        """Return the seconds since the last proof, infinite without one."""
        return float("inf") if self._proved_at is None else now - self._proved_at
