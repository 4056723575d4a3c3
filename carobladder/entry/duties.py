"""Runtime of the duties: collecting, recording and reporting usage."""

import asyncio
import math
from collections import deque
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from carobladder.clock import Clock
from carobladder.duties import (
    CallOutcome,
    Completeness,
    DutyApi,
    DutyLog,
    FleetTime,
    UsageCollection,
    UsageCounter,
    UsageTimes,
    compute_fleet_difference,
)
from carobladder.entry.dutysharing import DutySharing
from carobladder.entry.dutyterm import DutyTerm
from carobladder.entry.usage import UsageReporter
from carobladder.exceptions import LogUnavailableError
from carobladder.fleet import (
    DutyNotice,
    PeerDirectory,
    UsageReceipt,
    UsageReport,
)
from carobladder.telemetry import (
    ClockDiffersFromFleet,
    DutyMetrics,
    DutyStoreFailed,
    UsageReported,
    UsageWindowGivenUp,
    emit,
)

__all__ = ["ELECTION_INTERVAL_SECONDS", "USAGE_DUTY", "DutyKeeper", "DutyParts"]

ELECTION_INTERVAL_SECONDS = 0.4
_INTERVAL_SECONDS = 0.2
_MS_PER_SECOND = 1000
_RETRY_SECONDS = 0.3
# Differences of an instance's time that are remembered. A delayed message makes its
# sender's time appear too early, so the largest one counts.
_KEPT_DIFFERENCES = 4
# The holder follows the median of the others only beyond this, as messages that waited
# for its event loop make all others appear too early.
_MIN_OWN_DIFFERENCE_SECONDS = 1.0
# Records that a new holder reports again, as their reports may be lost.
_REPEATED_WINDOWS = 3
# A call that is not accepted until so many times the due time is given up.
_MAX_LATENESS = 3.0
USAGE_DUTY = "usage_report"


@dataclass(frozen=True, slots=True)
class DutyParts:
    """Components that the runtime of the duties connects."""

    term: DutyTerm
    time: FleetTime
    counter: UsageCounter
    collection: UsageCollection
    reporter: UsageReporter
    sharing: DutySharing
    api: DutyApi
    peers: PeerDirectory
    metrics: DutyMetrics


