"""Load reports that lag behind the engine's state."""

from collections import deque
from typing import Any

from carobladder.clock import Clock

__all__ = ["LaggingReports"]


class LaggingReports:
    """Keep reports of the recent past and show the one of some time ago."""

    def __init__(self, clock: Clock, lag_seconds: float) -> None:
        self._clock = clock
        self._lag_seconds = lag_seconds
        self._reports: deque[tuple[float, dict[str, Any]]] = deque()

    def record(self, report: dict[str, Any]) -> None:
        """Add the state as of now."""
        if not self._reports or self._reports[-1][1] != report:
            self._reports.append((self._clock.monotonic(), report))
        self._drop_old()

    def show(self) -> dict[str, Any]:
        """Return the newest report that is old enough, or else the oldest."""
        self._drop_old()
        return self._reports[0][1]

    def _drop_old(self) -> None:
        limit = self._clock.monotonic() - self._lag_seconds
        while len(self._reports) > 1 and self._reports[1][0] <= limit:
            self._reports.popleft()
