"""Tests of the answer counts during a move and of their encoding."""

import unittest

from carobladder.fleet import (
    NEW_ARM,
    OLD_ARM,
    AnswerTallies,
    InstanceEvidence,
    RolloutOrder,
    TargetTable,
    VersionMoves,
    decode_evidence,
    encode_evidence,
)
from carobladder.routing import Route, RouteKind, ServiceWeight
from tests.fleet.builders import build_entry

ORDER = RolloutOrder("engine", "v2", 30.0, 5)
ROUTE = Route("r", "h", "/", RouteKind.SAFE, (ServiceWeight("engine"),), 1.0, 0.5)


class AnswerTalliesTest(unittest.TestCase):
    """Guard against counts that are lost, doubled or assigned to a wrong version."""

    def setUp(self):
        table = TargetTable()
        self.old = table.apply(build_entry("i-1"), 0.0)
        self.new = table.apply(build_entry("i-2", version="v2"), 100.0)
        self.moves = VersionMoves(0.1)
        self.tallies = AnswerTallies(self.moves, table, incarnation=8)

    def note(self, target, *, failed=False, seconds=0.1, now=200.0, count=1) -> None:
        """Record some answers of a target."""
        for _ in range(count):
            self.tallies.note_answer(
                target, ROUTE, failed=failed, first_byte_seconds=seconds, now=now
            )

    def count(self) -> dict[str, tuple[int, int, int]]:
        """Return the requests, errors and slow answers of each version."""
        rows = decode_evidence(encode_evidence(self.tallies.collect())).rows
        return {row.arm: (row.requests, row.errors, row.slow) for row in rows}

    def test_nothing_is_counted_without_an_order(self):
        self.note(self.old)
        self.assertEqual(self.count(), {})

    def test_answers_of_both_versions_are_counted(self):
        self.moves.take_order(ORDER, 0.0)
        self.note(self.old, count=20)
        self.note(self.old, failed=True)
        self.note(self.new, seconds=0.9)
        self.note(self.new, failed=True, seconds=0.9)
        self.assertEqual(self.count(), {OLD_ARM: (21, 1, 0), NEW_ARM: (2, 1, 1)})

    def test_newly_started_or_cold_target_is_not_counted_as_slow(self):
        self.moves.take_order(ORDER, 0.0)
        self.note(self.old, count=20)
        self.note(self.new, seconds=2.0, now=104.0)
        self.new.note_cold(50.0, 180.0)
        self.note(self.new, seconds=2.0, now=200.0)
        self.assertEqual(self.count()[NEW_ARM], (2, 0, 0))

    def test_requests_at_old_targets_are_reported(self):
        self.moves.take_order(ORDER, 0.0)
        self.old.health.in_flight = 3
        self.new.health.in_flight = 2
        (count,) = self.tallies.collect().old_requests.values()
        self.assertEqual(count, 3)

    def test_counts_of_a_replaced_move_are_deleted(self):
        self.moves.take_order(ORDER, 0.0)
        self.note(self.old)
        self.moves.take_order(RolloutOrder("engine", "v3", 30.0, 6), 0.0)
        self.assertEqual(self.count(), {})

    def test_report_contains_incarnation_and_sequence(self):
        self.moves.take_order(ORDER, 0.0)
        self.note(self.old)
        first, second = self.tallies.collect(), self.tallies.collect()
        report = second.to_report("front-1")
        self.assertEqual((report.instance, report.incarnation), ("front-1", 8))
        self.assertGreater(second.sequence, first.sequence)
        self.assertEqual([c.requests for c in report.counts.values()], [1])

    def test_malformed_records_are_rejected(self):
        whole = encode_evidence(self.tallies.collect())
        other = encode_evidence(InstanceEvidence(9, 1, 1, {}, []))
        for data in (b"", whole[:-1], b"\xc1", b"{}", other):
            with self.subTest(data=data), self.assertRaises(ValueError):
                decode_evidence(data)
