"""Counts of answers per version during a version move, and their wire format."""

from dataclasses import replace

import msgspec

from carobladder.decoding import DECODE_ERRORS
from carobladder.fleet.comparison import NEW_ARM, OLD_ARM, LatencyBaseline
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
# First bytes are late for this time after the start of a target, whatever its version.
_WARMUP_SECONDS = 5.0
# Time by which a slow answer exceeds the multiple of the usual one. The first bytes of
# prompts that the new targets have not cached yet stay below this limit.
_FIRST_BYTE_MARGIN_SECONDS = 0.05
_PACE_MARGIN_SECONDS = 0.01
_REQUEST_CLASSES = {
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
    slow_gap: int = 0
    paced: int = 0
    bad: int = 0


class InstanceEvidence(msgspec.Struct, array_like=True, frozen=True):
    """Counts that one run of an instance has collected for the active moves.

    ``old_requests`` maps each move to the requests in flight at targets of the old
    versions.
    """

    protocol: int
    incarnation: int
    sequence: int
    old_requests: dict[str, int]
    rows: list[_Row]

    def to_report(self, instance: str) -> EvidenceReport:
        """Return the counts as a report for an ``EvidenceBook``."""
        counts = {
            EvidenceKey(row.move_id, row.arm, row.route, row.request_class): Counts(
                requests=row.requests,
                errors=row.errors,
                slow_first=row.slow,
                slow_gap=row.slow_gap,
                paced=row.paced,
                bad=row.bad,
            )
            for row in self.rows
        }
        return EvidenceReport(instance, self.incarnation, self.sequence, counts)


_evidence_decoder = msgspec.msgpack.Decoder(InstanceEvidence)


def encode_evidence(evidence: InstanceEvidence) -> bytes:
    """Return the stored form of the evidence."""
    return msgspec.msgpack.encode(evidence)


def decode_evidence(data: bytes) -> InstanceEvidence:
    """Return the evidence of a record; raises ValueError if it is malformed."""
    try:
        evidence = _evidence_decoder.decode(data)
    except DECODE_ERRORS as error:
        raise ValueError(f"malformed evidence of a move: {error}") from None
    if evidence.protocol != _PROTOCOL_VERSION:
        raise ValueError(f"unsupported protocol version {evidence.protocol}")
    return evidence


class AnswerTallies:
    """Counts of the answers that this instance received during version moves."""

    def __init__(
        self, moves: VersionMoves, table: TargetTable, incarnation: int
    ) -> None:
        self._moves = moves
        self._table = table
        self._incarnation = incarnation
        self._sequence = 0
        self._first_bytes = LatencyBaseline(_FIRST_BYTE_MARGIN_SECONDS)
        self._paces = LatencyBaseline(_PACE_MARGIN_SECONDS)
        self._counts: dict[EvidenceKey, Counts] = {}

    def note_answer(
        self,
        target: FleetTarget,
        route: Route,
        *,
        failed: bool,
        first_byte_seconds: float,
        now: float,
    ) -> bool:
        """Count an answer; ``failed`` marks a failure of the target itself.

        Returns whether the answer is failed or slow.
        """
        slow = not failed and self._is_slow(target, route, first_byte_seconds, now)
        if not failed:
            self._learn(self._first_bytes, target, route, first_byte_seconds)
        counts = Counts(requests=1, errors=int(failed), slow_first=int(slow))
        self._count(target, route, counts)
        return failed or slow

    def note_pace(
        self, target: FleetTarget, route: Route, seconds: float, now: float
    ) -> bool:
        """Count the pace of a stream whose answer was counted, in seconds per event.

        Returns whether the stream is slow.
        """
        slow = not target.is_cold(now) and self._paces.is_slow(route.name, seconds)
        self._count(target, route, Counts(slow_gap=int(slow), paced=1))
        self._learn(self._paces, target, route, seconds)
        return slow

    def note_break(self, target: FleetTarget, route: Route) -> None:
        """Count the failure of an answer that was counted when it began."""
        self._count(target, route, Counts(errors=1))

    def note_bad(self, target: FleetTarget, route: Route) -> None:
        """Count a request with a fault of any kind; call it once for each request."""
        self._count(target, route, Counts(bad=1))

    def note_silence(
        self, target: FleetTarget, route: Route, seconds: float, now: float
    ) -> bool:
        """Count a request without an answer as slow if it has waited long enough.

        Returns whether it was counted and is slow.
        """
        slow = self._is_slow(target, route, seconds, now)
        if slow:
            self._count(target, route, Counts(requests=1, slow_first=1))
        return slow

    def renumber(self, move_id_before: str, move_id: str) -> None:
        """Assign the counts of a move to its new id."""
        self._counts = {
            replace(key, move_id=move_id) if key.move_id == move_id_before else key: c
            for key, c in self._counts.items()
        }

    def _find_move(self, target: FleetTarget) -> VersionMove | None:
        """Return the active move of the target's service, or None."""
        move = self._moves.services.get(target.entry.service)
        return move if move is not None and move.active else None

    def _learn(
        self,
        baseline: LatencyBaseline,
        target: FleetTarget,
        route: Route,
        seconds: float,
    ) -> None:
        """Add a sample to a baseline unless it is of a version that is introduced."""
        move = self._find_move(target)
        if move is None or not move.is_new_version(target):
            baseline.add_sample(route.name, seconds)

    def _count(self, target: FleetTarget, route: Route, counts: Counts) -> None:
        move = self._find_move(target)
        if move is None:
            return
        arm = NEW_ARM if move.is_new_version(target) else OLD_ARM
        key = EvidenceKey(move.move_id, arm, route.name, _REQUEST_CLASSES[route.kind])
        self._counts[key] = self._counts.get(key, Counts()) + counts

    def _is_slow(
        self, target: FleetTarget, route: Route, seconds: float, now: float
    ) -> bool:
        if target.is_cold(now) or now - target.seen_at < _WARMUP_SECONDS:
            return False
        return self._first_bytes.is_slow(route.name, seconds)

    def collect(self) -> InstanceEvidence:
        """Return the counts of active moves and delete those of ended ones."""
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
                counts.slow_gap,
                counts.paced,
                counts.bad,
            )
            for key, counts in self._counts.items()
        ]
        return InstanceEvidence(
            protocol=_PROTOCOL_VERSION,
            incarnation=self._incarnation,
            sequence=self._sequence,
            old_requests={
                k: self._count_old_requests(move) for k, move in active.items()
            },
            rows=rows,
        )

    def _count_old_requests(self, move: VersionMove) -> int:
        return sum(
            target.health.in_flight
            for target in self._table.list_registered(move.order.service)
            if not move.is_new_version(target)
        )
