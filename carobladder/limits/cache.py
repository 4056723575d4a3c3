"""Number of requests that the KV cache of an engine holds at once."""

import math

__all__ = ["CacheUse"]

# Weight of the newest request in the mean size; sizes differ by a factor of ten.
_SMOOTHING_FACTOR = 0.02


class CacheUse:
    """Mean tokens of the recent requests of a service that only they need."""

    def __init__(self) -> None:
        self._mean_tokens: float | None = None

    def note_request(self, tokens: int) -> None:
        """Record the tokens of a request, without parts that others share."""
        if self._mean_tokens is None:
            self._mean_tokens = float(tokens)
        self._mean_tokens += _SMOOTHING_FACTOR * (tokens - self._mean_tokens)

    def compute_slots(self, cache_tokens: int) -> float:
        """Return the requests that fit into a cache, infinity if that is unknown."""
        if not cache_tokens or not self._mean_tokens:
            return math.inf
        return max(1.0, cache_tokens / self._mean_tokens)
