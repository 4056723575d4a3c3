"""Drive asyncio tasks in virtual time."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from carobladder.clock import VirtualClock

_SETTLE_ROUNDS = 30


async def settle() -> None:
    """Let every task that can run now run."""
    for _ in range(_SETTLE_ROUNDS):
        await asyncio.sleep(0)


async def drive(clock: VirtualClock, work: Coroutine[Any, Any, Any]) -> Any:
    """Advance the clock from sleeper to sleeper until the work is done."""
    task = asyncio.ensure_future(work)
    await settle()
    while not task.done():
        if not clock.advance_to_next():
            raise AssertionError("deadlock: no task can run and no sleeper waits")
        await settle()
    return task.result()
