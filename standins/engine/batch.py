"""Step loop of continuous batching."""

import asyncio
import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

from carobladder.clock import Clock
from standins.engine.options import EngineOptions

__all__ = ["Batch", "Sequence"]


@dataclass(eq=False, slots=True)
class Sequence:
    """Follow one request through the batch.

    ``ready`` receives an item for each token that a step produced.
    """

    priority: int
    weight: int
    prefill: int  # uncached tokens that are still to be processed
    remaining: int  # tokens that are still to be generated
    ready: asyncio.Queue[None] = field(default_factory=asyncio.Queue)
    cancelled: bool = False


class Batch:
    """Run steps; a step's time grows with the batch and its uncached tokens."""

    def __init__(
        self,
        options: EngineOptions,
        clock: Clock,
        step_factor: Callable[[], float],
        worked: Callable[[int], None],
    ) -> None:
        self._options = options
        self._clock = clock
        self._step_factor = step_factor
        self._worked = worked
        self._order = itertools.count()
        self._waiting: list[tuple[int, int, Sequence]] = []
        self._running: list[Sequence] = []
        self._added = asyncio.Event()

    @property
    def running(self) -> int:
        """Return the number of running requests."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return sum(not sequence.cancelled for _, _, sequence in self._waiting)

    @property
    def weight(self) -> int:
        """Return the slots of all running and waiting requests."""
        waiting = (s.weight for _, _, s in self._waiting if not s.cancelled)
        return sum(s.weight for s in self._running) + sum(waiting)

    def add(self, sequence: Sequence) -> None:
        """Queue a request; a smaller priority number runs first."""
        entry = (sequence.priority, next(self._order), sequence)
        heapq.heappush(self._waiting, entry)
        self._added.set()

    def cancel(self, sequence: Sequence) -> None:
        """Remove a request that is running or waiting."""
        sequence.cancelled = True
        if sequence in self._running:
            self._running.remove(sequence)

    async def run(self) -> None:
        """Run steps for ever."""
        while True:
            self._admit()
            if not self._running:
                self._added.clear()
                await self._added.wait()
                continue
            prefilled = self._prefill()
            await self._clock.sleep(self._step_seconds(prefilled))
            self._worked(prefilled + self._generate())

    def _admit(self) -> None:
        used = sum(sequence.weight for sequence in self._running)
        while self._waiting:
            sequence = self._waiting[0][2]
            fits = used + sequence.weight <= self._options.slots
            if not sequence.cancelled and not fits and self._running:
                return
            heapq.heappop(self._waiting)
            if not sequence.cancelled:
                self._running.append(sequence)
                used += sequence.weight

    def _prefill(self) -> int:
        budget = self._options.prefill_tokens_per_step
        for sequence in self._running:
            share = min(budget, sequence.prefill)
            sequence.prefill -= share
            budget -= share
        return self._options.prefill_tokens_per_step - budget

    def _step_seconds(self, prefilled: int) -> float:
        options = self._options
        work_ms = (
            options.step_ms
            + options.step_ms_per_request * len(self._running)
            + options.prefill_ms_per_token * prefilled
        )
        return work_ms / 1000 * self._step_factor() / options.speed

    def _generate(self) -> int:
        producing = [s for s in self._running if s.prefill == 0]
        for sequence in producing:
            sequence.remaining -= 1
            sequence.ready.put_nowait(None)
            if sequence.remaining <= 0:
                self._running.remove(sequence)
        return len(producing)
