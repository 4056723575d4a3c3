"""Evidence for or against a new version, merged from all instances."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from carobladder.targets import RequestClass

__all__ = [
    "ComparisonPlan",
    "Counts",
    "EvidenceBook",
    "EvidenceKey",
    "EvidenceReport",
    "FaultKind",
    "LatencyBounds",
    "Observation",
    "SequentialTest",
    "Verdict",
    "count_observation",
    "sum_requests",
]

# Stands for all routes or all classes in the key of a stream.
_ALL = "*"


class FaultKind(StrEnum):
    """Name a fault that is compared between versions."""

    ERROR = "error"
    SLOW_FIRST = "slow_first"
    SLOW_GAP = "slow_gap"


@dataclass(frozen=True, slots=True)
class Counts:
    """Count requests and their faults."""

    requests: int = 0
    errors: int = 0
    slow_first: int = 0
    slow_gap: int = 0

    def __add__(self, other: "Counts") -> "Counts":
        return Counts(
            self.requests + other.requests,
            self.errors + other.errors,
            self.slow_first + other.slow_first,
            self.slow_gap + other.slow_gap,
        )

    def __sub__(self, other: "Counts") -> "Counts":
        return Counts(
            self.requests - other.requests,
            self.errors - other.errors,
            self.slow_first - other.slow_first,
            self.slow_gap - other.slow_gap,
        )

    def faults(self, kind: FaultKind) -> int:
        """Return the number of faults of one kind."""
        if kind is FaultKind.ERROR:
            return self.errors
        return self.slow_first if kind is FaultKind.SLOW_FIRST else self.slow_gap


@dataclass(frozen=True, slots=True)
class EvidenceKey:
    """Name what a count belongs to; ``arm`` is a version or a data centre."""

    move_id: str
    arm: str
    route: str
    request_class: RequestClass


@dataclass(frozen=True, slots=True)
class LatencyBounds:
    """State from when on an answer counts as slow, in seconds."""

    first_token_seconds: float = 0.72
    gap_seconds: float = 0.031
    prefill_tokens_per_second: float = 8000.0


@dataclass(frozen=True, slots=True)
class Observation:
    """Describe one finished request; times are in seconds."""

    failed: bool
    first_token_seconds: float | None = None
    gap_seconds: float | None = None
    uncached_tokens: int = 0


def count_observation(observation: Observation, bounds: LatencyBounds) -> Counts:
    """Return the counts of one request.

    The time to compute the uncached part of the prompt is allowed on top of the
    bound, because chats that move to a new version have no cached context there.
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
    """Carry the counts of one instance since its start.

    The counts are totals, so lost, repeated or reordered reports do no harm.
    """

    instance: str
    incarnation: int
    sequence: int
    counts: Mapping[EvidenceKey, Counts]


@dataclass(frozen=True, slots=True)
class _Numbered:
    """Keep counts with the sequence number of the report that they came with."""

    sequence: int
    counts: Counts


class EvidenceBook:
    """Merge the reports of all instances.

    A report may name only some of its instance's keys, so that its size stays
    bounded; the newest counts of each key are kept.
    """

    def __init__(self) -> None:
        self._newest: dict[tuple[str, int], dict[EvidenceKey, _Numbered]] = {}

    def merge(self, report: EvidenceReport) -> None:
        """Keep the counts that are newer than the known ones of the same run."""
        known = self._newest.setdefault((report.instance, report.incarnation), {})
        for key, counts in report.counts.items():
            if key not in known or known[key].sequence < report.sequence:
                known[key] = _Numbered(report.sequence, counts)

    def totals(self, move_id: str) -> dict[EvidenceKey, Counts]:
        """Return the sums of a move over all runs of all instances."""
        sums: dict[EvidenceKey, Counts] = {}
        for known in self._newest.values():
            for key, numbered in known.items():
                if key.move_id == move_id:
                    sums[key] = sums.get(key, Counts()) + numbered.counts
        return sums

    def forget_move(self, move_id: str) -> None:
        """Drop the counts of a move that has ended."""
        for known in self._newest.values():
            for key in [key for key in known if key.move_id == move_id]:
                del known[key]


class Verdict(StrEnum):
    """State what the evidence says about the new version."""

    CLEAR = "clear"
    DOUBT = "doubt"
    FAULT = "fault"


@dataclass(frozen=True, slots=True)
class ComparisonPlan:
    """Set the stated false alarm rate of a move and what it covers.

    ``false_alarm_rate`` holds for the whole move: ``streams`` comparisons (route,
    class and kind of fault) over ``periods`` evaluations. ``tolerated_ratio`` is
    the ratio of fault rates that still counts as equal. A period lasts until it
    holds ``period_requests``, within the given seconds. ``gain_cap`` limits what
    one period adds to the score.
    """

    false_alarm_rate: float = 0.01
    streams: int = 30
    periods: int = 10_000
    tolerated_ratio: float = 1.5
    fault_ratios: tuple[float, ...] = (3.0, 10.0, 100.0)
    gain_cap: float = 4.0
    period_requests: int = 50
    period_seconds_min: float = 2.0
    period_seconds_max: float = 60.0

    @property
    def threshold(self) -> float:
        """Return the log likelihood ratio at which a version counts as bad."""
        comparisons = self.streams * self.periods * len(self.fault_ratios)
        return math.log(comparisons / self.false_alarm_rate)


