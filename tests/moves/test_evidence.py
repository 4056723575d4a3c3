"""Tests of merged evidence and of the sequential test."""

import unittest
from dataclasses import replace
from random import Random

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from carobladder.moves.evidence import (
    ComparisonPlan,
    Counts,
    EvidenceKey,
    EvidenceReport,
    EvidenceStore,
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


class AccumulatingStore(EvidenceStore):
    """Faulty variant that adds up all reports, so a repeated one counts twice."""

    def merge(self, report: EvidenceReport) -> None:
        """Store the report as if it came from a new instance."""
        super().merge(replace(report, instance=f"{len(self._newest)}"))


class NonComparativeTest(SequentialTest):
    """Faulty variant that counts all faults of the new arm and ignores the old one."""

    def _compute_increment(self, ratio, old, new, faults_old, faults_new):
        return float(faults_new)


def report(sequence: int, requests: int, incarnation: int = 0) -> EvidenceReport:
    """Return a report of instance i1."""
    return EvidenceReport("i1", incarnation, sequence, {KEY: Counts(requests)})


def merged_total(store: EvidenceStore, order: list[int]) -> int:
    """Merge reports whose totals equal their sequence numbers; return the requests."""
    for sequence in order:
        store.merge(report(sequence, sequence))
    return sum_requests(store, "move", "v2")


def run_test(
    test: SequentialTest, run: int, old_rate: float, new_rate: float, share: float
) -> int | None:
    """Return the requests of the new arm until a fault is detected, or None."""
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


def count_false_alarms(make_test, runs: int = 30) -> int:
    """Return in how many runs with equal arms a fault is reported."""
    results = [run_test(make_test(), run, 0.02, 0.02, 0.1) for run in range(runs)]
    return sum(result is not None for result in results)


class EvidenceStoreTest(unittest.TestCase):
    """Guard against wrong counts after lost, repeated or reordered reports."""

    @seed(1)
    @given(st.lists(st.integers(1, 20), min_size=1, max_size=12))
    def test_lost_repeated_and_reordered_reports_are_counted_once(
        self, order: list[int]
    ):
        self.assertEqual(merged_total(EvidenceStore(), order), max(order))

    def test_check_detects_a_store_that_adds_up_reports(self):
        self.assertNotEqual(merged_total(AccumulatingStore(), [1, 2, 2]), 2)

    def test_restarted_instance_adds_to_its_earlier_counts(self):
        store = EvidenceStore()
        store.merge(report(5, 50))
        store.merge(report(1, 3, incarnation=1))
        self.assertEqual(sum_requests(store, "move", "v2"), 53)

    def test_forgetting_a_move_keeps_the_others(self):
        store = EvidenceStore()
        other = EvidenceKey("other", "v2", "chat", RequestClass.LONG)
        store.merge(EvidenceReport("i1", 0, 1, {KEY: Counts(1), other: Counts(2)}))
        store.forget_move("move")
        self.assertEqual(sum_requests(store, "move", "v2"), 0)
        self.assertEqual(sum_requests(store, "other", "v2"), 2)


class ObservationTest(unittest.TestCase):
    """Guard against chats without cached context that make a new version look slow."""

    def test_prefill_time_of_an_uncached_prompt_does_not_count_as_slow(self):
        bounds = LatencyBounds()
        moved = Observation(False, 3.5, 0.02, uncached_tokens=24_000)
        self.assertEqual(count_observation(moved, bounds), Counts(1))
        slow = Observation(False, 3.5, 0.02, uncached_tokens=0)
        self.assertEqual(count_observation(slow, bounds), Counts(1, 0, 1, 0))

    def test_failed_request_counts_as_error_only(self):
        observation = Observation(True, 9.0, 9.0)
        self.assertEqual(count_observation(observation, LatencyBounds()), Counts(1, 1))


class SequentialTestTest(unittest.TestCase):
    """Guard against false alarms and undetected faults."""

    def make(self) -> SequentialTest:
        return SequentialTest(ComparisonPlan())

    def test_equal_arms_raise_no_alarm(self):
        self.assertEqual(count_false_alarms(self.make), 0)

    def test_check_detects_a_test_without_comparison(self):
        alarms = count_false_alarms(
            lambda: NonComparativeTest(ComparisonPlan()), runs=3
        )
        self.assertGreater(alarms, 0)

    def test_noise_on_both_arms_raises_no_alarm(self):
        self.assertIsNone(run_test(self.make(), 1, 0.3, 0.3, 0.05))

    def test_failing_version_is_detected_within_few_requests(self):
        detected = [run_test(self.make(), run, 0.003, 0.6, 0.005) for run in range(20)]
        self.assertNotIn(None, detected)
        self.assertLessEqual(max(n for n in detected if n is not None), 40)

    def test_fault_after_a_long_period_without_faults_is_detected(self):
        test = self.make()
        old, new = Counts(), Counts()
        for second in range(0, 4000, 2):
            faults = 5 if second > 3600 else 0
            old, new = old + Counts(18, 0), new + Counts(10, faults)
            test.update(STREAM, old, new, float(second))
        self.assertIs(test.verdict(), Verdict.FAULT)

    def test_one_burst_within_a_period_is_not_a_fault(self):
        test = self.make()
        test.update(STREAM, Counts(100), Counts(100, 80), 2.0)
        self.assertIsNot(test.verdict(), Verdict.FAULT)

    def test_fault_verdict_is_kept_when_later_answers_succeed(self):
        test = self.make()
        old, new = Counts(), Counts()
        for second in range(2, 100, 2):
            old, new = old + Counts(50), new + Counts(10, 8 if second < 40 else 0)
            test.update(STREAM, old, new, float(second))
        self.assertIs(test.verdict(), Verdict.FAULT)

    @seed(2)
    @settings(max_examples=50)
    @given(st.lists(st.tuples(st.integers(0, 99), st.integers(0, 99)), max_size=20))
    def test_decreasing_totals_raise_no_alarm(self, totals):
        test = self.make()
        for number, (old, new) in enumerate(totals):
            test.update(STREAM, Counts(old), Counts(new), number * 60.0)
        self.assertIs(test.verdict(), Verdict.CLEAR)
