"""Request outcomes merged from all instances, and a sequential test on them.

The test compares two arms, such as the old and the new version of a model.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from carobladder.targets import RequestClass

__all__ = [
    "ComparisonPlan",
    "Counts",
    "EvidenceKey",
    "EvidenceReport",
    "EvidenceStore",
    "FaultKind",
    "LatencyBounds",
    "Observation",
    "SequentialTest",
    "Verdict",
    "count_observation",
    "sum_requests",
]

# Wildcard for all routes or all request classes in a stream key.
_ALL = "*"


class FaultKind(StrEnum):
    """Kind of fault whose rate is compared between arms."""

    ERROR = "error"
    SLOW_FIRST = "slow_first"
    SLOW_GAP = "slow_gap"


@dataclass(frozen=True, slots=True)
class Counts:
    """Numbers of requests and of their faults by kind.

    ``paced`` are the requests whose gaps are known, and ``bad`` those with any fault;
    both are 0 where they are not counted.
    """

    requests: int = 0
    errors: int = 0
    slow_first: int = 0
    slow_gap: int = 0
    paced: int = 0
    bad: int = 0

    def __add__(self, other: "Counts") -> "Counts":
        return Counts(
            self.requests + other.requests,
            self.errors + other.errors,
            self.slow_first + other.slow_first,
            self.slow_gap + other.slow_gap,
            self.paced + other.paced,
            self.bad + other.bad,
        )

    def __sub__(self, other: "Counts") -> "Counts":
        return Counts(
            self.requests - other.requests,
            self.errors - other.errors,
            self.slow_first - other.slow_first,
            self.slow_gap - other.slow_gap,
            self.paced - other.paced,
            self.bad - other.bad,
        )

    def faults(self, kind: FaultKind) -> int:
        """Return the number of faults of one kind."""
        if kind is FaultKind.ERROR:
            return self.errors
        return self.slow_first if kind is FaultKind.SLOW_FIRST else self.slow_gap


@dataclass(frozen=True, slots=True)
class EvidenceKey:
    """Key of a count; ``arm`` is a version or a data centre."""

    move_id: str
    arm: str
    route: str
    request_class: RequestClass


@dataclass(frozen=True, slots=True)
class LatencyBounds:
    """Thresholds in seconds above which an answer counts as slow.

    ``prefill_tokens_per_second`` is the prefill speed used to extend the bound on the
    first token.
    """

    first_token_seconds: float = 0.72
    gap_seconds: float = 0.031
    prefill_tokens_per_second: float = 8000.0


@dataclass(frozen=True, slots=True)
class Observation:
    """Outcome of one finished request; times are in seconds."""

    failed: bool
    first_token_seconds: float | None = None
    gap_seconds: float | None = None
    uncached_tokens: int = 0


def count_observation(observation: Observation, bounds: LatencyBounds) -> Counts:
    """Return the counts of one request.

    The bound on the first token is extended by the time to compute the uncached part
    of the prompt, because chats that move to a new version have no cached context
    there.
    """
    if observation.failed:
        return Counts(requests=1, errors=1)
    allowed = bounds.first_token_seconds
    allowed += observation.uncached_tokens / bounds.prefill_tokens_per_second
    first, gap = observation.first_token_seconds, observation.gap_seconds
    return Counts(
        requests=1,
        slow_first=int(first is not None and first > allowed),
        slow_gap=int(gap is not None and gap > bounds.gap_seconds),
    )


@dataclass(frozen=True, slots=True)
class EvidenceReport:
    """Counts of one instance since its start.

    The counts are totals, so lost, duplicated or reordered reports do no harm.
    ``incarnation`` identifies the run of the instance.
    """

    instance: str
    incarnation: int
    sequence: int
    counts: Mapping[EvidenceKey, Counts]


@dataclass(frozen=True, slots=True)
class _SequencedCounts:
    """Counts with the sequence number of their report."""

    sequence: int
    counts: Counts


class EvidenceStore:
    """Newest counts of every run of every instance, by key.

    To bound its size, a report may contain only some of its instance's keys, so the
    newest counts are kept for each key separately.
    """

    def __init__(self) -> None:
        self._newest: dict[tuple[str, int], dict[EvidenceKey, _SequencedCounts]] = {}

    def merge(self, report: EvidenceReport) -> None:
        """Store those counts that are newer than the stored ones of the same run."""
        stored = self._newest.setdefault((report.instance, report.incarnation), {})
        for key, counts in report.counts.items():
            if key not in stored or stored[key].sequence < report.sequence:
                stored[key] = _SequencedCounts(report.sequence, counts)

    def totals(self, move_id: str) -> dict[EvidenceKey, Counts]:
        """Return the counts of a move, summed over all runs of all instances."""
        sums: dict[EvidenceKey, Counts] = {}
        for stored in self._newest.values():
            for key, sequenced in stored.items():
                if key.move_id == move_id:
                    sums[key] = sums.get(key, Counts()) + sequenced.counts
        return sums

    def forget_move(self, move_id: str) -> None:
        """Delete the counts of a move that has ended."""
        for stored in self._newest.values():
            for key in [key for key in stored if key.move_id == move_id]:
                del stored[key]


class Verdict(StrEnum):
    """Result of comparing the new arm with the old one."""

    CLEAR = "clear"
    DOUBT = "doubt"
    FAULT = "fault"


@dataclass(frozen=True, slots=True)
class ComparisonPlan:
    """Parameters of the sequential test of a move.

    ``false_alarm_rate`` applies to the whole move: ``streams`` comparisons (route,
    class and kind of fault) over ``periods`` evaluations. ``tolerated_ratio`` is the
    ratio of fault rates that still counts as equal, and ``fault_ratios`` are the
    multiples of it that are tested for. A period lasts until it contains
    ``period_requests``, within the given limits in seconds. ``increment_cap`` limits
    what one period adds to a score.
    """

    false_alarm_rate: float = 0.01
    streams: int = 30
    periods: int = 10_000
    tolerated_ratio: float = 1.5
    fault_ratios: tuple[float, ...] = (3.0, 10.0, 100.0)
    increment_cap: float = 4.0
    period_requests: int = 50
    period_seconds_min: float = 2.0
    period_seconds_max: float = 60.0

    @property
    def threshold(self) -> float:
        """Log likelihood ratio at which the new arm counts as faulty."""
        comparisons = self.streams * self.periods * len(self.fault_ratios)
        return math.log(comparisons / self.false_alarm_rate)


@dataclass(slots=True)
class _Stream:
    """State of one comparison: totals at the end of its last period, and its scores."""

    kinds: tuple[FaultKind, ...]
    closed_at: float
    old: Counts = Counts()
    new: Counts = Counts()
    scores: dict[tuple[FaultKind, float], float] = field(default_factory=dict)


class SequentialTest:
    """Sequential test (CUSUM) of the new arm against the old one.

    A fault in a period falls on the new arm with a probability that depends only on
    the two request counts and on the ratio of the fault rates, so noise that affects
    both arms cancels. The score is the largest log likelihood ratio over all
    starting periods (a cumulative sum with floor 0), so a fault that appears late is
    detected as fast as one at the start. By Ville's inequality and a union bound
    over starts, streams and ratios, the probability that an equal arm ever reaches
    the threshold is at most the configured false alarm rate.
    """

    def __init__(self, plan: ComparisonPlan, now: float = 0.0) -> None:
        self._plan = plan
        self._fault_detected = False
        self._started = now
        self._streams: dict[tuple[str, str], _Stream] = {}

    def update(
        self,
        stream_key: tuple[str, str],
        old: Counts,
        new: Counts,
        now: float,
        kinds: tuple[FaultKind, ...] = tuple(FaultKind),
    ) -> None:
        """Update a stream with the totals of both arms.

        ``now`` is in monotonic seconds. Only time and request counts end a period;
        ending it on faults would invalidate the false alarm rate.
        """
        stream = self._streams.get(stream_key)
        if stream is None:
            stream = _Stream(kinds, self._started)
            self._streams[stream_key] = stream
        old_delta, new_delta = old - stream.old, new - stream.new
        requests = old_delta.requests + new_delta.requests
        elapsed = now - stream.closed_at
        full = requests >= self._plan.period_requests
        if elapsed < self._plan.period_seconds_min:
            return
        if not full and elapsed < self._plan.period_seconds_max:
            return
        stream.old, stream.new, stream.closed_at = old, new, now
        if min(old_delta.requests, new_delta.requests) <= 0:
            return
        for kind in stream.kinds:
            self._update_scores(stream, kind, old_delta, new_delta)
        self._fault_detected = (
            self._fault_detected or self.score() >= self._plan.threshold
        )

    def _update_scores(
        self, stream: _Stream, kind: FaultKind, old: Counts, new: Counts
    ) -> None:
        faults_old, faults_new = old.faults(kind), new.faults(kind)
        if faults_old < 0 or faults_new < 0:
            return
        for ratio in self._plan.fault_ratios:
            increment = self._compute_increment(
                ratio, old.requests, new.requests, faults_old, faults_new
            )
            # Without the cap, one burst of faults within a period could decide alone.
            increment = min(increment, self._plan.increment_cap)
            score = stream.scores.get((kind, ratio), 0.0) + increment
            stream.scores[kind, ratio] = max(0.0, score)

    def _compute_increment(
        self, ratio: float, old: int, new: int, faults_old: int, faults_new: int
    ) -> float:
        p_tolerated = _new_arm_probability(self._plan.tolerated_ratio, old, new)
        p_worse = _new_arm_probability(self._plan.tolerated_ratio * ratio, old, new)
        increment = faults_new * math.log(p_worse / p_tolerated)
        return increment + faults_old * math.log((1 - p_worse) / (1 - p_tolerated))

    def score(self) -> float:
        """Return the largest score over all streams."""
        scores = (score for s in self._streams.values() for score in s.scores.values())
        return max(scores, default=0.0)

    def verdict(self) -> Verdict:
        """Return the result so far; once FAULT, it stays FAULT.

        Otherwise the successful answers of requests still in flight could lower the
        score again after the new version was stopped.
        """
        if self._fault_detected:
            return Verdict.FAULT
        is_doubtful = self.score() >= self._plan.threshold / 2
        return Verdict.DOUBT if is_doubtful else Verdict.CLEAR

    def update_from_evidence(
        self, store: EvidenceStore, move_id: str, old_arm: str, new_arm: str, now: float
    ) -> None:
        """Update all streams with the merged totals of a move.

        Besides each route and class, the sums over all routes and over everything
        are compared, because a single stream has few requests while the share is
        small. Latency differs by class, so the sum over classes compares errors only.
        """
        old_sums = _sum_streams(store, move_id, old_arm)
        new_sums = _sum_streams(store, move_id, new_arm)
        for key in sorted(old_sums.keys() | new_sums.keys()):
            old = old_sums.get(key, Counts())
            new = new_sums.get(key, Counts())
            errors_only = key == (_ALL, _ALL)
            kinds = (FaultKind.ERROR,) if errors_only else tuple(FaultKind)
            self.update(key, old, new, now, kinds)


def _sum_streams(
    store: EvidenceStore, move_id: str, arm: str
) -> dict[tuple[str, str], Counts]:
    sums: dict[tuple[str, str], Counts] = {}
    for key, counts in store.totals(move_id).items():
        if key.arm != arm:
            continue
        request_class = key.request_class.value
        streams = ((key.route, request_class), (_ALL, request_class), (_ALL, _ALL))
        for stream in streams:
            sums[stream] = sums.get(stream, Counts()) + counts
    return sums


def sum_requests(store: EvidenceStore, move_id: str, arm: str) -> int:
    """Return the number of requests of one arm over all routes and classes."""
    totals = store.totals(move_id).items()
    return sum(counts.requests for key, counts in totals if key.arm == arm)


def _new_arm_probability(ratio: float, old: int, new: int) -> float:
    return ratio * new / (ratio * new + old)
