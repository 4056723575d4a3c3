"""Timers that end nothing whose end waits in the event loop."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

__all__ = ["LateTimer", "timeout_after_turns"]

# Iterations of the event loop from a socket that is connected to the end of the wait.
_ITERATIONS = 4


class LateTimer:
    """Timer that runs a few iterations of the event loop after its time.

    A loop that was held beyond that time first handles what its sockets have ready.
    ``when`` is in the event loop's time.
    """

    def __init__(self, when: float, callback: Callable[[], None]) -> None:
        self._loop = asyncio.get_running_loop()
        self._when = when
        self._has_run = False
        self._callback = callback
        self._handle: asyncio.Handle = self._loop.call_at(when, self._wait, _ITERATIONS)

    def cancel(self) -> None:
        """Leave the callback out."""
        self._handle.cancel()

    def finish(self) -> None:
        """Run the callback now if only its iterations are left."""
        if not self._has_run and self._loop.time() >= self._when:
            self.cancel()
            self._run()

    def _run(self) -> None:
        self._has_run = True
        self._callback()

    def _wait(self, iterations: int) -> None:
        if iterations:
            self._handle = self._loop.call_soon(self._wait, iterations - 1)
        else:
            self._run()


@asynccontextmanager
async def timeout_after_turns(deadline: float) -> AsyncIterator[None]:
    """Raise TimeoutError after a time of the event loop, unless the end has come."""
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as timeout:
        timer = LateTimer(deadline, lambda: timeout.reschedule(loop.time()))
        try:
            yield
        finally:
            timer.cancel()
