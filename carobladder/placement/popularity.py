"""Share of the requests that each prompt has, from an instance's own requests."""

import math

__all__ = ["PromptPopularity"]

_HALF_LIFE_SECONDS = 6.0
# Standard deviations by which a count is lowered before it counts as evidence, so
# that a prompt that came twice by chance is not spread.
_CONFIDENCE = 1.5
# Part of the mean load that one prompt may bring to a target besides the others.
_LOAD_PART = 0.7
_PRUNE_BELOW = 0.05
_PRUNE_ABOVE_KEYS = 5000


class PromptPopularity:
    """Tell over how many targets a prompt must be spread.

    Callers are divided among instances by a hash, so an instance's own requests are
    a sample of all. That works where an instance sends too little to each target to
    know the targets' loads.
    """

    def __init__(self) -> None:
        self._counts: dict[int, tuple[float, float]] = {}
        self._total = 0.0
        self._total_at = 0.0

    def note_request(self, key: int, now: float) -> None:
        """Count a request with this prompt."""
        self._counts[key] = (self._read(key, now) + 1.0, now)
        self._total = self._total * _decay(now - self._total_at) + 1.0
        self._total_at = now
        if len(self._counts) > _PRUNE_ABOVE_KEYS:
            self._prune(now)

    def count_replicas(self, key: int, targets: int, now: float) -> int:
        """Return the number of targets that should share the prompt."""
        total = self._total * _decay(now - self._total_at)
        count = self._read(key, now)
        evidence = count - _CONFIDENCE * math.sqrt(count)
        if evidence <= 0.0 or total <= 0.0:
            return 1
        share = evidence / total
        wanted = math.ceil(share * targets / (_LOAD_PART + share))
        return max(1, min(wanted, targets))

    def _read(self, key: int, now: float) -> float:
        count, counted_at = self._counts.get(key, (0.0, now))
        return count * _decay(now - counted_at)

    def _prune(self, now: float) -> None:
        for key in [k for k in self._counts if self._read(k, now) < _PRUNE_BELOW]:
            del self._counts[key]


def _decay(seconds: float) -> float:
    return 0.5 ** (max(0.0, seconds) / _HALF_LIFE_SECONDS)
