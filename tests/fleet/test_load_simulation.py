"""Tests of the load limit while instances know the targets' loads with a delay."""

import unittest

from tests.fleet.load_simulation import LoadSimulation

DATA_CENTRES = ("dc-a", "dc-b", "dc-c")
# A window of 5 s violates the operators' limit if both are exceeded: this number and
# this share of requests to overloaded targets.
MIN_VIOLATION_REQUESTS = 20
MIN_VIOLATION_SHARE = 0.03


def build_fleet(**options) -> LoadSimulation:
    """Return nine instances and nine targets in three data centres."""
    simulation = LoadSimulation(**options)
    for index in range(9):
        simulation.add_target(f"i-{index}", DATA_CENTRES[index % 3])
    return simulation


def build_small_fleet(
    seed: int, requests_per_second: float = 90.0, **options
) -> LoadSimulation:
    """Return eight instances and six targets; callers send several requests at once."""
    simulation = LoadSimulation(
        instances=8,
        requests_per_second=requests_per_second,
        mean_seconds=0.45,
        mean_clump=2.5,
        doubling_requests=64.0,
        counts_draining=False,
        seed=seed,
        **options,
    )
    for index in range(6):
        simulation.add_target(f"i-{index}", DATA_CENTRES[index % 3])
    return simulation


def replace_targets(simulation: LoadSimulation, *moves: tuple[int, int, str]) -> None:
    """Replace targets one by one with cold ones, starting at 10 s."""
    for index, (old, new, data_centre) in enumerate(moves):
        start = 10.0 + 1.6 * index
        simulation.at(
            start,
            lambda new=new, data_centre=data_centre: simulation.add_target(
                f"i-{new}", data_centre, cold=3.0
            ),
        )
        simulation.at(start + 1.0, lambda old=old: simulation.drain_target(f"i-{old}"))
        simulation.at(start + 5.0, lambda old=old: simulation.drop_target(f"i-{old}"))


class LoadLimitTest(unittest.TestCase):
    """Guard against targets with more than twice the mean load of their service."""

    def check(self, simulation: LoadSimulation, start: float, end: float) -> None:
        overloaded, share = simulation.find_worst_window(start, end)
        violated = overloaded >= MIN_VIOLATION_REQUESTS and share > MIN_VIOLATION_SHARE
        self.assertFalse(violated, f"{overloaded} requests, {share:.3f} of a window")
        self.assertEqual(simulation.refused, 0)

    def test_steady_traffic(self):
        for hot_share in (0.0, 0.2):
            for seed in range(4):
                with self.subTest(hot_share=hot_share, seed=seed):
                    simulation = build_fleet(hot_share=hot_share, seed=seed)
                    simulation.run(15.0)
                    self.check(simulation, 2.0, 15.0)

    def test_replacement_while_a_data_centre_is_emptied(self):
        """Half of the targets are idle or cold, so that the mean load is low.

        A target above the limit gets no requests and thus sends no load reports. Before
        loads decayed without reports, the other targets were overloaded for seconds.
        """
        for mean_seconds in (0.5, 0.8):
            for seed in range(6):
                with self.subTest(mean_seconds=mean_seconds, seed=seed):
                    simulation = build_fleet(mean_seconds=mean_seconds, seed=seed)
                    simulation.at(
                        10.0, lambda sim=simulation: sim.empty_data_centre("dc-a")
                    )
                    replace_targets(
                        simulation, (0, 10, "dc-a"), (1, 11, "dc-b"), (3, 12, "dc-a")
                    )
                    simulation.run(25.0)
                    self.check(simulation, 10.0, 25.0)

    def test_prompts_stay_with_their_targets_in_steady_traffic(self):
        simulation = build_fleet()
        simulation.run(20.0)
        self.assertLess(simulation.cache_misses, 0.06 * len(simulation.arrivals))

    def test_requests_that_arrive_together_while_half_of_the_targets_are_idle(self):
        """A version move idles the old targets, so that the bound is the mean plus 3.

        A target states its load only when it begins to answer. Instances that know no
        other loads all choose the same target until then.
        """
        for seed in range(6):
            with self.subTest(seed=seed):
                simulation = build_small_fleet(seed)
                simulation.at(
                    4.0, lambda sim=simulation: self.start_second_version(sim)
                )
                simulation.at(10.0, lambda sim=simulation: sim.move_version("v2", 1.0))
                simulation.run(20.0)
                self.check(simulation, 4.0, 20.0)

    def start_second_version(self, simulation: LoadSimulation) -> None:
        for index in range(6, 12):
            simulation.add_target(f"i-{index}", DATA_CENTRES[index % 3], version="v2")
        simulation.move_version("v2", 0.04)

    def test_requests_that_arrive_together_beside_cold_targets(self):
        """Targets are replaced while a data centre is emptied; few remain in use.

        When a cold target becomes warm, all instances know that it is idle. Those that
        know no other loads all choose it until it states its load.
        """
        for seed in range(6):
            with self.subTest(seed=seed):
                simulation = build_small_fleet(seed)
                simulation.at(6.0, lambda sim=simulation: sim.empty_data_centre("dc-b"))
                replace_targets(
                    simulation, (0, 10, "dc-a"), (3, 11, "dc-a"), (2, 12, "dc-c")
                )
                simulation.run(24.0)
                self.check(simulation, 8.0, 24.0)

    def test_requests_wait_while_no_target_is_below_the_bound(self):
        """For two seconds one warm target is left beside cold and idle ones.

        Requests that were sent on at once all went to the warm target.
        """
        for seed in range(6):
            with self.subTest(seed=seed):
                simulation = build_small_fleet(
                    seed, requests_per_second=80.0, max_wait_seconds=0.25
                )
                simulation.at(6.0, lambda sim=simulation: sim.empty_data_centre("dc-b"))
                simulation.at(8.0, lambda sim=simulation: sim.drain_target("i-2"))
                simulation.at(12.0, lambda sim=simulation: sim.drop_target("i-2"))
                replace_targets(simulation, (0, 10, "dc-a"), (5, 11, "dc-c"))
                simulation.run(24.0)
                self.check(simulation, 8.0, 24.0)

    def test_burst_of_traffic_with_a_hot_prompt(self):
        simulation = build_fleet(hot_share=0.2, requests_per_second=110.0)
        simulation.run(15.0)
        self.check(simulation, 2.0, 15.0)
