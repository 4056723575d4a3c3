"""Tests of chat and prefix keys."""

import itertools
import unittest
from collections.abc import Callable

from hypothesis import given, seed
from hypothesis import strategies as st

from carobladder.placement.keys import (
    ChatMessage,
    choose_version,
    derive_chat_key,
    derive_prefix_key,
    key_fraction,
)

KEYS = st.integers(0, 2**64 - 1)
FIRST = [ChatMessage("system", "catalogue"), ChatMessage("user", "quote, please")]
LATER = [*FIRST, ChatMessage("assistant", "done"), ChatMessage("user", "again")]
Chooser = Callable[[int, dict[str, float]], str]


def choose_by_remainder(key: int, shares: dict[str, float]) -> str:
    """Choose by a hash of the shares too: the broken variant, which moves chats."""
    fraction = key_fraction(key ^ hash(tuple(shares.values())) & (2**64 - 1))
    return "new" if fraction < shares["new"] else "old"


def counts_moves(choose: Chooser, key: int) -> int:
    """Return how often a chat changes its version while the new share grows."""
    shares = [step / 10 for step in range(11)]
    used = [choose(key, {"new": share, "old": 1 - share}) for share in shares]
    return sum(a != b for a, b in itertools.pairwise(used))


class ChatKeyTest(unittest.TestCase):
    """Guard against returning chats that get a new key, and keys that collide."""

    def test_later_turn_keeps_the_key(self):
        self.assertEqual(
            derive_chat_key("t", "m", None, FIRST),
            derive_chat_key("t", "m", None, LATER),
        )

    def test_chat_id_goes_before_the_text(self):
        self.assertEqual(
            derive_chat_key("t", "m", "c1", FIRST), derive_chat_key("t", "m", "c1", [])
        )

    @seed(1)
    @given(st.text(max_size=5), st.text(max_size=5), st.text(max_size=5))
    def test_parts_are_kept_apart(self, team: str, model: str, chat: str):
        if team:
            moved = derive_chat_key(team[:-1], team[-1] + model, chat or "c", [])
            self.assertNotEqual(derive_chat_key(team, model, chat or "c", []), moved)

    def test_chats_of_a_team_share_the_prefix_key(self):
        other = [FIRST[0], ChatMessage("user", "other")]
        key = derive_prefix_key("t", "m", FIRST)
        self.assertEqual(key, derive_prefix_key("t", "m", other))
        self.assertNotEqual(key, derive_prefix_key("u", "m", FIRST))

    def test_text_with_a_lone_surrogate_has_a_key(self):
        message = ChatMessage("user", "\ud800")
        self.assertIsInstance(derive_chat_key("t", "m", None, [message]), int)


class VersionChoiceTest(unittest.TestCase):
    """Guard against chats that change between versions more than once."""

    @seed(2)
    @given(KEYS)
    def test_growing_share_moves_a_chat_once(self, key: int):
        self.assertEqual(counts_moves(choose_version, key), 1)

    def test_check_of_moves_catches_a_choice_that_depends_on_the_shares(self):
        moves = [counts_moves(choose_by_remainder, key) for key in range(50)]
        self.assertGreater(max(moves), 1)

    def test_share_is_met(self):
        used = [choose_version(k, {"new": 0.2, "old": 0.8}) for k in range(10_000)]
        self.assertAlmostEqual(used.count("new") / 10_000, 0.2, delta=0.02)

    def test_no_share_at_all_is_refused(self):
        with self.assertRaises(ValueError):
            choose_version(1, {"new": 0.0})
