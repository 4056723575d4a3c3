"""Start of the process, and signals that arrive before the program is loaded.

Only the standard library is imported here, as the handlers are set first of all.
"""

import os
import signal
import time
from types import FrameType

from carobladder.entry.earlylistener import EarlyListener

__all__ = ["ProcessStart"]


class ProcessStart:
    """Record of the start of the process, until an event loop handles its signals.

    SIGHUP, which would end the process by default, is recorded. SIGTERM refuses the
    callers that wait, and ends the process. ``began`` is in monotonic seconds.
    """

    def __init__(self) -> None:
        self.began = time.monotonic()
        self.reload_requested = False
        self.listener: EarlyListener | None = None
        signal.signal(signal.SIGHUP, self._note_reload)
        signal.signal(signal.SIGTERM, self._end)

    def listen(self) -> None:
        """Let callers connect while the program loads, but not for long.

        SIGTERM waits meanwhile: its handler could not refuse a caller of a listener
        that it does not know yet.
        """
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM})
        try:
            self.listener = EarlyListener()
        finally:
            signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGTERM})

    def _note_reload(self, number: int, frame: FrameType | None) -> None:
        self.reload_requested = True

    def _end(self, number: int, frame: FrameType | None) -> None:
        if self.listener is not None:
            self.listener.end()
        os._exit(0)
