"""Following of a topic in the platform's store, with the help of other instances."""

import asyncio
import random
from collections.abc import Callable

from carobladder.clock import Clock
from carobladder.entry.appliers import RecordApplier
from carobladder.entry.backoff import BackoffBounds, ReadBackoff
from carobladder.entry.eras import EraMonitor
from carobladder.entry.fetching import TimedPage, TopicFetcher
from carobladder.entry.histories import read_history
from carobladder.entry.lags import PeerLag
from carobladder.entry.outages import OutageMonitor
from carobladder.entry.paces import ReadPolicy
from carobladder.entry.proofs import TopicProofs
from carobladder.entry.runs import RunHistory
from carobladder.entry.settling import KeySettler
from carobladder.entry.wakeups import WakeUp
from carobladder.exceptions import LogUnavailableError, OffsetDroppedError
from carobladder.fleet import (
    Freshness,
    KeyedPage,
    KeyedRecord,
    RecordRun,
    TopicReader,
    TopicState,
)
from carobladder.telemetry import (
    StoreEraChanged,
    StoreHistoryDropped,
    StoreLost,
    StoreRegained,
    TopicAdvanced,
    emit,
)

__all__ = ["TopicFollower"]

_MS_PER_SECOND = 1000
# First and longest pause after a failed read, for readers and for other instances.
_READER_BACKOFF_BOUNDS = BackoffBounds(0.15, 0.6)
# Longer, since the readers report when the store is back.
_PASSIVE_BACKOFF_BOUNDS = BackoffBounds(1.0, 3.0)
# A waiting read can miss records appended this shortly before its answer.
_MISSED_RECORD_SECONDS = 1.1
# Instances whose reads are synchronised would all miss the same record.
_BATCH_JITTER = (0.85, 1.0)
# Wide enough that the read of one reader makes those of the others unnecessary.
_AGE_JITTER = (0.75, 1.0)
# Fractions of the age at which this instance would read. From these on, it queries
# first one peer, then each peer that it sends an update to.
_ASK_ONE_FRACTION = 0.4
_ASK_ALL_FRACTION = 0.55
# Interval in which a change of the reader role is noticed.
_ROLE_CHECK_SECONDS = 1.0
# Where records came from, in the log.
_STORE_SOURCE = "store"
_PEER_SOURCE = "peer"


