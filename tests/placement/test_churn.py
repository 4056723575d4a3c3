"""Tests of placement under churn, in virtual time."""

import unittest

from benchmarks.engine_models import PrefixCache, Prompt
from benchmarks.placement import ConsistentHash, Oracle, Policy, measure
from benchmarks.placement_workload import DEPLOYMENTS
from carobladder.placement.policy import PlacementTuning

HOURS = 1.0
# Stated target: share of the oracle's reused prefix tokens.
REUSED_SHARE_MIN = 0.9


class ReuseUnderChurnTest(unittest.TestCase):
    """Guard against a policy that loses the engines' caches under churn."""

    def test_policy_meets_the_target_where_consistent_hashing_does_not(self):
        policy = Policy(PlacementTuning(), returns_tokens=True)
        strategies = [Oracle(), policy, ConsistentHash(limited=True)]
        rows = list(measure(DEPLOYMENTS[0], strategies, seed=1, hours=HOURS))
        self.assertGreaterEqual(rows[1].reused_share, REUSED_SHARE_MIN)
        self.assertLess(rows[2].reused_share, REUSED_SHARE_MIN)

    def test_same_seed_gives_the_same_figures(self):
        first, second = (
            list(measure(DEPLOYMENTS[1], [Oracle()], seed=2, hours=0.5))
            for _ in range(2)
        )
        self.assertEqual(first, second)


class PrefixCacheTest(unittest.TestCase):
    """Guard against a cache model that counts tokens it no longer holds."""

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
