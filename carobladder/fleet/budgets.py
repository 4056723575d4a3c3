"""Retry budgets of services, sized by the instance's share of the fleet."""

from carobladder.clock import Clock
from carobladder.fleet.shares import ShareLedger
from carobladder.retries import RetryBudget

__all__ = ["ServiceBudgets"]

# Part of the fleet's bounds that is used, since views of the shares differ.
_USED_PART = 0.7
# An instance whose share of the slack is below this keeps what its requests earn until
# it makes one repeat.
_LEAST_BURST = 1.0


class ServiceBudgets:
    """Keep a retry budget for each service.

    All instances together may repeat ``ratio`` of the requests and ``slack`` besides
    in a window; an instance takes its share of the slack.
    """

    def __init__(
        self, ratio: float, slack: float, ledger: ShareLedger, clock: Clock
    ) -> None:
        self._ratio = ratio * _USED_PART
        self._slack = slack * _USED_PART
        self._ledger = ledger
        self._clock = clock
        self._budgets: dict[str, RetryBudget] = {}

    def set_bounds(self, ratio: float, slack: float) -> None:
        """Use other bounds; budgets begin anew if they differ."""
        bounds = ratio * _USED_PART, slack * _USED_PART
        if bounds != (self._ratio, self._slack):
            self._ratio, self._slack = bounds
            self._budgets.clear()

    def find(self, service: str) -> RetryBudget:
        """Return the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            now = self._clock.monotonic()
            budget = RetryBudget(
                self._ratio,
                now,
                burst=self._slack * self._ledger.share,
                minimum_per_second=0.0,
                min_capacity=_LEAST_BURST,
            )
            self._budgets[service] = budget
        return budget

    def count_left(self) -> float:
        """Return the repeats left in the service that has the fewest."""
        slack = self._slack * self._ledger.share
        return min(
            (budget.available_retries for budget in self._budgets.values()),
            default=slack,
        )

    def resize(self) -> None:
        """Follow a change of the share."""
        for budget in self._budgets.values():
            budget.set_burst(self._slack * self._ledger.share)
