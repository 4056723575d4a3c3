"""Second attempts of calls that must have an answer within a short time."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from carobladder.clock import Clock
from carobladder.exceptions import LogUnavailableError

__all__ = ["run_hedged"]

_T = TypeVar("_T")


async def run_hedged(
    clock: Clock,
    attempt: Callable[[], Awaitable[_T]],
    delay_seconds: float,
    on_second: Callable[[str], None],
) -> _T:
    """Return the result of the first of at most two attempts that succeeds.

    The second one starts when the first has failed, or has no result after
    ``delay_seconds``; ``on_second`` is called with the reason. Raises
    LogUnavailableError if both fail, and any other error of an attempt at once.
    """
    tasks = [asyncio.ensure_future(attempt())]
    timer = asyncio.ensure_future(clock.sleep(delay_seconds))
    try:
        await asyncio.wait({tasks[0], timer}, return_when=asyncio.FIRST_COMPLETED)
        if not (tasks[0].done() and _is_final(tasks[0])):
            on_second(_explain_second(tasks[0], delay_seconds))
            tasks.append(asyncio.ensure_future(attempt()))
        pending = {task for task in tasks if not task.done()}
        while pending:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            if any(_is_final(task) for task in done):
                break
        finished = [task for task in tasks if task.done()]
        return next((t for t in finished if _is_final(t)), finished[-1]).result()
    finally:
        timer.cancel()
        for task in tasks:
            task.cancel()
        # Retrieves the error of an attempt whose result is not used.
        await asyncio.gather(*tasks, return_exceptions=True)


def _explain_second(first: asyncio.Future[_T], delay_seconds: float) -> str:
    if first.done():
        return str(first.exception())
    return f"no answer within {delay_seconds:.2f} s"


def _is_final(task: asyncio.Future[_T]) -> bool:
    """Return whether a finished attempt makes another one needless."""
    return not isinstance(task.exception(), LogUnavailableError)
