"""Tests of chat and prefix keys."""

import itertools
import unittest
from collections.abc import Callable

from hypothesis import given, seed
from hypothesis import strategies as st

from carobladder.placement.keys import (
    ChatMessage,
    choose_version,
    compute_key_fraction,
    derive_chat_key,
    derive_prefix_key,
)

KEYS = st.integers(0, 2**64 - 1)
FIRST_TURN = [ChatMessage("system", "catalogue"), ChatMessage("user", "quote, please")]
LATER_TURN = [
    *FIRST_TURN,
    ChatMessage("assistant", "done"),
    ChatMessage("user", "again"),
]
Chooser = Callable[[int, dict[str, float]], str]


def choose_by_key_and_shares(key: int, shares: dict[str, float]) -> str:
    """Choose by a hash of the key and the shares: a faulty variant that moves chats."""
    fraction = compute_key_fraction(key ^ hash(tuple(shares.values())) & (2**64 - 1))
    return "new" if fraction < shares["new"] else "old"


def count_version_changes(choose: Chooser, key: int) -> int:
    """Return how often a chat changes its version as the new one's share grows."""
    shares = [step / 10 for step in range(11)]
    used = [choose(key, {"new": share, "old": 1 - share}) for share in shares]
    return sum(a != b for a, b in itertools.pairwise(used))


class ChatKeyTest(unittest.TestCase):
    """Guard against chats whose key changes between turns, and against collisions."""

    def test_later_turn_keeps_the_key(self):
        self.assertEqual(
            derive_chat_key("t", "m", None, FIRST_TURN),
            derive_chat_key("t", "m", None, LATER_TURN),
        )

    def test_chat_id_takes_precedence_over_the_messages(self):
        self.assertEqual(
            derive_chat_key("t", "m", "c1", FIRST_TURN),
            derive_chat_key("t", "m", "c1", []),
        )

    @seed(1)
    @given(st.text(max_size=5), st.text(max_size=5), st.text(max_size=5))
    def test_moving_text_between_team_and_model_changes_the_key(
        self, team: str, model: str, chat: str
    ):
        if team:
            moved = derive_chat_key(team[:-1], team[-1] + model, chat or "c", [])
            self.assertNotEqual(derive_chat_key(team, model, chat or "c", []), moved)

    def test_chats_of_a_team_share_the_prefix_key(self):
        other_chat = [FIRST_TURN[0], ChatMessage("user", "other")]
        key = derive_prefix_key("t", "m", FIRST_TURN)
        self.assertEqual(key, derive_prefix_key("t", "m", other_chat))
        self.assertNotEqual(key, derive_prefix_key("u", "m", FIRST_TURN))

    def test_lone_surrogate_is_accepted(self):
        message = ChatMessage("user", "\ud800")
        self.assertIsInstance(derive_chat_key("t", "m", None, [message]), int)


class VersionChoiceTest(unittest.TestCase):
    """Guard against chats that change between versions more than once."""

    @seed(2)
    @given(KEYS)
    def test_growing_share_moves_each_chat_once(self, key: int):
        self.assertEqual(count_version_changes(choose_version, key), 1)

    def test_check_detects_a_choice_that_depends_on_the_shares(self):
        moves = [
            count_version_changes(choose_by_key_and_shares, key) for key in range(50)
        ]
        self.assertGreater(max(moves), 1)

    def test_versions_get_their_shares(self):
        used = [choose_version(k, {"new": 0.2, "old": 0.8}) for k in range(10_000)]
        self.assertAlmostEqual(used.count("new") / 10_000, 0.2, delta=0.02)

    def test_no_share_above_zero_is_rejected(self):
        with self.assertRaises(ValueError):
            choose_version(1, {"new": 0.0})
