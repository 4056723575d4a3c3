"""Tests of the time that parts of prompts stay in quarantine."""

import itertools
import unittest

from carobladder.quarantine import HoldTable

PART = 1
HOUR_SECONDS = 3600.0


class HoldTableTest(unittest.TestCase):
    """Guard against quarantines for good, and against too many trials."""

    def setUp(self):
        self.holds = HoldTable(lambda key: True)
        self.holds.start(PART, 0.0, 0.0)

    def find_trials(self, holds: HoldTable, end: float) -> list[float]:
        """Return the times of the trials of a part that crashes every target."""
        trials = []
        for step in range(int(end * 10)):
            now = step / 10
            if holds.may_try(PART, now):
                trials.append(now)
                holds.start_trial(PART, now)
                holds.note_crash(PART, now, now)
        return trials

    def test_trials_become_rarer(self):
        trials = self.find_trials(self.holds, 400.0)
        self.assertEqual(len(trials), 3)
        gaps = [later - earlier for earlier, later in itertools.pairwise(trials)]
        self.assertGreater(gaps[1], 3 * gaps[0])

    def test_trial_comes_at_least_once_an_hour(self):
        for step in range(1, 30):
            self.holds.note_crash(PART, 10.0 * step, 10.0 * step)
        hold = self.holds.find(PART)
        self.assertLessEqual(hold.until - hold.since, HOUR_SECONDS)

    def test_only_the_instance_whose_turn_it_is_makes_the_trial(self):
        """Several trials at the same time would each cost a target."""
        names = [f"front-{number}" for number in range(7)]
        tables = [
            HoldTable(lambda key, own=number: key % len(names) == own)
            for number in range(len(names))
        ]
        for number, table in enumerate(tables):
            # Instances know the end of the quarantine with small differences.
            table.start(PART, 0.0, 0.05 * number)
        for step in range(150, 400):
            allowed = [t for t in tables if t.may_try(PART, step / 10)]
            self.assertLessEqual(len(allowed), 1)

    def test_trial_without_an_outcome_is_made_again_later(self):
        self.holds.start_trial(PART, 16.0)
        self.assertFalse(self.holds.may_try(PART, 16.5))
        self.assertTrue(self.holds.may_try(PART, 22.0))

    def test_whole_answer_from_after_the_evidence_ends_the_quarantine(self):
        holds = HoldTable(lambda key: True)
        holds.start(PART, 5.0, 5.0)
        self.assertFalse(holds.release(PART, 4.0))
        self.assertTrue(holds.release(PART, 6.0))
        self.assertNotIn(PART, holds)

    def test_requests_that_were_under_way_are_no_failed_trial(self):
        self.assertFalse(self.holds.note_crash(PART, 2.0, 2.0))
        self.assertTrue(self.holds.note_crash(PART, 20.0, 20.0))

    def test_record_does_not_prolong_a_known_quarantine(self):
        """Restarts of instances must not put off the trial again and again."""
        until = self.holds.find(PART).until
        self.holds.restore(PART, 1, 10.0)
        self.assertEqual(self.holds.find(PART).until, until)
        restarted = HoldTable(lambda key: True)
        restarted.restore(PART, 1, 10.0)
        self.assertTrue(restarted.merge(PART, 1, 0.0, until))
        self.assertEqual(restarted.find(PART).until, until)

    def test_number_of_parts_is_bounded_and_the_newest_are_kept(self):
        """A part that crashes targets now must not find the table full of old ones."""
        for part in range(1000):
            self.assertTrue(self.holds.start(part, float(part), float(part)))
        self.assertLessEqual(len(self.holds), 64)
        self.assertIn(999, self.holds)

    def test_part_that_nobody_sends_any_more_leaves_the_quarantine(self):
        self.assertEqual(self.holds.expire(HOUR_SECONDS), [])
        self.assertEqual(self.holds.expire(2.0 * HOUR_SECONDS), [PART])
        self.assertNotIn(PART, self.holds)
