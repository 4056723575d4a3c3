"""What other instances tell of how far they have read a topic."""

import asyncio
import random
from collections.abc import Callable

from carobladder.clock import Clock

__all__ = ["PeerProgress"]

# So many instances on average read again without being told to, whatever the size of
# the fleet, since all of them may have missed the same record.
_CONFIRMING_INSTANCES = 6.0
# A waiting read usually answers within this time of another instance's.
_CATCH_UP_SECONDS = 0.2


class PeerProgress:
    """Tell when a waiting read has probably missed a record.

    Without news of other instances it must be supposed after ``confirm_seconds``.
    """

    def __init__(
        self,
        clock: Clock,
        generator: random.Random,
        confirm_seconds: float,
        count_peers: Callable[[], int],
    ) -> None:
        self._clock = clock
        self._generator = generator
        self._confirm_seconds = confirm_seconds
        self._count_peers = count_peers
        self._heard_at = float("-inf")
        self._end = 0
        self._told = asyncio.Event()

    def note_end(self, end: int) -> None:
        """Take the offset after the last record that another instance knows."""
        self._heard_at = self._clock.monotonic()
        self._end = max(self._end, end)
        self._told.set()

    def forget(self) -> None:
        """Forget what was told, because the topic may have lost its history."""
        self._end = 0

    async def wait_until_behind(self, next_offset: int) -> None:
        """Return once a record from this offset on was probably missed."""
        began = self._clock.monotonic()
        if not await self._wait_for_end_after(next_offset, self._confirm_seconds):
            heard = self._heard_at > began
            if not heard or self._is_drawn():
                return
            await self._wait_for_end_after(next_offset, None)
        await self._clock.sleep(_CATCH_UP_SECONDS)

    async def _wait_for_end_after(
        self, next_offset: int, seconds: float | None
    ) -> bool:
        """Wait until a later end was told; tell whether that was within the time."""
        if seconds is None:
            await self._listen(next_offset)
            return True
        listening = asyncio.ensure_future(self._listen(next_offset))
        timer = asyncio.ensure_future(self._clock.sleep(seconds))
        try:
            await asyncio.wait({listening, timer}, return_when=asyncio.FIRST_COMPLETED)
            return listening.done()
        finally:
            listening.cancel()
            timer.cancel()

    async def _listen(self, next_offset: int) -> None:
        while self._end <= next_offset:
            self._told.clear()
            await self._told.wait()

    def _is_drawn(self) -> bool:
        share = _CONFIRMING_INSTANCES / (self._count_peers() + 1)
        return self._generator.random() < share
