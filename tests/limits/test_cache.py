"""Tests of the number of requests that the cache of an engine holds."""

import math
import unittest

from carobladder.limits.cache import CacheUse

CACHE_TOKENS = 468_934
LONG_TOKENS = 11_700


class CacheUseTest(unittest.TestCase):
    """Guard against engines that seem to have free slots while their memory is full."""

    def setUp(self):
        self.use = CacheUse()

    def test_unknown_sizes_and_caches_set_no_limit(self):
        self.assertEqual(self.use.compute_slots(CACHE_TOKENS), math.inf)
        self.use.note_request(LONG_TOKENS)
        self.assertEqual(self.use.compute_slots(0), math.inf)

    def test_long_prompts_fill_the_cache_before_the_slots(self):
        for _ in range(10):
            self.use.note_request(LONG_TOKENS)
        self.assertAlmostEqual(self.use.compute_slots(CACHE_TOKENS), 40.0, delta=0.2)

    def test_mean_follows_chats_that_arrive_beside_long_prompts(self):
        for index in range(2000):
            self.use.note_request(LONG_TOKENS if index % 2 else 1500)
        self.assertAlmostEqual(self.use.compute_slots(CACHE_TOKENS), 71.0, delta=2.0)

    def test_request_larger_than_the_cache_leaves_one_slot(self):
        self.use.note_request(2 * CACHE_TOKENS)
        self.assertEqual(self.use.compute_slots(CACHE_TOKENS), 1.0)


if __name__ == "__main__":
    unittest.main()
