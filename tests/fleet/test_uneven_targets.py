"""Tests of the choice of targets that vary in speed, in virtual time."""

import unittest

from tests.fleet.uneven_scenarios import play

SEEDS = (21, 22)
SECONDS = 55.0


def measure_late(scenario: str, choice: str) -> float:
    """Return the part of the requests that is late or refused."""
    return 1.0 - play(scenario, choice, SEEDS, SECONDS).on_time


class StatedLoadTest(unittest.TestCase):
    """Show why stated loads alone were no gain."""

    def test_choice_by_latency_does_not_read_stated_loads(self):
        before = play("usual", "before", SEEDS, SECONDS)
        without = play("usual", "before, no stated loads", SEEDS, SECONDS)
        self.assertEqual(before.seconds, without.seconds)
        self.assertEqual(before.sends, without.sends)

    def test_loads_are_worth_something_only_without_delay(self):
        """The same choice by stated loads and by true ones; late differ by half."""
        stated = measure_late("usual", "least loaded")
        true = measure_late("usual", "least loaded, age 0")
        self.assertLess(true, stated * 0.6)

    def test_instances_do_not_crowd_because_of_stated_loads(self):
        stated = play("usual", "least loaded", SEEDS, SECONDS)
        blind = play("usual", "random", SEEDS, SECONDS)
        self.assertLess(stated.crowding, blind.crowding + 0.05)


class PredictedCompletionTest(unittest.TestCase):
    """Guard against late requests because of uneven targets."""

    def check(self, scenario: str, factor: float) -> None:
        """Compare the late part with that of the choice by latency."""
        before = measure_late(scenario, "before")
        self.assertLess(measure_late(scenario, "predicted"), before * factor)

    def test_late_requests_are_halved(self):
        self.check("usual", 0.5)

    def test_one_in_six_changes_each_second(self):
        self.check("one in six, 0.3 to 1 s", 0.6)

    def test_one_target_is_always_slow(self):
        self.check("one always slow", 0.6)

    def test_targets_of_a_data_centre_are_slow(self):
        self.check("slow data centre", 0.75)

    def test_half_of_the_figures_are_late_or_lost(self):
        self.check("half late or lost", 0.6)

    def test_exchange_is_silent(self):
        self.check("exchange silent", 0.6)

    def test_target_is_lost_at_a_crest(self):
        self.check("target lost at a crest", 0.65)

    def test_false_figures_do_no_harm(self):
        for scenario in ("one states 900", "one states 100"):
            with self.subTest(scenario=scenario):
                self.check(scenario, 1.0)

    def test_even_targets_are_served_as_before(self):
        outcomes = play("even", "predicted", SEEDS, SECONDS)
        self.assertGreater(outcomes.on_time, 0.995)

    def test_targets_with_few_requests_are_served_as_well(self):
        """76 instances with 1.2 requests a second each learn little by themselves."""
        self.assertLess(measure_late("service of K", "predicted"), 0.01)

    def test_targets_stay_within_the_load_bound(self):
        """The operators tolerate 3 in 100 requests above it in five seconds."""
        for scenario in ("usual", "one always slow", "target lost at a crest"):
            with self.subTest(scenario=scenario):
                outcomes = play(scenario, "predicted", SEEDS, SECONDS)
                self.assertLess(outcomes.above_bound_share, 0.01)

    def test_slow_data_centre_exceeds_the_load_bound_less_often(self):
        """Half of the targets are slow at a crest, and loads are known late."""
        before = play("slow data centre", "before", SEEDS, SECONDS)
        outcomes = play("slow data centre", "predicted", SEEDS, SECONDS)
        self.assertLess(outcomes.above_bound_share, before.above_bound_share / 3)

    def test_slow_targets_are_still_used(self):
        """Otherwise the capacity of a slow data centre would be lost at a crest."""
        outcomes = play("slow data centre", "predicted", SEEDS, SECONDS)
        self.assertGreater(outcomes.slow_share, 0.1)
