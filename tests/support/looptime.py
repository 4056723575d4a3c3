"""Event loop whose time is virtual, although its sockets are real."""

import asyncio
import functools
import selectors
import time
from collections.abc import Callable, Coroutine
from datetime import UTC, datetime, timedelta
from typing import Any

# Virtual time runs at most this much faster than real time, so that a busy machine
# still delivers what another socket of the loop has sent before the time moves on.
_MAX_SPEED = 20.0
_DELIVERY_SECONDS = 0.001
# Real time to wait for sockets while no timer runs.
_IDLE_SECONDS = 0.05
_START = datetime(2026, 1, 1, tzinfo=UTC)


class _JumpingSelector(selectors.DefaultSelector):
    """Selector that moves the loop's time instead of waiting for a timer."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self._started_at = time.monotonic()

    def select(self, timeout=None):
        """Return the ready sockets; move the time by ``timeout`` if there are none."""
        ready = super().select(0)
        if ready or (timeout is not None and timeout <= 0):
            return ready
        if timeout is None:
            return super().select(_IDLE_SECONDS)
        is_fast = self.now > (time.monotonic() - self._started_at) * _MAX_SPEED
        ready = super().select(_DELIVERY_SECONDS if is_fast else 0)
        if not ready:
            self.now += timeout
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Loop whose time moves only while no callback and no socket is ready.

    A busy machine makes a run longer, but does not change the order of its events.
    """

    def __init__(self) -> None:
        self._jumping_selector = _JumpingSelector()
        super().__init__(self._jumping_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._jumping_selector.now

    def hold(self, seconds: float) -> None:
        """Let time pass in the running callback, while sockets and timers wait."""
        self._jumping_selector.now += seconds

    def hold_after(self, iterations: int, seconds: float) -> None:
        """Hold the loop after a number of its iterations."""
        if iterations:
            self.call_soon(self.hold_after, iterations - 1, seconds)
        else:
            self.hold(seconds)


def in_virtual_time(
    test: Callable[[Any], Coroutine[Any, Any, None]],
) -> Callable[[Any], None]:
    """Run an asynchronous test on a virtual time loop of its own."""

    @functools.wraps(test)
    def run(case: Any) -> None:
        with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
            runner.run(test(case))

    return run


class LoopClock:
    """Clock that follows the time of a loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def now(self) -> datetime:
        """Return the virtual time in UTC."""
        return _START + timedelta(seconds=self._loop.time())

    def monotonic(self) -> float:
        """Return the virtual seconds since the start."""
        return self._loop.time()

    def boottime(self) -> float:
        """Return the virtual seconds since the start."""
        return self._loop.time()

    async def sleep(self, seconds: float) -> None:
        """Wait in virtual time."""
        await asyncio.sleep(seconds)
