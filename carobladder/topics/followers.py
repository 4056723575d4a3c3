"""Following of a topic in the platform's store, with the help of other instances."""

import asyncio
import random
from collections.abc import Callable

from carobladder.clock import Clock
from carobladder.eras import EraMonitor, KeySettler, RecordApplier, TopicProofs
from carobladder.exceptions import LogUnavailableError, OffsetDroppedError
from carobladder.fleet import (
    KeyedPage,
    KeyedRecord,
    RecordRun,
    TopicReader,
)
from carobladder.telemetry import StoreEraChanged, StoreHistoryDropped, emit
from carobladder.topics.backoff import ReadBackoff
from carobladder.topics.failures import ReadFailures
from carobladder.topics.fetching import TimedPage, TopicFetcher
from carobladder.topics.histories import read_history
from carobladder.topics.knownrecords import STORE_SOURCE, KnownRecords
from carobladder.topics.paces import ReadPolicy
from carobladder.topics.peerupdates import PeerUpdates
from carobladder.topics.readchoices import ReadChoice
from carobladder.topics.readpauses import LargeReadPause
from carobladder.topics.roles import ReadRole
from carobladder.topics.superseding import RecordSelector
from carobladder.topics.wakeups import WakeUp

__all__ = ["TopicFollower"]

# A waiting read can miss records appended this shortly before its answer.
_MISSED_RECORD_SECONDS = 1.1
# Instances whose reads are synchronised would all miss the same record.
_BATCH_JITTER = (0.85, 1.0)
# Wide enough that the read of one reader makes those of the others unnecessary.
_AGE_JITTER = (0.75, 1.0)
# Interval in which a change of the reader role is noticed.
_ROLE_CHECK_SECONDS = 1.0


