"""Tests of the limit of cold targets and of the spread of retry times."""

import random
import unittest

from carobladder.limits.refusals import RefusalPolicy
from carobladder.limits.warmup import Warmup


class WarmupTest(unittest.TestCase):
    """Guard against a cold target that gets the load of a warm one."""

    def make(self, admissible_slots: int | None = None) -> Warmup:
        warmup = Warmup(32, cold_slots=4)
        warmup.observe("b1", True, admissible_slots, 0.0)
        return warmup

    def test_starts_at_the_admissible_load_or_the_setting(self):
        self.assertEqual(self.make(6).limit, 6)
        self.assertEqual(self.make().limit, 4)

    def test_new_boot_id_turns_a_warm_target_cold(self):
        warmup = Warmup(32, cold_slots=4)
        warmup.observe("b1", False, None, 0.0)
        self.assertEqual(warmup.limit, 32)
        warmup.observe("b2", False, None, 1.0)
        self.assertTrue(warmup.cold)
        self.assertEqual(warmup.limit, 4)

    def test_limit_grows_by_a_quarter_after_fast_intervals_only(self):
        warmup = self.make()
        warmup.tick(1.0)
        self.assertEqual(warmup.limit, 4)
        warmup.note_answers(3, 0, 3 * 0.5)
        warmup.tick(2.0)
        self.assertEqual(warmup.limit, 5)
        warmup.note_answers(3, 0, 3 * 5.0)
        warmup.tick(3.0)
        self.assertEqual(warmup.limit, 5)
        warmup.note_answers(3, 1, 3 * 0.5)
        self.assertEqual(warmup.limit, 2)
        warmup.tick(4.0)
        self.assertEqual(warmup.limit, 2)

    def test_limit_stays_within_the_admissible_load(self):
        warmup = self.make(4)
        for second in range(1, 20):
            warmup.note_answers(1, 0, 0.1)
            warmup.tick(float(second))
        self.assertEqual(warmup.limit, 4)
        warmup.observe("b1", False, 32, 20.0)
        warmup.note_answers(1, 0, 0.1)
        warmup.tick(21.0)
        self.assertEqual((warmup.limit, warmup.cold), (32, False))

    def test_limit_below_every_waiting_request_recovers(self):
        # Errors had left a limit of 1 slot while requests of 2 and 4 slots waited, so
        # that no answer could raise the limit (fault schedules, seed 9).
        warmup = self.make(8)
        for second in range(1, 5):
            warmup.note_answers(0, 1, 0.0)
            warmup.tick(float(second))
        self.assertEqual(warmup.limit, 1)
        for second in range(5, 20):
            warmup.tick(float(second))
        self.assertEqual(warmup.limit, 8)

    def test_new_owner_continues_from_the_previous_limit(self):
        warmup = Warmup(32, cold_slots=4)
        warmup.resume("b1", True, 10)
        warmup.observe("b1", True, None, 0.0)
        self.assertEqual(warmup.limit, 10)


class RefusalTest(unittest.TestCase):
    """Guard against retry times at which all refused callers return at once."""

    def test_retry_times_are_spread_and_reproducible(self):
        times = []
        for _ in range(2):
            policy = RefusalPolicy(random.Random(3))
            errors = [policy.build_refusal("full", 4.0) for _ in range(50)]
            times.append([error.retry_after_seconds for error in errors])
        self.assertEqual(times[0], times[1])
        self.assertTrue(all(4.0 <= seconds <= 8.0 for seconds in times[0]))
        self.assertGreater(max(times[0]) - min(times[0]), 2.0)
