"""Limit of the lines that one kind of event may write."""

from carobladder.telemetry.events import Event

__all__ = ["EventLimiter"]

LINES_PER_SECOND = 50.0
BURST_LINES = 200.0


class EventLimiter:
    """Let limited events through at a rate for each kind and count the others."""

    def __init__(
        self, per_second: float = LINES_PER_SECOND, burst: float = BURST_LINES
    ) -> None:
        self._per_second = per_second
        self._burst = burst
        self._tokens: dict[type[Event], tuple[float, float]] = {}
        self._left_out: dict[type[Event], int] = {}

    def admit(self, event: Event, now: float) -> bool:
        """Tell whether the event is written; ``now`` is in monotonic seconds."""
        kind = type(event)
        if not kind.limited:
            return True
        tokens, updated = self._tokens.get(kind, (self._burst, now))
        tokens = min(self._burst, tokens + (now - updated) * self._per_second)
        admitted = tokens >= 1.0
        self._tokens[kind] = (tokens - 1.0 if admitted else tokens, now)
        if not admitted:
            self._left_out[kind] = self._left_out.get(kind, 0) + 1
        return admitted

    def take_left_out(self) -> dict[str, int]:
        """Return how many events of each kind were left out since the last call."""
        left_out = {kind.name(): count for kind, count in self._left_out.items()}
        self._left_out.clear()
        return left_out
