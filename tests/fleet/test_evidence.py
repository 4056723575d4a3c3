"""Tests of the comparison of a new version with the others."""

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


class Traffic:
    """Draw answers of both versions on three routes and report their totals."""

    def __init__(self, seed: int = 1) -> None:
        self.comparison = VersionComparison()
        self.now = 0.0
        self.bad_answers = 0
        self._generator = random.Random(seed)
        self._book = EvidenceStore()
        self._totals: dict[EvidenceKey, Counts] = {}
        self._sequence = 0

    def run(
        self, seconds: float, *, share=0.04, old=0.01, new=0.01, slow=0.0, routes="abc"
    ):
        """Run 100 requests a second; ``old`` and ``new`` are the parts that fail.

        ``routes`` are those on which the new version fails.
        """
        for _ in range(int(seconds)):
            self.now += 1.0
            for _ in range(100):
                self._add(share, old, new, slow, routes)
            self._sequence += 1
            report = EvidenceReport("a", 1, self._sequence, dict(self._totals))
            self._book.merge(report)
            self.comparison.update(self._book, MOVE, self.now)
            if self.comparison.faulty:
                return

    def _add(self, share, old, new, slow, routes):
        draw = self._generator.random
        route = self._generator.choice("abc")
        is_new = draw() < share
        failing = new if is_new and route in routes else old
        failed = draw() < failing
        late = is_new and draw() < slow
        self.bad_answers += is_new and (failed or late)
        arm = NEW_ARM if is_new else OLD_ARM
        key = EvidenceKey(MOVE, arm, route, RequestClass.SHORT)
        seen = Counts(1, int(failed), int(late and not failed))
        self._totals[key] = self._totals.get(key, Counts()) + seen


class VersionComparisonTest(unittest.TestCase):
    """Guard against faulty versions that stay and sound ones that are taken back."""

    def test_failing_share_is_found_before_fifty_bad_answers(self):
        for new in (0.2, 0.4, 1.0):
            with self.subTest(new=new):
                traffic = Traffic()
                traffic.run(40, new=new)
                self.assertTrue(traffic.comparison.faulty)
                self.assertLess(traffic.bad_answers, 50)

    def test_fault_of_one_route_is_found(self):
        traffic = Traffic()
        traffic.run(60, new=0.6, routes="b")
        self.assertIn(" on b ", traffic.comparison.reason)

    def test_slow_version_is_found(self):
        traffic = Traffic()
        traffic.run(40, slow=0.5)
        self.assertIn("slow", traffic.comparison.reason)

    def test_fault_that_begins_when_no_other_version_gets_requests(self):
        traffic = Traffic()
        traffic.run(20)
        traffic.run(3, share=1.0)
        self.assertFalse(traffic.comparison.faulty)
        started = traffic.now
        traffic.run(10, share=1.0, new=0.3)
        self.assertTrue(traffic.comparison.faulty)
        self.assertLessEqual(traffic.now - started, 2.0)

    def test_equal_versions_are_not_told_apart(self):
        """A hundred moves of 30 s at common and at high rates of failure."""
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

    def test_trouble_of_all_versions_does_not_count(self):
        traffic = Traffic()
        traffic.run(10)
        traffic.run(5, share=0.2, old=0.5, new=0.5)
        traffic.run(5, share=0.2)
        self.assertFalse(traffic.comparison.faulty)

    def test_found_fault_stays_and_sums_over_routes_count(self):
        traffic = Traffic()
        traffic.run(60, new=1.0, share=0.02)
        self.assertIn(f" on {ANY_ROUTE} ", traffic.comparison.reason)
        reason = traffic.comparison.reason
        traffic.run(5, share=0.0)
        self.assertEqual(traffic.comparison.reason, reason)


class LatencyBaselineTest(unittest.TestCase):
    """Guard against prompts without kept context that are taken for slow answers."""

    def test_spread_of_the_usual_times_is_not_slow(self):
        baseline = LatencyBaseline()
        generator = random.Random(4)
        for _ in range(500):
            baseline.note_usual("a", generator.choice([0.1, 0.1, 0.1, 0.4]))
        self.assertFalse(baseline.is_slow("a", 0.6))
        self.assertTrue(baseline.is_slow("a", 1.2))

    def test_unknown_route_is_not_judged(self):
        self.assertFalse(LatencyBaseline().is_slow("a", 9.0))
