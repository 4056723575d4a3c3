"""Times that the requests of each route have taken lately."""

import itertools
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from carobladder.clock import Clock

__all__ = ["RouteDurations"]

# A duration is remembered for one to two windows.
_WINDOW_SECONDS = 30.0
_MAX_ROUTES = 4000


@dataclass(slots=True)
class _Window:
    """Longest durations, and the routes of which some request has ended."""

    longest: dict[str, float] = field(default_factory=dict)
    ended: set[str] = field(default_factory=set)


class RouteDurations:
    """Longest durations of the requests of each route in the last windows."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._window_began = clock.monotonic()
        self._window = _Window()
        self._window_before = _Window()
        # For each route when its running requests were received, the oldest first.
        self._running: dict[str, dict[int, float]] = {}
        self._numbers = itertools.count()

    @contextmanager
    def track(self, route: str, received: float) -> Iterator[None]:
        """Count a request as running, received at a monotonic time in seconds."""
        number = next(self._numbers)
        running = self._running.setdefault(route, {})
        running[number] = received
        try:
            yield
        finally:
            del running[number]
            if not running and self._running.get(route) is running:
                del self._running[route]

    def note(self, route: str, seconds: float, *, has_ended: bool = True) -> None:
        """Record how long a request has taken, from its first byte, in seconds.

        One that was left before its end tells nothing of a route by itself.
        """
        self._renew_window()
        longest = self._window.longest
        if len(longest) >= _MAX_ROUTES and route not in longest:
            return
        longest[route] = max(seconds, longest.get(route, 0.0))
        if has_ended:
            self._window.ended.add(route)

    def find_longest(self, route: str) -> float | None:
        """Return the longest duration in seconds, or None if none has ended recently.

        Those of requests that still run count up to now.
        """
        self._renew_window()
        windows = (self._window, self._window_before)
        if not any(route in each.ended for each in windows):
            return None
        longest = max(each.longest.get(route, 0.0) for each in windows)
        if running := self._running.get(route):
            oldest = next(iter(running.values()))
            longest = max(longest, self._clock.monotonic() - oldest)
        return longest

    def _renew_window(self) -> None:
        now = self._clock.monotonic()
        age = now - self._window_began
        if age < _WINDOW_SECONDS:
            return
        is_recent = age < 2 * _WINDOW_SECONDS
        self._window_before = self._window if is_recent else _Window()
        self._window = _Window()
        self._window_began = now
