"""Tests of the evidence against parts of prompts."""

import unittest

from carobladder.quarantine import Crash, CrashEvidence

GUILTY, SHARED, OTHER = 1, 2, 3


def is_unexplained(crash: Crash) -> bool:
    """Return that no other part has caused a crash."""
    return False


class CrashEvidenceTest(unittest.TestCase):
    """Guard against sound parts that count as guilty, and guilty ones that do not."""

    def setUp(self):
        self.evidence = CrashEvidence()

    def crash(self, at: float, begun=(), others=()) -> None:
        """Add the crash of another run of a target."""
        self.evidence.merge(Crash(int(at * 1000), at, set(begun), set(others)))

    def is_guilty(self, part: int) -> bool:
        return self.evidence.is_guilty(part, is_unexplained)

    def test_part_is_guilty_after_it_had_begun_at_three_crashes(self):
        for at in (1.0, 2.0):
            self.crash(at, begun=[GUILTY])
        self.assertFalse(self.is_guilty(GUILTY))
        self.crash(3.0, begun=[GUILTY])
        self.assertTrue(self.is_guilty(GUILTY))

    def test_part_of_other_requests_is_guilty_after_five_crashes(self):
        """In a storm of crashes, long streams end soon after their first events."""
        for at in (1.0, 2.0, 3.0, 4.0):
            self.crash(at, others=[GUILTY])
        self.assertFalse(self.is_guilty(GUILTY))
        self.crash(5.0, others=[GUILTY])
        self.assertTrue(self.is_guilty(GUILTY))

    def test_whole_answer_refutes_the_evidence_before_it(self):
        for at in (1.0, 2.0, 3.0):
            self.crash(at, begun=[GUILTY, SHARED])
            self.evidence.note_sound(SHARED, at + 0.1)
        self.assertTrue(self.is_guilty(GUILTY))
        self.assertFalse(self.is_guilty(SHARED))

    def test_whole_answer_that_is_known_before_the_crash_counts(self):
        """News of a crash may arrive later than an answer that came after it."""
        self.evidence.note_sound(SHARED, 9.0)
        for at in (1.0, 2.0, 3.0):
            self.crash(at, begun=[SHARED])
        self.assertFalse(self.is_guilty(SHARED))

    def test_older_answer_does_not_replace_a_newer_one(self):
        self.assertFalse(self.evidence.note_sound(SHARED, 9.0))
        self.assertFalse(self.evidence.note_sound(SHARED, 1.0))
        self.assertEqual(self.evidence.find_sound_time(SHARED), 9.0)

    def test_targets_that_end_together_count_once(self):
        """Power that fails ends many targets with the same hot parts."""
        for number in range(10):
            self.crash(1.0 + number / 100, begun=[SHARED])
        self.assertFalse(self.is_guilty(SHARED))
        self.crash(2.0, begun=[SHARED])
        self.assertFalse(self.is_guilty(SHARED))
        self.crash(3.0, begun=[SHARED])
        self.assertTrue(self.is_guilty(SHARED))

    def test_crashes_that_another_part_explains_do_not_count(self):
        for at in (1.0, 2.0, 3.0):
            self.crash(at, begun=[GUILTY, OTHER])
        explained = self.evidence.is_guilty(OTHER, lambda crash: GUILTY in crash.begun)
        self.assertFalse(explained)

    def test_views_of_one_crash_are_united(self):
        self.assertIsNotNone(self.evidence.merge(Crash(7, 1.0, {GUILTY})))
        merged = self.evidence.merge(Crash(7, 1.1, {SHARED}, {OTHER}))
        self.assertEqual((merged.begun, merged.others), ({GUILTY, SHARED}, {OTHER}))
        self.assertIsNone(self.evidence.merge(Crash(7, 1.2, {SHARED}, {OTHER})))

    def test_part_that_has_never_been_sound_is_kept_in_a_full_crash(self):
        for part in range(100, 200):
            self.evidence.note_sound(part, 0.5)
        self.crash(1.0, begun=[GUILTY, *range(100, 200)])
        self.assertTrue(self.evidence.is_suspected(GUILTY))

    def test_memory_is_bounded(self):
        for number in range(1000):
            self.crash(float(number), begun=[number, number + 1])
            self.evidence.note_sound(10 * number, float(number))
        self.assertLessEqual(len(self.evidence._crashes), 128)
        self.assertLessEqual(len(self.evidence._crash_ids), 130)
        for number in range(10_000):
            self.evidence.note_sound(number, 1e6 + number)
        self.assertLessEqual(len(self.evidence._sound_at), 4096)
