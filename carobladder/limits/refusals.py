"""Refusals with a randomly spread Retry-After time."""

import random

from carobladder.exceptions import NoCapacityError

__all__ = ["RefusalPolicy"]

MIN_RETRY_SECONDS = 1.0
MAX_RETRY_SECONDS = 30.0
# Random addition to a retry time, as a multiple of it.
MAX_SPREAD_RATIO = 1.0


class RefusalPolicy:
    """Build refusals with spread retry times, so that callers do not retry at once."""

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator

    def build_refusal(self, message: str, wait_seconds: float) -> NoCapacityError:
        """Return the error for a request that would wait the given seconds.

        The retry time is that wait within the two limits, plus up to as much again.
        """
        base = min(max(wait_seconds, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)
        spread = self._generator.uniform(0.0, MAX_SPREAD_RATIO * base)
        return NoCapacityError(message, retry_after_seconds=base + spread)
