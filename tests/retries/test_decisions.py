"""Tests of retry decisions."""

import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from carobladder.retries import (
    FailedAttempt,
    RetryBudget,
    RetryDecision,
    decide_retry,
)

RETRYABLE_ATTEMPT = FailedAttempt(
    attempts=1,
    repeatable=True,
    request_written=True,
    answer_relayed=False,
    resumable=True,
    targets_left=1,
    deadline=10.0,
)
FAILED_ATTEMPTS = st.builds(
    FailedAttempt,
    attempts=st.integers(1, 4),
    repeatable=st.booleans(),
    request_written=st.booleans(),
    answer_relayed=st.booleans(),
    resumable=st.booleans(),
    targets_left=st.integers(0, 2),
    deadline=st.none() | st.floats(0, 20),
)


class DecideRetryTest(unittest.TestCase):
    """Guard against retries that duplicate a call or a response, or double the load."""

    def decide(self, failed, tokens=1.0):
        budget = RetryBudget(0.0, 0.0, burst=tokens, minimum_per_second=0.0)
        return decide_retry(failed, budget, now=5.0)

    @settings(derandomize=True)
    @given(FAILED_ATTEMPTS)
    def test_retry_is_always_safe(self, failed):
        if self.decide(failed) is not RetryDecision.RETRY:
            return
        self.assertTrue(failed.repeatable or not failed.request_written)
        self.assertTrue(failed.resumable or not failed.answer_relayed)
        self.assertGreater(failed.targets_left, 0)
        self.assertTrue(failed.deadline is None or failed.deadline > 5.0)

    def test_each_reason_against_a_retry_is_returned(self):
        cases = {
            RetryDecision.RETRY: {},
            RetryDecision.UNSAFE: {"repeatable": False},
            RetryDecision.ATTEMPTS_USED: {"attempts": 3},
            RetryDecision.NO_TARGET: {"targets_left": 0},
            RetryDecision.DEADLINE: {"deadline": 5.0},
        }
        for decision, changes in cases.items():
            with self.subTest(decision=decision):
                self.assertIs(
                    self.decide(replace(RETRYABLE_ATTEMPT, **changes)), decision
                )
        self.assertIs(self.decide(RETRYABLE_ATTEMPT, tokens=0.5), RetryDecision.BUDGET)

    def test_denied_retry_is_not_withdrawn_from_the_budget(self):
        budget = RetryBudget(0.0, 0.0, burst=1.0, minimum_per_second=0.0)
        decide_retry(replace(RETRYABLE_ATTEMPT, targets_left=0), budget, 5.0)
        self.assertIs(decide_retry(RETRYABLE_ATTEMPT, budget, 5.0), RetryDecision.RETRY)
