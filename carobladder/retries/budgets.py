"""Limit of retries to a ratio of the requests."""

__all__ = ["RetryBudget"]

# A full-size instance has about 660 open streams, 51 in each of 13 data centres. The
# burst covers the failure of two data centres, or of one and then of its retries.
_BURST_RETRIES = 100.0
# Permits some retries on an instance with little traffic.
_MINIMUM_PER_SECOND = 0.1
# Largest part of the income that is set aside for copies of late requests, so that half
# of it is left to retries after failures.
_MAX_COPY_PART = 0.5
# Copies that can be stored, as a fraction of the burst, but at least two. With one, a
# simulated instance that earned as many copies as it had late requests sent half of
# them; with three, 76 instances whose targets are all slow at once could exceed the
# budget of a small service.
_COPY_BURST_FRACTION = 0.25
_MIN_COPY_CAPACITY = 2.0
# No copy is granted while retries have used more than this part of their tokens.
_MIN_RETRY_FRACTION = 0.5
# Ten times 0.1 is a little less than 1 in floating-point numbers.
_ROUNDING_ERROR = 1e-9


class RetryBudget:
    """Token bucket of retries that is filled by requests.

    Over any period the number of retries is at most the sum of the burst, the ratio
    times the requests and the minimum rate times the period. Every instance has the
    same ratio, so the bound holds for the fleet without messages between instances.
    The bucket starts with ``burst`` tokens. Its capacity is ``burst``, but at least
    ``min_capacity``, so that requests can accumulate a retry even if the burst is less.

    Copies of late requests are part of the budget. A fraction ``copy_ratio`` of each
    request, at most half of ``ratio``, is set aside for them; what cannot be stored is
    left to retries. Neither kind uses the tokens of the other, and no copy is granted
    while fewer than half of the possible retries are stored, as in a storm of failures.
    """

    def __init__(
        self,
        ratio: float,
        now: float,
        *,
        burst: float = _BURST_RETRIES,
        minimum_per_second: float = _MINIMUM_PER_SECOND,
        min_capacity: float = 0.0,
        copy_ratio: float = 0.0,
    ) -> None:
        self._ratio = ratio
        self._copy_ratio = 0.0
        self._copy_tokens = 0.0
        self._min_capacity = min_capacity
        self._capacity = max(burst, min_capacity)
        self._minimum_per_second = minimum_per_second
        self._tokens = burst
        self._refilled_at = now
        self.set_copy_ratio(copy_ratio)

    @property
    def available_retries(self) -> float:
        """Number of retries that are available now, without the refill by time."""
        return self._tokens

    def set_burst(self, burst: float) -> None:
        """Change the maximum number of retries at once."""
        self._capacity = max(burst, self._min_capacity)
        self._tokens = min(self._tokens, self._capacity)

    def set_copy_ratio(self, ratio: float) -> None:
        """Change the number of copies that each request contributes."""
        self._copy_ratio = min(ratio, self._ratio * _MAX_COPY_PART)
        if not self._copy_ratio:
            self._copy_tokens = 0.0

    def record_request(self) -> None:
        """Add the fractions of a retry and of a copy that each request contributes."""
        set_aside = 0.0
        if self._copy_ratio:
            missing = max(0.0, self._copy_capacity - self._copy_tokens)
            set_aside = min(self._copy_ratio, missing)
            self._copy_tokens += set_aside
        self._tokens = min(self._capacity, self._tokens + self._ratio - set_aside)

    def has_copy(self) -> bool:
        """Return whether a copy of a late request is available."""
        has_retries = self._tokens >= self._capacity * _MIN_RETRY_FRACTION
        return has_retries and self._copy_tokens >= 1.0 - _ROUNDING_ERROR

    def withdraw_copy(self) -> bool:
        """Withdraw one copy and return True, or return False if none is available."""
        if not self.has_copy():
            return False
        self._copy_tokens = max(0.0, self._copy_tokens - 1.0)
        return True

    @property
    def _copy_capacity(self) -> float:
        return max(_MIN_COPY_CAPACITY, self._capacity * _COPY_BURST_FRACTION)

    def withdraw(self, now: float) -> bool:
        """Withdraw one retry and return True, or return False if none is available."""
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _refill(self, now: float) -> None:
        elapsed_seconds = max(0.0, now - self._refilled_at)
        added = elapsed_seconds * self._minimum_per_second
        self._tokens = min(self._capacity, self._tokens + added)
        self._refilled_at = max(now, self._refilled_at)
