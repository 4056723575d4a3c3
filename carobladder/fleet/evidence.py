"""Comparison of the answers of a new version with those of the others."""

import math
from collections import deque
from dataclasses import dataclass, field

from carobladder.moves.evidence import Counts, EvidenceStore, FaultKind

__all__ = ["ANY_ROUTE", "NEW_ARM", "OLD_ARM", "LatencyBaseline", "VersionComparison"]

NEW_ARM = "new"
OLD_ARM = "old"
# Stands for the sum over all routes.
ANY_ROUTE = "*"

# The comparison looks at the answers of this time.
_WINDOW_SECONDS = 4.0
# Fault rates up to this multiple of the others' count as equal.
_TOLERATED_RATIO = 1.5
# The share of faults that is expected of a version without any fault so far.
_LEAST_FAULT_SHARE = 0.01
_LEAST_FAULTS = 4
# The chance that equal versions differ this much in a window is below exp(-12); with
# 20 windows, 10 routes and two kinds of fault below 0.003 for a move.
_THRESHOLD = 12.0
# An answer is slow beyond this multiple of the 90th percentile of its route's times,
# plus a floor. Prompts that are not kept yet at the new targets stay below it.
_SLOW_FACTOR = 2.0
_SLOW_FLOOR_SECONDS = 0.05
# The estimate rises by 9 steps for a longer time and falls by one for a shorter.
_PERCENTILE_STEP = 0.01
_PERCENTILE_RISE = 9.0
_KINDS = (FaultKind.ERROR, FaultKind.SLOW_FIRST)


class LatencyBaseline:
    """Tell slow answers from usual ones, by the other versions' times on a route."""

    def __init__(self) -> None:
        self._long_seconds: dict[str, float] = {}

    def note_usual(self, route: str, seconds: float) -> None:
        """Take the first byte time of an answer of another version."""
        long = self._long_seconds.setdefault(route, seconds)
        rise = _PERCENTILE_RISE if seconds > long else -1.0
        self._long_seconds[route] = long * (1.0 + _PERCENTILE_STEP * rise)

    def is_slow(self, route: str, seconds: float) -> bool:
        """Tell whether an answer took several times as long as usual."""
        long = self._long_seconds.get(route)
        if long is None:
            return False
        return seconds > long * _SLOW_FACTOR + _SLOW_FLOOR_SECONDS


@dataclass(slots=True)
class _Arms:
    """Hold the totals of both versions on a route."""

    old: Counts = field(default_factory=Counts)
    new: Counts = field(default_factory=Counts)


@dataclass(slots=True)
class VersionComparison:
    """Find a version whose answers are worse than those of the others.

    Each window is compared with the worse of the others' share of faults in the same
    window and so far, so that trouble that hits all versions does not count. The
    window needs no requests to the others, unlike ``moves.SequentialTest``: at the
    end of a move there are none. A fault once found stays found.
    """

    reason: str = ""
    _history: deque[tuple[float, dict[str, _Arms]]] = field(default_factory=deque)

    @property
    def faulty(self) -> bool:
        """Tell whether the new version was found to be worse."""
        return bool(self.reason)

    def update(self, book: EvidenceStore, move_id: str, now: float) -> None:
        """Take the merged totals of a move; ``now`` is in monotonic seconds."""
        totals = _sum_arms(book, move_id)
        while len(self._history) > 1 and self._history[1][0] <= now - _WINDOW_SECONDS:
            self._history.popleft()
        before = self._history[0][1] if self._history else {}
        self._history.append((now, totals))
        for route, arms in totals.items():
            start = before.get(route, _Arms())
            self._judge(route, arms, start)

    def _judge(self, route: str, arms: _Arms, start: _Arms) -> None:
        new, old = arms.new - start.new, arms.old - start.old
        for kind in _KINDS:
            expected = max(_share_of(old, kind), _share_of(arms.old, kind))
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


def _share_of(counts: Counts, kind: FaultKind) -> float:
    """Return the share of faults, never below that of a version without any."""
    if not counts.requests:
        return _LEAST_FAULT_SHARE
    return max(_LEAST_FAULT_SHARE, counts.faults(kind) / counts.requests)


def _tail_exponent(faults: int, requests: int, expected: float) -> float:
    """Return how unlikely the faults are: minus the logarithm of a tail bound."""
    if faults < _LEAST_FAULTS or expected >= 1.0:
        return 0.0
    seen = min(faults / requests, 1.0)
    if seen <= expected:
        return 0.0
    gain = seen * math.log(seen / expected)
    if seen < 1.0:
        gain += (1.0 - seen) * math.log((1.0 - seen) / (1.0 - expected))
    return requests * gain
