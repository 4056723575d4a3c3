"""Following of the newest records of a topic in the platform's store."""

import asyncio
import random
from collections import deque
from collections.abc import Callable, Iterable

from carobladder.clock import Clock
from carobladder.entry.paces import ReadingPace
from carobladder.exceptions import LogUnavailableError, OffsetDroppedError
from carobladder.fleet import (
    Freshness,
    KeyedRecord,
    RecordRun,
    TopicReader,
    TopicState,
)
from carobladder.telemetry import (
    StoreHistoryDropped,
    StoreLost,
    StoreRegained,
    emit,
)

__all__ = ["TopicFollower"]

_MS_PER_SECOND = 1000
# First and longest pause after a failed read.
_READER_BACKOFF_SECONDS = (0.15, 0.6)
# Others tell an instance that does not read for them when the store is back.
_LISTENER_BACKOFF_SECONDS = (1.0, 3.0)
# A waiting read may miss records for this long before its answer.
_WATCH_DELAY_SECONDS = 1.1
# Instances that read in step would all miss the same record.
_SPREAD = (0.85, 1.0)
# Spread so widely that one reader's read serves the others.
_AGE_SPREAD = (0.75, 1.0)
# Parts of the age for an own read from which on one other instance, and then each one
# that is told something, is asked.
_ASKING_PART = 0.4
_URGENT_PART = 0.55
# Of a key that was dropped by a record which the store no longer holds.
_UNKNOWN_OFFSET = -1
# An instance notices after this time that it has become a reader, or is none any more.
_ROLE_SECONDS = 1.0
# Bounds the reads that wrong news of another instance can cause.
_DISPROVED_SECONDS = 1.0
# Runs of records that are kept to be told to other instances.
_MAX_RECENT_RUNS = 64


