"""Age of the operators' records beyond which an instance stops by itself."""

from carobladder.clock import Clock
from carobladder.fleet import Freshness
from carobladder.forwarding import ConfigurationAgeLimits
from carobladder.telemetry import FenceClosed, FenceOpened, emit

__all__ = ["FenceWatch", "plan_fence"]

# Parts of the time in which a revoked key must be refused everywhere: when callers
# are sent elsewhere, when "no such key" is no longer stated, and when keys are no
# longer accepted.
_READY_PART = 0.78
_REFUSAL_PART = 0.75
_FENCE_PART = 0.9


def plan_fence(revocation_seconds: float) -> ConfigurationAgeLimits:
    """Return the ages from which on requests are refused."""
    return ConfigurationAgeLimits(
        keys=revocation_seconds * _FENCE_PART,
        refusals=revocation_seconds * _REFUSAL_PART,
    )


class FenceWatch:
    """Log when requests with a key begin or cease to be refused."""

    def __init__(
        self, freshness: Freshness, revocation_seconds: float, clock: Clock
    ) -> None:
        self._freshness = freshness
        self._ready_seconds = revocation_seconds * _READY_PART
        self._limit_seconds = plan_fence(revocation_seconds).keys
        self._clock = clock
        self._closed_at: float | None = None

    @property
    def allows_callers(self) -> bool:
        """Tell whether callers may be sent to this instance."""
        return self._freshness.is_within(self._ready_seconds, self._clock.boottime())

    def watch(self) -> None:
        """Compare with the last call and log a change."""
        now = self._clock.boottime()
        freshness = self._freshness
        closed = freshness.synced and not freshness.is_within(self._limit_seconds, now)
        if closed and self._closed_at is None:
            self._closed_at = now
            emit(FenceClosed(round(freshness.age(now), 2)))
        elif not closed and self._closed_at is not None:
            emit(FenceOpened(round(now - self._closed_at, 2)))
            self._closed_at = None
