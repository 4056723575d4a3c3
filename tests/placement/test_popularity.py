"""Tests of the spread of popular prompts; the load is played without a network."""

import random
import unittest

from carobladder.placement.popularity import PromptPopularity


def play(
    popularity: PromptPopularity, hot_share: float, per_second: float, seed: int
) -> float:
    """Play twenty seconds of requests about 200 prompts; key 0 may be hot."""
    generator = random.Random(seed)
    now = 0.0
    while now < 20.0:
        hot = generator.random() < hot_share
        popularity.note_request(0 if hot else generator.randrange(1, 200), now)
        now += generator.expovariate(per_second)
    return now


class PromptPopularityTest(unittest.TestCase):
    """Guard against a hot prompt that overruns its target, and needless copies."""

    def test_hot_prompt_is_spread_by_its_share(self):
        """A sixth of all requests is about one prompt, before nine and 45 targets."""
        for targets, per_second, least, most in ((9, 20.0, 2, 3), (45, 4.0, 3, 10)):
            for seed in range(5):
                with self.subTest(targets=targets, seed=seed):
                    popularity = PromptPopularity()
                    now = play(popularity, 0.17, per_second, seed)
                    replicas = popularity.count_replicas(0, targets, now)
                    self.assertTrue(least <= replicas <= most, replicas)

    def test_usual_prompts_stay_at_one_target(self):
        popularity = PromptPopularity()
        now = play(popularity, 0.0, 4.0, 1)
        spread = [popularity.count_replicas(key, 45, now) for key in range(200)]
        self.assertGreater(spread.count(1), 190)

    def test_a_prompt_cools_down(self):
        popularity = PromptPopularity()
        now = play(popularity, 0.3, 20.0, 1)
        for step in range(400):
            popularity.note_request(1 + step % 190, now + step * 0.05)
        self.assertEqual(popularity.count_replicas(0, 9, now + 20.0), 1)

    def test_memory_is_bounded(self):
        popularity = PromptPopularity()
        for key in range(40_000):
            popularity.note_request(key, key * 0.01)
        self.assertLess(len(popularity._counts), 6000)

    def test_nothing_known(self):
        self.assertEqual(PromptPopularity().count_replicas(1, 9, 0.0), 1)
