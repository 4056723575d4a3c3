"""Tests of copies of late requests by simulated fleets."""

import unittest
from dataclasses import replace

from tests.forwarding.hedging_scenarios import (
    ALL_SLOW,
    HEAVY_TAIL,
    LARGE_FLEET,
    ONE_SLOW_IN_SIX,
    SHARE,
    STORM,
    UNEVEN,
    UNEVEN_SWINGS,
    find_quantile,
    run_seeds,
)
from tests.forwarding.hedging_simulation import Result, Scenario, Simulation

SEEDS = (1, 2)


class HedgingSimulationTest(unittest.TestCase):
    """Guard against copies that do not help, or that cost more than is allowed."""

    def run_both(self, scenario: Scenario) -> tuple[list[Result], list[Result]]:
        """Return the results without copies and with them; check the limits."""
        off = run_seeds(scenario, 0.0, seeds=SEEDS)
        results = run_seeds(scenario, SHARE, seeds=SEEDS)
        for without, result in zip(off, results, strict=True):
            self.assertEqual(without.copies, 0)
            self.assertGreater(result.copies, 0)
            self.assertLessEqual(result.copy_share, SHARE)
            self.assertLess(result.find_worst_window(), 1.0)
        return off, results

    def test_tail_falls_within_the_share(self):
        for scenario, factor in (
            (HEAVY_TAIL, 0.7),
            (UNEVEN, 0.85),
            (UNEVEN_SWINGS, 0.85),
        ):
            with self.subTest(scenario=scenario.name):
                off, results = self.run_both(scenario)
                for quantile in (0.99, 0.999):
                    before = find_quantile(off, quantile)
                    self.assertLess(find_quantile(results, quantile), factor * before)

    def test_slow_target_in_six_is_no_reason_for_a_longer_tail(self):
        off, results = self.run_both(ONE_SLOW_IN_SIX)
        for quantile in (0.5, 0.99, 0.999):
            before = find_quantile(off, quantile)
            self.assertLess(find_quantile(results, quantile), 1.05 * before)

    def test_each_instance_sends_about_one_copy_when_all_targets_become_slow(self):
        for result in self.run_both(ALL_SLOW)[1]:
            copied = sum(40 <= at < 50 for at in result.copied_at)
            self.assertLess(copied, 2 * ALL_SLOW.instances)

    def test_fixed_delay_without_a_limit_breaks_the_budget(self):
        delay = find_quantile(run_seeds(ALL_SLOW, 0.0, seeds=(1,)), 0.95)
        fixed = Simulation(ALL_SLOW, 1, 0.0, delay).run()
        self.assertGreater(fixed.find_worst_window(), 1.0)

    def test_195_instances_keep_the_limit_together(self):
        off, results = self.run_both(replace(LARGE_FLEET, seconds=40.0))
        before = find_quantile(off, 0.99)
        self.assertLess(find_quantile(results, 0.99), 0.8 * before)

    def test_copies_take_few_retries_from_a_storm_of_failures(self):
        off, results = self.run_both(STORM)
        failed_before = sum(result.failed for result in off)
        self.assertGreater(failed_before, 100)
        self.assertLess(sum(result.failed for result in results), 1.1 * failed_before)
