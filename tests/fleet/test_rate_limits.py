"""Tests of rate limits that targets name for all instances together."""

import unittest

from tests.fleet.rate_simulation import RateSimulation

SEEDS = range(1, 4)
# Times the limit that the fleet itself may plan to send; the rest of what a target
# tolerates is for requests that are on their way.
PLANNED_OVERSHOOT = 1.1


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

    # Guards against limits that outlive their end since nobody sends any more.
    def test_end_of_the_limits_is_found_out_within_seconds(self):
        limits = {f"i-{number}": 17.5 for number in range(1, 4)}
        simulation = RateSimulation(
            instances=87, targets=4, requests_per_second=140.0, limits=limits, end=12.0
        )
        simulation.run(24.0)
        for target_id in limits:
            arrivals = simulation.count_arrivals(target_id, 15.0, 24.0)
            self.assertGreater(arrivals / 9.0, 35.0 * 0.6)

    # Guards against limits whose end only instances without callers could find out.
    def test_end_of_the_limits_is_found_out_by_the_only_busy_instance(self):
        limits = {"i-1": 1.3, "i-2": 2.0}
        simulation = RateSimulation(
            instances=6, targets=3, requests_per_second=12.0, limits=limits, end=12.0
        )
        simulation.serving = simulation.instances[:1]
        simulation.run(40.0)
        for target_id in limits:
            self.assertGreater(simulation.count_arrivals(target_id, 32.0, 40.0), 8)

    # Guards against excess while instances do not hear of each other.
    def test_limits_are_kept_without_messages(self):
        limits = {f"i-{number}": 3.6 for number in range(1, 40)}
        for seed in SEEDS:
            simulation = RateSimulation(
                instances=87,
                targets=56,
                requests_per_second=400.0,
                limits=limits,
                seed=seed,
            )
            simulation.loss_rate = 1.0
            simulation.run(24.0)
            self.assertEqual(simulation.find_excess(), [])

    # Guards against two instances that both use a partition as it changes hands.
    def test_limits_are_kept_while_partitions_change_hands(self):
        limits = {f"i-{number}": 12.0 for number in range(1, 6)}
        for seed in SEEDS:
            simulation = RateSimulation(
                instances=9,
                targets=5,
                requests_per_second=600.0,
                limits=limits,
                seed=seed,
            )
            simulation.deal_partitions_anew(8.0, 10.4, 13.0, 15.4)
            simulation.run(24.0)
            self.assertEqual(simulation.find_excess(PLANNED_OVERSHOOT), [])

    # Guards against excess by instances whose lease has lapsed unnoticed.
    def test_limits_are_kept_beside_instances_without_a_lease(self):
        limits = {f"i-{number}": 12.0 for number in range(1, 6)}
        for seed in SEEDS:
            simulation = RateSimulation(
                instances=9,
                targets=5,
                requests_per_second=600.0,
                limits=limits,
                seed=seed,
            )
            simulation.let_leases_lapse(simulation.instances[:3], 8.0)
            simulation.run(24.0)
            self.assertEqual(simulation.find_excess(PLANNED_OVERSHOOT), [])

    # Guards against unlimited targets that get what the limited ones would accept.
    def test_limits_are_used_while_the_other_targets_are_busy(self):
        limits = {f"i-{number}": 3.6 for number in range(1, 40)}
        simulation = RateSimulation(
            instances=87, targets=56, requests_per_second=400.0, limits=limits
        )
        simulation.run(22.0)
        arrivals = sum(simulation.count_arrivals(t, 6.0, 21.0) for t in limits)
        self.assertGreater(arrivals / 15.0, 0.55 * sum(limits.values()))

    # Guards against callers that are refused while targets would accept them.
    def test_limits_are_used_where_no_target_is_unlimited(self):
        limits = {f"i-{number}": 5.0 for number in range(1, 6)}
        simulation = RateSimulation(
            instances=9, targets=5, requests_per_second=50.0, limits=limits
        )
        simulation.run(22.0)
        for target_id, limit in limits.items():
            arrivals = simulation.count_arrivals(target_id, 6.0, 21.0)
            self.assertGreater(arrivals / 15.0, 0.6 * limit)


if __name__ == "__main__":
    unittest.main()
