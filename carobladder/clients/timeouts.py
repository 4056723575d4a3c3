"""Timeout that ends nothing whose end waits in the event loop."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

__all__ = ["timeout_after_turns"]

# Iterations of the event loop from a socket that is connected to the end of the wait.
_ITERATIONS = 4


class _Expiry:
    """End of a timeout a few iterations after its deadline."""

    def __init__(self, timeout: asyncio.Timeout, deadline: float) -> None:
        self._timeout = timeout
        self._loop = asyncio.get_running_loop()
        self._handle: asyncio.Handle = self._loop.call_at(
            deadline, self._wait, _ITERATIONS
        )

    def cancel(self) -> None:
        """Leave the timeout without an end."""
        self._handle.cancel()

    def _wait(self, iterations: int) -> None:
        if iterations:
            self._handle = self._loop.call_soon(self._wait, iterations - 1)
        else:
            self._timeout.reschedule(self._loop.time())


@asynccontextmanager
async def timeout_after_turns(deadline: float) -> AsyncIterator[None]:
    """Raise TimeoutError after a time of the event loop, unless the end has come.

    A loop that was held beyond the deadline first handles what its sockets have ready.
    """
    async with asyncio.timeout(None) as timeout:
        expiry = _Expiry(timeout, deadline)
        try:
            yield
        finally:
            expiry.cancel()
