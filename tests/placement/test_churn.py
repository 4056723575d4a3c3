"""Tests of placement while targets join and leave, in simulated time."""

import unittest

from benchmarks.engine_models import PrefixCache, Prompt
from benchmarks.placement import ConsistentHash, Oracle, Policy, measure
from benchmarks.placement_workload import DEPLOYMENTS
from carobladder.placement.policy import PlacementTuning

HOURS = 1.0
# Required share of the prefix tokens that the optimal strategy (Oracle) reuses.
MIN_REUSED_SHARE = 0.9


class ReuseUnderChurnTest(unittest.TestCase):
    """Guard against a policy that loses cached prefixes when targets change."""

    def test_policy_reuses_enough_tokens_where_consistent_hashing_does_not(self):
        policy = Policy(PlacementTuning(), returns_tokens=True)
        strategies = [Oracle(), policy, ConsistentHash(limited=True)]
        rows = list(measure(DEPLOYMENTS[0], strategies, seed=1, hours=HOURS))
        self.assertGreaterEqual(rows[1].reused_share, MIN_REUSED_SHARE)
        self.assertLess(rows[2].reused_share, MIN_REUSED_SHARE)

    def test_same_seed_gives_the_same_results(self):
        first, second = (
            list(measure(DEPLOYMENTS[1], [Oracle()], seed=2, hours=0.5))
            for _ in range(2)
        )
        self.assertEqual(first, second)


class PrefixCacheTest(unittest.TestCase):
    """Guard against a cache model that counts evicted tokens as reusable."""

    def test_prefix_is_shared_and_the_least_recent_chat_is_evicted(self):
        cache = PrefixCache(capacity_tokens=130)
        for chat in (1, 2, 3):
            cache.store(Prompt(7, 100, chat, 12))
        self.assertEqual(cache.reusable_tokens(Prompt(7, 100, 1, 12)), 100)
        self.assertEqual(cache.reusable_tokens(Prompt(7, 100, 3, 20)), 112)

    def test_chat_without_its_prefix_is_not_reusable(self):
        cache = PrefixCache(capacity_tokens=50)
        cache.store(Prompt(7, 100, 1, 12))
        self.assertEqual(cache.reusable_tokens(Prompt(7, 100, 1, 12)), 0)
