"""Start of the process, and what arrives before the program is loaded.

Only the standard library is imported here, as the handler is set first of all.
"""

import signal
import time
from types import FrameType

__all__ = ["ProcessStart"]


class ProcessStart:
    """Record of the start of the process, and of a SIGHUP that arrives since.

    SIGHUP would end the process by default; it is recorded until an event loop handles
    it. SIGTERM keeps its default action as long: a process that has not listened yet
    owes no response. ``began`` is in monotonic seconds.
    """

    def __init__(self) -> None:
        self.began = time.monotonic()
        self.reload_requested = False
        signal.signal(signal.SIGHUP, self._note_reload)

    def _note_reload(self, number: int, frame: FrameType | None) -> None:
        self.reload_requested = True
