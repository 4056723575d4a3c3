"""Tests of the health tracking of a target."""

import unittest

from carobladder.fleet import Condition, TargetHealth, TargetLoad


class TargetHealthTest(unittest.TestCase):
    """Guard against sending to failed targets and against excluding healthy ones."""

    def test_pause_grows_and_ends_in_a_trial(self):
        health = TargetHealth()
        self.assertIs(health.classify(0.0), Condition.SOUND)
        health.note_failure(0.0)
        self.assertIs(health.classify(0.49), Condition.SUSPECT)
        self.assertIs(health.classify(0.5), Condition.TRIAL)
        health.note_failure(1.0)
        self.assertIs(health.classify(1.99), Condition.SUSPECT)
        for index in range(20):
            health.note_failure(10.0 * index)
        self.assertIs(health.classify(193.9), Condition.SUSPECT)
        self.assertIs(health.classify(194.0), Condition.TRIAL)

    def test_simultaneous_failures_count_once(self):
        health = TargetHealth()
        for _ in range(5):
            health.note_failure(0.0)
        self.assertIs(health.classify(0.5), Condition.TRIAL)

    def test_an_answer_ends_the_trial(self):
        health = TargetHealth()
        health.note_failure(0.0)
        health.note_answer(failed=False)
        self.assertIs(health.classify(0.1), Condition.SOUND)

    def test_failed_probe_keeps_target_suspect_and_unreachable(self):
        health = TargetHealth()
        health.note_failure(0.0)
        health.note_probe(False, 0.6)
        self.assertIs(health.classify(0.7), Condition.SUSPECT)
        self.assertFalse(health.reachable)
        health.note_probe(True, 2.0)
        self.assertTrue(health.reachable)

    def test_load_follows_own_requests_until_the_report_expires(self):
        health = TargetHealth(in_flight=2)
        self.assertIsNone(health.estimate_load(0.0))
        health.note_load(TargetLoad(5, 1, 128), 0.0)
        self.assertEqual(health.estimate_load(0.1), 6.0)
        health.in_flight = 5
        self.assertEqual(health.estimate_load(0.1), 9.0)
        health.in_flight = 0
        self.assertEqual(health.estimate_load(0.1), 4.0)
        self.assertIsNone(health.estimate_load(2.6))

    def test_load_of_other_instances_decays_without_reports(self):
        """An overloaded target gets no requests and thus sends no load reports."""
        health = TargetHealth(in_flight=1)
        health.note_load(TargetLoad(17, 0, 128), 0.0)
        self.assertEqual(health.estimate_load(0.2), 17.0)
        self.assertLess(health.estimate_load(1.2), 6.0)
        self.assertGreaterEqual(health.estimate_load(2.4), 1.0)

    def test_error_share_follows_the_rate_of_failed_answers(self):
        health = TargetHealth()
        for index in range(60):
            health.note_answer(failed=index % 2 == 0)
        self.assertAlmostEqual(health.error_share, 0.5, delta=0.1)
