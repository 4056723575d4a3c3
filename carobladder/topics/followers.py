"""Following of a topic in the platform's store, with the help of other instances."""

import asyncio
import random
from collections.abc import Callable

from carobladder.clock import Clock
from carobladder.eras import EraMonitor, KeySettler, RecordApplier, TopicProofs
from carobladder.exceptions import LogUnavailableError, OffsetDroppedError
from carobladder.fleet import (
    Freshness,
    KeyedPage,
    KeyedRecord,
    RecordRun,
    TopicReader,
    TopicState,
)
from carobladder.telemetry import StoreEraChanged, StoreHistoryDropped, emit
from carobladder.topics.backoff import ReadBackoff
from carobladder.topics.failures import ReadFailures
from carobladder.topics.fetching import TimedPage, TopicFetcher
from carobladder.topics.histories import read_history
from carobladder.topics.knownrecords import KnownRecords
from carobladder.topics.paces import ReadPolicy
from carobladder.topics.roles import ReadRole
from carobladder.topics.wakeups import WakeUp

__all__ = ["TopicFollower"]

_MS_PER_SECOND = 1000
# A waiting read can miss records appended this shortly before its answer.
_MISSED_RECORD_SECONDS = 1.1
# Instances whose reads are synchronised would all miss the same record.
_BATCH_JITTER = (0.85, 1.0)
# Wide enough that the read of one reader makes those of the others unnecessary.
_AGE_JITTER = (0.75, 1.0)
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
        applier = RecordApplier(
            name,
            on_record,
            on_moved,
            keeps_lost_keys=policy.keeps_lost_keys,
            keys_expire=policy.keys_expire,
        )
        self._records = KnownRecords(name, applier, clock)
        self._eras = eras or EraMonitor()
        self._proofs = TopicProofs(self._eras, policy.needs_settled_era)
        self._settler = KeySettler(
            name,
            applier,
            self._proofs.progress,
            clock,
            lambda: self._proofs.settle(self._records.era),
        )
        self._eras.add_listener(self._handle_restored_store)
        self._eras.add_settled_listener(lambda: self._wake_up.set())
        self._is_restored = False
        self._generator = generator
        self._role = ReadRole(policy, is_reader, self.freshness, clock)
        backoff = ReadBackoff(generator)
        self._fetcher = TopicFetcher(name, clock, backoff, policy.repeat_seconds)
        self._failures = ReadFailures(
            name, clock, backoff, self.freshness, policy.expiry_seconds, on_recovery
        )
        self._wake_up = WakeUp(clock)
        self._waiting_read: asyncio.Task[bool] | None = None
        self._first_read_done = asyncio.Event()
        self._first_attempt_done = asyncio.Event()

    @property
    def next_offset(self) -> int | None:
        """Offset after the last known record, or None before the first read."""
        return self._records.next_offset

    @property
    def freshness(self) -> Freshness:
        """Time up to which all records of the topic are known."""
        return self._proofs.freshness

    @property
    def is_proof_due(self) -> bool:
        """Whether earlier reads were no proof, and one from now on is."""
        return self._proofs.is_due(self._records.era)

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
                self._records.reset()
                continue
            except LogUnavailableError as error:
                await self._back_off(error)
                continue
            if changed:
                jitter = self._generator.uniform(*_BATCH_JITTER)
                await self._clock.sleep(self._policy.batch_seconds * jitter)

    def build_topic_state(self) -> TopicState | None:
        """Return how far the topic is known now, or None if nothing is proved yet."""
        return self._records.build_state(self.freshness)

    def count_peers_to_ask(self) -> int:
        """Return how many peers to query to avoid an own read."""
        return self._role.count_peers_to_ask()

    def is_behind(self, end: int) -> bool:
        """Return whether records before the offset ``end`` are missing here."""
        return self._records.is_behind(end)

    def handle_peer_end(self, end: int) -> None:
        """Handle the offset after the last record that another instance knows."""
        if not self.is_behind(end):
            return
        if self._records.note_reported_end(end):
            self._wake_up.set()

    def handle_peer_state(
        self, state: TopicState, asked_at: float, *, is_proof: bool
    ) -> None:
        """Handle the answer to a query that was sent at ``asked_at``.

        It proves that all records are known up to ``asked_at`` less the reported age,
        regardless of how long the query and the answer were in transit. ``is_proof`` is
        false if the peer knows what a restored store has not got back yet.
        """
        if self._records.next_offset is None or state.age_ms < 0:
            return
        proved_at = asked_at - state.age_ms / _MS_PER_SECOND
        self._failures.note_served(proved_at, _PEER_SOURCE)
        if state.next_offset > self._records.next_offset:
            self.handle_peer_end(state.next_offset)
            return
        if is_proof:
            self._proofs.note_proof(proved_at)
        if self._failures.precede(proved_at):
            self._wake_up.set()

    def collect_run(self, first: int) -> RecordRun | None:
        """Return the records from an offset on, as many as fit in one answer."""
        return self._records.collect_run(first, self._policy.max_answer_bytes)

    def apply_peer_run(self, run: RecordRun) -> None:
        """Apply records from another instance.

        They are ignored while removals among them may be due to an outage of the store
        that this instance does not know to have ended.
        """
        known_end = self._records.next_offset
        if known_end is None or self._failures.may_have_expired():
            return
        if run.first <= known_end < run.next_offset:
            synced_at = self._proofs.progress.synced_at
            self._records.apply_run(run, _PEER_SOURCE, synced_at)

    async def _read(self) -> bool:
        """Read according to the role of this instance; return whether records came."""
        if self._records.next_offset is None:
            await self._read_snapshot()
            await self._read_again_after_start()
            return False
        passive_age_seconds = self._role.find_passive_age()
        if passive_age_seconds is None:
            return await self._read_as_reader(self._records.next_offset)
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
        self._failures.note_served(timed.sent_at, _STORE_SOURCE)
        await self._apply_snapshot(page)
        self._records.era = self._eras.era
        self._records.next_offset = page.next_offset
        self._first_read_done.set()
        self._first_attempt_done.set()
        self._record_success(timed.sent_at, 0.0, settled_era)
        if not (self._proofs.is_settled(self._records.era) or self._settler.is_running):
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
            if self._records.next_offset is None:
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
        if self._records.next_offset is None:
            return False
        return await self._read_from(self._records.next_offset, 0.0)

    async def _read_from(self, first: int, wait_seconds: float) -> bool:
        """Read the records from an offset on; return whether there were any.

        An answer is ignored if the store has been restored since the call: its offsets
        are not those of the records that are known.
        """
        era, fetcher = self._eras.era, self._fetcher
        settled_era = self._eras.settled_era
        reported_end = self._records.reported_end
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
        known_end = self._records.next_offset
        if known_end is not None and page.next_offset > known_end:
            run = RecordRun(first, page.next_offset, page.records)
            self._records.apply_run(run, _STORE_SOURCE, synced_at)
        if is_complete and not wait_seconds and self.is_behind(reported_end):
            self._records.reject_reported_end(reported_end)
        return found

    def _handle_restored_store(self) -> None:
        """Read all keys again, as the store was restored from a copy."""
        if not self._first_read_done.is_set():
            return
        era, known_era = self._eras.era, self._records.era
        if era is not None and known_era is not None:
            known_end = self._records.next_offset
            emit(StoreEraChanged(self._name, era, known_era, known_end))
        self._is_restored = True
        self._records.reset()
        self._wake_up.set()
        self.abort_waiting_read()

    async def _apply_snapshot(self, page: KeyedPage) -> None:
        if not self._is_restored:
            self._records.applier.apply_snapshot(page.records)
            return
        history: list[KeyedRecord] = []
        if not self._policy.keeps_lost_keys:
            history = await read_history(self._reader, page.end, page.era)
        if self._eras.is_outdated(page.era):
            raise LogUnavailableError("the answer is of an earlier era of the store")
        self._is_restored = False
        applier = self._records.applier
        applier.restore(page.records)
        for record in history:
            applier.apply(record)
        self._settler.start()

    async def _wait_until_due(self, age_seconds: float, *, as_reader: bool) -> bool:
        """Wait until the last proof has this age, or records stay missing too long.

        Return False once the role of this instance has changed or all keys must be read
        again.
        """
        limit_seconds = age_seconds * self._generator.uniform(*_AGE_JITTER)
        while self._records.next_offset is not None:
            now = self._clock.boottime()
            due_at = self._proofs.progress.synced_at + limit_seconds
            due_at = min(due_at, self._settler.due_at)
            delay_seconds = self._policy.catch_up_delay_seconds
            due_at = min(due_at, self._records.find_catch_up_time(delay_seconds))
            if self._role.is_reader() is not as_reader:
                return False
            if now >= due_at or self.is_proof_due:
                return True
            await self._wake_up.wait(min(due_at - now, _ROLE_CHECK_SECONDS))
        return False

    def _record_partial_success(self, timed: TimedPage) -> None:
        """Record a read whose answer was too short to prove that all is known."""
        self._failures.note_success(timed.sent_at, _STORE_SOURCE)
        self.handle_peer_end(timed.page.end)

    def _record_success(
        self, sent_at: float, waited_seconds: float, settled_era: int | None
    ) -> None:
        """Record a successful read.

        A read that waited ``waited_seconds`` without finding records proves that none
        were appended meanwhile. ``settled_era`` was known to be settled as it was sent.
        """
        self._failures.note_success(sent_at, _STORE_SOURCE)
        proved_seconds = max(0.0, waited_seconds - _MISSED_RECORD_SECONDS)
        self._proofs.note_read(sent_at + proved_seconds, self._records.era, settled_era)

    async def _back_off(self, error: LogUnavailableError) -> None:
        self._first_attempt_done.set()
        bounds = self._role.find_backoff_bounds()
        pause = self._failures.note_failure(error, bounds)
        await self._clock.sleep(pause.fixed_seconds)
        # A peer may report meanwhile that the store is back.
        await self._wake_up.wait(pause.open_seconds)
