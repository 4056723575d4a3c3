"""Retry-After with a random spread."""

import random

from carobladder.exceptions import NoCapacityError

__all__ = ["RefusalPolicy"]

MIN_RETRY_SECONDS = 1.0
MAX_RETRY_SECONDS = 30.0
SPREAD = 1.0


class RefusalPolicy:
    """Build refusals whose retry times do not coincide."""

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator

    def refuse(self, message: str, wait_seconds: float) -> NoCapacityError:
        """Return the error for a request that would wait the given time."""
        base = min(max(wait_seconds, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)
        spread = self._generator.uniform(0.0, SPREAD * base)
        return NoCapacityError(message, retry_after_seconds=base + spread)
