"""Freshness of the configuration that an instance has applied."""

__all__ = ["ConfigFreshness"]

# Without a configuration read for this long, an instance may have missed a change.
CONFIG_FRESH_SECONDS = 2.0
# Time in which an instance applies a change that a peer has already applied.
CONFIG_BEHIND_SECONDS = 1.0


class ConfigFreshness:
    """Detector of configuration changes that this instance may have missed.

    It compares this instance's reads of the configuration with the offsets that peers
    have applied. Times are in monotonic seconds.
    """

    def __init__(self) -> None:
        self.offset = 0
        self._read: float | None = None
        self._newest_offset = 0
        self._behind_since: float | None = None

    def note_read(self, offset: int, now: float) -> None:
        """Record that the configuration was read up to the offset."""
        self.offset = offset
        self._read = now
        if offset >= self._newest_offset:
            self._behind_since = None

    def note_peer(self, offset: int, now: float) -> None:
        """Record the offset that a peer has applied."""
        self._newest_offset = max(self._newest_offset, offset)
        if offset > self.offset and self._behind_since is None:
            self._behind_since = now

    def is_current(self, now: float, half_reachable: bool) -> bool:
        """Return whether a change would have reached this instance.

        ``half_reachable`` is whether half of the listed instances are reachable.
        """
        behind = self._behind_since
        if behind is not None and now - behind > CONFIG_BEHIND_SECONDS:
            return False
        if self._read is None:
            return True
        return now - self._read <= CONFIG_FRESH_SECONDS or half_reachable
