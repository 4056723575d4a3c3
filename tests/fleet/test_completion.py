"""Tests of the predicted completion of requests."""

import unittest

from carobladder.fleet import CompletionPredictor, TargetLoad, find_slowest
from carobladder.routing import Route, RouteKind, ServiceWeight
from tests.fleet.builders import fill_table

ROUTE = Route("calls", "h", "/", RouteKind.SAFE, (ServiceWeight("engine"),), 1.5, 0.3)
NOW = 100.0


class CompletionPredictorTest(unittest.TestCase):
    """Guard against predictions that leave out the queue or the speed of a target."""

    def setUp(self):
        self.table, (self.target, self.other) = fill_table(2, slots=6)
        self.predictor = CompletionPredictor()

    def predict(self, target, now=NOW):
        return self.predictor.predict_seconds(target, ROUTE, now)

    def respond(self, target, seconds, count=200):
        """Record responses to requests sent one at a time."""
        for step in range(count):
            now = NOW - count + step
            prediction = self.predict(target, now)
            self.predictor.note_response(target, ROUTE, seconds, prediction, now)

    def test_usual_time_of_a_route_is_learned(self):
        self.respond(self.target, 0.07)
        prediction = self.predict(self.other)
        self.assertAlmostEqual(prediction.seconds, 0.07, delta=0.005)
        self.assertFalse(prediction.is_certain)

    def test_queue_and_slowness_add_up(self):
        self.respond(self.target, 0.07)
        self.target.note_load(TargetLoad(6, 11, 6, 2.5), NOW)
        self.other.note_load(TargetLoad(2, 0, 6, 1.0), NOW)
        slow, free = self.predict(self.target), self.predict(self.other)
        self.assertTrue(slow.is_certain)
        self.assertAlmostEqual(free.seconds, 0.07, delta=0.01)
        self.assertAlmostEqual(slow.usual_seconds, 0.07 * 3, delta=0.02)
        self.assertGreater(slow.seconds, slow.usual_seconds * 1.6)

    def test_slow_target_does_not_change_the_usual_time(self):
        for step in range(300):
            now = NOW - 300 + step
            for target, slowness in ((self.target, 2.5), (self.other, 1.0)):
                prediction = self.predict(target, now)
                target.note_load(TargetLoad(1, 0, 6, slowness), now)
                self.predictor.note_response(
                    target, ROUTE, 0.07 * slowness, prediction, now
                )
        self.assertAlmostEqual(self.predict(self.other).usual_seconds, 0.07, delta=0.01)

    def test_only_the_slowest_targets_that_state_it_are_shown(self):
        table, targets = fill_table(60)
        for index, target in enumerate(targets[:55]):
            target.note_load(TargetLoad(1, 0, 6, 1.0 + index / 10), NOW)
        shown = find_slowest(table.list_all(), 50, NOW)
        self.assertEqual(len(shown), 50)
        self.assertIn("i-55", shown)
        self.assertNotIn("i-1", shown)
        self.assertNotIn("i-60", shown)

    def test_response_without_a_duration_is_ignored(self):
        before = self.predict(self.target)
        self.predictor.note_response(self.target, ROUTE, 0.0, before, NOW)
        self.assertEqual(self.predict(self.target), before)
