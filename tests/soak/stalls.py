"""Times in which a busy machine gives processes no turn."""

import asyncio
import time
from collections.abc import Callable
from pathlib import Path

from tests.soak.records import Stall

__all__ = ["sum_stalls", "watch_stalls"]

_TURN_SECONDS = 0.05
_STALL_SECONDS = 0.3
_NS_PER_SECOND = 1e9


async def watch_stalls(
    stalls: list[Stall], started: float, list_processes: Callable[[], dict[str, int]]
) -> None:
    """Add the stalls of this process and of the instances until cancelled.

    ``started`` is the start of the run in monotonic seconds; ``list_processes`` returns
    the process id of each instance that runs.
    """
    waits: dict[int, float] = {}
    while True:
        began = time.monotonic() - started
        await asyncio.sleep(_TURN_SECONDS)
        now = time.monotonic() - started
        if now - began > _STALL_SECONDS:
            stalls.append(Stall("", began, now))
        for name, pid in list_processes().items():
            wait = _read_wait(pid)
            # What a process waited for before the first look was no part of the run.
            stalled = wait - waits.get(pid, wait)
            waits[pid] = wait
            if stalled > _STALL_SECONDS:
                stalls.append(Stall(name, began - stalled, now))


def sum_stalls(stalls: list[Stall], instance: str, began: float, ended: float) -> float:
    """Return for how many seconds of a time an instance or the soak got no turn."""
    total, until = 0.0, began
    for stall in sorted(stalls, key=lambda each: each.began):
        if stall.instance in ("", instance):
            last = min(stall.ended, ended)
            total += max(0.0, last - max(stall.began, until))
            until = max(until, last)
    return total


def _read_wait(pid: int) -> float:
    """Return for how many seconds a process was ready to run and did not.

    The kernel adds the time when the process gets its turn.
    """
    try:
        text = Path(f"/proc/{pid}/schedstat").read_text(encoding="ascii")
    except OSError:
        return 0.0
    return int(text.split()[1]) / _NS_PER_SECOND
