"""Start of the process, and signals that arrive before the program is loaded.

Only the standard library is imported here, as the handlers are set first of all.
"""

import signal
import time
from types import FrameType

__all__ = ["ProcessStart"]

_NUMBERS = (signal.SIGTERM, signal.SIGHUP)


class ProcessStart:
    """Record of the start of the process and of the first SIGTERM and SIGHUP since.

    By default either signal ends the process. They are recorded until an event loop
    sets its own handlers. ``began`` is in monotonic seconds.
    """

    def __init__(self) -> None:
        self.began = time.monotonic()
        self._times: dict[int, float] = {}
        for number in _NUMBERS:
            signal.signal(number, self._note)

    def find_time(self, number: int) -> float | None:
        """Return when the signal arrived, in monotonic seconds, or None."""
        return self._times.get(number)

    def _note(self, number: int, frame: FrameType | None) -> None:
        self._times.setdefault(number, time.monotonic())
