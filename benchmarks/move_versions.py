"""Version moves in virtual time: a noisy fleet, good versions and bad ones."""

import heapq
import itertools
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from random import Random

from carobladder.moves.evidence import (
    ComparisonPlan,
    Counts,
    EvidenceKey,
    EvidenceReport,
    EvidenceStore,
    LatencyBounds,
    Observation,
    SequentialTest,
    Verdict,
    count_observation,
    sum_requests,
)
from carobladder.moves.records import MoveRecord, build_step_record
from carobladder.moves.versions import (
    VersionConditions,
    VersionMoveSpec,
    VersionMoveState,
    VersionPhase,
    apply_version_record,
    decide_version_step,
    effective_share,
)
from carobladder.placement.keys import compute_key_fraction
from carobladder.targets import RequestClass

__all__ = ["KINDS", "VersionResult", "VersionRun"]

EPOCH = datetime(2026, 1, 1, tzinfo=UTC)
TICK_SECONDS = 0.5
REPORT_SECONDS = 2.0
INSTANCES = 8
MOVE_HOURS = 3.0
ROUTES = (("chat", 0.9), ("plans", 0.1))
CLASSES = (
    (RequestClass.LONG, 0.3, 15.0),
    (RequestClass.QUICK, 0.45, 5.0),
    (RequestClass.SHORT, 0.25, 0.5),
)
BASE_ERROR = 0.003
FIRST_TOKEN_MEDIAN = 0.35
GAP_MEDIAN = 0.018
SPREAD = 0.35


@dataclass(frozen=True, slots=True)
class Harm:
    """Describe how a request is worse than usual."""

    error: float = 0.0
    first_factor: float = 1.0
    gap_factor: float = 1.0


@dataclass(frozen=True, slots=True)
class Moment:
    """State when and where the new version serves a request."""

    served_seconds: float
    share: float
    route: str


Kind = Callable[[Moment], Harm]
_FINE = Harm()
_LATER_SECONDS = 1800.0
KINDS: dict[str, Kind] = {
    "good": lambda m: _FINE,
    "fails at once": lambda m: Harm(error=0.6),
    "fails later": lambda m: (
        Harm(error=0.15) if m.served_seconds > _LATER_SECONDS else _FINE
    ),
    "slow at once": lambda m: Harm(first_factor=2.0),
    "slow later": lambda m: (
        Harm(gap_factor=1.6) if m.served_seconds > _LATER_SECONDS else _FINE
    ),
    "only under load": lambda m: (
        Harm(error=0.05, first_factor=1.8) if m.share >= 0.3 else _FINE
    ),
    "only on one route": lambda m: Harm(error=0.3) if m.route == "plans" else _FINE,
}


@dataclass(frozen=True, slots=True)
class Burst:
    """Disturb the fleet, or one arm only, for a while."""

    start: float
    end: float
    arm: str | None
    harm: Harm


@dataclass(slots=True)
class VersionResult:
    """Collect the measures of one move."""

    phase: VersionPhase = VersionPhase.DECLARED
    ended_at: float = 0.0
    on_time: bool = False
    harm_from: float | None = None
    detected_at: float | None = None
    share_at_detection: float = 0.0
    exposed: int = 0
    requests: int = 0
    exposed_after_detection: int = 0
    reason: str = ""


@dataclass(slots=True)
class _Instance:
    state: VersionMoveState
    verdict: Verdict = Verdict.CLEAR
    incarnation: int = 0
    sequence: int = 0
    counts: dict[EvidenceKey, Counts] = field(default_factory=dict)


