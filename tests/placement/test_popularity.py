"""Tests of the replication of popular prompts, with simulated requests."""

import random
import unittest

from carobladder.placement.popularity import PromptPopularity


def simulate_requests(
    popularity: PromptPopularity, hot_share: float, per_second: float, seed: int
) -> float:
    """Simulate 20 s of requests with 200 prompts; return the end time.

    Key 0 gets the fraction ``hot_share`` of the requests.
    """
    generator = random.Random(seed)
    now = 0.0
    while now < 20.0:
        is_hot = generator.random() < hot_share
        popularity.note_request(0 if is_hot else generator.randrange(1, 200), now)
        now += generator.expovariate(per_second)
    return now


class PromptPopularityTest(unittest.TestCase):
    """Guard against popular prompts that overload a target, and needless replicas."""

    def test_popular_prompt_is_replicated_by_its_share(self):
        """A sixth of all requests has one prompt, in fleets of 9 and 45 targets."""
        for targets, per_second, least, most in ((9, 20.0, 2, 3), (45, 4.0, 3, 10)):
            for seed in range(5):
                with self.subTest(targets=targets, seed=seed):
                    popularity = PromptPopularity()
                    now = simulate_requests(popularity, 0.17, per_second, seed)
                    replicas = popularity.count_replicas(0, targets, now)
                    self.assertTrue(least <= replicas <= most, replicas)

    def test_other_prompts_stay_at_one_target(self):
        popularity = PromptPopularity()
        now = simulate_requests(popularity, 0.0, 4.0, 1)
        replicas = [popularity.count_replicas(key, 45, now) for key in range(200)]
        self.assertGreater(replicas.count(1), 190)

    def test_replicas_decrease_when_a_prompt_becomes_rare(self):
        popularity = PromptPopularity()
        now = simulate_requests(popularity, 0.3, 20.0, 1)
        for step in range(400):
            popularity.note_request(1 + step % 190, now + step * 0.05)
        self.assertEqual(popularity.count_replicas(0, 9, now + 20.0), 1)

    def test_memory_is_bounded(self):
        popularity = PromptPopularity()
        for key in range(40_000):
            popularity.note_request(key, key * 0.01)
        self.assertLess(len(popularity._counts), 6000)

    def test_unknown_prompt_has_one_replica(self):
        self.assertEqual(PromptPopularity().count_replicas(1, 9, 0.0), 1)
