"""Following of the newest records of a topic in the platform's store."""

import asyncio
import random
from collections.abc import Callable, Iterable

from carobladder.clock import Clock
from carobladder.entry.progress import PeerProgress
from carobladder.exceptions import LogUnavailableError, OffsetDroppedError
from carobladder.fleet import Freshness, KeyedPage, KeyedRecord, TopicReader
from carobladder.telemetry import (
    StoreHistoryDropped,
    StoreLost,
    StoreRegained,
    emit,
)

__all__ = ["TopicFollower"]

_FIRST_COMPLETED = asyncio.FIRST_COMPLETED
_FIRST_BACKOFF_SECONDS = 0.15
_LONGEST_BACKOFF_SECONDS = 0.6
# A waiting read may miss records for this long before its answer.
_WATCH_DELAY_SECONDS = 1.1
_COLLECT_SPREAD = (0.75, 1.0)
# Of a key that was dropped by a record which the store no longer holds.
_UNKNOWN_OFFSET = -1


class TopicFollower:
    """Hand each change of a topic's keys to a callback, in order.

    A read waits ``wait_seconds`` for records; after a change about
    ``collect_seconds`` pass before the next read, so that a series of changes costs
    few reads. A read may miss a record that is appended as it begins; with
    ``progress`` a second read that does not wait follows if that is likely. After a
    loss of history all keys are read anew, and keys that are missing then are handed
    on as dropped.
    """

    def __init__(
        self,
        name: str,
        reader: TopicReader,
        clock: Clock,
        wait_seconds: float,
        collect_seconds: float,
        progress: PeerProgress | None,
        on_record: Callable[[KeyedRecord], None],
        on_return: Callable[[float], None],
    ) -> None:
        self.freshness = Freshness()
        self._name = name
        self._reader = reader
        self._clock = clock
        self._wait_seconds = wait_seconds
        self._collect_seconds = collect_seconds
        self._progress = progress
        self._on_record = on_record
        self._on_return = on_return
        self._next: int | None = None
        self._offsets: dict[str, int] = {}
        self._failures = 0
        self._reading: asyncio.Task[bool] | None = None

    @property
    def next_offset(self) -> int | None:
        """Return the offset after the last known record, or None before any read."""
        return self._next

    def note_peer_end(self, end: int) -> None:
        """Take the offset after the last record that another instance knows."""
        if self._progress is not None:
            self._progress.note_end(end)

    def read_again(self) -> None:
        """Give up the read that waits, because its connection may be silent."""
        if self._reading is not None:
            self._reading.cancel()

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            sent_at = self._clock.boottime()
            waited = 0.0 if self._next is None else self._wait_seconds
            try:
                changed = await self._read_interruptibly()
            except OffsetDroppedError as error:
                emit(StoreHistoryDropped(self._name, error.oldest_offset))
                self._next = None
                if self._progress is not None:
                    self._progress.forget()
                continue
            except LogUnavailableError as error:
                await self._back_off(error)
                continue
            self._note_success(sent_at, 0.0 if changed else waited)
            if changed:
                # Instances that read in step would all miss the same record.
                spread = random.uniform(*_COLLECT_SPREAD)
                await self._clock.sleep(self._collect_seconds * spread)

    async def _read_interruptibly(self) -> bool:
        """Read once; raises LogUnavailableError if ``read_again`` was called."""
        self._reading = asyncio.ensure_future(self._read())
        try:
            await asyncio.wait({self._reading})
            if self._reading.cancelled():
                raise LogUnavailableError("the read was given up")
            return self._reading.result()
        finally:
            self._reading.cancel()
            self._reading = None

    async def _read(self) -> bool:
        """Read once and apply; tell whether there were records."""
        if self._next is None:
            page = await self._reader.read_newest()
            self._apply_newest(page.records)
            self._next = page.next_offset
            return False
        page = await self._wait_for_records(self._next)
        for record in page.records:
            self._apply(record)
        changed = page.next_offset > self._next
        self._next = page.next_offset
        return changed

    async def _wait_for_records(self, first: int) -> KeyedPage:
        """Return records from an offset on, confirming once that none was missed."""
        waiting = asyncio.ensure_future(
            self._reader.read_records(first, self._wait_seconds)
        )
        if self._progress is None:
            return await waiting
        confirming = asyncio.ensure_future(self._confirm(first, self._progress))
        try:
            await asyncio.wait({waiting, confirming}, return_when=_FIRST_COMPLETED)
            if not waiting.done():
                page = confirming.result()
                if page.records:
                    return page
            return await waiting
        finally:
            waiting.cancel()
            confirming.cancel()

    async def _confirm(self, first: int, progress: PeerProgress) -> KeyedPage:
        await progress.wait_until_behind(first)
        return await self._reader.read_records(first, 0.0)

    def _apply_newest(self, records: Iterable[KeyedRecord]) -> None:
        present = {record.key for record in records}
        for key in [key for key in self._offsets if key not in present]:
            del self._offsets[key]
            self._on_record(KeyedRecord(_UNKNOWN_OFFSET, key, None))
        for record in records:
            self._apply(record)

    def _apply(self, record: KeyedRecord) -> None:
        if record.offset <= self._offsets.get(record.key, -1):
            return
        if record.value is None:
            self._offsets.pop(record.key, None)
        else:
            self._offsets[record.key] = record.offset
        self._on_record(record)

    def _note_success(self, sent_at: float, waited_seconds: float) -> None:
        """Take a read; one that waited in vain proves that nothing came meanwhile."""
        if self._failures:
            age = self.freshness.age(sent_at)
            emit(StoreRegained(self._name, round(age, 2)))
            self._failures = 0
            self._on_return(age)
        proved_seconds = max(0.0, waited_seconds - _WATCH_DELAY_SECONDS)
        self.freshness.note_read(sent_at + proved_seconds)

    async def _back_off(self, error: LogUnavailableError) -> None:
        if not self._failures:
            age = self.freshness.age(self._clock.boottime())
            emit(StoreLost(self._name, round(age, 2), str(error)))
        self._failures += 1
        pause = _FIRST_BACKOFF_SECONDS * 2.0 ** min(self._failures - 1, 8)
        pause = min(pause, _LONGEST_BACKOFF_SECONDS)
        await self._clock.sleep(pause * random.uniform(0.5, 1.0))
