"""End of the time in which lost writes are written again to a restored store."""

import asyncio
import math
from collections.abc import Callable

from carobladder.clock import Clock
from carobladder.eras.appliers import RecordApplier
from carobladder.fleet import Freshness
from carobladder.telemetry import StoreKeysSettled, emit

__all__ = ["KeySettler"]

# Targets and operators write again what was lost within this time, in which an instance
# that is told of the new era by others may also be late to read it.
_REWRITE_SECONDS = 2.5
_POLL_SECONDS = 0.2


class KeySettler:
    """Settles the keys of a topic once all that is written again must be known.

    ``progress`` tells up to which time the records of the store were read, and
    ``on_settled`` is called afterwards.
    """

    def __init__(
        self,
        topic: str,
        applier: RecordApplier,
        progress: Freshness,
        clock: Clock,
        on_settled: Callable[[], None] = lambda: None,
    ) -> None:
        self._topic = topic
        self._applier = applier
        self._progress = progress
        self._clock = clock
        self._on_settled = on_settled
        self._task: asyncio.Task[None] | None = None
        self._due_at = math.inf

    @property
    def due_at(self) -> float:
        """Time, in seconds of boot time, whose records are still to be read, or inf."""
        return self._due_at if self._progress.synced_at < self._due_at else math.inf

    @property
    def is_running(self) -> bool:
        """Whether lost writes may still be written again."""
        return self._due_at < math.inf

    def start(self) -> None:
        """Begin the time anew, as all keys were read from a restored store."""
        self.stop()
        self._due_at = self._clock.boottime() + _REWRITE_SECONDS
        self._task = asyncio.create_task(self._settle_later())

    def stop(self) -> None:
        """Settle nothing."""
        if self._task is not None:
            self._task.cancel()
            self._task = None
        self._due_at = math.inf

    async def _settle_later(self) -> None:
        await self._clock.sleep(_REWRITE_SECONDS)
        while self._progress.synced_at < self._due_at:
            await self._clock.sleep(_POLL_SECONDS)
        self._due_at = math.inf
        emit(StoreKeysSettled(self._topic, self._applier.settle()))
        self._on_settled()
