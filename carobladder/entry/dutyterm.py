"""Term of this instance as the holder of the duties: store, notices and permits."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from carobladder.clock import Clock
from carobladder.duties import (
    CallOutcome,
    CallPermit,
    DutyLease,
    DutyLog,
    DutyWrite,
    Election,
    FleetTime,
    HolderState,
    UsageCounter,
)
from carobladder.entry.dutysharing import DutySharing
from carobladder.eras import EraMonitor
from carobladder.exceptions import LogUnavailableError
from carobladder.fleet import DutyNotice, KeyedPage
from carobladder.fleet.records import ConditionalAppend
from carobladder.telemetry import (
    DutiesReleased,
    DutiesTaken,
    DutyCallFailed,
    DutyMetrics,
    DutyStoreFailed,
    DutyTokenOutdated,
    emit,
)

__all__ = ["CallTimes", "DutyTerm", "DutyTopic", "TermParts"]

# Clocks of the instances may differ by this much.
_CLOCK_TOLERANCE_SECONDS = 0.5
_RETRY_SECONDS = 0.3


class DutyTopic(Protocol):
    """Topic of the records of the duties; raises LogUnavailableError."""

    async def read_newest(self) -> KeyedPage:
        """Return the newest record of each key and the offset to continue from."""

    async def append_at(
        self, expected_end: int, records: Iterable[tuple[str, bytes]]
    ) -> ConditionalAppend:
        """Append all records or none; return the outcome and the era."""


@dataclass(frozen=True, slots=True)
class CallTimes:
    """Longest time of a call to the API, and its shortest distance from the next."""

    max_seconds: float
    interval_seconds: float


@dataclass(frozen=True, slots=True)
class TermParts:
    """Components that decide on a term, and those that carry it out."""

    lease: DutyLease
    election: Election
    time: FleetTime
    counter: UsageCounter
    sharing: DutySharing
    topic: DutyTopic
    eras: EraMonitor
    metrics: DutyMetrics


class DutyTerm:
    """Reads and writes of the term, and the permits of calls.

    Its coroutines must not run at the same time; each raises LogUnavailableError.
    """

    def __init__(
        self, parts: TermParts, instance: str, calls: CallTimes, clock: Clock
    ) -> None:
        self._parts = parts
        self._instance = instance
        self._calls = calls
        self._clock = clock
        self._next_call_at = float("-inf")
        self._uncertain_token = -1
        parts.eras.add_listener(self.note_era)

    @property
    def lease(self) -> DutyLease:
        """Lease of this instance."""
        return self._parts.lease

    @property
    def is_candidate(self) -> bool:
        """Whether this instance would take over from the holder."""
        return self._parts.election.find_rank() is not None

    def note_era(self) -> None:
        """Tell the lease the era of the store."""
        era = self._parts.eras.era
        if era is not None:
            self._parts.lease.note_era(era, self._clock.boottime())

    def should_stand(self) -> bool:
        """Return whether to try to become holder; called once in each interval."""
        now = self._clock.boottime()
        return self._parts.election.tick(now, self._find_holder_state())

    async def try_to_hold(self) -> None:
        """Write a new term, unless another instance has just become holder."""
        lease, sharing = self._parts.lease, self._parts.sharing
        log = await self.read()
        if log is None or lease.is_holder:
            return
        known_token = sharing.notice.token if sharing.notice else -1
        term = log.term
        if term is not None and term.token > known_token:
            holder = "" if term.released else term.holder
            notice = DutyNotice(term.token, holder, log.find_newest_window())
            sharing.take_notice(notice)
            return
        heard_at = self._parts.time.at(lease.era_heard_at) + _CLOCK_TOLERANCE_SECONDS
        write = lease.plan_term(self._parts.counter.find_window(heard_at))
        if await self.append(write) and lease.token is not None:
            waits = lease.read_wait(self._clock.boottime())
            before = term.holder if term is not None else ""
            emit(DutiesTaken(lease.token, before, round(waits, 3)))
            self.announce(lease.token, self._instance)

    async def release(self) -> None:
        """End the term, so that the next holder need not wait for the lease."""
        lease = self._parts.lease
        token = lease.token
        if token is None:
            return
        try:
            if lease.log is not None:
                is_certain = self._uncertain_token != token
                now = self._clock.boottime()
                await self.append(lease.plan_release(now, is_certain=is_certain))
        except LogUnavailableError as error:
            emit(DutyStoreFailed(str(error)))
        lease.note_refused(token)
        self.announce(token, "")
        emit(DutiesReleased(token, "the instance stops"))

    async def prepare_call(self) -> CallPermit | None:
        """Return the permit of a call after a proof of the term, or None."""
        lease = self._parts.lease
        if self._clock.boottime() < self._next_call_at:
            return None
        if not lease.may_call(self._clock.boottime(), self._calls.max_seconds):
            if lease.log is None or not lease.is_holder:
                return None
            await self.append(lease.plan_proof())
        token = lease.token
        if token is None or not self._may_call(token):
            return None
        self._next_call_at = self._clock.boottime() + self._calls.interval_seconds
        return CallPermit(self._instance, token, lambda: self._may_call(token))

    def note_outcome(
        self, duty: str, subject: str, token: int, outcome: CallOutcome
    ) -> None:
        """Apply the outcome of a call; a failed one is followed by a pause."""
        self._parts.metrics.count_call(duty, outcome.value)
        if outcome is CallOutcome.ACCEPTED:
            return
        self._next_call_at = self._clock.boottime() + _RETRY_SECONDS
        if outcome is CallOutcome.OUTDATED_TOKEN:
            self._parts.lease.note_refused(token)
            emit(DutyTokenOutdated(duty, token))
            return
        if outcome is CallOutcome.UNANSWERED:
            self._uncertain_token = token
        emit(DutyCallFailed(duty, subject, token, outcome.value))

    async def read(self) -> DutyLog | None:
        """Read the topic; return None if the answer is of an earlier era."""
        lease = self._parts.lease
        sent_at = self._clock.boottime()
        page = await self._parts.topic.read_newest()
        self._parts.eras.note(page.era)
        if not lease.read_page(page, sent_at, self._clock.boottime()):
            return None
        return lease.log

    async def append(self, write: DutyWrite) -> bool:
        """Append to the topic; return whether it took effect in the known era."""
        lease = self._parts.lease
        sent_at = self._clock.boottime()
        outcome = await self._parts.topic.append_at(write.expected_end, write.records)
        self._parts.eras.note(outcome.era)
        if not outcome.accepted:
            lease.note_unknown()
            return False
        lease.note_accepted(write, outcome.era, sent_at, self._clock.boottime())
        return lease.log is write.log

    def announce(self, token: int, holder: str, recorded: int = -1) -> None:
        """Tell others who is holder and which window is recorded."""
        log = self._parts.lease.log
        if log is not None:
            recorded = max(recorded, log.find_newest_window())
        known = self._parts.sharing.notice
        if known is not None:
            recorded = max(recorded, known.recorded)
        self._parts.sharing.take_notice(DutyNotice(token, holder, recorded))

    def take_notice(self, notice: DutyNotice) -> None:
        """End the term if another instance has a newer one."""
        lease = self._parts.lease
        token = lease.token
        lease.note_higher_token(notice.token)
        if token is not None and lease.token is None:
            emit(DutiesReleased(token, f"{notice.holder} has a higher token"))
        self._parts.election.note_answer()

    def _may_call(self, token: int) -> bool:
        lease = self._parts.lease
        now = self._clock.boottime()
        return lease.token == token and lease.may_call(now, self._calls.max_seconds)

    def _find_holder_state(self) -> HolderState:
        notice = self._parts.sharing.notice
        if notice is None:
            return HolderState.UNKNOWN
        # This instance itself may have lost its term, or be a new run.
        if not notice.holder or notice.holder == self._instance:
            return HolderState.RELEASED
        return HolderState.KNOWN
