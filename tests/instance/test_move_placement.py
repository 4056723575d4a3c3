"""Tests of the placement of chats during version and data centre moves."""

import unittest
from datetime import UTC, datetime, timedelta

from carobladder.clock import VirtualClock
from carobladder.gateway.ports import ChatRequest, ChatTurn, Team
from carobladder.instance.placement import FleetPlacement
from carobladder.moves.datacentres import (
    DataCentreMoveSpec,
    DataCentreMoveState,
    DataCentrePhase,
    Direction,
)
from carobladder.placement.policy import PlacementPolicy
from carobladder.placement.tokens import TokenSigner
from carobladder.targets import RequestClass, TargetState

TEAM = Team("a", 1.0, frozenset({"m"}))
CHATS = range(400)


def make_target(name: str, version: str = "v1", data_centre: str = "dc-1"):
    """Return a usable target."""
    return TargetState(name, "m", version, data_centre, "127.0.0.1:1", boot_id="b")


def make_chat(number: int, token: str = "") -> ChatRequest:
    """Return the first request of a chat with a unique prefix."""
    turns = (ChatTurn("system", f"prefix {number}"), ChatTurn("user", "hello"))
    return ChatRequest(TEAM, "m", RequestClass.QUICK, turns, str(number), token)


def make_returning(step: int) -> DataCentreMoveState:
    """Return the state of a returning data centre at a refill step."""
    spec = DataCentreMoveSpec(
        "dm",
        "dc-2",
        None,
        refill_steps=(0.2, 1.0),
        step_time=timedelta(seconds=1),
        direction=Direction.RETURN,
    )
    since = datetime(2026, 1, 1, tzinfo=UTC)
    return DataCentreMoveState(spec, DataCentrePhase.RETURNING, step, since)


def rank_chats(targets, shares, returning=None, token_target=None):
    """Return the ranked targets of each chat."""
    clock = VirtualClock()
    signer = TokenSigner(b"secret-of-the-tests")
    placement = FleetPlacement(
        PlacementPolicy(), signer, clock, lambda: returning or {}
    )
    rankings = []
    for number in CHATS:
        chat = make_chat(number)
        if token_target is not None:
            token = placement.issue_token(chat, token_target, 100)
            chat = make_chat(number, token)
        rankings.append(placement.rank(chat, targets, shares).ranked)
    return rankings


class VersionPlacementTest(unittest.TestCase):
    """Guard against waits for a faulty version and overload of a minority version."""

    def test_a_minority_version_gets_its_share_with_the_majority_as_fallback(self):
        targets = [make_target("old"), make_target("new", "v2")]
        rankings = rank_chats(targets, {"v2": 0.1, "v1": 0.9})
        new = [ranked for ranked in rankings if ranked[0] == "new"]
        self.assertTrue(10 < len(new) < 80, len(new))
        self.assertEqual({tuple(ranked) for ranked in new}, {("new", "old")})
        old = {tuple(r) for r in rankings if r[0] == "old"}
        self.assertEqual(old, {("old",)})

    def test_a_version_without_a_share_gets_no_chats(self):
        targets = [make_target("old"), make_target("new", "v2")]
        rankings = rank_chats(targets, {"v2": 0.0, "v1": 1.0})
        self.assertEqual({tuple(ranked) for ranked in rankings}, {("old",)})


class ReturnPlacementTest(unittest.TestCase):
    """Guard against a data centre that is refilled at once or loses its chats."""

    targets = (make_target("here"), make_target("back", data_centre="dc-2"))

    def count_returned(self, step: int, token_target=None) -> int:
        returning = {"dc-2": make_returning(step)}
        rankings = rank_chats(self.targets, {"v1": 1.0}, returning, token_target)
        self.assertEqual({len(ranked) for ranked in rankings}, {2})
        return sum(ranked[0] == "back" for ranked in rankings)

    def test_a_refill_step_gets_its_share_of_the_prefixes(self):
        all_chats = self.count_returned(1)
        self.assertGreater(all_chats, 100)
        self.assertTrue(0 < self.count_returned(0) < all_chats / 2)

    def test_a_chat_stays_on_the_target_with_its_context(self):
        self.assertEqual(self.count_returned(0, self.targets[1]), len(CHATS))
        self.assertEqual(self.count_returned(1, self.targets[0]), 0)
