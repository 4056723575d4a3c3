"""Decisions on whether a failed attempt is retried."""

from dataclasses import dataclass
from enum import StrEnum

from carobladder.retries.budgets import RetryBudget

__all__ = ["FailedAttempt", "RetryDecision", "decide_retry"]

_MAX_ATTEMPTS = 3


class RetryDecision(StrEnum):
    """Decision to retry a failed attempt, or the reason against it."""

    RETRY = "retry"
    UNSAFE = "unsafe"
    ATTEMPTS_USED = "attempts_used"
    NO_TARGET = "no_target"
    DEADLINE = "deadline"
    BUDGET = "budget"


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """State of a call after a failed attempt.

    ``attempts`` counts the attempts so far. ``answer_relayed`` is true once the caller
    received a byte of the response; ``resumable`` is true if the rest can be requested
    by its token index. ``deadline`` is in monotonic seconds, or None once a stream has
    started.
    """

    attempts: int
    repeatable: bool
    request_written: bool
    answer_relayed: bool
    resumable: bool
    targets_left: int
    deadline: float | None


def decide_retry(
    failed: FailedAttempt, budget: RetryBudget, now: float
) -> RetryDecision:
    """Decide whether to retry a call; only a retry is charged to the budget."""
    if not _is_safe_to_retry(failed):
        return RetryDecision.UNSAFE
    if failed.deadline is not None and now >= failed.deadline:
        return RetryDecision.DEADLINE
    if failed.attempts >= _MAX_ATTEMPTS:
        return RetryDecision.ATTEMPTS_USED
    if failed.targets_left == 0:
        return RetryDecision.NO_TARGET
    if not budget.withdraw(now):
        return RetryDecision.BUDGET
    return RetryDecision.RETRY


def _is_safe_to_retry(failed: FailedAttempt) -> bool:
    if failed.answer_relayed:
        return failed.repeatable and failed.resumable
    return failed.repeatable or not failed.request_written
