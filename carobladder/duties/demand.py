"""Demand for the targets of a service, from its load and the trend of its load."""

from collections import deque
from dataclasses import dataclass

__all__ = ["Demand", "DemandModel"]

# Loads that are remembered. A decline must last for this long before targets are
# stopped, as they lose their prompt caches and take a boot time to come back.
_MEMORY_SECONDS = 90.0
# Peaks of this time count for the present demand, so that targets are there for the
# next crest of a load that swings.
_PEAK_SECONDS = 30.0
# A shorter time would take one slope of a swing with a period of 15 s for a trend.
_MIN_TREND_SECONDS = 16.0
_TREND_BOOT_TIMES = 2.0
# Arrivals in clumps change the load from one sample to the next; this many samples are
# averaged before a peak counts.
_SMOOTHED_SAMPLES = 4
_MIN_TREND_PART = 0.9


@dataclass(frozen=True, slots=True)
class Demand:
    """Requests in flight that targets must be able to take.

    ``load`` is the present one, ``predicted`` the one to be ready for after a boot
    time, and ``lasting`` the highest of a longer time, below which no target is
    stopped.
    """

    load: float
    predicted: float
    lasting: float


class DemandModel:
    """Loads of a service over time; ``now`` is in seconds of a steady clock."""

    def __init__(self) -> None:
        self._recent: deque[float] = deque(maxlen=_SMOOTHED_SAMPLES)
        self._samples: deque[tuple[float, float]] = deque()

    def note(self, load: float, now: float) -> None:
        """Record the requests in flight at all targets."""
        self._recent.append(load)
        self._samples.append((now, sum(self._recent) / len(self._recent)))
        while self._samples[0][0] < now - _MEMORY_SECONDS:
            self._samples.popleft()

    def covers(self, seconds: float) -> bool:
        """Return whether the samples reach back for a time."""
        if not self._samples:
            return False
        return self._samples[-1][0] - self._samples[0][0] >= seconds

    @property
    def has_whole_memory(self) -> bool:
        """Whether the samples reach back far enough to stop targets."""
        # A sample interval is missing at most, as the oldest sample is dropped.
        return self.covers(_MEMORY_SECONDS * 0.95)

    def predict(self, boot_seconds: float) -> Demand:
        """Return the demand, as far as it can be told from the samples."""
        if not self._samples:
            return Demand(0.0, 0.0, 0.0)
        now, load = self._samples[-1]
        peak = max(level for at, level in self._samples if at >= now - _PEAK_SECONDS)
        lasting = max(level for _, level in self._samples)
        slope = self._compute_slope(now, boot_seconds)
        predicted = max(peak, load + slope * boot_seconds)
        return Demand(load, predicted, max(lasting, predicted))

    def _compute_slope(self, now: float, boot_seconds: float) -> float:
        """Return the rise of the load a second by least squares, 0 for a decline."""
        seconds = max(_MIN_TREND_SECONDS, _TREND_BOOT_TIMES * boot_seconds)
        points = [
            (at - now, level) for at, level in self._samples if at >= now - seconds
        ]
        if not self.covers(seconds * _MIN_TREND_PART):
            # Half a swing looks like a trend.
            return 0.0
        mean_at = sum(at for at, _ in points) / len(points)
        mean_level = sum(level for _, level in points) / len(points)
        spread = sum((at - mean_at) ** 2 for at, _ in points)
        if not spread:
            return 0.0
        products = ((at - mean_at) * (level - mean_level) for at, level in points)
        return max(0.0, sum(products) / spread)
