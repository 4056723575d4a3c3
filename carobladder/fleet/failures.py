"""Failure reports about unresponsive targets, exchanged between instances."""

import random
from collections import OrderedDict
from collections.abc import Iterable

import msgspec

from carobladder.fleet.targets import FleetTarget, TargetTable
from carobladder.telemetry import TargetDoubted, emit

__all__ = ["FailureGossip", "FailureReport"]

_MS_PER_SECOND = 1000
_REPORT_ID_BITS = 32
# Times that an instance resends a report after the message that is sent at once.
_RETRANSMISSIONS = 2
_MAX_REPORTS_PER_MESSAGE = 8
_MAX_AGE_MS = 10_000
_MAX_KNOWN_REPORTS = 512


class FailureReport(msgspec.Struct, array_like=True, frozen=True):
    """Report that a target has sent nothing since a request that is ``age_ms`` old.

    ``report_id`` is random and identifies the report, to detect duplicates.
    """

    target_id: str
    age_ms: int
    report_id: int


class FailureGossip:
    """Gossip of failure reports about unresponsive targets.

    In a fleet of hundreds of instances each of them sends a request to a given target
    only twice a minute. Without shared reports each instance would lose a request of
    its own before it avoids an unresponsive target.
    """

    def __init__(self, table: TargetTable, generator: random.Random) -> None:
        self._table = table
        self._generator = generator
        self._known: OrderedDict[int, None] = OrderedDict()
        # Reports to send, with the time of the request and the sends left.
        self._pending: dict[int, tuple[FleetTarget, float, int]] = {}

    def note_silence(self, target: FleetTarget, sent_at: float, now: float) -> bool:
        """Record that a request got no byte; return whether to report the target.

        If no other target has answered since either, this instance may itself be cut
        off from the network, and nothing is reported.
        """
        others = (t for t in self._table.list_all() if t is not target)
        if not any(other.health.last_byte_at > sent_at for other in others):
            return False
        report_id = self._generator.getrandbits(_REPORT_ID_BITS)
        return self._accept(report_id, target, sent_at, now)

    def take(self, reports: Iterable[FailureReport], now: float) -> bool:
        """Apply reports of another instance; return whether any must be forwarded."""
        is_new = False
        for report in reports:
            target = self._table.find(report.target_id)
            if target is None or not 0 <= report.age_ms <= _MAX_AGE_MS:
                continue
            silent_since = now - report.age_ms / _MS_PER_SECOND
            is_new |= self._accept(report.report_id, target, silent_since, now)
        return is_new

    def collect(self, now: float) -> list[FailureReport]:
        """Return the reports to send now, and count one send for each."""
        reports = []
        for report_id in list(self._pending)[:_MAX_REPORTS_PER_MESSAGE]:
            target, silent_since, sends_left = self._pending.pop(report_id)
            age_ms = round((now - silent_since) * _MS_PER_SECOND)
            reports.append(FailureReport(target.target_id, age_ms, report_id))
            if sends_left:
                self._pending[report_id] = target, silent_since, sends_left - 1
        return reports

    def _accept(
        self, report_id: int, target: FleetTarget, silent_since: float, now: float
    ) -> bool:
        if report_id in self._known or target.health.is_reported_failed(now):
            return False
        self._known[report_id] = None
        if len(self._known) > _MAX_KNOWN_REPORTS:
            self._known.popitem(last=False)
        seconds = target.health.note_failure_report(silent_since, now)
        if seconds:
            emit(TargetDoubted(target.target_id, round(seconds, 2)))
        self._pending[report_id] = target, silent_since, _RETRANSMISSIONS
        return True
