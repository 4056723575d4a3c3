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


class ListOrderPolicy(PlacementPolicy):
    """Faulty variant that ranks targets in the order of the list."""

    def rank(self, request, targets):
        """Return the ids in the order of the list."""
        return [target.target_id for target in targets]


class RestartIgnoringPolicy(PlacementPolicy):
    """Faulty variant that follows a token after its target has restarted."""

    def rank(self, request, targets):
        """Return the target of the token first, whatever its boot id."""
        ranked = super().rank(request, targets)
        return [request.token.target_id, *ranked] if request.token else ranked


def agrees_on_reordered_list(
    policy: PlacementPolicy, request: PlacementRequest
) -> bool:
    """Return whether instances with differently ordered lists rank alike."""
    return policy.rank(request, TARGETS) == policy.rank(request, TARGETS[::-1])


def follows_restart(policy: PlacementPolicy, request: PlacementRequest) -> bool:
    """Return whether a token affects the ranking after its target has restarted."""
    restarted = [
        replace(target, boot_id="boot-new")
        if target.target_id == "engine-3"
        else target
        for target in TARGETS
    ]
    with_token = policy.rank(request, restarted)
    return with_token != policy.rank(replace(request, token=None), restarted)


def build_request(
    key: int, prefix: int, token: ChatToken | None = None
) -> PlacementRequest:
    """Return a request of the long class with a large shared prefix."""
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
    """Guard against chats that are sent to targets without their cached context."""

    def setUp(self):
        self.policy = PlacementPolicy()

    @seed(1)
    @given(KEYS, KEYS)
    def test_ranking_does_not_depend_on_the_list_order(self, key: int, prefix: int):
        self.assertTrue(
            agrees_on_reordered_list(self.policy, build_request(key, prefix))
        )

    def test_check_detects_a_ranking_by_list_order(self):
        self.assertFalse(
            agrees_on_reordered_list(ListOrderPolicy(), build_request(1, 2))
        )

    @seed(2)
    @given(KEYS, KEYS)
    def test_token_target_is_first_and_the_other_order_is_kept(
        self, key: int, prefix: int
    ):
        without_token = self.policy.rank(build_request(key, prefix), TARGETS)
        ranked = self.policy.rank(build_request(key, prefix, TOKEN), TARGETS)
        self.assertEqual(ranked[0], "engine-3")
        self.assertEqual(ranked[1:], [t for t in without_token if t != "engine-3"])

    def test_token_from_before_a_restart_is_ignored(self):
        self.assertFalse(follows_restart(self.policy, build_request(1, 2, TOKEN)))

    def test_check_detects_a_policy_that_ignores_restarts(self):
        followed = [
            follows_restart(RestartIgnoringPolicy(), build_request(key, 2, TOKEN))
            for key in range(5)
        ]
        self.assertIn(True, followed)

    @seed(3)
    @given(KEYS, KEYS, st.integers(0, 9))
    def test_leaving_and_unready_targets_are_not_ranked(
        self, key: int, prefix: int, index: int
    ):
        for change in ({"leaving": True}, {"ready": False}):
            targets = list(TARGETS)
            targets[index] = replace(targets[index], **change)
            ranked = self.policy.rank(build_request(key, prefix, TOKEN), targets)
            self.assertNotIn(f"engine-{index}", ranked)
            self.assertEqual(len(ranked), 9)

    def test_chats_of_one_prefix_stay_on_few_targets(self):
        firsts = {
            self.policy.rank(build_request(key, 7), TARGETS)[0] for key in range(200)
        }
        self.assertLessEqual(len(firsts), 3)

    def test_wait_is_longer_for_a_longer_unshared_context(self):
        long_wait = self.policy.place(
            build_request(1, 2, TOKEN), TARGETS
        ).sticky_seconds
        short_token = replace_tokens(TOKEN, 21_000)
        short_wait = self.policy.place(
            build_request(1, 2, short_token), TARGETS
        ).sticky_seconds
        self.assertGreater(long_wait, short_wait)

    def test_first_request_does_not_wait(self):
        self.assertEqual(
            self.policy.place(build_request(1, 2), TARGETS).sticky_seconds, 0.0
        )

    def test_prefix_waits_for_few_targets_for_a_limited_time(self):
        placement = self.policy.place(build_request(1, 2, TOKEN), TARGETS)
        self.assertEqual(placement.near_count, 3)
        self.assertGreater(placement.near_seconds, placement.sticky_seconds)
        self.assertLessEqual(placement.near_seconds, 5.0)
        self.assertEqual(len(placement.ranked), len(TARGETS))

    def test_no_usable_target_gives_an_empty_ranking(self):
        self.assertEqual(self.policy.rank(build_request(1, 2, TOKEN), []), [])


def replace_tokens(token: ChatToken, context_tokens: int) -> ChatToken:
    """Return a copy of the token with another context length."""
    return ChatToken(token.target_id, token.boot_id, token.issued, context_tokens)
