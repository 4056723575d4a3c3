"""In-memory log with faults, in virtual time."""

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from carobladder.clock import VirtualClock
from carobladder.exceptions import LogUnavailableError, OffsetDroppedError


@dataclass(frozen=True)
class Record:
    """One record of a stream."""

    offset: int
    data: bytes


@dataclass(frozen=True)
class Batch:
    """Records of one read."""

    records: Sequence[Record]
    next_offset: int


@dataclass
class LogFaults:
    """Probabilities and switches of the fake log."""

    outage: bool = False
    lose_answer: float = 0.0
    refuse: float = 0.0
    delay_seconds: float = 0.0


@dataclass
class FakeLog:
    """Keep streams in memory; answers can be late, refused or lost."""

    clock: VirtualClock
    random: random.Random
    faults: LogFaults = field(default_factory=LogFaults)
    streams: dict[str, list[bytes]] = field(default_factory=dict)
    oldest: dict[str, int] = field(default_factory=dict)
    appends: int = 0

    async def append(self, stream: str, records: Sequence[bytes]) -> int:
        """Append records unless a fault prevents it."""
        await self._delay()
        if self.faults.outage or self.random.random() < self.faults.refuse:
            raise LogUnavailableError("log is down")
        self.appends += 1
        kept = self.streams.setdefault(stream, [])
        first = len(kept)
        kept.extend(records)
        await self._delay()
        if self.random.random() < self.faults.lose_answer:
            raise LogUnavailableError("answer lost", may_have_taken_effect=True)
        return first

    async def read(self, stream: str, offset: int, wait_seconds: float) -> Batch:
        """Return the records from an offset on."""
        await self._delay()
        if self.faults.outage:
            raise LogUnavailableError("log is down")
        oldest = self.oldest.get(stream, 0)
        if offset < oldest:
            raise OffsetDroppedError(oldest)
        if wait_seconds and offset >= len(self.streams.get(stream, [])):
            await self.clock.sleep(min(wait_seconds, 0.05))
        kept = self.streams.get(stream, [])
        records = [Record(at, kept[at]) for at in range(offset, len(kept))]
        return Batch(records, len(kept))

    async def _delay(self) -> None:
        if self.faults.delay_seconds:
            await self.clock.sleep(self.random.random() * self.faults.delay_seconds)
        else:
            await asyncio.sleep(0)