class TopicFollower(PeerUpdates):
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
        selector: RecordSelector | None = None,
    ) -> None:
        self._name = name
        self._reader = reader
        self._clock = clock
        self._eras = eras or EraMonitor()
        self._generator = generator
        applier = RecordApplier(
            name,
            on_record,
            on_moved,
            keeps_lost_keys=policy.keeps_lost_keys,
            keys_expire=policy.keys_expire,
        )
        proofs = TopicProofs(self._eras, policy.needs_settled_era)
        backoff = ReadBackoff(generator)
        super().__init__(
            policy,
            KnownRecords(name, applier, clock, selector),
            proofs,
            ReadFailures(
                name,
                clock,
                backoff,
                proofs.freshness,
                policy.expiry_seconds,
                on_recovery,
            ),
            ReadRole(policy, is_reader, proofs.freshness, clock),
            WakeUp(clock),
        )
        self._settler = KeySettler(
            name,
            applier,
            proofs.progress,
            clock,
            lambda: proofs.settle(self._records.era),
        )
        self._eras.add_listener(self._handle_restored_store)
        self._eras.add_settled_listener(lambda: self._wake_up.set())
        self._fetcher = TopicFetcher(name, clock, backoff, policy.repeat_seconds)
        self._pause = LargeReadPause(clock, policy, generator)
        self._choice = ReadChoice(
            policy, self._records, proofs.progress, self._fetcher, self._pause, clock
        )
        self._is_restored = False
        self._waiting_read: asyncio.Task[bool] | None = None
        self._first_read_done = asyncio.Event()
        self._first_attempt_done = asyncio.Event()

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
                await self._pause_after_change()

    async def _pause_after_change(self) -> None:
        """Pause after a change; a reader pauses longer after a large read."""
        jitter = self._generator.uniform(*_BATCH_JITTER)
        await self._clock.sleep(self._policy.batch_seconds * jitter)
        while self._role.is_reader() and self._records.next_offset is not None:
            now = self._clock.boottime()
            until = self._pause.find_end(self._proofs.progress.synced_at)
            until = min(until, self._settler.due_at)
            if now >= until or self.is_proof_due:
                return
            await self._wake_up.wait(min(until - now, _ROLE_CHECK_SECONDS))

    async def _read(self) -> bool:
        """Read according to the role of this instance; return whether records came."""
        if self._records.next_offset is None:
            await self._read_snapshot()
            await self._read_again_after_start()
            return False
        passive_age_seconds = self._role.find_passive_age()
        if passive_age_seconds is None:
            return await self._read_for_others()
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
        self._failures.note_served(timed.sent_at, STORE_SOURCE)
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

    async def _read_for_others(self) -> bool:
        """Read as a reader; return whether records came.

        Several large records may be missing, of which a waiting read would bring each.
        """
        has_several = (
            self._choice.prefers_newest(is_reader=self._role.is_reader())
            or self._choice.expects_slow
        )
        if has_several and await self._read_new_records():
            return True
        if self._records.next_offset is None:
            return False
        return await self._read_as_reader(self._records.next_offset)

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
        if (
            self._choice.prefers_newest(is_reader=self._role.is_reader())
            and await self._read_newest()
        ):
            return True
        if self._records.next_offset is None:
            return False
        return await self._read_from(self._records.next_offset, 0.0)

    async def _read_newest(self) -> bool:
        """Read the newest of all keys instead of each missing record.

        Return False, without a change, if they may not replace the missing records.
        """
        era, settled_era = self._eras.era, self._eras.settled_era
        synced_at = self._proofs.progress.synced_at
        timed = await self._fetcher.fetch_in_time(self._reader.read_newest)
        self._eras.note(timed.page.era)
        if self._eras.era != era or self._eras.is_outdated(timed.page.era):
            return False
        self._pause.note_page(timed.page)
        if not self._records.apply_newest(timed.page, STORE_SOURCE, synced_at):
            return False
        self._record_success(timed.sent_at, 0.0, settled_era)
        return True

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
        self._pause.note_page(page)
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
            self._records.apply_run(run, STORE_SOURCE, synced_at)
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
        if self._choice.expects_slow:
            # Gives the records of a reader the time to arrive.
            limit_seconds = age_seconds
        while self._records.next_offset is not None:
            now = self._clock.boottime()
            due_at = self._proofs.progress.synced_at + limit_seconds
            if as_reader:
                due_at += self._choice.find_transfer_time()
            due_at = min(due_at, self._settler.due_at)
            delay_seconds = self._choice.find_catch_up_delay()
            catch_up_at = self._records.find_catch_up_time(delay_seconds)
            due_at = min(due_at, self._pause.postpone(catch_up_at))
            if self._role.is_reader() is not as_reader:
                return False
            if now >= due_at or self.is_proof_due:
                return True
            await self._wake_up.wait(min(due_at - now, _ROLE_CHECK_SECONDS))
        return False

    def _record_partial_success(self, timed: TimedPage) -> None:
        """Record a read whose answer was too short to prove that all is known."""
        self._failures.note_success(timed.sent_at, STORE_SOURCE)
        self.handle_peer_end(timed.page.end)

    def _record_success(
        self, sent_at: float, waited_seconds: float, settled_era: int | None
    ) -> None:
        """Record a successful read.

        A read that waited ``waited_seconds`` without finding records proves that none
        were appended meanwhile. ``settled_era`` was known to be settled as it was sent.
        """
        self._failures.note_success(sent_at, STORE_SOURCE)
        proved_seconds = max(0.0, waited_seconds - _MISSED_RECORD_SECONDS)
        self._proofs.note_read(sent_at + proved_seconds, self._records.era, settled_era)

    async def _back_off(self, error: LogUnavailableError) -> None:
        self._first_attempt_done.set()
        bounds = self._role.find_backoff_bounds()
        pause = self._failures.note_failure(error, bounds)
        await self._clock.sleep(pause.fixed_seconds)
        # A peer may report meanwhile that the store is back.
        await self._wake_up.wait(pause.open_seconds)
