"""Tests of the demand model and of the orders of numbers of targets."""

import itertools
import math
import unittest

from carobladder.duties import DemandModel, ScalingPlanner
from carobladder.routing import ServiceScaling
from tests.duties.scaling_simulation import SCALING, SLOTS, ScalingSimulation


class DemandModelTest(unittest.TestCase):
    """Guard against a trend that is missed, and against one that is none."""

    def build(self, load, seconds=60):
        model = DemandModel()
        for step in range(seconds * 2):
            model.note(load(step / 2), step / 2)
        return model

    def test_rise_is_extrapolated_over_the_boot_time(self):
        demand = self.build(lambda at: 10.0 + at).predict(8.0)
        self.assertAlmostEqual(demand.predicted, demand.load + 8.0, delta=0.5)

    def test_swing_is_no_trend_and_its_crest_counts(self):
        model = self.build(lambda at: 100 + 55 * math.sin(at * 2 * math.pi / 15))
        for boot in (2.0, 8.0):
            predicted = model.predict(boot).predicted
            self.assertGreater(predicted, 145)
            self.assertLess(predicted, 175)

    def test_decline_lowers_the_lasting_demand_only_later(self):
        model = self.build(lambda at: 100.0 if at < 30 else 10.0)
        self.assertGreater(model.predict(8.0).lasting, 95)

    def test_nothing_is_predicted_without_samples(self):
        self.assertEqual(DemandModel().predict(8.0).predicted, 0.0)


class ScalingTest(unittest.TestCase):
    """Guard against too few targets in a burst and against needless orders."""

    def test_burst_is_met_after_about_a_boot_time(self):
        def demand(at):
            return 60.0 if at < 120 else 100.0

        fleet = ScalingSimulation(demand, {"a": 4, "b": 4, "c": 4})
        fleet.run(240)
        self.assertGreaterEqual(sum(fleet.counts.values()) * SLOTS * 0.6, 100)
        self.assertEqual(fleet.full_seconds, 0.0)

    def test_growth_is_met_ahead_of_the_boot_time(self):
        fleet = ScalingSimulation(lambda at: 40 + 0.8 * at, {"a": 3, "b": 3, "c": 3})
        fleet.run(400)
        self.assertEqual(fleet.full_seconds, 0.0)
        used = (40 + 0.8 * 400) / (sum(fleet.counts.values()) * SLOTS)
        self.assertGreater(used, 0.4)

    def test_low_load_goes_down_slowly_to_the_minimum(self):
        fleet = ScalingSimulation(lambda at: 5.0, {"a": 12, "b": 12, "c": 12})
        fleet.run(85)
        self.assertEqual(fleet.orders, [])
        fleet.run(120)
        self.assertGreater(sum(fleet.counts.values()), 25)
        fleet.run(1000)
        self.assertEqual(set(fleet.counts.values()), {SCALING.min_count})
        for (before, _), (after, order) in zip(
            fleet.orders, fleet.orders[1:], strict=False
        ):
            self.assertGreaterEqual(after - before, 13.0)
            self.assertLessEqual(order.count_before - order.count, 1)

    def test_swinging_load_causes_few_orders(self):
        def demand(at):
            return 100 + 55 * math.sin(at * 2 * math.pi / 15)

        fleet = ScalingSimulation(demand, {"a": 10, "b": 10, "c": 9})
        fleet.run(600)
        self.assertLessEqual(len(fleet.orders), 4)
        self.assertEqual(fleet.full_seconds, 0.0)

    def test_limits_hold_in_each_data_centre(self):
        fleet = ScalingSimulation(
            lambda at: 10_000.0, {"a": 1, "b": 3}, ServiceScaling(2, 5, 8.0)
        )
        fleet.run(200)
        self.assertEqual(fleet.counts, {"a": 5, "b": 5})

    def test_others_take_over_the_load_of_an_emptied_data_centre(self):
        fleet = ScalingSimulation(lambda at: 60.0, {"a": 4, "b": 4, "c": 4})
        fleet.run(30)
        fleet.emptied = frozenset({"a"})
        fleet.run(200)
        self.assertEqual(fleet.counts["a"], 4)
        self.assertGreaterEqual((fleet.counts["b"] + fleet.counts["c"]) * SLOTS, 100)
        self.assertFalse([o for _, o in fleet.orders if o.count < o.count_before])

    def test_others_take_over_the_load_of_a_lost_data_centre(self):
        fleet = ScalingSimulation(lambda at: 60.0, {"a": 4, "b": 4, "c": 4})
        fleet.run(30)
        fleet.counts["a"] = 0
        fleet.run(60)
        self.assertGreaterEqual((fleet.counts["b"] + fleet.counts["c"]) * SLOTS, 100)

    def test_refused_orders_are_not_repeated_at_once(self):
        fleet = ScalingSimulation(lambda at: 500.0, {"a": 4})
        refused = []

        def refuse(order, view, now):
            refused.append(now)
            fleet.planner.note_failed(order, now, is_refused=True)

        fleet.planner.note_accepted = refuse
        fleet._execute = lambda order: None
        fleet.run(100)
        self.assertGreater(len(refused), 1)
        gaps = [b - a for a, b in itertools.pairwise(refused)]
        self.assertGreaterEqual(min(gaps), 30.0)

    def test_nothing_is_stopped_during_a_version_move(self):
        fleet = ScalingSimulation(lambda at: 5.0, {"a": 6, "b": 6}, is_moving=True)
        fleet.run(400)
        self.assertEqual(fleet.orders, [])
        fleet.is_moving = False
        fleet.run(60)
        self.assertTrue(fleet.orders)

    def test_orders_are_bounded(self):
        fleet = ScalingSimulation(
            lambda at: 40.0 + 30.0 * (int(at) % 7) + 2.0 * at,
            {name: 2 for name in "abcdef"},
            ServiceScaling(2, 500, 0.0),
        )
        fleet.run(300)
        for at, _ in fleet.orders:
            recent = [t for t, _ in fleet.orders if at - 60.0 < t <= at]
            self.assertLessEqual(len(recent), 12)

    def test_new_holder_orders_once_it_knows_the_load(self):
        """A burst must not wait for the memory of a holder that has ended."""
        fleet = ScalingSimulation(lambda at: 150.0, {"a": 4, "b": 4})
        fleet.run(4)
        self.assertEqual(fleet.orders, [])
        fleet.run(2)
        self.assertTrue(fleet.orders)
        fleet.planner = ScalingPlanner()
        fleet.orders.clear()
        fleet.run(30)
        self.assertGreaterEqual(min(fleet.counts.values()), 12)
        self.assertFalse([o for _, o in fleet.orders if o.count < 12])

    def test_lost_targets_are_replaced(self):
        fleet = ScalingSimulation(lambda at: 60.0, {"a": 5, "b": 6})
        fleet.run(60)
        fleet.counts["a"] = 1
        fleet.run(60)
        self.assertGreaterEqual(sum(fleet.counts.values()) * SLOTS * 0.6, 60)
