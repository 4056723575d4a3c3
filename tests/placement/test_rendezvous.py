"""Tests of rendezvous hashing."""

import unittest
from collections.abc import Callable

from hypothesis import given, seed
from hypothesis import strategies as st

from carobladder.placement.rendezvous import rank_members

KEYS = st.integers(0, 2**64 - 1)
MEMBERS = st.lists(
    st.text("abcdef0123456789-", min_size=1, max_size=8),
    min_size=2,
    max_size=12,
    unique=True,
)


def rank_by_modulo(key: int, members: list[str]) -> list[str]:
    """Rank by position: a faulty variant that depends on the whole list."""
    ordered = sorted(members)
    start = key % len(ordered)
    return ordered[start:] + ordered[:start]


def keeps_order_after_removal(
    rank: Callable[[int, list[str]], list[str]], key: int, members: list[str]
) -> bool:
    """Return whether the removal of one member keeps the order of the others."""
    before = rank(key, members)
    removed = members[0]
    return rank(key, members[1:]) == [member for member in before if member != removed]


class RendezvousTest(unittest.TestCase):
    """Guard against a ranking of common members that differs between two lists."""

    @seed(1)
    @given(KEYS, MEMBERS)
    def test_removal_keeps_the_order_of_the_others(self, key: int, members: list[str]):
        self.assertTrue(keeps_order_after_removal(rank_members, key, members))

    def test_check_detects_a_modulo_hash(self):
        members = [f"engine-{number}" for number in range(5)]
        kept = [
            keeps_order_after_removal(rank_by_modulo, k, members) for k in range(20)
        ]
        self.assertIn(False, kept)

    @seed(2)
    @given(KEYS, MEMBERS)
    def test_ranking_does_not_depend_on_the_list_order(
        self, key: int, members: list[str]
    ):
        self.assertEqual(rank_members(key, members), rank_members(key, members[::-1]))

    def test_keys_spread_evenly(self):
        members = [f"engine-{number}" for number in range(10)]
        firsts = [rank_members(key, members)[0] for key in range(5000)]
        counts = [firsts.count(member) for member in members]
        self.assertLess(max(counts), 1.2 * 500)
