"""Per-service retry budgets, scaled by the instance's share of the fleet."""

from collections.abc import Callable

from carobladder.clock import Clock
from carobladder.fleet.shares import ShareLedger
from carobladder.retries import RetryBudget

__all__ = ["ServiceBudgets"]

# Fraction of the fleet-wide limits that is used. Instances may disagree about their
# shares for a while, so that their sum can exceed one.
_SAFETY_FACTOR = 0.7
# Minimum bucket capacity. An instance whose share of ``slack`` is smaller can still
# accumulate one retry from the fraction that each of its requests adds.
_MIN_CAPACITY = 1.0


class ServiceBudgets:
    """Retry budgets of all services on this instance.

    All instances together may retry a fraction ``ratio`` of the requests, plus
    ``slack`` further requests per window. Each instance uses its share of the slack.
    ``copy_share`` is the part of its requests of which an instance may send a copy, for
    the services that ``allows_copies`` names.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        ledger: ShareLedger,
        clock: Clock,
        copy_share: float = 0.0,
        allows_copies: Callable[[str], bool] = lambda service: True,
    ) -> None:
        self._ratio = ratio * _SAFETY_FACTOR
        self._slack = slack * _SAFETY_FACTOR
        self._ledger = ledger
        self._clock = clock
        self._copy_share = copy_share
        self._allows_copies = allows_copies
        self._budgets: dict[str, RetryBudget] = {}

    def set_bounds(self, ratio: float, slack: float) -> None:
        """Set the fleet-wide limits; resets all budgets if the limits changed."""
        limits = ratio * _SAFETY_FACTOR, slack * _SAFETY_FACTOR
        if limits != (self._ratio, self._slack):
            self._ratio, self._slack = limits
            self._budgets.clear()

    def set_copy_share(self, share: float) -> None:
        """Set the part of the requests of which copies may be sent."""
        self._copy_share = share
        for service, budget in self._budgets.items():
            budget.set_copy_ratio(self._find_copy_ratio(service))

    def find(self, service: str) -> RetryBudget:
        """Return the retry budget of a service, creating it on first use."""
        budget = self._budgets.get(service)
        if budget is None:
            now = self._clock.monotonic()
            budget = RetryBudget(
                self._ratio,
                now,
                burst=self._slack * self._ledger.share,
                minimum_per_second=0.0,
                min_capacity=_MIN_CAPACITY,
            )
            self._budgets[service] = budget
        if self._copy_share:
            budget.set_copy_ratio(self._find_copy_ratio(service))
        return budget

    def _find_copy_ratio(self, service: str) -> float:
        return self._copy_share if self._allows_copies(service) else 0.0

    def count_left(self) -> float:
        """Return the number of retries left in the most exhausted budget."""
        slack = self._slack * self._ledger.share
        return min(
            (budget.available_retries for budget in self._budgets.values()),
            default=slack,
        )

    def resize(self) -> None:
        """Apply a changed fleet share to all budgets."""
        for budget in self._budgets.values():
            budget.set_burst(self._slack * self._ledger.share)