class DutyKeeper:
    """Task that performs the duties while this instance is their holder.

    ``extra_duty`` is called while this instance may act.
    """

    def __init__(
        self,
        parts: DutyParts,
        instance: str,
        run: int,
        times: UsageTimes,
        clock: Clock,
        *,
        reports_usage: bool = True,
    ) -> None:
        self._parts = parts
        self._instance = instance
        self._run = run
        self._times = times
        self._clock = clock
        self._reports_usage = reports_usage
        self.extra_duty: Callable[[], Coroutine[Any, Any, None]] | None = None
        self._access = asyncio.Lock()
        self._stopping = False
        self._acting_token = -1
        self._given_up = -1
        self._unreported: list[int] = []
        self._differences: dict[str, deque[float]] = {}
        parts.sharing.on_notice = self._take_notice
        parts.sharing.on_report = self._take_report
        parts.sharing.on_receipt = self._take_receipt

    @property
    def token(self) -> int | None:
        """Token of this instance's term, None if it is not the holder."""
        return self._parts.term.lease.token

    def count(self, team: str) -> None:
        """Count a request of a team that a target has begun to run."""
        if self._reports_usage:
            self._parts.counter.count(team)

    async def run(self) -> None:
        """Count, report and seek to be holder until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._run_reports())
            group.create_task(self._run_duties())

    async def release(self) -> None:
        """Hand the duties over before this instance ends."""
        self._stopping = True
        async with self._access:
            await self._parts.term.release()

    async def flush(self) -> None:
        """Send the last counts to the holder."""
        await self._parts.reporter.flush()

    async def _run_reports(self) -> None:
        while True:
            await self._clock.sleep(_INTERVAL_SECONDS)
            if self._reports_usage:
                self._parts.reporter.send_due()

    async def _run_duties(self) -> None:
        while True:
            is_holder = self._parts.term.lease.is_holder
            interval = _INTERVAL_SECONDS if is_holder else ELECTION_INTERVAL_SECONDS
            await self._clock.sleep(interval)
            if self._stopping:
                continue
            async with self._access:
                await self._step()

    async def _step(self) -> None:
        term = self._parts.term
        term.note_era()
        try:
            if term.lease.is_holder:
                await self._act()
                return
            if term.is_candidate:
                self._parts.reporter.probe()
            if term.should_stand():
                await term.try_to_hold()
        except LogUnavailableError as error:
            term.lease.note_unknown()
            emit(DutyStoreFailed(str(error)))
            await self._clock.sleep(_RETRY_SECONDS)

    async def _act(self) -> None:
        """Perform the duties that are due."""
        term = self._parts.term
        lease = term.lease
        self._collect_own()
        if not lease.is_ready(self._clock.boottime()):
            return
        log = lease.log if lease.log is not None else await term.read()
        token = lease.token
        if log is None or token is None:
            return
        if token != self._acting_token:
            self._begin_acting(token, log)
        if self._reports_usage:
            await self._record_due_window(log)
            await self._send_reports()
        if self.extra_duty is not None and lease.is_holder:
            await self.extra_duty()

    def _begin_acting(self, token: int, log: DutyLog) -> None:
        """Report the newest records again, as nobody knows whether they arrived."""
        self._acting_token = token
        self._given_up = -1
        current = self._parts.counter.find_window(self._parts.time.now())
        windows = [record.window for record in log.usage.values()]
        self._unreported = sorted(
            window for window in windows if window >= current - _REPEATED_WINDOWS
        )
        self._parts.term.announce(token, self._instance)

    def _collect_own(self) -> None:
        finished = self._parts.counter.list_finished()
        copies = {window: dict(counts) for window, counts in finished.items()}
        self._parts.collection.take(self._instance, self._run, copies)

    async def _record_due_window(self, log: DutyLog) -> None:
        """Write the counts of the next window, if they are complete or due."""
        window = self._find_next_window(log)
        if window is None:
            return
        collection = self._parts.collection
        others = [peer.name for peer in self._parts.peers.list_peers()]
        decision = collection.judge(window, self._parts.time.now(), others)
        if decision is Completeness.GIVE_UP:
            self._give_up(window)
        elif decision is Completeness.RECORD:
            term = self._parts.term
            write = term.lease.plan_usage(window, collection.find(window).sum_up())
            if write is None:
                self._give_up(window)
            elif await term.append(write):
                self._unreported.append(window)
                self._announce_recorded(window)

    def _find_next_window(self, log: DutyLog) -> int | None:
        """Return the oldest window that ended and may still be recorded, or None."""
        current = self._parts.counter.find_window(self._parts.time.now())
        late_windows = self._times.late_seconds / self._times.window_seconds
        oldest = current - 1 - math.ceil(late_windows)
        floor = log.term.floor if log.term is not None else current
        window = max(log.find_newest_window() + 1, floor, oldest, self._given_up + 1)
        return window if window < current else None

    def _give_up(self, window: int) -> None:
        instances = len(self._parts.collection.find(window).list_senders())
        emit(UsageWindowGivenUp(window, instances))
        self._parts.metrics.count_call(USAGE_DUTY, "given_up")
        self._given_up = window
        self._announce_recorded(window)

    async def _send_reports(self) -> None:
        """Report the recorded windows that the platform has not accepted."""
        term = self._parts.term
        for window in list(self._unreported):
            log = term.lease.log
            if log is None:
                return
            record = log.find_usage(window)
            if record is None:
                self._unreported.remove(window)
                return
            permit = await term.prepare_call()
            if permit is None:
                return
            outcome = await self._parts.api.report_usage(permit, window, record.counts)
            term.note_outcome(USAGE_DUTY, str(window), permit.token, outcome)
            if not self._is_done(window, permit.token, record.counts, outcome):
                return

    def _is_done(
        self, window: int, token: int, counts: dict[str, int], outcome: CallOutcome
    ) -> bool:
        """Return whether a report need not be repeated."""
        after_end = self._parts.time.now() - self._parts.counter.find_end(window)
        is_accepted = outcome is CallOutcome.ACCEPTED
        if not is_accepted and after_end <= self._times.late_seconds * _MAX_LATENESS:
            return False
        self._unreported.remove(window)
        if is_accepted:
            instances = len(self._parts.collection.find(window).list_senders())
            requests = sum(counts.values())
            seconds = round(after_end, 3)
            emit(
                UsageReported(window, token, len(counts), requests, instances, seconds)
            )
        self._parts.collection.drop_until(window)
        return True

    def _announce_recorded(self, window: int) -> None:
        token = self.token
        if token is not None:
            self._parts.term.announce(token, self._instance, window)

    def _take_notice(self, notice: DutyNotice) -> None:
        self._parts.term.take_notice(notice)
        self._parts.reporter.take_notice(notice)

    def _take_report(self, report: UsageReport, name: str) -> None:
        """Keep the counts of an instance and acknowledge them, as the holder."""
        notice = self._parts.sharing.notice
        if notice is None or notice.token != self.token:
            return
        if report.windows:
            self._parts.collection.take(name, report.run, report.windows)
        time_ms = self._compare_times(name, report.time_ms / _MS_PER_SECOND)
        receipt = UsageReceipt(report.run, list(report.windows), time_ms, notice)
        self._parts.sharing.send(receipt, name)

    def _compare_times(self, name: str, reported: float) -> int:
        """Return the time of the fleet in milliseconds, 0 if too few have told theirs.

        Without the median, the holder's own time would mislead others if it was wrong.
        """
        time = self._parts.time
        now = time.now()
        known = self._differences.setdefault(name, deque(maxlen=_KEPT_DIFFERENCES))
        known.append(reported - now)
        difference = compute_fleet_difference(
            [max(values) for values in self._differences.values()]
        )
        if difference is None:
            return 0
        if abs(difference) >= _MIN_OWN_DIFFERENCE_SECONDS:
            emit(ClockDiffersFromFleet(round(difference, 3)))
            time.correct(difference)
            self._differences.clear()
        return round((now + difference) * _MS_PER_SECOND)

    def _take_receipt(self, receipt: UsageReceipt, name: str) -> None:
        notice = self._parts.sharing.notice
        if notice is not None and notice.holder == name:
            self._parts.term.take_notice(notice)
        self._parts.reporter.take_receipt(receipt)
