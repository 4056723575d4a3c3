"""Tests of the pauses after failed reads."""

import random
import unittest

from carobladder.topics import BackoffBounds, ReadBackoff

BOUNDS = BackoffBounds(1.0, 3.0)


class ReadBackoffTest(unittest.TestCase):
    """Guard against reads that press a failing store, or that come too late."""

    def setUp(self):
        self.backoff = ReadBackoff(random.Random(1))

    def note_failure(self) -> float:
        pause = self.backoff.note_failure(BOUNDS)
        return pause.fixed_seconds + pause.open_seconds

    def test_pauses_double_up_to_the_longest(self):
        for longest in (1.0, 2.0, 3.0, 3.0):
            seconds = self.note_failure()
            self.assertTrue(longest / 2 <= seconds <= longest, seconds)

    def test_failed_second_attempt_counts_like_a_failed_read(self):
        self.backoff.note_second_attempt()
        self.assertGreaterEqual(self.note_failure(), 1.0)

    def test_success_starts_anew(self):
        self.backoff.note_second_attempt()
        self.note_failure()
        self.assertTrue(self.backoff.is_failing)
        self.backoff.note_success()
        self.assertFalse(self.backoff.is_failing)
        self.assertLessEqual(self.note_failure(), 1.0)


if __name__ == "__main__":
    unittest.main()
