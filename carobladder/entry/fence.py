"""Fencing: an instance with outdated records of the operators refuses requests."""

from carobladder.clock import Clock
from carobladder.fleet import Freshness
from carobladder.forwarding import ConfigurationAgeLimits
from carobladder.telemetry import FenceClosed, FenceOpened, emit

__all__ = ["FenceMonitor", "build_fence_times"]

# Fractions of the time in which a revoked key must be refused everywhere. From these
# ages of the records on, the instance is not ready, no longer answers that a key does
# not exist, and no longer accepts keys.
_READY_FRACTION = 0.78
_REFUSAL_FRACTION = 0.75
_FENCE_FRACTION = 0.9


def build_fence_times(revocation_seconds: float) -> ConfigurationAgeLimits:
    """Return the ages of records in seconds from which on requests are refused."""
    return ConfigurationAgeLimits(
        keys=revocation_seconds * _FENCE_FRACTION,
        refusals=revocation_seconds * _REFUSAL_FRACTION,
    )


class FenceMonitor:
    """Derives readiness from the age of the records, and logs when keys are refused."""

    def __init__(
        self, freshness: Freshness, revocation_seconds: float, clock: Clock
    ) -> None:
        self._freshness = freshness
        self._ready_seconds = revocation_seconds * _READY_FRACTION
        self._limit_seconds = build_fence_times(revocation_seconds).keys
        self._clock = clock
        self._closed_at: float | None = None

    @property
    def allows_callers(self) -> bool:
        """Whether callers may be sent to this instance."""
        return self._freshness.is_within(self._ready_seconds, self._clock.boottime())

    def log_changes(self) -> None:
        """Log if keys have started or stopped being refused since the last call."""
        now = self._clock.boottime()
        freshness = self._freshness
        closed = freshness.synced and not freshness.is_within(self._limit_seconds, now)
        if closed and self._closed_at is None:
            self._closed_at = now
            emit(FenceClosed(round(freshness.age(now), 2)))
        elif not closed and self._closed_at is not None:
            emit(FenceOpened(round(now - self._closed_at, 2)))
            self._closed_at = None
