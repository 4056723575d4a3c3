"""Tests of the recent durations of requests."""

import unittest

from carobladder.clock import VirtualClock
from carobladder.forwarding.durations import RouteDurations


class RouteDurationsTest(unittest.TestCase):
    """Guard against a drain that judges requests by durations of long ago."""

    def setUp(self):
        self.clock = VirtualClock()
        self.durations = RouteDurations(self.clock)

    def test_longest_duration_of_each_route_counts(self):
        self.assertIsNone(self.durations.find_longest("a"))
        for seconds in (0.2, 1.5, 0.3):
            self.durations.note("a", seconds)
        self.durations.note("b", 4.0)
        self.assertEqual(self.durations.find_longest("a"), 1.5)
        self.assertEqual(self.durations.find_longest("b"), 4.0)
        self.assertIsNone(self.durations.find_longest("c"))

    def test_durations_are_forgotten_after_two_windows(self):
        self.durations.note("a", 1.5)
        self.clock.advance(31.0)
        self.assertEqual(self.durations.find_longest("a"), 1.5)
        self.durations.note("a", 0.1)
        self.clock.advance(31.0)
        self.assertEqual(self.durations.find_longest("a"), 0.1)
        self.clock.advance(31.0)
        self.assertIsNone(self.durations.find_longest("a"))

    def test_durations_before_a_long_pause_are_forgotten(self):
        self.durations.note("a", 1.5)
        self.clock.advance(90.0)
        self.assertIsNone(self.durations.find_longest("a"))


if __name__ == "__main__":
    unittest.main()
