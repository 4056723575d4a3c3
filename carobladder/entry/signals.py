"""Signals that arrive while the program loads.

Only the standard library is imported here, as a program holds signals before it loads
the rest.
"""

import signal
from collections.abc import Collection
from types import FrameType

__all__ = ["hold_signals"]

_HELD = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def hold_signals() -> Collection[int]:
    """Note signals instead of ending the process; return the numbers noted so far.

    The collection grows until the event loop's handlers replace these.
    """
    noted: list[int] = []

    def note(number: int, frame: FrameType | None) -> None:
        noted.append(number)

    for number in _HELD:
        signal.signal(number, note)
    return noted
