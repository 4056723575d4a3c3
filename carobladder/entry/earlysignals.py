"""Signals that arrive before the program is loaded and its event loop handles them.

Only the standard library is imported here, as the handlers are set first of all.
"""

import signal
import time
from types import FrameType

__all__ = ["EarlySignals"]

_NUMBERS = (signal.SIGTERM, signal.SIGHUP)


class EarlySignals:
    """Record of the first SIGTERM and SIGHUP; by default either ends the process.

    It receives them until an event loop sets its own handlers.
    """

    def __init__(self) -> None:
        self._times: dict[int, float] = {}
        for number in _NUMBERS:
            signal.signal(number, self._note)

    def find_time(self, number: int) -> float | None:
        """Return when the signal arrived, in monotonic seconds, or None."""
        return self._times.get(number)

    def _note(self, number: int, frame: FrameType | None) -> None:
        self._times.setdefault(number, time.monotonic())
