"""Counts of the answers of both versions in a move, and their messages."""

import msgspec

from carobladder.fleet.evidence import NEW_ARM, OLD_ARM, LatencyBaseline
from carobladder.fleet.targets import FleetTarget, TargetTable
from carobladder.fleet.versions import VersionMove, VersionMoves
from carobladder.moves.evidence import Counts, EvidenceKey, EvidenceReport
from carobladder.routing import Route, RouteKind
from carobladder.targets import RequestClass

__all__ = [
    "AnswerTallies",
    "InstanceEvidence",
    "decode_evidence",
    "encode_evidence",
]

_PROTOCOL_VERSION = 1
# A target that has just started is slow, whatever its version.
_WARMUP_SECONDS = 5.0
_CLASSES = {
    RouteKind.SAFE: RequestClass.SHORT,
    RouteKind.UNSAFE: RequestClass.BOOKING,
    RouteKind.STREAMING: RequestClass.LONG,
}


class _Row(msgspec.Struct, array_like=True, frozen=True):
    move_id: str
    arm: str
    route: str
    request_class: RequestClass
    requests: int
    errors: int
    slow: int


class InstanceEvidence(msgspec.Struct, array_like=True, frozen=True):
    """Carry what one run of an instance has seen in the moves under way.

    ``old_requests`` are the requests in flight at old targets, by move.
    """

    protocol: int
    incarnation: int
    sequence: int
    old_requests: dict[str, int]
    rows: list[_Row]

    def to_report(self, instance: str) -> EvidenceReport:
        """Return the counts as they are merged."""
        counts = {
            EvidenceKey(row.move_id, row.arm, row.route, row.request_class): Counts(
                requests=row.requests, errors=row.errors, slow_first=row.slow
            )
            for row in self.rows
        }
        return EvidenceReport(instance, self.incarnation, self.sequence, counts)


_decoder = msgspec.msgpack.Decoder(InstanceEvidence)


def encode_evidence(evidence: InstanceEvidence) -> bytes:
    """Return the record for other instances."""
    return msgspec.msgpack.encode(evidence)


def decode_evidence(data: bytes) -> InstanceEvidence:
    """Return what a record carries; raises ValueError for another one."""
    try:
        evidence = _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ValueError(f"not evidence of a move: {error}") from None
    if evidence.protocol != _PROTOCOL_VERSION:
        raise ValueError(f"unknown version {evidence.protocol}")
    return evidence


class AnswerTallies:
    """Count the answers of this instance while a version takes over."""

    def __init__(
        self, moves: VersionMoves, table: TargetTable, incarnation: int
    ) -> None:
        self._moves = moves
        self._table = table
        self._incarnation = incarnation
        self._sequence = 0
        self._baseline = LatencyBaseline()
        self._counts: dict[EvidenceKey, Counts] = {}

    def note_answer(
        self,
        target: FleetTarget,
        route: Route,
        *,
        failed: bool,
        first_byte_seconds: float,
        now: float,
    ) -> None:
        """Count an answer; ``failed`` marks one that is the target's own failure."""
        move = self._moves.services.get(target.entry.service)
        if move is None or not move.active:
            return
        is_new = move.takes_over(target)
        slow = not failed and self._judge(target, route, first_byte_seconds, now)
        if not (failed or is_new):
            self._baseline.note_usual(route.name, first_byte_seconds)
        arm = NEW_ARM if is_new else OLD_ARM
        key = EvidenceKey(move.move_id, arm, route.name, _CLASSES[route.kind])
        seen = Counts(requests=1, errors=int(failed), slow_first=int(slow))
        self._counts[key] = self._counts.get(key, Counts()) + seen

    def _judge(
        self, target: FleetTarget, route: Route, seconds: float, now: float
    ) -> bool:
        if target.is_cold(now) or now - target.seen_at < _WARMUP_SECONDS:
            return False
        return self._baseline.is_slow(route.name, seconds)

    def collect(self) -> InstanceEvidence:
        """Return what was counted in the moves under way; ended ones are dropped."""
        active = {move.move_id: move for move in self._moves.active}
        self._counts = {k: c for k, c in self._counts.items() if k.move_id in active}
        self._sequence += 1
        rows = [
            _Row(
                key.move_id,
                key.arm,
                key.route,
                key.request_class,
                counts.requests,
                counts.errors,
                counts.slow_first,
            )
            for key, counts in self._counts.items()
        ]
        return InstanceEvidence(
            protocol=_PROTOCOL_VERSION,
            incarnation=self._incarnation,
            sequence=self._sequence,
            old_requests={k: self._count_old(move) for k, move in active.items()},
            rows=rows,
        )

    def _count_old(self, move: VersionMove) -> int:
        return sum(
            target.health.in_flight
            for target in self._table.list_registered(move.order.service)
            if not move.takes_over(target)
        )