class VersionRun:
    """Run one move of one kind of version with one seed."""

    def __init__(self, kind: str, seed: int, requests_per_second: float) -> None:
        self._harm = KINDS[kind]
        self._random = Random(f"version-{kind}-{seed}")
        self._rate = requests_per_second
        self._spec = VersionMoveSpec(
            "move-1", "model", "v1", "v2", EPOCH, EPOCH + timedelta(hours=MOVE_HOURS)
        )
        self._now = 0.0
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._state = VersionMoveState(self._spec)
        self._instances = [_Instance(self._state) for _ in range(INSTANCES)]
        self._offset = 0
        self._book = EvidenceStore()
        self._test = SequentialTest(ComparisonPlan())
        self._step_base = 0
        self._first_served: float | None = None
        self._in_flight = 0
        self._chats: deque[tuple[int, str]] = deque(maxlen=2000)
        self._bursts = list(self._plan_bursts())
        self._outage = self._plan_outage()
        self._result = VersionResult()

    def run(self) -> VersionResult:
        """Run until the move has ended, at most 10 minutes past its time."""
        limit = MOVE_HOURS * 3600 + 600
        next_report = REPORT_SECONDS
        while self._now < limit and self._state.phase not in (
            VersionPhase.FINISHED,
            VersionPhase.ROLLED_BACK,
        ):
            self._now += TICK_SECONDS
            while self._events and self._events[0][0] <= self._now:
                heapq.heappop(self._events)[2]()
            self._serve_tick()
            if self._now >= next_report:
                next_report += REPORT_SECONDS
                self._send_reports()
                self._drive()
        return self._close()

    def _close(self) -> VersionResult:
        result = self._result
        result.phase = self._state.phase
        result.ended_at = self._now
        result.on_time = self._now <= MOVE_HOURS * 3600
        result.reason = self._state.reason
        return result

    def _after(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self._now + delay, next(self._order), action))

    # Disturbances

    def _plan_bursts(self) -> Iterator[Burst]:
        random = self._random
        for _ in range(12):
            start = random.uniform(0, MOVE_HOURS * 3600)
            harm = Harm(0.05, random.uniform(1.2, 2.0), random.uniform(1.0, 1.5))
            yield Burst(start, start + random.uniform(10, 60), None, harm)
        for _ in range(8):
            start = random.uniform(0, MOVE_HOURS * 3600)
            arm = random.choice(["v1", "v2"])
            yield Burst(start, start + random.uniform(3, 8), arm, Harm(error=0.2))

    def _plan_outage(self) -> tuple[float, float]:
        start = self._random.uniform(0, MOVE_HOURS * 3600)
        return start, start + self._random.uniform(120, 900)

    def _log_is_down(self) -> bool:
        return self._outage[0] <= self._now < self._outage[1]

    def _disturbance(self, arm: str) -> Harm:
        for burst in self._bursts:
            if burst.start <= self._now < burst.end and burst.arm in (None, arm):
                return burst.harm
        return _FINE

    # Requests

    def _serve_tick(self) -> None:
        mean = self._rate * TICK_SECONDS
        disturbances = {arm: self._disturbance(arm) for arm in ("v1", "v2")}
        arrival = self._random.expovariate(1.0)
        while arrival < mean:
            self._serve(disturbances)
            arrival += self._random.expovariate(1.0)

    def _serve(self, disturbances: dict[str, Harm]) -> None:
        random = self._random
        instance = random.choice(self._instances)
        if self._chats and random.random() < 0.6:
            chat, last_arm = random.choice(self._chats)
        else:
            chat, last_arm = random.getrandbits(64), ""
        share = effective_share(instance.state, instance.verdict)
        arm = "v2" if compute_key_fraction(chat) < share else "v1"
        self._chats.append((chat, arm))
        route = random.choices([r for r, _ in ROUTES], [w for _, w in ROUTES])[0]
        name, _, duration = random.choices(CLASSES, [w for _, w, _ in CLASSES])[0]
        harm = self._combine(arm, route, share, disturbances[arm])
        uncached = 0 if last_arm == arm else random.randint(500, 30_000)
        observation = self._observe(harm, uncached)
        key = EvidenceKey("move-1", arm, route, name)
        counts = count_observation(observation, LatencyBounds())
        self._in_flight += arm == "v2"
        delay = 0.1 if observation.failed else duration * random.uniform(0.5, 1.5)
        self._after(delay, lambda: self._count(instance, key, counts))

    def _combine(self, arm: str, route: str, share: float, noise: Harm) -> Harm:
        result = self._result
        if self._first_served is not None:
            result.requests += 1
        if arm == "v1":
            return noise
        if self._first_served is None:
            self._first_served = self._now
            result.requests += 1
        own = self._harm(Moment(self._now - self._first_served, share, route))
        if own is not _FINE:
            result.exposed += 1
            result.exposed_after_detection += result.detected_at is not None
            if result.harm_from is None:
                result.harm_from = self._now
        return Harm(
            noise.error + own.error,
            noise.first_factor * own.first_factor,
            noise.gap_factor * own.gap_factor,
        )

    def _observe(self, harm: Harm, uncached: int) -> Observation:
        random = self._random
        if random.random() < BASE_ERROR + harm.error:
            return Observation(failed=True)
        first = (
            FIRST_TOKEN_MEDIAN * harm.first_factor * random.lognormvariate(0, SPREAD)
        )
        gap = GAP_MEDIAN * harm.gap_factor * random.lognormvariate(0, SPREAD * 0.8)
        recompute = uncached / LatencyBounds().prefill_tokens_per_second
        return Observation(False, first + recompute, gap, uncached)

    def _count(self, instance: _Instance, key: EvidenceKey, counts: Counts) -> None:
        self._in_flight -= key.arm == "v2"
        instance.counts[key] = instance.counts.get(key, Counts()) + counts

    # Reports and steps

    def _send_reports(self) -> None:
        random = self._random
        for number, instance in enumerate(self._instances):
            if random.random() < 1 / 18_000:
                instance.incarnation += 1
                instance.sequence = 0
                instance.counts = {}
            instance.sequence += 1
            report = EvidenceReport(
                f"entry-{number}",
                instance.incarnation,
                instance.sequence,
                dict(instance.counts),
            )
            copies = random.choices([0, 1, 2], [0.05, 0.9, 0.05])[0]
            for _ in range(copies):
                delay = random.uniform(0.05, 3.0)
                self._after(delay, lambda r=report: self._book.merge(r))

    def _drive(self) -> None:
        self._test.update_from_evidence(self._book, "move-1", "v1", "v2", self._now)
        verdict = self._test.verdict()
        result = self._result
        if verdict is Verdict.FAULT and result.detected_at is None:
            result.detected_at = self._now
            result.share_at_detection = effective_share(self._state, Verdict.CLEAR)
        for instance in self._instances:
            # Every instance merges the same reports, some a little later.
            delay = self._random.uniform(0, 1.0)
            self._after(delay, lambda i=instance: setattr(i, "verdict", verdict))
        if self._log_is_down():
            return
        served = sum_requests(self._book, "move-1", "v2")
        situation = VersionConditions(
            verdict,
            loaded_share=min(1.0, self._now / 600),
            warm_share=min(1.0, max(0.0, self._now - 60) / 900),
            step_requests=served - self._step_base,
            new_in_flight=self._in_flight,
        )
        now = EPOCH + timedelta(seconds=self._now)
        step = decide_version_step(self._state, situation, now)
        if step is not None:
            self._step_base = served
            change = f"change-{self._offset + 1}"
            self._append(build_step_record(self._state, step, change, now))

    def _append(self, record: MoveRecord) -> None:
        self._offset += 1
        offset = self._offset
        self._state = apply_version_record(self._state, record, offset).unwrap()
        for instance in self._instances:
            delay = self._random.uniform(0.05, 1.5)
            self._after(delay, lambda i=instance: _apply(i, record, offset))


def _apply(instance: _Instance, record: MoveRecord, offset: int) -> None:
    # Steps are seconds apart, so a lag of up to 1.5 s keeps them in order.
    instance.state = apply_version_record(instance.state, record, offset).unwrap()
