"""Statistical comparison of the responses of a new version with the old versions."""

import math
from collections import deque
from dataclasses import dataclass, field

from carobladder.moves.evidence import Counts, EvidenceStore

__all__ = ["ANY_ROUTE", "NEW_ARM", "OLD_ARM", "LatencyBaseline", "VersionComparison"]

NEW_ARM = "new"
OLD_ARM = "old"
# Route name of the sum over all routes.
ANY_ROUTE = "*"

# Length of the sliding window.
_WINDOW_SECONDS = 4.0
# A fault rate up to this multiple of the old versions' rate is tolerated.
_TOLERATED_RATIO = 1.5
# Fault rate that is assumed for a version without any fault so far.
_MIN_FAULT_RATE = 0.01
_MIN_FAULTS = 4
# Two equal versions reach this score in one window with a probability below exp(-12.5);
# with 20 windows of either kind, 10 routes and four measures below 0.007 for a move.
_THRESHOLD = 12.5
# A sample is slow if it exceeds this multiple of the route's 90th percentile, plus the
# margin of the baseline.
_SLOW_FACTOR = 2.0
# Online estimate of the 90th percentile: rises by 9 steps for a sample above it
# and falls by one step for any other.
_PERCENTILE_STEP = 0.01
_PERCENTILE_RISE = 9.0
_MAX_ROUTES = 4000
# Names of the counts of one form of fault, and of the requests with any of them.
_FAULT_FORMS = ("errors", "slow_first", "slow_gap")
_ANY_FAULT = "bad"


@dataclass(frozen=True, slots=True)
class _Measure:
    """Share of answers with a fault; the names are those of the counts."""

    faults: str
    answers: str

    def count(self, counts: Counts) -> tuple[int, int]:
        """Return the numbers of faults and of answers."""
        return getattr(counts, self.faults), getattr(counts, self.answers)

    def describe(self, counts: Counts) -> str:
        """Return the name of the fault, and of its forms if it has several."""
        if self.faults != _ANY_FAULT:
            return self.faults
        found = [(name, getattr(counts, name)) for name in _FAULT_FORMS]
        forms = ", ".join(f"{count} {name}" for name, count in found if count)
        return f"{self.faults} ({forms})"


# A fault that is rare in each of its forms shows in all of them together.
_MEASURES = (
    _Measure("errors", "requests"),
    _Measure("slow_first", "requests"),
    _Measure("slow_gap", "paced"),
    _Measure(_ANY_FAULT, "requests"),
)


class LatencyBaseline:
    """Latency of the old versions by route, to detect slow responses.

    ``margin_seconds`` is added to the multiple of the usual latency above which a
    sample is slow.
    """

    def __init__(self, margin_seconds: float = 0.05) -> None:
        self._margin_seconds = margin_seconds
        self._percentiles: dict[str, float] = {}

    def add_sample(self, route: str, seconds: float) -> None:
        """Add the latency of a response of an old version, in seconds."""
        if len(self._percentiles) >= _MAX_ROUTES and route not in self._percentiles:
            self._percentiles.clear()
        percentile = self._percentiles.setdefault(route, seconds)
        rise = _PERCENTILE_RISE if seconds > percentile else -1.0
        self._percentiles[route] = percentile * (1.0 + _PERCENTILE_STEP * rise)

    def is_slow(self, route: str, seconds: float) -> bool:
        """Return whether a response took much longer than the old versions take."""
        percentile = self._percentiles.get(route)
        if percentile is None:
            return False
        return seconds > percentile * _SLOW_FACTOR + self._margin_seconds


@dataclass(slots=True)
class _Arms:
    """Totals of the old versions and of the new version on a route."""

    old: Counts = field(default_factory=Counts)
    new: Counts = field(default_factory=Counts)


@dataclass(slots=True)
class VersionComparison:
    """Test whether a new version has a higher fault rate than the old versions.

    In each window, and since the start, the fault rate of the new version is compared
    with the old versions' rate in the same time or since the start, whichever is
    higher, so that a failure that affects all versions does not count. With little
    traffic only the time since the start has enough answers. Unlike
    ``moves.SequentialTest``, this needs no requests to the old versions in the window,
    as there are none at the end of a move. A detected fault is permanent.
    """

    reason: str = ""
    _history: deque[tuple[float, dict[str, _Arms]]] = field(default_factory=deque)

    @property
    def faulty(self) -> bool:
        """Return whether the new version was found to be worse."""
        return bool(self.reason)

    def update(self, book: EvidenceStore, move_id: str, now: float) -> None:
        """Evaluate the merged totals of a move; ``now`` is in monotonic seconds."""
        totals = _sum_arms(book, move_id)
        while len(self._history) > 1 and self._history[1][0] <= now - _WINDOW_SECONDS:
            self._history.popleft()
        before = self._history[0][1] if self._history else {}
        self._history.append((now, totals))
        for route, arms in totals.items():
            for start in (before.get(route, _Arms()), _Arms()):
                self._evaluate_route(route, arms, start)

    def _evaluate_route(self, route: str, arms: _Arms, start: _Arms) -> None:
        new, old = arms.new - start.new, arms.old - start.old
        for measure in _MEASURES:
            expected = max(_fault_rate(old, measure), _fault_rate(arms.old, measure))
            expected = min(expected * _TOLERATED_RATIO, 1.0)
            faults, answers = measure.count(new)
            score = _tail_exponent(faults, answers, expected)
            if not self.reason and score >= _THRESHOLD:
                self.reason = (
                    f"{faults} of {answers} answers on {route} are "
                    f"{measure.describe(new)}, expected at most {expected:.3f} of them"
                )


def _sum_arms(book: EvidenceStore, move_id: str) -> dict[str, _Arms]:
    sums: dict[str, _Arms] = {}
    for key, counts in book.totals(move_id).items():
        for route in (key.route, ANY_ROUTE):
            arms = sums.setdefault(route, _Arms())
            if key.arm == NEW_ARM:
                arms.new += counts
            else:
                arms.old += counts
    return sums


def _fault_rate(counts: Counts, measure: _Measure) -> float:
    """Return the fault rate, but no less than ``_MIN_FAULT_RATE``."""
    faults, answers = measure.count(counts)
    return max(_MIN_FAULT_RATE, faults / answers) if answers else _MIN_FAULT_RATE


def _tail_exponent(faults: int, requests: int, expected: float) -> float:
    """Return the negative log of the Chernoff bound on seeing this many faults."""
    if faults < _MIN_FAULTS or expected >= 1.0:
        return 0.0
    # Faults may become known in a later window than their requests.
    requests = max(requests, faults)
    observed = faults / requests
    if observed <= expected:
        return 0.0
    divergence = observed * math.log(observed / expected)
    if observed < 1.0:
        divergence += (1.0 - observed) * math.log((1.0 - observed) / (1.0 - expected))
    return requests * divergence
