"""Clock interface, the system clock and a virtual clock."""

import asyncio
import heapq
import itertools
import time
from collections.abc import Coroutine
from datetime import UTC, datetime, timedelta
from typing import Any, Protocol, TypeVar

__all__ = ["Clock", "SystemClock", "VirtualClock", "run_with_timeout"]


_T = TypeVar("_T")


class Clock(Protocol):
    """Give the time and wait for it to pass."""

    def now(self) -> datetime:
        """Return the current time in UTC."""

    def monotonic(self) -> float:
        """Return seconds from an arbitrary start; never goes back."""

    def boottime(self) -> float:
        """Return seconds that also count while the machine is suspended."""

    async def sleep(self, seconds: float) -> None:
        """Wait for the given number of seconds."""


class SystemClock:
    """Read the clock of the operating system."""

    def now(self) -> datetime:
        """Return the current time in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> float:
        """Return seconds from an arbitrary start; never goes back."""
        return time.monotonic()

    def boottime(self) -> float:
        """Return seconds that also count while the machine is suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    async def sleep(self, seconds: float) -> None:
        """Wait for the given number of seconds."""
        await asyncio.sleep(seconds)


class VirtualClock:
    """Advance only when told, so that a test's verdict needs no wall time."""

    def __init__(self, start: datetime | None = None) -> None:
        self._start = start or datetime(2026, 1, 1, tzinfo=UTC)
        self._elapsed_seconds = 0.0
        self._order = itertools.count()
        self._sleepers: list[tuple[float, int, asyncio.Future[None]]] = []
        self._suspended_seconds = 0.0

    def now(self) -> datetime:
        """Return the virtual time in UTC."""
        return self._start + timedelta(seconds=self._elapsed_seconds)

    def monotonic(self) -> float:
        """Return the virtual seconds since the start."""
        return self._elapsed_seconds

    def boottime(self) -> float:
        """Return the virtual seconds since the start, suspensions included."""
        return self._elapsed_seconds + self._suspended_seconds

    def suspend(self, seconds: float) -> None:
        """Let time pass that only ``boottime`` counts."""
        self._suspended_seconds += seconds

    async def sleep(self, seconds: float) -> None:
        """Wait until the virtual time was advanced by the given seconds."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        due = self._elapsed_seconds + seconds
        heapq.heappush(self._sleepers, (due, next(self._order), future))
        await future

    def advance(self, seconds: float) -> None:
        """Move the time forward and wake the sleepers that are due."""
        self._elapsed_seconds += seconds
        while self._sleepers and self._sleepers[0][0] <= self._elapsed_seconds:
            _, _, future = heapq.heappop(self._sleepers)
            if not future.done():
                future.set_result(None)

    def advance_to_next(self) -> bool:
        """Move to the earliest waiting sleeper; return False if there is none."""
        while self._sleepers and self._sleepers[0][2].done():
            heapq.heappop(self._sleepers)
        if not self._sleepers:
            return False
        self.advance(max(0.0, self._sleepers[0][0] - self._elapsed_seconds))
        return True


async def run_with_timeout(
    clock: Clock, work: Coroutine[Any, Any, _T], seconds: float
) -> _T:
    """Return the result of ``work``; cancel it when the clock's time is up.

    Raises TimeoutError. Unlike asyncio.timeout it follows the given clock.
    """
    task = asyncio.ensure_future(work)
    timer = asyncio.ensure_future(clock.sleep(seconds))
    try:
        await asyncio.wait({task, timer}, return_when=asyncio.FIRST_COMPLETED)
        if not task.done():
            raise TimeoutError(f"no result within {seconds} s")
        return task.result()
    finally:
        timer.cancel()
        task.cancel()
