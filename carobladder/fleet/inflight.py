"""Numbers of requests in flight at targets, exchanged between instances."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from carobladder.fleet.targets import TargetTable

__all__ = ["InFlightGossip", "InFlightReport"]

# An instance that has sent no report for this long has probably ended.
_REPORT_EXPIRY_SECONDS = 2.5
# A report with a lower number is an old one that was delayed, unless the last one is
# older than this; then its sender has restarted.
_REORDERING_SECONDS = 0.5
_MAX_REPORTED_TARGETS = 64
_MAX_COUNT = 100_000


class InFlightReport(msgspec.Struct, array_like=True, frozen=True, tag="in-flight"):
    """Message with the requests that an instance has in flight, by target tag.

    Targets without any are left out. ``number`` grows with each report of a run of the
    instance.
    """

    number: int
    counts: dict[int, int]


@dataclass(slots=True)
class _PeerCounts:
    """Newest report of an instance."""

    number: int
    received_at: float
    counts: Mapping[int, int] = field(default_factory=dict)


class InFlightGossip:
    """Sums of the requests that other instances have in flight at each target.

    A target states its load only when it begins to answer. Until then, instances that
    do not tell each other what they send would all choose the target that was idle.
    """

    def __init__(self, table: TargetTable) -> None:
        self._table = table
        self._last_number = 0
        self._peers: dict[str, _PeerCounts] = {}
        self._sums: Counter[int] = Counter()

    def collect(self) -> InFlightReport | None:
        """Return the report of this instance, or None if it would be too long."""
        counts = {
            target.tag: target.health.in_flight
            for target in self._table.list_all()
            if target.health.in_flight
        }
        if len(counts) > _MAX_REPORTED_TARGETS:
            return None
        self._last_number += 1
        return InFlightReport(self._last_number, counts)

    def take(self, peer: str, report: InFlightReport, now: float) -> None:
        """Apply the report of another instance unless a newer one is known.

        ``now`` is in monotonic seconds.
        """
        known = self._peers.get(peer)
        if known is not None and _is_reordered(report, known, now):
            return
        counts = {
            tag: count for tag, count in report.counts.items() if _is_plausible(count)
        }
        self._peers[peer] = _PeerCounts(report.number, now, counts)
        self._replace(known.counts if known else {}, counts)

    def expire(self, now: float) -> None:
        """Drop the reports of instances that have sent none for a while."""
        for peer, known in list(self._peers.items()):
            if now - known.received_at > _REPORT_EXPIRY_SECONDS:
                del self._peers[peer]
                self._replace(known.counts, {})
                if not self._peers:
                    self._forget_all()

    def _replace(self, before: Mapping[int, int], after: Mapping[int, int]) -> None:
        """Replace the counts of an instance in the sums and at the targets."""
        self._sums.subtract(before)
        self._sums.update(after)
        for tag in before.keys() | after.keys():
            target = self._table.find_by_tag(tag)
            if target is not None:
                target.health.peers_in_flight = self._sums[tag]
            if not self._sums[tag]:
                del self._sums[tag]

    def _forget_all(self) -> None:
        for target in self._table.list_all():
            target.health.peers_in_flight = None


def _is_reordered(report: InFlightReport, known: _PeerCounts, now: float) -> bool:
    is_newer = report.number > known.number
    return not is_newer and now - known.received_at < _REORDERING_SECONDS


def _is_plausible(count: int) -> bool:
    return 0 < count <= _MAX_COUNT
