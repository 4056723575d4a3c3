"""Estimate of how slowly the machine of a target works now."""

import math
from bisect import bisect_left
from dataclasses import dataclass

__all__ = ["SlownessEstimate", "SlownessTrend", "TargetSlowness"]

_USUAL = 1.0
# Factors outside of this range are statements that no choice can be built on.
_MIN_SLOWNESS = 0.25
_MAX_SLOWNESS = 10.0
# Upper limits of the ages, in seconds, for which it is learned how much a stated figure
# says; the last class is open.
_AGE_CLASSES = (0.05, 0.1, 0.2, 0.3, 0.45, 0.6, 0.8, 1.2, 2.4)
# Before anything is learned a figure loses half of its worth in this time.
_INITIAL_HALF_LIFE_SECONDS = 0.5
# Weight of this assumption, in squared deviations.
_INITIAL_WEIGHT = 1.0
# Part of what has been learned that one further pair of figures replaces.
_LEARNING_SHARE = 0.01
# The mean of a target is learned faster, as it says whether it is always slow.
_MEAN_SHARE = 0.02
# Smoothing of the deviation of response times, which spread widely.
_SAMPLE_SHARE = 0.1
# A deviation counts only beyond this number of its standard errors.
_SIGNIFICANCE = 1.5
_INITIAL_VARIANCE = 0.5
# An excess of slowness that no response has confirmed is halved after this time or this
# multiple of the usual time between responses, so that a target with a false figure is
# tried again.
_MIN_CONFIRMATION_SECONDS = 5.0
_CONFIRMATION_INTERVALS = 6.0
_INTERVAL_SHARE = 0.05
# A figure that keeps less than this part of its worth says little.
_CERTAIN_CORRELATION = 0.5


@dataclass(frozen=True, slots=True)
class SlownessEstimate:
    """How long work takes now relative to the usual time, which is 1.0."""

    value: float
    is_certain: bool


@dataclass(slots=True)
class _AgeClass:
    """Sums over pairs of figures of a target that lie a similar time apart."""

    products: float
    squares: float

    def add(self, before: float, after: float) -> None:
        """Count a pair of deviations from the mean of their target."""
        self.products += before * after - _LEARNING_SHARE * self.products
        self.squares += before * before - _LEARNING_SHARE * self.squares

    @property
    def correlation(self) -> float:
        """Return the part of a deviation that is left after this time."""
        if self.squares <= 0.0:
            return 0.0
        return min(1.0, max(0.0, self.products / self.squares))


class SlownessTrend:
    """How fast the stated figures of a service lose their worth.

    It is learned from their own changes: a figure that changes each half second says
    nothing after a second. The targets of a service share a trend.
    """

    def __init__(self) -> None:
        centres = (*_AGE_CLASSES, _AGE_CLASSES[-1] * 2.0)
        self._classes = [_build_class(age) for age in centres]
        self._interval_seconds = 0.0

    def note_pair(self, before: float, after: float, elapsed: float) -> None:
        """Record two successive deviations of a target, ``elapsed`` seconds apart."""
        self._find_class(elapsed).add(before, after)

    def note_interval(self, seconds: float) -> None:
        """Record the time between two responses of a target to this instance."""
        excess = seconds - self._interval_seconds
        self._interval_seconds += _INTERVAL_SHARE * excess

    def correlate(self, age: float) -> float:
        """Return the part of a deviation that is left at an age in seconds, 0 to 1."""
        return self._find_class(age).correlation

    @property
    def confirmation_seconds(self) -> float:
        """Time without a response after which a figure has lost half of its weight."""
        usual = _CONFIRMATION_INTERVALS * self._interval_seconds
        return max(_MIN_CONFIRMATION_SECONDS, usual)

    def _find_class(self, age: float) -> _AgeClass:
        return self._classes[bisect_left(_AGE_CLASSES, age)]


@dataclass(slots=True)
class TargetSlowness:
    """Slowness of one target, from what it states and from its response times.

    Times are monotonic seconds. ``stated`` is None until the target states a figure.
    """

    trend: SlownessTrend
    stated: float | None = None
    stated_at: float = float("-inf")
    _mean: float = _USUAL
    _figures: int = 0
    _responded_at: float | None = None
    _confirmed_at: float = float("-inf")
    _deviation: float = 0.0
    _variance: float = _INITIAL_VARIANCE
    _weight: float = 0.0

    def note_stated(self, slowness: float | None, stated_at: float) -> None:
        """Record a stated figure, unless a newer one is known.

        A load without one changes nothing, as instances of earlier versions pass loads
        on without it.
        """
        if slowness is None or stated_at <= self.stated_at:
            return
        value = _limit(slowness)
        if self.stated is None:
            self._confirmed_at = stated_at
        else:
            before, after = self.stated - self._mean, value - self._mean
            self.trend.note_pair(before, after, stated_at - self.stated_at)
        self._figures += 1
        share = max(_MEAN_SHARE, 1.0 / (1.0 + self._figures))
        self._mean += share * (value - self._mean)
        self.stated, self.stated_at = value, stated_at

    def note_response(self, seconds: float, usual_seconds: float, now: float) -> None:
        """Record the time of an own request, and that of a target of usual speed.

        The figure that the response itself states must have been recorded before.
        """
        if seconds <= 0.0 or usual_seconds <= 0.0:
            return
        if self._responded_at is not None:
            self.trend.note_interval(now - self._responded_at)
        self._responded_at = self._confirmed_at = now
        self._weight += _SAMPLE_SHARE * (1.0 - self._weight)
        sample = math.log(seconds / (usual_seconds * (self.stated or _USUAL)))
        difference = sample - self._deviation
        self._deviation += _SAMPLE_SHARE / self._weight * difference
        self._variance += _SAMPLE_SHARE * (difference**2 - self._variance)

    def read_age(self, now: float) -> float | None:
        """Return the seconds since the last stated figure, None if there is none."""
        return None if self.stated is None else max(0.0, now - self.stated_at)

    def read_corrected(self) -> float:
        """Return the last stated figure, corrected by the response times."""
        return _limit((self.stated or _USUAL) * self._read_correction())

    def estimate(self, now: float) -> SlownessEstimate:
        """Return the slowness from the stated figure and from response times."""
        correction = self._read_correction()
        if self.stated is None:
            return SlownessEstimate(_limit(correction), False)
        correlation = self.trend.correlate(max(0.0, now - self.stated_at))
        stated = self._mean + correlation * (self.stated - self._mean)
        excess = stated * correction - _USUAL
        if excess > 0.0:
            unconfirmed = max(0.0, now - self._confirmed_at)
            excess *= 0.5 ** (unconfirmed / self.trend.confirmation_seconds)
        is_certain = correlation >= _CERTAIN_CORRELATION
        return SlownessEstimate(_limit(_USUAL + excess), is_certain)

    def _read_correction(self) -> float:
        """Return the factor by which responses differ from the stated figures."""
        if self._weight <= 0.0:
            return 1.0
        samples = self._weight / _SAMPLE_SHARE
        error = _SIGNIFICANCE * math.sqrt(self._variance / samples)
        excess = max(0.0, abs(self._deviation) - error)
        return math.exp(math.copysign(excess, self._deviation))


def _limit(slowness: float) -> float:
    return min(_MAX_SLOWNESS, max(_MIN_SLOWNESS, slowness))


def _build_class(age: float) -> _AgeClass:
    correlation = 0.5 ** (age / _INITIAL_HALF_LIFE_SECONDS)
    return _AgeClass(correlation * _INITIAL_WEIGHT, _INITIAL_WEIGHT)
