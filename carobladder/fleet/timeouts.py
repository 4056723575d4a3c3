"""First-byte latencies of routes and the timeouts that follow from them."""

from carobladder.fleet.targets import FleetTarget

__all__ = ["RouteLatencies"]

_SMOOTHING_FACTOR = 0.15
# A target that has not begun to answer after this multiple of the usual time, and at
# least the minimum, is probably unreachable.
_TIMEOUT_FACTOR = 4.0
_MIN_TIMEOUT_SECONDS = 0.4
# An engine that processes several long prompts at once may send nothing for this long.
_MIN_PROMPT_TIMEOUT_SECONDS = 1.0
_MAX_ROUTES = 4000


class RouteLatencies:
    """Running averages of first-byte latency per route, to derive timeouts.

    While a route has no response yet, its latency is estimated by the longest time that
    one of its requests waited for a target that responded to other requests.
    """

    def __init__(self) -> None:
        self._answered: dict[str, float] = {}
        self._unanswered: dict[str, float] = {}

    def note_answer(self, route: str, seconds: float) -> None:
        """Record the time to the first byte of an answer, in seconds."""
        self._unanswered.pop(route, None)
        if len(self._answered) >= _MAX_ROUTES and route not in self._answered:
            self._answered.clear()
        usual = self._answered.get(route, seconds)
        self._answered[route] = usual + _SMOOTHING_FACTOR * (seconds - usual)

    def note_unanswered(self, route: str, seconds: float) -> None:
        """Record a request that got no response in time from a responsive target."""
        if route in self._answered:
            return
        if len(self._unanswered) >= _MAX_ROUTES:
            self._unanswered.clear()
        self._unanswered[route] = max(seconds, self._unanswered.get(route, 0.0))

    def choose_first_byte_timeout(
        self, route: str, target: FleetTarget, *, reads_prompt: bool
    ) -> float:
        """Return the seconds after which a silent target is considered unreachable."""
        route_latency = self._answered.get(route, self._unanswered.get(route, 0.0))
        usual = max(route_latency, target.health.first_byte_seconds)
        minimum = _MIN_PROMPT_TIMEOUT_SECONDS if reads_prompt else _MIN_TIMEOUT_SECONDS
        return max(minimum, usual * _TIMEOUT_FACTOR)
