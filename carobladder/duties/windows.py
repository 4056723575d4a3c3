"""Windows of true time, and the usage that an instance counts in them."""

import math
from collections.abc import Callable
from statistics import median_low

from carobladder.clock import Clock

__all__ = ["FleetTime", "UsageCounter", "compute_fleet_difference"]

# A wall clock that differs by more than this from the time kept here was stepped.
_MAX_SLEW_SECONDS = 0.05
# A difference from the median of the fleet that messages and clocks do not explain.
_MIN_CORRECTION_SECONDS = 0.3
# Differences of this many instances at least are needed to speak of the fleet.
_MIN_REPORTED_DIFFERENCES = 3
# Windows of which the counts are kept until they are recorded.
_MAX_KEPT_WINDOWS = 12


class FleetTime:
    """Estimate of true time in Unix seconds, which no step of a wall clock moves.

    It runs with the clock that also counts while the machine is suspended. It follows
    small changes of the wall clock, and the median of the fleet.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._offset_seconds = self._read_offset()

    def now(self) -> float:
        """Return the estimate of the time."""
        self._follow_wall_clock()
        return self.at(self._clock.boottime())

    def at(self, boottime: float) -> float:
        """Return the estimate of the time at a moment of boot time."""
        return boottime + self._offset_seconds

    def correct(self, difference_seconds: float) -> float:
        """Add a difference from the fleet if it is large; return what was added."""
        if abs(difference_seconds) < _MIN_CORRECTION_SECONDS:
            return 0.0
        self._offset_seconds += difference_seconds
        return difference_seconds

    def _follow_wall_clock(self) -> None:
        offset_seconds = self._read_offset()
        if abs(offset_seconds - self._offset_seconds) <= _MAX_SLEW_SECONDS:
            self._offset_seconds = offset_seconds

    def _read_offset(self) -> float:
        return self._clock.now().timestamp() - self._clock.boottime()


def compute_fleet_difference(differences: list[float]) -> float | None:
    """Return how far the fleet's time is ahead of an instance's, None if few tell."""
    if len(differences) < _MIN_REPORTED_DIFFERENCES:
        return None
    return median_low([*differences, 0.0])


class UsageCounter:
    """Requests that targets began to run, by window and team, of one instance.

    ``on_lost`` is called with a window whose counts were dropped unrecorded.
    """

    def __init__(self, time: FleetTime, window_seconds: float) -> None:
        self._time = time
        self._window_seconds = window_seconds
        self._counts: dict[int, dict[str, int]] = {}
        self._recorded = -1
        self.on_lost: Callable[[int], None] = lambda window: None

    @property
    def window_seconds(self) -> float:
        """Length of a window."""
        return self._window_seconds

    def count(self, team: str) -> None:
        """Count a request that a target has begun to run; none without a team."""
        if not team:
            return
        counts = self._counts.setdefault(self.find_window(self._time.now()), {})
        counts[team] = counts.get(team, 0) + 1

    def find_window(self, at: float) -> int:
        """Return the window that contains a time."""
        return math.floor(at / self._window_seconds)

    def find_end(self, window: int) -> float:
        """Return the time at which a window ends."""
        return (window + 1) * self._window_seconds

    def list_finished(
        self, *, include_current: bool = False
    ) -> dict[int, dict[str, int]]:
        """Return the counts of the windows that have ended and are not recorded.

        A window without requests that has just ended is included, so that the holder
        knows that nothing is missing.
        """
        current = self.find_window(self._time.now())
        self._drop(current - _MAX_KEPT_WINDOWS)
        last = current if include_current else current - 1
        finished = {
            window: counts
            for window, counts in self._counts.items()
            if self._recorded < window <= last
        }
        if self._recorded < current - 1:
            finished.setdefault(current - 1, {})
        return finished

    def note_recorded(self, window: int) -> None:
        """Drop the counts of the windows up to one that is recorded."""
        if window > self.find_window(self._time.now()):
            return
        self._recorded = max(self._recorded, window)
        self._counts = {
            key: counts for key, counts in self._counts.items() if key > self._recorded
        }

    def _drop(self, before: int) -> None:
        for window in [window for window in self._counts if window < before]:
            del self._counts[window]
            self.on_lost(window)
