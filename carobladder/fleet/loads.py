"""Load reports about targets, exchanged between instances."""

from collections.abc import Iterable

import msgspec

from carobladder.fleet.exchanges import TargetLoad
from carobladder.fleet.targets import FleetTarget, TargetTable

__all__ = ["LoadGossip", "LoadReport", "is_usable_report", "shorten_reports"]

_MS_PER_SECOND = 1000
_USUAL_PERCENT = 100
# Older reports are not forwarded, as a load changes within about a second.
_MAX_FORWARD_AGE_SECONDS = 1.5
_MAX_AGE_MS = 5000
_MAX_LOAD = 100_000
_MAX_PERCENT = 100_000
# Keeps the traffic of an instance below 4 KB/s at the longest message interval.
_MAX_REPORTS_PER_MESSAGE = 24


class LoadReport(msgspec.Struct, array_like=True, frozen=True):
    """Number of requests at a target and the age of this information.

    ``slowness_percent`` is the slowness that the target stated with it, where 100 is
    usual, or None. Instances of earlier versions neither send nor read it.
    """

    target_id: str
    load: int
    age_ms: int
    slowness_percent: int | None = None


class _ShortReport(msgspec.Struct, array_like=True, frozen=True):
    """Wire form of a report without a slowness."""

    target_id: str
    load: int
    age_ms: int


class LoadGossip:
    """Gossip of the newest target loads.

    A target reports its load in each response, which reaches one instance only. In a
    large fleet each instance sends too few requests to a target to learn its load in
    time.
    """

    def __init__(self, table: TargetTable) -> None:
        self._table = table

    def collect(self, now: float) -> list[LoadReport]:
        """Return the newest reports, own ones and those of other instances."""
        reports = []
        for target in self._table.list_all():
            latest = target.health.read_latest_load(now)
            if latest is not None and latest[1] <= _MAX_FORWARD_AGE_SECONDS:
                age_ms = round(latest[1] * _MS_PER_SECOND)
                percent = _read_percent(target, latest[1], now)
                report = LoadReport(target.target_id, latest[0], age_ms, percent)
                reports.append(report)
        reports.sort(key=lambda report: report.age_ms)
        return _limit_bytes(reports[:_MAX_REPORTS_PER_MESSAGE])

    def take(self, reports: Iterable[LoadReport], now: float) -> None:
        """Apply the reports that are newer than the known loads."""
        for report in reports:
            target = self._table.find(report.target_id)
            if target is not None:
                percent = report.slowness_percent
                slowness = None if percent is None else percent / _USUAL_PERCENT
                load = TargetLoad(report.load, 0, target.entry.slots, slowness)
                target.note_load(load, now - report.age_ms / _MS_PER_SECOND)


def shorten_reports(
    reports: Iterable[LoadReport],
) -> list[LoadReport | _ShortReport]:
    """Return the reports in wire form, where a missing slowness takes no byte."""
    return [
        report if report.slowness_percent is not None else _shorten(report)
        for report in reports
    ]


def _limit_bytes(reports: list[LoadReport]) -> list[LoadReport]:
    """Return the first reports that fit into the bytes of a full datagram's loads.

    These are the bytes that such reports take without a slowness. The oldest reports
    give way to the slowness of the others.
    """
    if not reports:
        return reports
    total = sum(_measure(_shorten(report)) for report in reports)
    room = total * _MAX_REPORTS_PER_MESSAGE // len(reports)
    kept = []
    for report in reports:
        room -= _measure(*shorten_reports([report]))
        if room < 0:
            break
        kept.append(report)
    return kept


def _measure(report: LoadReport | _ShortReport) -> int:
    return len(msgspec.msgpack.encode(report))


def _shorten(report: LoadReport) -> _ShortReport:
    return _ShortReport(report.target_id, report.load, report.age_ms)


def _read_percent(target: FleetTarget, load_age: float, now: float) -> int | None:
    """Return the slowness that the target stated with its newest load, in percent."""
    slowness = target.slowness
    if slowness.stated is None or slowness.read_age(now) != load_age:
        return None
    return round(slowness.stated * _USUAL_PERCENT)


def is_usable_report(report: LoadReport) -> bool:
    """Return whether a report of another instance is plausible and recent."""
    is_recent = 0 <= report.age_ms <= _MAX_AGE_MS
    percent = report.slowness_percent
    is_plausible = percent is None or 0 < percent <= _MAX_PERCENT
    return is_recent and is_plausible and 0 <= report.load <= _MAX_LOAD
