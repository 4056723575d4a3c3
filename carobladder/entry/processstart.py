"""Start of the process, and what arrives before the program is loaded.

Only the standard library is imported here, as the handler is set first of all.
"""

import os
import signal
import time
from types import FrameType

__all__ = ["ProcessStart"]

_FIRST_PROCESS_ID = 1
# Exit statuses of processes that a signal ends begin here in a shell and in containers.
_SIGNAL_STATUS = 128


class ProcessStart:
    """Record of the start of the process, and of a SIGHUP that arrives since.

    SIGHUP would end the process by default; it is recorded until an event loop handles
    it. SIGTERM keeps its default action as long: a process that has not listened yet
    owes no response. The first process of a container ends by a handler, as the kernel
    drops the signals that such a process does not handle. ``began`` is in monotonic
    seconds.
    """

    def __init__(self) -> None:
        self.began = time.monotonic()
        self.reload_requested = False
        signal.signal(signal.SIGHUP, self._note_reload)
        if os.getpid() == _FIRST_PROCESS_ID:
            signal.signal(signal.SIGTERM, _end)

    def _note_reload(self, number: int, frame: FrameType | None) -> None:
        self.reload_requested = True


def _end(number: int, frame: FrameType | None) -> None:
    """End the process, as the default action of the signal would."""
    os._exit(_SIGNAL_STATUS + number)