class TopicFollower:
    """Hand each change of a topic's keys to a callback, in order.

    What others tell extends the age up to which the knowledge is proved and brings
    records; what they do not tell in time is read. After a loss of history all keys
    are read anew, and keys that are missing then are handed on as dropped.
    ``on_return`` is told how long the store was away.
    """

    def __init__(
        self,
        name: str,
        reader: TopicReader,
        clock: Clock,
        pace: ReadingPace,
        on_record: Callable[[KeyedRecord], None],
        on_return: Callable[[float], None],
        generator: random.Random,
        is_reader: Callable[[], bool] = lambda: True,
    ) -> None:
        self.freshness = Freshness()
        self._name = name
        self._reader = reader
        self._clock = clock
        self._pace = pace
        self._on_record = on_record
        self._on_return = on_return
        self._generator = generator
        self._is_reader = is_reader
        self._next: int | None = None
        self._offsets: dict[str, int] = {}
        self._recent: deque[RecordRun] = deque(maxlen=_MAX_RECENT_RUNS)
        self._failures = 0
        self._proved_before_loss = 0.0
        self._failed_at = 0.0
        self._peer_end = 0
        self._disproved_end = 0
        self._behind_since: float | None = None
        self._no_catch_up_until = float("-inf")
        self._news = asyncio.Event()
        self._waiting: asyncio.Task[bool] | None = None
        self._read_once = asyncio.Event()
        self._tried_once = asyncio.Event()

    @property
    def next_offset(self) -> int | None:
        """Return the offset after the last known record, or None before any read."""
        return self._next

    async def wait_until_read(self) -> None:
        """Wait until the topic was read for the first time."""
        await self._read_once.wait()

    async def wait_until_tried(self) -> None:
        """Wait until the first read has ended, with or without success."""
        await self._tried_once.wait()

    def read_again(self) -> None:
        """Give up the read that waits, because its connection may be silent."""
        if self._waiting is not None:
            self._waiting.cancel()

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            try:
                changed = await self._read()
            except OffsetDroppedError as error:
                emit(StoreHistoryDropped(self._name, error.oldest_offset))
                self._forget()
                continue
            except LogUnavailableError as error:
                await self._back_off(error)
                continue
            if changed:
                spread = self._generator.uniform(*_SPREAD)
                await self._clock.sleep(self._pace.collect_seconds * spread)

    def describe(self) -> TopicState | None:
        """Return how far the topic is known now, or None before any proof."""
        if self._next is None or not self.freshness.synced:
            return None
        age_seconds = max(0.0, self.freshness.age(self._clock.boottime()))
        # Rounded up, since an age that is stated too low would prove too much.
        return TopicState(self._next, int(age_seconds * _MS_PER_SECOND) + 1)

    def count_wanted_answers(self) -> int:
        """Return how many instances to ask, before an own read comes near."""
        limit_seconds = self._choose_age()
        if limit_seconds is None:
            return 0
        part = self.freshness.age(self._clock.boottime()) / limit_seconds
        return (part > _ASKING_PART) + (part > _URGENT_PART)

    def lacks(self, end: int) -> bool:
        """Tell whether another instance knows records that are not known here."""
        return self._next is not None and end > max(self._next, self._disproved_end)

    def note_peer_end(self, end: int) -> None:
        """Take the offset after the last record that another instance knows."""
        if not self.lacks(end):
            return
        self._peer_end = max(self._peer_end, end)
        if self._behind_since is None:
            self._behind_since = self._clock.boottime()
            self._news.set()

    def take_peer_state(self, state: TopicState, asked_at: float) -> None:
        """Take another instance's answer to a question that was asked at this time.

        However long question and answer were on their way, the knowledge is proved for
        the time of asking less the stated age.
        """
        if self._next is None or state.age_ms < 0:
            return
        if state.next_offset > self._next:
            self.note_peer_end(state.next_offset)
            return
        self.freshness.note_read(asked_at - state.age_ms / _MS_PER_SECOND)
        if self._failures and self.freshness.synced_at > self._failed_at:
            self._news.set()

    def collect_run(self, first: int) -> RecordRun | None:
        """Return the records from an offset on, as many as one answer carries."""
        if self._next is None or first >= self._next:
            return None
        if not self._recent or first < self._recent[0].first:
            return None
        records: list[KeyedRecord] = []
        size = 0
        for record in (record for run in self._recent for record in run.records):
            if record.offset < first:
                continue
            size += len(record.key) + len(record.value or b"")
            if size > self._pace.told_bytes:
                cut = RecordRun(first, record.offset, tuple(records))
                return cut if records else None
            records.append(record)
        return RecordRun(first, self._next, tuple(records))

    def take_peer_run(self, run: RecordRun) -> None:
        """Take records from another instance.

        Where records lapse in an outage of the store, an instance for which it fails
        leaves them to its own read, which alone tells such records from others.
        """
        if self._next is None or (self._failures and self._pace.records_lapse):
            return
        if run.first <= self._next < run.next_offset:
            self._apply_run(run)

    async def _read(self) -> bool:
        """Read as the role of this instance asks; tell whether there were records."""
        if self._next is None:
            await self._read_newest()
            await self._settle()
            return False
        listener_age_seconds = self._pace.listener_age_seconds
        if listener_age_seconds is None or self._is_reader():
            return await self._watch(self._next)
        if not await self._wait_until_due(listener_age_seconds, as_reader=False):
            return False
        return await self._read_from(self._next, 0.0)

    async def _read_newest(self) -> None:
        sent_at = self._clock.boottime()
        page = await self._reader.read_newest()
        self._apply_newest(page.records)
        self._next = page.next_offset
        self._read_once.set()
        self._tried_once.set()
        self._note_success(sent_at, 0.0)

    async def _settle(self) -> None:
        """Read what is written by those that start at the same time."""
        if not self._pace.settle_seconds:
            return
        await self._clock.sleep(self._pace.settle_seconds)
        assert self._next is not None
        await self._read_from(self._next, 0.0)

    async def _watch(self, first: int) -> bool:
        """Wait for records, and look for missed ones when the knowledge gets old.

        Raises LogUnavailableError, also if ``read_again`` was called.
        """
        tasks = [asyncio.ensure_future(self._read_from(first, self._pace.wait_seconds))]
        self._waiting = tasks[0]
        if self._pace.reader_age_seconds is not None:
            looking = self._look(self._pace.reader_age_seconds)
            tasks.append(asyncio.ensure_future(looking))
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            if self._waiting.cancelled():
                raise LogUnavailableError("the read was given up")
            return any([task.result() for task in done])
        finally:
            self._waiting = None
            for task in tasks:
                task.cancel()
            # Takes the errors of reads that ended at the same time.
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _look(self, age_seconds: float) -> bool:
        """Read without waiting whenever that is due, until there are records."""
        while True:
            if not await self._wait_until_due(age_seconds, as_reader=True):
                return False
            assert self._next is not None
            if await self._read_from(self._next, 0.0):
                return True

    async def _read_from(self, first: int, wait_seconds: float) -> bool:
        """Read the records from an offset on; tell whether there were any."""
        sent_at = self._clock.boottime()
        told_end = self._peer_end
        page = await self._reader.read_records(first, wait_seconds)
        found = page.next_offset > first
        self._note_success(sent_at, 0.0 if found else wait_seconds)
        if self._next is not None and page.next_offset > self._next:
            self._apply_run(RecordRun(first, page.next_offset, page.records))
        if not wait_seconds and self.lacks(told_end):
            self._disprove(told_end)
        return found

    def _disprove(self, end: int) -> None:
        """Note that the store has no records up to an end that another told of."""
        self._disproved_end = end
        self._no_catch_up_until = self._clock.boottime() + _DISPROVED_SECONDS
        self._note_caught_up()

    async def _wait_until_due(self, age_seconds: float, *, as_reader: bool) -> bool:
        """Wait until the knowledge has this age, or lacks what others told of.

        Return False once this instance has the other role.
        """
        limit_seconds = age_seconds * self._generator.uniform(*_AGE_SPREAD)
        while True:
            now = self._clock.boottime()
            due_at = self.freshness.synced_at + limit_seconds
            if self._behind_since is not None:
                catch_up_at = self._behind_since + self._pace.catch_up_seconds
                due_at = min(due_at, max(catch_up_at, self._no_catch_up_until))
            if self._is_reader() is not as_reader:
                return False
            if now >= due_at:
                return True
            await self._wait_for_news(min(due_at - now, _ROLE_SECONDS))

    async def _wait_for_news(self, seconds: float) -> None:
        """Wait for the time to pass or for news of a record that is missing here."""
        news = asyncio.ensure_future(self._news.wait())
        timer = asyncio.ensure_future(self._clock.sleep(seconds))
        try:
            await asyncio.wait({news, timer}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self._news.clear()
            news.cancel()
            timer.cancel()

    def _apply_newest(self, records: Iterable[KeyedRecord]) -> None:
        present = {record.key for record in records}
        for key in [key for key in self._offsets if key not in present]:
            del self._offsets[key]
            self._on_record(KeyedRecord(_UNKNOWN_OFFSET, key, None))
        for record in records:
            self._apply(record)

    def _apply_run(self, run: RecordRun) -> None:
        """Apply the part of a run that is not known yet."""
        assert self._next is not None
        first = self._next
        records = tuple(record for record in run.records if record.offset >= first)
        self._next = run.next_offset
        self._recent.append(RecordRun(first, run.next_offset, records))
        self._note_caught_up()
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

    def _note_caught_up(self) -> None:
        if not self.lacks(self._peer_end):
            self._behind_since = None

    def _forget(self) -> None:
        """Forget the place in a history that the store has dropped."""
        self._next = None
        self._peer_end = self._disproved_end = 0
        self._behind_since = None
        self._recent.clear()

    def _note_success(self, sent_at: float, waited_seconds: float) -> None:
        """Take a read; one that waited in vain proves that nothing came meanwhile."""
        if self._failures:
            away_seconds = sent_at - self._proved_before_loss
            emit(StoreRegained(self._name, round(away_seconds, 2)))
            self._failures = 0
            self._on_return(away_seconds)
        proved_seconds = max(0.0, waited_seconds - _WATCH_DELAY_SECONDS)
        self.freshness.note_read(sent_at + proved_seconds)

    async def _back_off(self, error: LogUnavailableError) -> None:
        self._tried_once.set()
        if not self._failures:
            self._proved_before_loss = self.freshness.synced_at
            age = self.freshness.age(self._clock.boottime())
            emit(StoreLost(self._name, round(age, 2), str(error)))
        self._failures += 1
        self._failed_at = self._clock.boottime()
        first_seconds, longest_seconds = self._choose_backoff()
        pause = first_seconds * 2.0 ** min(self._failures - 1, 8)
        spread = self._generator.uniform(0.5, 1.0)
        await self._clock.sleep(first_seconds * spread)
        # Others may tell meanwhile that the store is back.
        await self._wait_for_news(
            (min(pause, longest_seconds) - first_seconds) * spread
        )

    def _choose_age(self) -> float | None:
        """Return the age of the knowledge at which this instance reads, or None."""
        pace = self._pace
        return (
            pace.reader_age_seconds if self._is_reader() else pace.listener_age_seconds
        )

    def _choose_backoff(self) -> tuple[float, float]:
        """Return the first and the longest pause after a failed read in seconds."""
        synced = self.freshness.synced
        if self._pace.listener_age_seconds is None or self._is_reader() or not synced:
            return _READER_BACKOFF_SECONDS
        return _LISTENER_BACKOFF_SECONDS
