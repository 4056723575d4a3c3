"""Limit retries to a ratio of the requests."""

__all__ = ["RetryBudget"]

# At full size an instance has about 660 open streams, 51 of them in each of 13 data
# centres; the burst covers the failure of two, or of one and its second attempts.
_BURST_RETRIES = 100.0
# Lets an instance with little traffic retry at all.
_MINIMUM_PER_SECOND = 0.1


class RetryBudget:
    """Grant retries from a token bucket that requests fill.

    Over any period the retries stay within the burst, the ratio times the requests
    and the minimum rate times the period. Every instance has the same ratio, so the
    bound holds for the fleet without messages between instances. A burst below
    ``least_capacity`` is not given at the start, but requests may earn it.
    """

    def __init__(
        self,
        ratio: float,
        now: float,
        *,
        burst: float = _BURST_RETRIES,
        minimum_per_second: float = _MINIMUM_PER_SECOND,
        least_capacity: float = 0.0,
    ) -> None:
        self._ratio = ratio
        self._least_capacity = least_capacity
        self._capacity = max(burst, least_capacity)
        self._minimum_per_second = minimum_per_second
        self._tokens = burst
        self._updated = now

    @property
    def left(self) -> float:
        """Return the retries that may come at once now."""
        return self._tokens

    def set_burst(self, burst: float) -> None:
        """Change the number of retries that may come at once."""
        self._capacity = max(burst, self._least_capacity)
        self._tokens = min(self._tokens, self._capacity)

    def record_request(self) -> None:
        """Add the share of a retry that a first attempt earns."""
        self._tokens = min(self._capacity, self._tokens + self._ratio)

    def withdraw(self, now: float) -> bool:
        """Take one retry out of the bucket; tell whether there was one."""
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _refill(self, now: float) -> None:
        passed_seconds = max(0.0, now - self._updated)
        earned = passed_seconds * self._minimum_per_second
        self._tokens = min(self._capacity, self._tokens + earned)
        self._updated = max(now, self._updated)
