"""Tests of the comparison of a new version with the old versions."""

import random
import unittest

from carobladder.fleet import (
    ANY_ROUTE,
    NEW_ARM,
    OLD_ARM,
    LatencyBaseline,
    VersionComparison,
)
from carobladder.moves.evidence import (
    Counts,
    EvidenceKey,
    EvidenceReport,
    EvidenceStore,
)
from carobladder.targets import RequestClass

MOVE = "engine/v2/5"
ARMS = (OLD_ARM, NEW_ARM)


class Traffic:
    """Generator of random responses of both versions on three routes."""

    def __init__(self, seed: int = 1) -> None:
        self.comparison = VersionComparison()
        self.now = 0.0
        self.bad_answers = 0
        self._generator = random.Random(seed)
        self._book = EvidenceStore()
        self._totals: dict[EvidenceKey, Counts] = {}
        self._sequence = 0

    def run(
        self,
        seconds: float,
        *,
        share=0.04,
        old=0.01,
        new=0.01,
        slow=0.0,
        slow_gap=0.0,
        routes="abc",
    ):
        """Run 100 requests per second; ``old`` and ``new`` are the failure rates.

        ``slow`` is the rate of slow responses of the new version, ``slow_gap`` that of
        responses with slow events, and ``routes`` are the routes on which it fails.
        """
        for _ in range(int(seconds)):
            self.now += 1.0
            for _ in range(100):
                self._add(share, old, new, slow, slow_gap, routes)
            self._sequence += 1
            report = EvidenceReport("a", 1, self._sequence, dict(self._totals))
            self._book.merge(report)
            self.comparison.update(self._book, MOVE, self.now)
            if self.comparison.faulty:
                return

    def _add(self, share, old, new, slow, slow_gap, routes):
        draw = self._generator.random
        route = self._generator.choice("abc")
        is_new = draw() < share
        failure_rate = new if is_new and route in routes else old
        failed = draw() < failure_rate
        delayed = is_new and draw() < slow
        lagging = is_new and draw() < slow_gap if slow_gap else False
        self.bad_answers += is_new and (failed or delayed or lagging)
        arm = NEW_ARM if is_new else OLD_ARM
        key = EvidenceKey(MOVE, arm, route, RequestClass.SHORT)
        outcome = Counts(
            requests=1,
            errors=int(failed),
            slow_first=int(delayed and not failed),
            slow_gap=int(lagging),
            paced=1,
            bad=int(failed or delayed or lagging),
        )
        self._totals[key] = self._totals.get(key, Counts()) + outcome


class VersionComparisonTest(unittest.TestCase):
    """Guard against undetected faults and against false alarms."""

    def test_raised_failure_rate_is_detected_within_fifty_bad_answers(self):
        for new in (0.2, 0.4, 1.0):
            with self.subTest(new=new):
                traffic = Traffic()
                traffic.run(40, new=new)
                self.assertTrue(traffic.comparison.faulty)
                self.assertLess(traffic.bad_answers, 50)

    def test_fault_of_one_route_is_detected(self):
        traffic = Traffic()
        traffic.run(60, new=0.6, routes="b")
        self.assertIn(" on b ", traffic.comparison.reason)

    def test_slow_version_is_detected(self):
        traffic = Traffic()
        traffic.run(40, slow=0.5)
        self.assertIn("slow", traffic.comparison.reason)

    def test_version_with_slow_events_is_detected(self):
        traffic = Traffic()
        traffic.run(40, slow_gap=0.5)
        self.assertIn("slow_gap", traffic.comparison.reason)
        self.assertLess(traffic.bad_answers, 15)

    def test_faults_that_are_known_later_than_their_requests_count(self):
        """A window may hold the faults of requests of the window before it."""
        book, comparison = EvidenceStore(), VersionComparison()
        keys = {arm: EvidenceKey(MOVE, arm, "a", RequestClass.SHORT) for arm in ARMS}
        for now, late in ((0.0, 0), (1.0, 6)):
            counts = {
                keys[OLD_ARM]: Counts(requests=500),
                keys[NEW_ARM]: Counts(requests=6, errors=late),
            }
            book.merge(EvidenceReport("a", 1, int(now) + 1, counts))
            comparison.update(book, MOVE, now)
        self.assertTrue(comparison.faulty)

    def test_fault_is_detected_while_old_versions_get_no_requests(self):
        traffic = Traffic()
        traffic.run(20)
        traffic.run(3, share=1.0)
        self.assertFalse(traffic.comparison.faulty)
        started = traffic.now
        traffic.run(10, share=1.0, new=0.3)
        self.assertTrue(traffic.comparison.faulty)
        self.assertLessEqual(traffic.now - started, 2.0)

    def test_equal_versions_cause_no_false_alarm(self):
        """A hundred moves of 28 s each, at a low and at a high failure rate."""
        found = []
        for seed in range(50):
            for rate in (0.01, 0.15):
                traffic = Traffic(seed)
                traffic.run(20, old=rate, new=rate)
                traffic.run(2, share=0.2, old=rate, new=rate)
                traffic.run(6, share=0.95, old=rate, new=rate)
                if traffic.comparison.faulty:
                    found.append((seed, rate, traffic.comparison.reason))
        self.assertEqual(found, [])

    def test_failure_of_all_versions_is_not_a_fault(self):
        traffic = Traffic()
        traffic.run(10)
        traffic.run(5, share=0.2, old=0.5, new=0.5)
        traffic.run(5, share=0.2)
        self.assertFalse(traffic.comparison.faulty)

    def test_detected_fault_is_permanent_and_counted_over_all_routes(self):
        traffic = Traffic()
        traffic.run(60, new=1.0, share=0.02)
        self.assertIn(f" on {ANY_ROUTE} ", traffic.comparison.reason)
        reason = traffic.comparison.reason
        traffic.run(5, share=0.0)
        self.assertEqual(traffic.comparison.reason, reason)


class LatencyBaselineTest(unittest.TestCase):
    """Guard against responses to uncached prompts that count as slow."""

    def test_usual_variation_is_not_slow(self):
        baseline = LatencyBaseline()
        generator = random.Random(4)
        for _ in range(500):
            baseline.add_sample("a", generator.choice([0.1, 0.1, 0.1, 0.4]))
        self.assertFalse(baseline.is_slow("a", 0.6))
        self.assertTrue(baseline.is_slow("a", 1.2))

    def test_answers_of_an_unknown_route_are_not_slow(self):
        self.assertFalse(LatencyBaseline().is_slow("a", 9.0))
