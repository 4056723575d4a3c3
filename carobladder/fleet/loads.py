"""Loads of targets that instances tell each other."""

from collections.abc import Iterable

import msgspec

from carobladder.fleet.exchanges import TargetLoad
from carobladder.fleet.targets import TargetTable

__all__ = ["LoadReport", "LoadSharing", "is_usable_report"]

_MS_PER_SECOND = 1000
# Older reports are not told on; a load changes within about a second.
_TELL_SECONDS = 1.5
_MAX_AGE_MS = 5000
_MAX_LOAD = 100_000
# With the longest interval between messages an instance sends less than 4 KB/s.
_MAX_REPORTS = 24


class LoadReport(msgspec.Struct, array_like=True, frozen=True):
    """State the requests that a target held, and how long ago it said so."""

    target_id: str
    load: int
    age_ms: int


class LoadSharing:
    """Collect the newest stated loads and take those of other instances.

    An answer of a target states its load to one instance only. With many instances
    each of them sends too little to a target to know its load in time.
    """

    def __init__(self, table: TargetTable) -> None:
        self._table = table

    def collect(self, now: float) -> list[LoadReport]:
        """Return the newest reports, whoever they came from."""
        reports = []
        for target in self._table.list_all():
            stated = target.health.read_stated_load(now)
            if stated is not None and stated[1] <= _TELL_SECONDS:
                age_ms = round(stated[1] * _MS_PER_SECOND)
                reports.append(LoadReport(target.target_id, stated[0], age_ms))
        reports.sort(key=lambda report: report.age_ms)
        return reports[:_MAX_REPORTS]

    def take(self, reports: Iterable[LoadReport], now: float) -> None:
        """Use the reports that are newer than what is known."""
        for report in reports:
            target = self._table.find(report.target_id)
            if target is not None:
                load = TargetLoad(report.load, 0, target.entry.slots)
                target.health.note_load(load, now - report.age_ms / _MS_PER_SECOND)


def is_usable_report(report: LoadReport) -> bool:
    """Tell whether a report of another instance can be true and is not old."""
    fresh = 0 <= report.age_ms <= _MAX_AGE_MS
    return fresh and 0 <= report.load <= _MAX_LOAD