@dataclass(slots=True)
class _Stream:
    """Hold the state of one comparison: totals at its last period, scores so far."""

    kinds: tuple[FaultKind, ...]
    closed_at: float
    old: Counts = Counts()
    new: Counts = Counts()
    scores: dict[tuple[FaultKind, float], float] = field(default_factory=dict)


class SequentialTest:
    """Test the new arm against the old one over the same periods.

    Each fault of a period falls on the new arm with a probability that depends
    only on the two request counts and on the ratio of the fault rates, so noise
    that hits both arms cancels. The score is the largest log likelihood ratio over
    all starting periods (a cumulative sum with floor 0): a fault that appears
    late is found as fast as one at the start. By Ville's inequality and the union
    over starts, streams and ratios, the chance that an equal arm ever reaches the
    threshold is at most the stated false alarm rate.
    """

    def __init__(self, plan: ComparisonPlan, now: float = 0.0) -> None:
        self._plan = plan
        self._faulty = False
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
        """Give the totals of both arms so far; ``now`` is in monotonic seconds.

        A period is closed by time and request counts only. Closing it by faults
        would void the false alarm rate.
        """
        stream = self._streams.get(stream_key)
        if stream is None:
            stream = _Stream(kinds, self._started)
            self._streams[stream_key] = stream
        old_gain, new_gain = old - stream.old, new - stream.new
        requests = old_gain.requests + new_gain.requests
        elapsed = now - stream.closed_at
        full = requests >= self._plan.period_requests
        if elapsed < self._plan.period_seconds_min:
            return
        if not full and elapsed < self._plan.period_seconds_max:
            return
        stream.old, stream.new, stream.closed_at = old, new, now
        if min(old_gain.requests, new_gain.requests) <= 0:
            return
        for kind in stream.kinds:
            self._score(stream, kind, old_gain, new_gain)
        self._faulty = self._faulty or self.score() >= self._plan.threshold

    def _score(
        self, stream: _Stream, kind: FaultKind, old: Counts, new: Counts
    ) -> None:
        faults_old, faults_new = old.faults(kind), new.faults(kind)
        if faults_old < 0 or faults_new < 0:
            return
        for ratio in self._plan.fault_ratios:
            gain = self._gain(ratio, old.requests, new.requests, faults_old, faults_new)
            # The cap keeps one burst within a period from deciding alone.
            gain = min(gain, self._plan.gain_cap)
            score = stream.scores.get((kind, ratio), 0.0) + gain
            stream.scores[kind, ratio] = max(0.0, score)

    def _gain(
        self, ratio: float, old: int, new: int, faults_old: int, faults_new: int
    ) -> float:
        even = _share(self._plan.tolerated_ratio, old, new)
        worse = _share(self._plan.tolerated_ratio * ratio, old, new)
        gain = faults_new * math.log(worse / even)
        return gain + faults_old * math.log((1 - worse) / (1 - even))

    def score(self) -> float:
        """Return the largest score of all streams."""
        scores = (score for s in self._streams.values() for score in s.scores.values())
        return max(scores, default=0.0)

    def verdict(self) -> Verdict:
        """Return what the evidence says; a fault once shown stays shown.

        Without the latch the last good answers of requests in flight could lower
        the score again after the new version was stopped.
        """
        if self._faulty:
            return Verdict.FAULT
        doubtful = self.score() >= self._plan.threshold / 2
        return Verdict.DOUBT if doubtful else Verdict.CLEAR

    def update_from(
        self, book: EvidenceBook, move_id: str, old_arm: str, new_arm: str, now: float
    ) -> None:
        """Give the merged totals of a move.

        Besides each route and class, the sums over routes and over everything are
        compared, because a single stream has few requests while the share is small.
        Latency differs by class, so the sum over classes counts errors only.
        """
        old_sums = _sum_streams(book, move_id, old_arm)
        new_sums = _sum_streams(book, move_id, new_arm)
        for key in sorted(old_sums.keys() | new_sums.keys()):
            old = old_sums.get(key, Counts())
            new = new_sums.get(key, Counts())
            errors_only = key == (_ALL, _ALL)
            kinds = (FaultKind.ERROR,) if errors_only else tuple(FaultKind)
            self.update(key, old, new, now, kinds)


def _sum_streams(
    book: EvidenceBook, move_id: str, arm: str
) -> dict[tuple[str, str], Counts]:
    sums: dict[tuple[str, str], Counts] = {}
    for key, counts in book.totals(move_id).items():
        if key.arm != arm:
            continue
        request_class = key.request_class.value
        streams = ((key.route, request_class), (_ALL, request_class), (_ALL, _ALL))
        for stream in streams:
            sums[stream] = sums.get(stream, Counts()) + counts
    return sums


def sum_requests(book: EvidenceBook, move_id: str, arm: str) -> int:
    """Return the requests of one arm over all routes and classes."""
    totals = book.totals(move_id).items()
    return sum(counts.requests for key, counts in totals if key.arm == arm)


def _share(ratio: float, old: int, new: int) -> float:
    return ratio * new / (ratio * new + old)
