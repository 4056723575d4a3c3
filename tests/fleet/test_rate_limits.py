"""Tests of rate limits that targets name for all instances together."""

import unittest

from tests.fleet.rate_simulation import RateSimulation

SEEDS = range(1, 4)


class RateLimitTest(unittest.TestCase):
    """Guard against targets in need that get more requests than they can take."""

    def check_bound(self, **options) -> list[RateSimulation]:
        """Check that no target gets too many requests while it names a limit."""
        simulations = []
        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulation = RateSimulation(seed=seed, **options)
                simulation.run(24.0)
                self.assertEqual(simulation.find_excess(), [])
                simulations.append(simulation)
        return simulations

    # Guards against a limit that each of few instances keeps for itself, or not at all.
    def test_few_instances_keep_the_limit_together(self):
        limits = {"i-1": 4.2, "i-2": 1.7, "i-3": 1.3, "i-4": 3.3}
        self.check_bound(
            instances=6, targets=5, requests_per_second=24.0, limits=limits
        )

    # Guards against a limit of which each of many instances has a tiny part.
    def test_many_instances_keep_the_limit_together(self):
        limits = {f"i-{number}": 17.5 for number in range(1, 4)}
        self.check_bound(
            instances=87, targets=4, requests_per_second=140.0, limits=limits
        )

    # Guards against a service without any unlimited target.
    def test_limits_of_all_targets_are_kept(self):
        limits = {f"i-{number}": 5.0 for number in range(1, 6)}
        self.check_bound(
            instances=9, targets=5, requests_per_second=50.0, limits=limits
        )


if __name__ == "__main__":
    unittest.main()
