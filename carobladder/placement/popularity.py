"""Popularity of prompts, estimated from the requests of one instance."""

import math

__all__ = ["PromptPopularity"]

_HALF_LIFE_SECONDS = 6.0
# Standard deviations subtracted from a count to get its lower bound, so that a prompt
# that occurs twice by chance is not replicated.
_CONFIDENCE_DEVIATIONS = 1.5
# Maximum load that one prompt adds to a target on top of that of the other prompts, as
# a fraction of the mean load.
_MAX_LOAD_FRACTION = 0.7
_PRUNE_BELOW_COUNT = 0.05
_PRUNE_ABOVE_KEYS = 5000


class PromptPopularity:
    """Exponentially decaying request counts, which give the replicas of each prompt.

    Callers are distributed over instances by a hash, so the requests of one instance
    are a sample of all requests. The estimate also works where an instance sends too
    few requests to each target to know the load of the targets.
    """

    def __init__(self) -> None:
        self._counts: dict[int, tuple[float, float]] = {}
        self._total = 0.0
        self._total_at = 0.0

    def note_request(self, key: int, now: float) -> None:
        """Count a request with the prompt of this key."""
        self._counts[key] = (self._read_count(key, now) + 1.0, now)
        self._total = self._total * _decay(now - self._total_at) + 1.0
        self._total_at = now
        if len(self._counts) > _PRUNE_ABOVE_KEYS:
            self._prune(now)

    def count_replicas(self, key: int, targets: int, now: float) -> int:
        """Return the number of targets over which the prompt should be distributed."""
        total = self._total * _decay(now - self._total_at)
        count = self._read_count(key, now)
        lower_bound = count - _CONFIDENCE_DEVIATIONS * math.sqrt(count)
        if lower_bound <= 0.0 or total <= 0.0:
            return 1
        share = lower_bound / total
        replicas = math.ceil(share * targets / (_MAX_LOAD_FRACTION + share))
        return max(1, min(replicas, targets))

    def _read_count(self, key: int, now: float) -> float:
        count, counted_at = self._counts.get(key, (0.0, now))
        return count * _decay(now - counted_at)

    def _prune(self, now: float) -> None:
        for key in [
            k for k in self._counts if self._read_count(k, now) < _PRUNE_BELOW_COUNT
        ]:
            del self._counts[key]


def _decay(seconds: float) -> float:
    return 0.5 ** (max(0.0, seconds) / _HALF_LIFE_SECONDS)
