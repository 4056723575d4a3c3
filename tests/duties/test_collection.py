"""Tests of the collection of counts by the holder."""

import unittest

from carobladder.duties import Completeness, UsageCollection, UsageTimes

TIMES = UsageTimes(5.0, 10.0)
NAMES = [f"front-{number}" for number in range(20)]
WINDOW = 100
END = (WINDOW + 1) * 5.0


class UsageCollectionTest(unittest.TestCase):
    """Guard against reports that are wrong, late or missing."""

    def setUp(self):
        self.collection = UsageCollection(TIMES)

    def take(self, window, names):
        for name in names:
            self.collection.take(name, 1, {window: {"x": 1}})

    def judge(self, age):
        return self.collection.judge(WINDOW, END + age, NAMES[1:])

    def test_counts_of_all_instances_are_summed_up_by_team(self):
        self.collection.take("a", 1, {WINDOW: {"x": 2, "y": 1}})
        self.collection.take("b", 1, {WINDOW: {"x": 3}})
        sums = self.collection.find(WINDOW).sum_up()
        self.assertEqual(sums, {"x": 5, "y": 1})

    def test_repeated_counts_are_not_added(self):
        for _ in range(3):
            self.collection.take("a", 1, {WINDOW: {"x": 2}})
        self.assertEqual(self.collection.find(WINDOW).sum_up(), {"x": 2})

    def test_counts_of_two_runs_of_an_instance_are_added(self):
        """An instance that restarts in a window sends counts of both runs."""
        self.collection.take("a", 1, {WINDOW: {"x": 2}})
        self.collection.take("a", 2, {WINDOW: {"x": 1}})
        self.assertEqual(self.collection.find(WINDOW).sum_up(), {"x": 3})

    def test_complete_window_is_recorded_soon(self):
        self.take(WINDOW - 1, NAMES)
        self.take(WINDOW, NAMES)
        self.assertEqual(self.judge(0.2), Completeness.WAIT)
        self.assertEqual(self.judge(0.6), Completeness.RECORD)

    def test_missing_instance_is_awaited_for_a_while(self):
        self.take(WINDOW - 1, NAMES)
        self.take(WINDOW, NAMES[:19])
        self.assertEqual(self.judge(4.9), Completeness.WAIT)
        self.assertEqual(self.judge(5.1), Completeness.RECORD)

    def test_many_missing_instances_are_awaited_longer(self):
        self.take(WINDOW - 1, NAMES)
        self.take(WINDOW, NAMES[:12])
        self.assertEqual(self.judge(5.1), Completeness.WAIT)
        self.assertEqual(self.judge(7.3), Completeness.RECORD)

    def test_new_holder_awaits_instances_that_it_has_not_heard_of(self):
        self.take(WINDOW, NAMES[:2])
        self.assertEqual(self.judge(1.0), Completeness.WAIT)
        self.take(WINDOW, NAMES)
        self.assertEqual(self.judge(1.0), Completeness.WAIT)
        self.assertEqual(self.judge(5.1), Completeness.RECORD)

    def test_window_with_hardly_any_counts_is_given_up(self):
        self.take(WINDOW, NAMES[:2])
        self.assertEqual(self.judge(9.0), Completeness.WAIT)
        self.assertEqual(self.judge(10.1), Completeness.GIVE_UP)

    def test_single_instance_reports(self):
        self.collection.take("a", 1, {WINDOW: {"x": 2}})
        found = self.collection.judge(WINDOW, END + 5.1, [])
        self.assertEqual(found, Completeness.RECORD)
