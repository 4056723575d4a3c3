"""Reports about the rate limits of targets, exchanged between instances."""

from collections.abc import Iterable

import msgspec

from carobladder.clock import Clock
from carobladder.fleet.targets import FleetTarget, TargetTable
from carobladder.telemetry import TargetLimited, TargetUnlimited, emit

__all__ = ["RateGossip", "RateReport", "log_rate_change"]

_MS_PER_SECOND = 1000
# Older statements are not passed on; those of a limited target are confirmed by each
# response, and the end of a limit has reached all instances by then.
_MAX_AGE_MS = 10_000
_MAX_REPORTS_PER_MESSAGE = 12
_MAX_PER_SECOND = 1e6
_PEER_SOURCE = "peer"


class RateReport(msgspec.Struct, array_like=True, frozen=True):
    """Rate limit that a target named ``age_ms`` ago, None if it named none any more.

    ``tag`` is the tag of the target.
    """

    tag: int
    per_second: float | None
    age_ms: int


class RateGossip:
    """Gossip of the newest rate limits.

    A limit holds for all instances together, but each response reaches only one. In a
    large fleet an instance meets a given target only every few seconds.
    """

    def __init__(self, table: TargetTable, clock: Clock) -> None:
        self._table = table
        self._clock = clock

    def collect(self) -> list[RateReport]:
        """Return the newest statements about targets that have limited their rate."""
        now = self._clock.boottime()
        reports = []
        for target in self._table.list_all():
            if target.rate_limit is None and not target.was_limited:
                continue
            age_ms = round((now - target.rate_stated_at) * _MS_PER_SECOND)
            if age_ms <= _MAX_AGE_MS:
                reports.append(RateReport(target.tag, target.rate_limit, age_ms))
        reports.sort(key=lambda report: report.age_ms)
        return reports[:_MAX_REPORTS_PER_MESSAGE]

    def take(self, reports: Iterable[RateReport]) -> bool:
        """Apply newer statements; return whether a limit has begun or ended by them."""
        now = self._clock.boottime()
        has_changed = False
        for report in reports:
            target = self._table.find_by_tag(report.tag)
            if target is None or not _is_usable(report):
                continue
            stated_at = now - report.age_ms / _MS_PER_SECOND
            if target.note_rate_limit(report.per_second, stated_at):
                log_rate_change(target, _PEER_SOURCE)
                has_changed = True
        return has_changed


def log_rate_change(target: FleetTarget, source: str) -> None:
    """Log that the rate limit of a target has begun or ended."""
    if target.rate_limit is None:
        emit(TargetUnlimited(target.target_id, source))
    else:
        emit(TargetLimited(target.target_id, source, target.rate_limit))


def _is_usable(report: RateReport) -> bool:
    """Return whether a report of another instance is plausible and recent."""
    is_recent = 0 <= report.age_ms <= _MAX_AGE_MS
    return is_recent and (
        report.per_second is None or 0.0 <= report.per_second <= _MAX_PER_SECOND
    )
