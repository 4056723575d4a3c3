"""Tests of the placement policy."""

import unittest
from dataclasses import replace

from hypothesis import given, seed
from hypothesis import strategies as st

from carobladder.placement.policy import PlacementPolicy, PlacementRequest
from carobladder.placement.tokens import ChatToken
from carobladder.targets import RequestClass, TargetState

KEYS = st.integers(0, 2**64 - 1)
TARGETS = [
    TargetState(f"engine-{n}", "m", "v1", "dc-1", "", boot_id=f"boot-{n}")
    for n in range(10)
]
TOKEN = ChatToken("engine-3", "boot-3", 0, 30_000)


class FirstListedPolicy(PlacementPolicy):
    """Broken variant: ranks in the order of the instance's list."""

    def rank(self, request, targets):
        """Return the ids as they are listed."""
        return [target.target_id for target in targets]


class BootBlindPolicy(PlacementPolicy):
    """Broken variant: follows a token after its target was restarted."""

    def rank(self, request, targets):
        """Return the token's target first, whatever it runs as."""
        ranked = super().rank(request, targets)
        return [request.token.target_id, *ranked] if request.token else ranked


def agrees(policy: PlacementPolicy, request: PlacementRequest) -> bool:
    """Return whether two instances with lists in another order rank the same."""
    return policy.rank(request, TARGETS) == policy.rank(request, TARGETS[::-1])


def follows_restart(policy: PlacementPolicy, request: PlacementRequest) -> bool:
    """Return whether a token of an earlier boot still decides."""
    restarted = [
        replace(target, boot_id="boot-new")
        if target.target_id == "engine-3"
        else target
        for target in TARGETS
    ]
    with_token = policy.rank(request, restarted)
    return with_token != policy.rank(replace(request, token=None), restarted)


def quote(key: int, prefix: int, token: ChatToken | None = None) -> PlacementRequest:
    """Return a long request with a large shared prefix."""
    return PlacementRequest(
        RequestClass.LONG,
        key,
        prefix,
        prompt_tokens=30_000,
        prefix_tokens=20_000,
        token=token,
        returning=token is not None,
    )


class PolicyTest(unittest.TestCase):
    """Guard against chats that are sent away from their cached context."""

    def setUp(self):
        self.policy = PlacementPolicy()

    @seed(1)
    @given(KEYS, KEYS)
    def test_instances_agree_on_first_and_next_choice(self, key: int, prefix: int):
        self.assertTrue(agrees(self.policy, quote(key, prefix)))

    def test_check_of_agreement_catches_a_ranking_by_list_order(self):
        self.assertFalse(agrees(FirstListedPolicy(), quote(1, 2)))

    @seed(2)
    @given(KEYS, KEYS)
    def test_token_goes_first_and_keeps_the_next_choices(self, key: int, prefix: int):
        plain = self.policy.rank(quote(key, prefix), TARGETS)
        ranked = self.policy.rank(quote(key, prefix, TOKEN), TARGETS)
        self.assertEqual(ranked[0], "engine-3")
        self.assertEqual(ranked[1:], [t for t in plain if t != "engine-3"])

    def test_token_of_an_earlier_boot_is_ignored(self):
        self.assertFalse(follows_restart(self.policy, quote(1, 2, TOKEN)))

    def test_check_of_boots_catches_a_policy_that_ignores_them(self):
        followed = [
            follows_restart(BootBlindPolicy(), quote(key, 2, TOKEN)) for key in range(5)
        ]
        self.assertIn(True, followed)

    @seed(3)
    @given(KEYS, KEYS, st.integers(0, 9))
    def test_leaving_and_unready_targets_are_left_out(
        self, key: int, prefix: int, index: int
    ):
        for change in ({"leaving": True}, {"ready": False}):
            targets = list(TARGETS)
            targets[index] = replace(targets[index], **change)
            ranked = self.policy.rank(quote(key, prefix, TOKEN), targets)
            self.assertNotIn(f"engine-{index}", ranked)
            self.assertEqual(len(ranked), 9)

    def test_chats_of_one_prefix_stay_on_few_targets(self):
        firsts = {self.policy.rank(quote(key, 7), TARGETS)[0] for key in range(200)}
        self.assertLessEqual(len(firsts), 3)

    def test_waiting_is_worth_more_for_a_longer_own_context(self):
        long_wait = self.policy.place(quote(1, 2, TOKEN), TARGETS).sticky_seconds
        short_token = replace_tokens(TOKEN, 21_000)
        short_wait = self.policy.place(quote(1, 2, short_token), TARGETS).sticky_seconds
        self.assertGreater(long_wait, short_wait)

    def test_first_request_does_not_wait(self):
        self.assertEqual(self.policy.place(quote(1, 2), TARGETS).sticky_seconds, 0.0)

    def test_prefix_is_kept_to_few_choices_for_a_limited_time(self):
        placement = self.policy.place(quote(1, 2, TOKEN), TARGETS)
        self.assertEqual(placement.near_count, 3)
        self.assertGreater(placement.near_seconds, placement.sticky_seconds)
        self.assertLessEqual(placement.near_seconds, 5.0)
        self.assertEqual(len(placement.ranked), len(TARGETS))

    def test_no_usable_target_gives_an_empty_ranking(self):
        self.assertEqual(self.policy.rank(quote(1, 2, TOKEN), []), [])


def replace_tokens(token: ChatToken, context_tokens: int) -> ChatToken:
    """Return the token with another context length."""
    return ChatToken(token.target_id, token.boot_id, token.issued, context_tokens)
