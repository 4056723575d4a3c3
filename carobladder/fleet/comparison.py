"""Statistical comparison of the responses of a new version with the old versions."""

import math
from collections import deque
from dataclasses import dataclass, field

from carobladder.moves.evidence import Counts, EvidenceStore, FaultKind

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
# Two equal versions reach this score in one window with a probability below exp(-12);
# with 20 windows, 10 routes and two kinds of fault below 0.003 for a move.
_THRESHOLD = 12.0
# A response is slow if its first-byte time exceeds this multiple of the route's 90th
# percentile, plus a constant. Responses to prompts that the new targets have not
# cached yet stay below this limit.
_SLOW_FACTOR = 2.0
_SLOW_MARGIN_SECONDS = 0.05
# Online estimate of the 90th percentile: rises by 9 steps for a sample above it
# and falls by one step for any other.
_PERCENTILE_STEP = 0.01
_PERCENTILE_RISE = 9.0
_KINDS = (FaultKind.ERROR, FaultKind.SLOW_FIRST)


class LatencyBaseline:
    """First-byte latency of the old versions by route, to detect slow responses."""

    def __init__(self) -> None:
        self._percentiles: dict[str, float] = {}

    def add_sample(self, route: str, seconds: float) -> None:
        """Add the first-byte time of a response of an old version, in seconds."""
        percentile = self._percentiles.setdefault(route, seconds)
        rise = _PERCENTILE_RISE if seconds > percentile else -1.0
        self._percentiles[route] = percentile * (1.0 + _PERCENTILE_STEP * rise)

    def is_slow(self, route: str, seconds: float) -> bool:
        """Return whether a response took much longer than the old versions take."""
        percentile = self._percentiles.get(route)
        if percentile is None:
            return False
        return seconds > percentile * _SLOW_FACTOR + _SLOW_MARGIN_SECONDS


@dataclass(slots=True)
class _Arms:
    """Totals of the old versions and of the new version on a route."""

    old: Counts = field(default_factory=Counts)
    new: Counts = field(default_factory=Counts)


@dataclass(slots=True)
class VersionComparison:
    """Test whether a new version has a higher fault rate than the old versions.

    In each window the fault rate of the new version is compared with the old versions'
    rate in the same window or since the start, whichever is higher, so that a failure
    that affects all versions does not count. Unlike ``moves.SequentialTest``, this
    needs no requests to the old versions in the window, as there are none at the end
    of a move. A detected fault is permanent.
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
            start = before.get(route, _Arms())
            self._evaluate_route(route, arms, start)

    def _evaluate_route(self, route: str, arms: _Arms, start: _Arms) -> None:
        new, old = arms.new - start.new, arms.old - start.old
        for kind in _KINDS:
            expected = max(_fault_rate(old, kind), _fault_rate(arms.old, kind))
            expected = min(expected * _TOLERATED_RATIO, 1.0)
            score = _tail_exponent(new.faults(kind), new.requests, expected)
            if not self.reason and score >= _THRESHOLD:
                self.reason = (
                    f"{new.faults(kind)} of {new.requests} answers on {route} are "
                    f"{kind.value}, expected at most {expected:.3f} of them"
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


def _fault_rate(counts: Counts, kind: FaultKind) -> float:
    """Return the fault rate, but no less than ``_MIN_FAULT_RATE``."""
    if not counts.requests:
        return _MIN_FAULT_RATE
    return max(_MIN_FAULT_RATE, counts.faults(kind) / counts.requests)


def _tail_exponent(faults: int, requests: int, expected: float) -> float:
    """Return the negative log of the Chernoff bound on seeing this many faults."""
    if faults < _MIN_FAULTS or expected >= 1.0:
        return 0.0
    observed = min(faults / requests, 1.0)
    if observed <= expected:
        return 0.0
    divergence = observed * math.log(observed / expected)
    if observed < 1.0:
        divergence += (1.0 - observed) * math.log((1.0 - observed) / (1.0 - expected))
    return requests * divergence
