"""Tests of the windows of true time and of the counts in them."""

import unittest
from datetime import timedelta

from carobladder.clock import VirtualClock
from carobladder.duties import FleetTime, UsageCounter, compute_fleet_difference


class SteppedClock(VirtualClock):
    """Virtual clock whose wall clock can be stepped."""

    step_seconds = 0.0

    def now(self):
        return super().now() + timedelta(
            seconds=self.step_seconds + self.boottime() - self.monotonic()
        )


class FleetTimeTest(unittest.TestCase):
    """Guard against counts in the wrong window after a step of a clock."""

    def setUp(self):
        self.clock = SteppedClock()
        self.time = FleetTime(self.clock)
        self.start = self.time.now()

    def test_step_of_the_wall_clock_does_not_move_the_time(self):
        for step in (3.0, -7.0, 0.0):
            self.clock.step_seconds = step
            self.clock.advance(1.0)
            self.time.now()
        self.assertAlmostEqual(self.time.now() - self.start, 3.0)

    def test_slow_drift_is_followed(self):
        for _ in range(100):
            self.clock.advance(1.0)
            self.clock.step_seconds += 0.01
            self.time.now()
        self.assertAlmostEqual(self.time.now() - self.start, 101.0)

    def test_time_runs_on_while_the_machine_is_suspended(self):
        self.clock.suspend(40.0)
        self.assertAlmostEqual(self.time.now() - self.start, 40.0)

    def test_instance_that_started_with_a_stepped_clock_follows_the_fleet(self):
        self.assertEqual(self.time.correct(0.2), 0.0)
        self.assertEqual(self.time.correct(2.0), 2.0)
        self.assertAlmostEqual(self.time.now() - self.start, 2.0)

    def test_few_wrong_clocks_do_not_move_the_fleet(self):
        self.assertIsNone(compute_fleet_difference([2.0, 2.0]))
        self.assertEqual(compute_fleet_difference([0.0, 0.1, 0.0, 5.0, 5.0]), 0.0)
        self.assertEqual(compute_fleet_difference([2.0, 2.0, 2.1, 0.0]), 2.0)


class UsageCounterTest(unittest.TestCase):
    """Guard against requests that are counted twice, lost or in the wrong window."""

    def setUp(self):
        self.clock = VirtualClock()
        self.time = FleetTime(self.clock)
        self.counter = UsageCounter(self.time, 5.0)
        self.first = self.counter.find_window(self.time.now())

    def test_requests_are_counted_by_window_and_team(self):
        for team in ("x", "x", "y", ""):
            self.counter.count(team)
        self.clock.advance(5.0)
        self.counter.count("x")
        self.assertEqual(self.counter.list_finished(), {self.first: {"x": 2, "y": 1}})
        unfinished = self.counter.list_finished(include_current=True)
        self.assertEqual(unfinished[self.first + 1], {"x": 1})

    def test_window_without_requests_is_listed_once_it_ended(self):
        self.clock.advance(5.0)
        self.assertEqual(self.counter.list_finished(), {self.first: {}})

    def test_counts_are_kept_until_they_are_recorded(self):
        self.counter.count("x")
        self.clock.advance(12.0)
        self.assertIn(self.first, self.counter.list_finished())
        self.counter.note_recorded(self.first)
        self.assertEqual(self.counter.list_finished(), {self.first + 1: {}})
        self.counter.note_recorded(self.first + 1)
        self.assertEqual(self.counter.list_finished(), {})

    def test_notice_of_a_window_that_has_not_ended_drops_nothing(self):
        """A forged or stepped number of a window would end all reports."""
        self.counter.count("x")
        self.counter.note_recorded(self.first + 1000)
        self.clock.advance(5.0)
        self.assertEqual(self.counter.list_finished()[self.first], {"x": 1})

    def test_old_counts_are_dropped_and_told(self):
        lost = []
        self.counter.on_lost = lost.append
        self.counter.count("x")
        self.clock.advance(5.0 * 20)
        self.counter.list_finished()
        self.assertEqual(lost, [self.first])
