"""Waiting that another task can end."""

import asyncio

from carobladder.clock import Clock

__all__ = ["WakeUp"]


class WakeUp:
    """Event that ends the wait of one task early."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._event = asyncio.Event()

    def set(self) -> None:
        """End the present wait, or the next one at once."""
        self._event.set()

    async def wait(self, seconds: float) -> None:
        """Wait until the time has passed or the event is set, and clear it."""
        wake_up = asyncio.ensure_future(self._event.wait())
        timer = asyncio.ensure_future(self._clock.sleep(seconds))
        try:
            await asyncio.wait({wake_up, timer}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self._event.clear()
            wake_up.cancel()
            timer.cancel()
