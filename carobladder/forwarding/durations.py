"""Times that the requests of each route have taken lately."""

from carobladder.clock import Clock

__all__ = ["RouteDurations"]

# A duration is remembered for one to two windows.
_WINDOW_SECONDS = 30.0
_MAX_ROUTES = 4000


class RouteDurations:
    """Longest durations of the requests of each route in the last windows."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._window_began = clock.monotonic()
        self._longest: dict[str, float] = {}
        self._longest_before: dict[str, float] = {}

    def note(self, route: str, seconds: float) -> None:
        """Record how long a request has taken, from its first byte, in seconds."""
        self._renew_window()
        if len(self._longest) >= _MAX_ROUTES and route not in self._longest:
            return
        self._longest[route] = max(seconds, self._longest.get(route, 0.0))

    def find_longest(self, route: str) -> float | None:
        """Return the longest duration in seconds, or None without recent requests."""
        self._renew_window()
        windows = (self._longest, self._longest_before)
        return max((each[route] for each in windows if route in each), default=None)

    def _renew_window(self) -> None:
        now = self._clock.monotonic()
        age = now - self._window_began
        if age < _WINDOW_SECONDS:
            return
        self._longest_before = self._longest if age < 2 * _WINDOW_SECONDS else {}
        self._longest = {}
        self._window_began = now