class TopicFollower:
    """Follower of a topic that passes each change of a key to a callback, in order.

    Other instances supply records and proofs that all records up to some time are
    known. What they do not supply in time is read from the store. If the store has
    dropped history that was not read yet, all keys are read again, and keys that are
    missing then are passed on as removed. If it was restored from a copy, they are read
    again too, and what the copy lacks stays known while it may be written again.
    ``on_recovery`` is called with the length of an outage of the store in seconds.
    ``on_moved`` is called with a known record that has an offset of a new era.
    """

    def __init__(
        self,
        name: str,
        reader: TopicReader,
        clock: Clock,
        policy: ReadPolicy,
        on_record: Callable[[KeyedRecord], None],
        on_recovery: Callable[[float], None],
        generator: random.Random,
        is_reader: Callable[[], bool] = lambda: True,
        eras: EraMonitor | None = None,
        on_moved: Callable[[KeyedRecord], None] | None = None,
    ) -> None:
        self._name = name
        self._reader = reader
        self._clock = clock
        self._policy = policy
        self._applier = RecordApplier(
            name, on_record, on_moved, keeps_lost_keys=policy.keeps_lost_keys
        )
        self._eras = eras or EraMonitor()
        self._proofs = TopicProofs(self._eras, policy.needs_settled_era)
        self._settler = KeySettler(
            name,
            self._applier,
            self._proofs.progress,
            clock,
            lambda: self._proofs.settle(self._era),
        )
        self._eras.add_listener(self._handle_restored_store)
        self._eras.add_settled_listener(lambda: self._wake_up.set())
        self._is_restored = False
        self._on_recovery = on_recovery
        self._generator = generator
        self._is_reader = is_reader
        self._next_offset: int | None = None
        self._era: int | None = None
        self._history = RunHistory()
        self._backoff = ReadBackoff(generator)
        self._fetcher = TopicFetcher(name, clock, self._backoff, policy.repeat_seconds)
        self._outages = OutageMonitor(policy.expiry_seconds)
        self._failed_at = 0.0
        self._lag = PeerLag()
        self._wake_up = WakeUp(clock)
        self._waiting_read: asyncio.Task[bool] | None = None
        self._first_read_done = asyncio.Event()
        self._first_attempt_done = asyncio.Event()

    @property
    def next_offset(self) -> int | None:
        """Offset after the last known record, or None before the first read."""
        return self._next_offset

    @property
    def freshness(self) -> Freshness:
        """Time up to which all records of the topic are known."""
        return self._proofs.freshness

    @property
    def is_proof_due(self) -> bool:
        """Whether earlier reads were no proof, and one from now on is."""
        return self._proofs.is_due(self._era)

    async def wait_until_proved(self) -> None:
        """Wait until all records up to some time were known for the first time."""
        await self._proofs.wait_for_first()

    async def wait_until_read(self) -> None:
        """Wait until the topic has been read for the first time."""
        await self._first_read_done.wait()

    async def wait_until_attempted(self) -> None:
        """Wait until the first read has succeeded or failed."""
        await self._first_attempt_done.wait()

    def abort_waiting_read(self) -> None:
        """Abort a waiting read, whose connection may be dead without being closed."""
        if self._waiting_read is not None:
            self._waiting_read.cancel()

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        try:
            await self._follow()
        finally:
            self._settler.stop()

    async def _follow(self) -> None:
        while True:
            try:
                changed = await self._read()
            except OffsetDroppedError as error:
                self._eras.note(error.era)
                emit(StoreHistoryDropped(self._name, error.oldest_offset))
                self._reset()
                continue
            except LogUnavailableError as error:
                await self._back_off(error)
                continue
            if changed:
                jitter = self._generator.uniform(*_BATCH_JITTER)
                await self._clock.sleep(self._policy.batch_seconds * jitter)

    def build_topic_state(self) -> TopicState | None:
        """Return how far the topic is known now, or None if nothing is proved yet."""
        if self._next_offset is None or not self.freshness.synced:
            return None
        age_seconds = max(0.0, self.freshness.age(self._clock.boottime()))
        # Rounded up: too low an age would claim newer knowledge than this instance has.
        return TopicState(self._next_offset, int(age_seconds * _MS_PER_SECOND) + 1)

    def count_peers_to_ask(self) -> int:
        """Return how many peers to query to avoid an own read."""
        limit_seconds = self._get_age_limit()
        if limit_seconds is None:
            return 0
        age_fraction = self.freshness.age(self._clock.boottime()) / limit_seconds
        return (age_fraction > _ASK_ONE_FRACTION) + (age_fraction > _ASK_ALL_FRACTION)

    def is_behind(self, end: int) -> bool:
        """Return whether records before the offset ``end`` are missing here."""
        return self._next_offset is not None and self._lag.is_behind(
            self._next_offset, end
        )

    def handle_peer_end(self, end: int) -> None:
        """Handle the offset after the last record that another instance knows."""
        if not self.is_behind(end):
            return
        if self._lag.note_end(end, self._clock.boottime()):
            self._wake_up.set()

    def handle_peer_state(
        self, state: TopicState, asked_at: float, *, is_proof: bool
    ) -> None:
        """Handle the answer to a query that was sent at ``asked_at``.

        It proves that all records are known up to ``asked_at`` less the reported age,
        regardless of how long the query and the answer were in transit. ``is_proof`` is
        false if the peer knows what a restored store has not got back yet.
        """
        if self._next_offset is None or state.age_ms < 0:
            return
        proved_at = asked_at - state.age_ms / _MS_PER_SECOND
        self._note_served(proved_at, _PEER_SOURCE)
        if state.next_offset > self._next_offset:
            self.handle_peer_end(state.next_offset)
            return
        if is_proof:
            self._proofs.note_proof(proved_at)
        if self._backoff.is_failing and proved_at > self._failed_at:
            self._wake_up.set()

    def collect_run(self, first: int) -> RecordRun | None:
        """Return the records from an offset on, as many as fit in one answer."""
        if self._next_offset is None or first >= self._next_offset:
            return None
        return self._history.collect(
            first, self._next_offset, self._policy.max_answer_bytes
        )

    def apply_peer_run(self, run: RecordRun) -> None:
        """Apply records from another instance.

        They are ignored while removals among them may be due to an outage of the store
        that this instance does not know to have ended.
        """
        if self._next_offset is None or self._outages.may_have_expired(
            self._clock.boottime()
        ):
            return
        if run.first <= self._next_offset < run.next_offset:
            self._apply_run(run, _PEER_SOURCE, self._proofs.progress.synced_at)

    async def _read(self) -> bool:
        """Read according to the role of this instance; return whether records came."""
        if self._next_offset is None:
            await self._read_snapshot()
            await self._read_again_after_start()
            return False
        passive_age_seconds = self._policy.passive_age_seconds
        if passive_age_seconds is None or self._is_reader():
            return await self._read_as_reader(self._next_offset)
        if not await self._wait_until_due(passive_age_seconds, as_reader=False):
            return False
        return await self._read_new_records()

    async def _read_snapshot(self) -> None:
        settled_era = self._eras.settled_era
        timed = await self._fetcher.fetch_in_time(self._reader.read_newest)
        page = timed.page
        self._eras.note(page.era)
        if self._eras.is_outdated(page.era):
            raise LogUnavailableError("the answer is of an earlier era of the store")
        # Before the records are applied: some may have expired with the store away.
        self._note_served(timed.sent_at, _STORE_SOURCE)
        await self._apply_snapshot(page)
        self._era = self._eras.era
        self._next_offset = page.next_offset
        self._first_read_done.set()
        self._first_attempt_done.set()
        self._record_success(timed.sent_at, 0.0, settled_era)
        if not (self._proofs.is_settled(self._era) or self._settler.is_running):
            self._settler.start()

    async def _read_again_after_start(self) -> None:
        """Read the records that instances starting at the same time have added."""
        if not self._policy.second_read_delay_seconds:
            return
        await self._clock.sleep(self._policy.second_read_delay_seconds)
        await self._read_new_records()

    async def _read_as_reader(self, first: int) -> bool:
        """Wait for records, and poll for missed ones once the last proof is too old.

        Raises LogUnavailableError, also if ``abort_waiting_read`` was called.
        """
        tasks = [
            asyncio.ensure_future(self._read_from(first, self._policy.wait_seconds))
        ]
        self._waiting_read = tasks[0]
        if self._policy.reader_age_seconds is not None:
            polling = self._poll(self._policy.reader_age_seconds)
            tasks.append(asyncio.ensure_future(polling))
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            if self._next_offset is None:
                return False
            if self._waiting_read.cancelled():
                raise LogUnavailableError("the read was aborted")
            return any([task.result() for task in done])
        finally:
            self._waiting_read = None
            for task in tasks:
                task.cancel()
            # Retrieve the errors of reads that ended at the same time.
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _poll(self, age_seconds: float) -> bool:
        """Read without waiting whenever a read is due, until records come."""
        while True:
            if not await self._wait_until_due(age_seconds, as_reader=True):
                return False
            if await self._read_new_records():
                return True

    async def _read_new_records(self) -> bool:
        """Read without waiting, unless all keys must be read again."""
        if self._next_offset is None:
            return False
        return await self._read_from(self._next_offset, 0.0)

    async def _read_from(self, first: int, wait_seconds: float) -> bool:
        """Read the records from an offset on; return whether there were any.

        An answer is ignored if the store has been restored since the call: its offsets
        are not those of the records that are known.
        """
        era, fetcher = self._eras.era, self._fetcher
        settled_era = self._eras.settled_era
        reported_end = self._lag.end
        synced_at = self._proofs.progress.synced_at
        fetch = fetcher.fetch if wait_seconds else fetcher.fetch_in_time
        timed = await fetch(lambda: self._reader.read_records(first, wait_seconds))
        page = timed.page
        self._eras.note(page.era)
        if self._eras.era != era or self._eras.is_outdated(page.era):
            return False
        found = page.next_offset > first
        is_complete = page.end <= page.next_offset
        elapsed_seconds = self._clock.boottime() - timed.sent_at
        waited_seconds = 0.0 if found else min(wait_seconds, elapsed_seconds)
        if is_complete:
            self._record_success(timed.sent_at, waited_seconds, settled_era)
        else:
            self._record_partial_success(timed)
        if self._next_offset is not None and page.next_offset > self._next_offset:
            run = RecordRun(first, page.next_offset, page.records)
            self._apply_run(run, _STORE_SOURCE, synced_at)
        if is_complete and not wait_seconds and self.is_behind(reported_end):
            self._reject_peer_end(reported_end)
        return found

    def _handle_restored_store(self) -> None:
        """Read all keys again, as the store was restored from a copy."""
        if not self._first_read_done.is_set():
            return
        if self._eras.era is not None and self._era is not None:
            emit(
                StoreEraChanged(
                    self._name, self._eras.era, self._era, self._next_offset
                )
            )
        self._is_restored = True
        self._reset()
        self._wake_up.set()
        self.abort_waiting_read()

    async def _apply_snapshot(self, page: KeyedPage) -> None:
        if not self._is_restored:
            self._applier.apply_snapshot(page.records)
            return
        history: list[KeyedRecord] = []
        if not self._policy.keeps_lost_keys:
            history = await read_history(self._reader, page.end, page.era)
        if self._eras.is_outdated(page.era):
            raise LogUnavailableError("the answer is of an earlier era of the store")
        self._is_restored = False
        self._applier.restore(page.records)
        for record in history:
            self._applier.apply(record)
        self._settler.start()

    def _reject_peer_end(self, end: int) -> None:
        """Ignore an offset from a peer that the store has not reached."""
        self._lag.reject(end, self._clock.boottime())
        self._lag.update(self._next_offset)

    async def _wait_until_due(self, age_seconds: float, *, as_reader: bool) -> bool:
        """Wait until the last proof has this age, or records stay missing too long.

        Return False once the role of this instance has changed or all keys must be read
        again.
        """
        limit_seconds = age_seconds * self._generator.uniform(*_AGE_JITTER)
        while self._next_offset is not None:
            now = self._clock.boottime()
            due_at = self._proofs.progress.synced_at + limit_seconds
            due_at = min(due_at, self._settler.due_at)
            catch_up_at = self._lag.find_due_time(self._policy.catch_up_delay_seconds)
            due_at = min(due_at, catch_up_at)
            if self._is_reader() is not as_reader:
                return False
            if now >= due_at or self.is_proof_due:
                return True
            await self._wake_up.wait(min(due_at - now, _ROLE_CHECK_SECONDS))
        return False

    def _apply_run(self, run: RecordRun, source: str, synced_at: float) -> None:
        """Apply the part of a run that is not known yet.

        Its records are newer than ``synced_at``, the time of the last proof.
        """
        assert self._next_offset is not None
        age_seconds = self._clock.boottime() - synced_at
        first = self._next_offset
        records = tuple(record for record in run.records if record.offset >= first)
        self._next_offset = run.next_offset
        self._history.append(RecordRun(first, run.next_offset, records))
        self._lag.update(run.next_offset)
        applied = [self._applier.apply(record) for record in records]
        emit(
            TopicAdvanced(
                topic=self._name,
                source=source,
                next_offset=run.next_offset,
                records=len(records),
                age_seconds=round(age_seconds, 2),
                era=self._era,
                passed_over=applied.count(False),
            )
        )

    def _reset(self) -> None:
        """Make the next read fetch all keys."""
        self._next_offset = None
        self._lag.reset()
        self._history.clear()

    def _record_partial_success(self, timed: TimedPage) -> None:
        """Record a read whose answer was too short to prove that all is known."""
        self._backoff.note_success()
        self._note_served(timed.sent_at, _STORE_SOURCE)
        self.handle_peer_end(timed.page.end)

    def _record_success(
        self, sent_at: float, waited_seconds: float, settled_era: int | None
    ) -> None:
        """Record a successful read.

        A read that waited ``waited_seconds`` without finding records proves that none
        were appended meanwhile. ``settled_era`` was known to be settled as it was sent.
        """
        self._backoff.note_success()
        self._note_served(sent_at, _STORE_SOURCE)
        proved_seconds = max(0.0, waited_seconds - _MISSED_RECORD_SECONDS)
        self._proofs.note_read(sent_at + proved_seconds, self._era, settled_era)

    def _note_served(self, at: float, source: str) -> None:
        """Record that the store has answered this or another instance."""
        outage_seconds = self._outages.note_served(at)
        if outage_seconds is not None:
            emit(StoreRegained(self._name, round(outage_seconds, 2), source))
            self._on_recovery(outage_seconds)

    async def _back_off(self, error: LogUnavailableError) -> None:
        self._first_attempt_done.set()
        if not self._backoff.is_failing:
            age = self.freshness.age(self._clock.boottime())
            emit(StoreLost(self._name, round(age, 2), str(error)))
        self._failed_at = self._clock.boottime()
        self._outages.note_failure(self._failed_at)
        pause = self._backoff.note_failure(self._get_backoff_bounds())
        await self._clock.sleep(pause.fixed_seconds)
        # A peer may report meanwhile that the store is back.
        await self._wake_up.wait(pause.open_seconds)

    def _get_age_limit(self) -> float | None:
        """Return the age of the last proof at which this instance reads, or None."""
        policy = self._policy
        return (
            policy.reader_age_seconds
            if self._is_reader()
            else policy.passive_age_seconds
        )

    def _get_backoff_bounds(self) -> BackoffBounds:
        """Return the first and the longest pause after a failed read."""
        synced = self.freshness.synced
        if self._policy.passive_age_seconds is None or self._is_reader() or not synced:
            return _READER_BACKOFF_BOUNDS
        return _PASSIVE_BACKOFF_BOUNDS
