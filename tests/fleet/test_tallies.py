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

    def count_slow_paces(self) -> dict[str, int]:
        """Return the streams of each version whose events came slowly."""
        report = self.tallies.collect().to_report("front-1")
        return {key.arm: counts.slow_gap for key, counts in report.counts.items()}

    def test_slow_paces_are_counted_for_the_answers_that_have_begun(self):
        """A version can begin its answers in time and send their events slowly."""
        self.moves.take_order(ORDER, 0.0)
        for _ in range(20):
            self.tallies.note_pace(self.old, ROUTE, 0.03, 200.0)
        self.note(self.old)
        self.note(self.new, count=2)
        self.tallies.note_pace(self.new, ROUTE, 0.06, 200.0)
        self.tallies.note_pace(self.new, ROUTE, 0.13, 200.0)
        self.assertEqual(self.count_slow_paces(), {OLD_ARM: 0, NEW_ARM: 1})
        self.assertEqual(self.count()[NEW_ARM], (2, 0, 0))

    def test_pace_of_a_newly_started_target_counts_unless_it_is_cold(self):
        self.moves.take_order(ORDER, 0.0)
        self.tallies.note_pace(self.old, ROUTE, 0.03, 200.0)
        self.tallies.note_pace(self.new, ROUTE, 0.3, 101.0)
        self.new.note_cold(50.0, 180.0)
        self.tallies.note_pace(self.new, ROUTE, 0.3, 200.0)
        self.assertEqual(self.count_slow_paces(), {OLD_ARM: 0, NEW_ARM: 1})

    def test_usual_latencies_are_known_before_the_order(self):
        self.note(self.old, count=20)
        self.tallies.note_pace(self.old, ROUTE, 0.03, 200.0)
        self.moves.take_order(ORDER, 0.0)
        self.note(self.new, seconds=0.9)
        self.tallies.note_pace(self.new, ROUTE, 0.2, 200.0)
        self.assertEqual(self.count(), {NEW_ARM: (1, 0, 1)})
        self.assertEqual(self.count_slow_paces(), {NEW_ARM: 1})

    def test_answer_that_breaks_after_its_start_is_one_failed_request(self):
        self.moves.take_order(ORDER, 0.0)
        self.note(self.new)
        self.tallies.note_break(self.new, ROUTE)
        self.assertEqual(self.count(), {NEW_ARM: (1, 1, 0)})

    def test_silence_counts_only_once_it_is_longer_than_usual(self):
        self.moves.take_order(ORDER, 0.0)
        self.note(self.old, count=20)
        self.assertFalse(self.tallies.note_silence(self.new, ROUTE, 0.2, 200.0))
        self.assertTrue(self.tallies.note_silence(self.new, ROUTE, 0.9, 200.0))
        self.assertEqual(self.count()[NEW_ARM], (1, 0, 1))

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
