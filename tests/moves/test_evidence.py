"""Tests of merged evidence and the sequential test."""

import unittest
from dataclasses import replace
from random import Random

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from carobladder.moves.evidence import (
    ComparisonPlan,
    Counts,
    EvidenceBook,
    EvidenceKey,
    EvidenceReport,
    LatencyBounds,
    Observation,
    SequentialTest,
    Verdict,
    count_observation,
    sum_requests,
)
from carobladder.targets import RequestClass

KEY = EvidenceKey("move", "v2", "chat", RequestClass.LONG)
STREAM = ("chat", "long")


class AddingBook(EvidenceBook):
    """Broken variant: adds each report, so a repeated one counts twice."""

    def merge(self, report: EvidenceReport) -> None:
        """Keep the report under a source of its own."""
        super().merge(replace(report, instance=f"{len(self._newest)}"))


class UnboundedTest(SequentialTest):
    """Broken variant: takes every fault for strong evidence, on either arm."""

    def _gain(self, ratio, old, new, faults_old, faults_new):
        return float(faults_new)


def report(sequence: int, requests: int, incarnation: int = 0) -> EvidenceReport:
    """Return a report of one instance."""
    return EvidenceReport("i1", incarnation, sequence, {KEY: Counts(requests)})


def merged_total(book: EvidenceBook, order: list[int]) -> int:
    """Return the requests after reports whose totals equal their sequence."""
    for sequence in order:
        book.merge(report(sequence, sequence))
    return sum_requests(book, "move", "v2")


def run_test(
    test: SequentialTest, run: int, old_rate: float, new_rate: float, share: float
) -> int | None:
    """Return the requests of the new arm until a fault shows, or None."""
    random = Random(run)
    old, new = Counts(), Counts()
    for second in range(0, 4000, 2):
        for _ in range(20):
            on_new = random.random() < share
            failed = random.random() < (new_rate if on_new else old_rate)
            one = Counts(1, int(failed))
            old, new = (old, new + one) if on_new else (old + one, new)
        test.update(STREAM, old, new, float(second))
        if test.verdict() is Verdict.FAULT:
            return new.requests
    return None


def false_alarms(make_test, runs: int = 30) -> int:
    """Return how many of the runs with equal arms show a fault."""
    results = [run_test(make_test(), run, 0.02, 0.02, 0.1) for run in range(runs)]
    return sum(result is not None for result in results)


class EvidenceBookTest(unittest.TestCase):
    """Guard against counts that are wrong after lost or repeated reports."""

    @seed(1)
    @given(st.lists(st.integers(1, 20), min_size=1, max_size=12))
    def test_lost_repeated_and_reordered_reports_do_no_harm(self, order: list[int]):
        self.assertEqual(merged_total(EvidenceBook(), order), max(order))

    def test_check_of_merging_catches_a_book_that_adds(self):
        self.assertNotEqual(merged_total(AddingBook(), [1, 2, 2]), 2)

    def test_restarted_instance_adds_to_its_earlier_counts(self):
        book = EvidenceBook()
        book.merge(report(5, 50))
        book.merge(report(1, 3, incarnation=1))
        self.assertEqual(sum_requests(book, "move", "v2"), 53)

    def test_forgotten_move_leaves_the_others(self):
        book = EvidenceBook()
        other = EvidenceKey("other", "v2", "chat", RequestClass.LONG)
        book.merge(EvidenceReport("i1", 0, 1, {KEY: Counts(1), other: Counts(2)}))
        book.forget_move("move")
        self.assertEqual(sum_requests(book, "move", "v2"), 0)
        self.assertEqual(sum_requests(book, "other", "v2"), 2)


class ObservationTest(unittest.TestCase):
    """Guard against moved chats that make a new version look slow."""

    def test_time_to_compute_an_uncached_prompt_is_not_slow(self):
        bounds = LatencyBounds()
        moved = Observation(False, 3.5, 0.02, uncached_tokens=24_000)
        self.assertEqual(count_observation(moved, bounds), Counts(1))
        slow = Observation(False, 3.5, 0.02, uncached_tokens=0)
        self.assertEqual(count_observation(slow, bounds), Counts(1, 0, 1, 0))

    def test_failed_request_counts_as_error_only(self):
        observation = Observation(True, 9.0, 9.0)
        self.assertEqual(count_observation(observation, LatencyBounds()), Counts(1, 1))


class SequentialTestTest(unittest.TestCase):
    """Guard against false alarms and against faults that stay unseen."""

    def make(self) -> SequentialTest:
        return SequentialTest(ComparisonPlan())

    def test_equal_arms_raise_no_alarm(self):
        self.assertEqual(false_alarms(self.make), 0)

    def test_check_of_alarms_catches_a_test_without_comparison(self):
        broken = false_alarms(lambda: UnboundedTest(ComparisonPlan()), runs=3)
        self.assertGreater(broken, 0)

    def test_noise_on_both_arms_raises_no_alarm(self):
        self.assertIsNone(run_test(self.make(), 1, 0.3, 0.3, 0.05))

    def test_failing_version_is_found_within_few_requests(self):
        found = [run_test(self.make(), run, 0.003, 0.6, 0.005) for run in range(20)]
        self.assertNotIn(None, found)
        self.assertLessEqual(max(n for n in found if n is not None), 40)

    def test_fault_after_a_long_good_time_is_found(self):
        test = self.make()
        old, new = Counts(), Counts()
        for second in range(0, 4000, 2):
            faults = 5 if second > 3600 else 0
            old, new = old + Counts(18, 0), new + Counts(10, faults)
            test.update(STREAM, old, new, float(second))
        self.assertIs(test.verdict(), Verdict.FAULT)

    def test_one_burst_within_a_period_is_no_fault(self):
        test = self.make()
        test.update(STREAM, Counts(100), Counts(100, 80), 2.0)
        self.assertIsNot(test.verdict(), Verdict.FAULT)

    def test_fault_stays_shown_when_the_last_answers_are_good(self):
        test = self.make()
        old, new = Counts(), Counts()
        for second in range(2, 100, 2):
            old, new = old + Counts(50), new + Counts(10, 8 if second < 40 else 0)
            test.update(STREAM, old, new, float(second))
        self.assertIs(test.verdict(), Verdict.FAULT)

    @seed(2)
    @settings(max_examples=50)
    @given(st.lists(st.tuples(st.integers(0, 99), st.integers(0, 99)), max_size=20))
    def test_totals_that_fall_do_not_break_the_test(self, totals):
        test = self.make()
        for number, (old, new) in enumerate(totals):
            test.update(STREAM, Counts(old), Counts(new), number * 60.0)
        self.assertIs(test.verdict(), Verdict.CLEAR)
