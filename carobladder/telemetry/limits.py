"""Rate limits of log events, one per event class."""

from carobladder.telemetry.events import Event

__all__ = ["EventLimiter"]

LINES_PER_SECOND = 50.0
BURST_LINES = 200.0


class EventLimiter:
    """Token bucket for each limited event class and a count of its dropped events."""

    def __init__(
        self, per_second: float = LINES_PER_SECOND, burst: float = BURST_LINES
    ) -> None:
        self._events_per_second = per_second
        self._burst = burst
        self._buckets: dict[type[Event], tuple[float, float]] = {}
        self._dropped: dict[type[Event], int] = {}

    def admit(self, event: Event, now: float) -> bool:
        """Return whether to write the event; ``now`` is in monotonic seconds."""
        event_class = type(event)
        if not event_class.limited:
            return True
        tokens, updated_at = self._buckets.get(event_class, (self._burst, now))
        tokens = min(self._burst, tokens + (now - updated_at) * self._events_per_second)
        admitted = tokens >= 1.0
        self._buckets[event_class] = (tokens - 1.0 if admitted else tokens, now)
        if not admitted:
            self._dropped[event_class] = self._dropped.get(event_class, 0) + 1
        return admitted

    def take_dropped_counts(self) -> dict[str, int]:
        """Return and reset the number of dropped events by event name."""
        counts = {
            event_class.name(): count for event_class, count in self._dropped.items()
        }
        self._dropped.clear()
        return counts
