"""Simulation of instances before an overloaded plain service, in virtual time."""

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from carobladder.clock import VirtualClock
from carobladder.fleet import (
    ColdPacer,
    FleetTarget,
    LoadBounds,
    LoadGossip,
    RatePacer,
    SelectionCriteria,
    ShareLedger,
    TargetLoad,
    TargetSelector,
    TargetTable,
    VersionMoves,
)
from carobladder.limits.shedding import (
    AdmissionRequest,
    ServiceAdmission,
    TargetPlaces,
)
from carobladder.limits.usage import AdmissionRecord
from carobladder.retries import RetryBudget
from carobladder.routing import Service
from tests.fleet.builders import build_entry

SERVICE = Service("engine")
SLOTS = 6
WORK_SECONDS = 0.045
SLOW_FACTOR = 2.5
SLOW_SHARE = 0.15
NOISE_SECONDS = 0.6
NETWORK_SECONDS = 0.002
GOSSIP_SECONDS = 0.3
FAN_OUT = 2
PARTITIONS = 384
RETRY_RATIO = 0.14
RETRY_SLACK = 35.0
DEADLINE_SECONDS = 1.5
ON_TIME_SECONDS = 0.3
RETRY_SECONDS = 0.25
MAX_RETRY_FRACTION = 0.3
IMPATIENT_SECONDS = 0.004
MAX_TRIES = 8
MAX_SENDS = 4
MAX_LOAD_AGE_SECONDS = 2.5
POLL_SECONDS = 0.01
TEAMS = 8
WARM_UP_SECONDS = 3.0


@dataclass(frozen=True)
class Scenario:
    """Load and callers of a run; ``load`` is in parts of the targets' capacity.

    The work that the first ``hanging`` targets begin between 4 s and 8 s ends after
    8 s. All instances restart at ``restart_at`` and know no loads then.
    """

    instances: int = 35
    load: float = 1.5
    targets: int = 3
    queue: int = 24
    seconds: float = 12.0
    seed: int = 1
    urgent_share: float = 0.3
    surge: float = 7.5
    impatient_share: float = 0.3
    clump: int = 1
    skew: float = 0.0
    hanging: int = 0
    restart_at: float = float("inf")


@dataclass(eq=False)
class Caller:
    """Caller that wants one answer before its deadline and may try several times."""

    priority: int
    team: int
    arrived_at: float
    is_patient: bool
    tries: int = 0
    sends: int = 0
    tried_at: float = 0.0
    answered_seconds: float | None = None
    refusals: int = 0
    excluded: set[str] = field(default_factory=set)

    @property
    def deadline(self) -> float:
        """Time by which the caller wants its answer."""
        return self.arrived_at + DEADLINE_SECONDS

    @property
    def is_on_time(self) -> bool:
        """Whether the caller got its answer soon after its first try."""
        seconds = self.answered_seconds
        return seconds is not None and seconds <= ON_TIME_SECONDS


class Server:
    """Target with slots and a bounded queue that refuses further requests."""

    def __init__(self, run: "OverloadRun", hangs: bool) -> None:
        self._run = run
        self._hangs = hangs
        self._queue: deque[tuple[float, Callable[[bool, int], None]]] = deque()
        self.running = 0
        self.slowness = 1.0

    @property
    def load(self) -> int:
        """Running and waiting requests."""
        return self.running + len(self._queue)

    def take(self, deadline: float, answer: Callable[[bool, int], None]) -> None:
        """Run, queue or refuse a request."""
        if self.running < SLOTS:
            self._start(answer)
        elif len(self._queue) < self._run.scenario.queue:
            self._queue.append((deadline, answer))
        else:
            load = self.load
            self._run.after(NETWORK_SECONDS, lambda: answer(False, load))

    def _start(self, answer: Callable[[bool, int], None]) -> None:
        self.running += 1
        share = 0.6 + 0.4 * self._run.work_random.expovariate(1.0)
        seconds = WORK_SECONDS * share * self.slowness
        if self._hangs and 4.0 <= self._run.now < 8.0:
            seconds += 8.0 - self._run.now
        self._run.after(seconds, lambda: self._finish(answer))

    def _finish(self, answer: Callable[[bool, int], None]) -> None:
        self.running -= 1
        while self._queue:
            deadline, waiting = self._queue.popleft()
            if deadline > self._run.now:
                self._start(waiting)
                break
        load = self.load
        self._run.after(NETWORK_SECONDS, lambda: answer(True, load))


class Instance:
    """Instance that knows its own requests and the loads that targets state."""

    def __init__(self, run: "OverloadRun", index: int) -> None:
        scenario = run.scenario
        self.random = random.Random(scenario.seed * 1000 + index)
        self.table = TargetTable()
        ledger = ShareLedger(PARTITIONS)
        ledger.assign(frozenset(range(index, PARTITIONS, scenario.instances)))
        self.selector = TargetSelector(
            self.table,
            ColdPacer(ledger),
            RatePacer(ledger, VirtualClock(), self.random),
            VersionMoves(0.1),
            LoadBounds(self.table, 2.0),
            self.random,
        )
        self.gossip = LoadGossip(self.table)
        self.budget = RetryBudget(
            RETRY_RATIO,
            0.0,
            burst=RETRY_SLACK / scenario.instances,
            minimum_per_second=0.0,
            min_capacity=1.0,
        )
        self.admission = ServiceAdmission(AdmissionRecord())
        self.waiting: list[Caller] = []
        self.register(run)

    def register(self, run: "OverloadRun") -> None:
        """Add the targets to the table."""
        for target_id in run.servers:
            self.table.apply(build_entry(target_id, slots=SLOTS), run.now)

    def list_places(self, now: float, excluded: set[str]) -> list[TargetPlaces]:
        """Return the targets whose load is known."""
        places = []
        for target in self.table.list_open(SERVICE.name):
            latest = target.health.read_latest_load(now)
            load = target.health.estimate_load(now)
            if latest is None or latest[1] > MAX_LOAD_AGE_SECONDS or load is None:
                continue
            if target.target_id not in excluded:
                places.append(TargetPlaces(target.target_id, load, SLOTS))
        return places


class DirectPolicy:
    """Send each request to one target and pass its refusal on: no admission."""

    retries = False

    def offer(self, run: "OverloadRun", instance: Instance, caller: Caller) -> None:
        """Decide about a request that has arrived at an instance."""
        run.send(instance, caller)

    def note_shed(self, run: "OverloadRun", instance: Instance, caller: Caller) -> None:
        """Send a request that a target has refused to another one, or refuse it."""
        may_retry = self.retries and caller.sends < MAX_SENDS
        may_retry = may_retry and self.has_place(run, instance, caller)
        if may_retry and instance.budget.withdraw(run.now):
            run.send(instance, caller)
            return
        instance.admission.note_refused(caller.priority, run.now)
        run.refuse(caller)

    def has_place(self, run: "OverloadRun", instance: Instance, caller: Caller) -> bool:
        """Return whether another target may take the request."""
        return True


class TodayPolicy(DirectPolicy):
    """Send a refused request to the other targets within the retry budget."""

    retries = True


class QueuePolicy(TodayPolicy):
    """Hold requests at the instance, for 109 ms at most, while targets are half full.

    The order is that of the arrival, or that of the priority and the arrival.
    """

    max_wait_seconds = 0.109
    max_fill = 0.65

    def __init__(self, by_priority: bool) -> None:
        self._by_priority = by_priority

    def offer(self, run: "OverloadRun", instance: Instance, caller: Caller) -> None:
        """Send a request at once, or let it wait in the order."""
        instance.waiting.append(caller)
        self._try(run, instance, caller)

    def _try(self, run: "OverloadRun", instance: Instance, caller: Caller) -> None:
        loads = [place.load for place in instance.list_places(run.now, set())]
        queued = sum(loads) / max(1, len(loads)) - SLOTS
        fill = queued / run.scenario.queue
        first = min(instance.waiting, key=self._rank)
        is_free = fill < self.max_fill or (self._by_priority and not caller.priority)
        if first is caller and is_free:
            instance.waiting.remove(caller)
            run.send(instance, caller)
        elif run.now - caller.tried_at >= self.max_wait_seconds:
            instance.waiting.remove(caller)
            run.refuse(caller)
        else:
            run.after(POLL_SECONDS, lambda: self._try(run, instance, caller))

    def _rank(self, caller: Caller) -> tuple[int, float]:
        return caller.priority if self._by_priority else 0, caller.tried_at


class AdmissionPolicy(TodayPolicy):
    """Decide by ``ServiceAdmission``, and send nothing again to full targets."""

    def offer(self, run: "OverloadRun", instance: Instance, caller: Caller) -> None:
        """Send or refuse a request at once."""
        request = AdmissionRequest(
            caller.priority, f"team-{caller.team}", caller.deadline - run.now
        )
        places = instance.list_places(run.now, set())
        if instance.admission.decide(request, places, run.now) is None:
            run.send(instance, caller)
        else:
            run.refuse(caller)

    def has_place(self, run: "OverloadRun", instance: Instance, caller: Caller) -> bool:
        """Return whether another target is not known to be full."""
        for place in instance.list_places(run.now, set()):
            if instance.admission.is_full(place, run.now):
                caller.excluded.add(place.target_id)
        return len(caller.excluded) < run.scenario.targets


POLICIES: dict[str, Callable[[], DirectPolicy]] = {
    "today": TodayPolicy,
    "no admission": DirectPolicy,
    "first come first served": lambda: QueuePolicy(by_priority=False),
    "priority alone": lambda: QueuePolicy(by_priority=True),
    "admission": AdmissionPolicy,
}


class OverloadRun:
    """Discrete-event run of one scenario under one policy.

    Arrivals, work, noise and retries have generators of their own, so that policies
    meet the same callers and the same slow targets.
    """

    def __init__(self, scenario: Scenario, policy: DirectPolicy) -> None:
        self.scenario = scenario
        self.now = 0.0
        self.callers: list[Caller] = []
        self.offers = 0
        self.sends = 0
        self.first_sends = 0
        self.refusal_seconds: list[float] = []
        self._policy = policy
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        seeds = itertools.count(scenario.seed * 10)
        self.work_random = random.Random(next(seeds))
        self._arrival_random = random.Random(next(seeds))
        self._noise_random = random.Random(next(seeds))
        self._retry_random = random.Random(next(seeds))
        self.servers = {
            f"i-{index}": Server(self, index <= scenario.hanging)
            for index in range(1, scenario.targets + 1)
        }
        self.instances = [Instance(self, index) for index in range(scenario.instances)]
        capacity = scenario.targets * SLOTS / WORK_SECONDS
        capacity /= 1.0 + SLOW_SHARE * (SLOW_FACTOR - 1.0)
        self._rate = scenario.load * capacity
        self.after(0.0, self._arrive)
        self.after(0.0, self._draw_slowness)
        self.after(scenario.restart_at, self._restart)
        for index in range(scenario.instances):
            start = self._noise_random.random() * GOSSIP_SECONDS
            self.after(start, self._make_gossiper(index))

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self._events, (self.now + seconds, next(self._order), action))

    def run(self) -> "OverloadRun":
        """Run until all callers have an answer or have given up."""
        end = self.scenario.seconds + 2.0 * DEADLINE_SECONDS
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        return self

    def send(self, instance: Instance, caller: Caller) -> None:
        """Send a request to a target that the selector chooses."""
        criteria = SelectionCriteria(SERVICE, None, True, caller.excluded)
        target = instance.selector.choose(criteria, self.now)
        if target is None:
            self.refuse(caller)
            return
        caller.sends += 1
        self.sends += 1
        self.first_sends += caller.sends == 1
        target.health.note_sent(self.now)
        sent_at = self.now

        def answer(has_run: bool, load: int) -> None:
            self._take_answer(instance, caller, target, sent_at, has_run, load)

        server = self.servers[target.target_id]
        self.after(NETWORK_SECONDS, lambda: server.take(caller.deadline, answer))

    def refuse(self, caller: Caller) -> None:
        """Refuse a request; its caller may come back."""
        caller.refusals += 1
        self.refusal_seconds.append(self.now - caller.tried_at)
        remaining = max(0.0, caller.deadline - self.now)
        delay = RETRY_SECONDS * (1.0 + self._retry_random.random())
        delay = min(delay, MAX_RETRY_FRACTION * remaining)
        if not caller.is_patient:
            delay = IMPATIENT_SECONDS
        if caller.tries < MAX_TRIES and IMPATIENT_SECONDS <= delay < remaining:
            self.after(delay, lambda: self._offer(caller, None))

    def measure(self, select: Callable[[Caller], bool]) -> tuple[float, float]:
        """Return the shares of callers with an answer, and with one on time."""
        callers = [
            caller
            for caller in self.callers
            if caller.arrived_at >= WARM_UP_SECONDS and select(caller)
        ]
        count = max(1, len(callers))
        served = sum(caller.answered_seconds is not None for caller in callers)
        on_time = sum(caller.is_on_time for caller in callers)
        return served / count, on_time / count

    def _take_answer(
        self,
        instance: Instance,
        caller: Caller,
        target: FleetTarget,
        sent_at: float,
        has_run: bool,
        load: int,
    ) -> None:
        health, now = target.health, self.now
        health.note_load(TargetLoad(load, 0, SLOTS), now)
        health.note_first_byte(now - sent_at, now)
        health.in_flight -= 1
        health.note_answer(not has_run)
        if has_run:
            instance.admission.note_answer(load, SLOTS, now - sent_at)
            if now <= caller.deadline:
                caller.answered_seconds = now - caller.arrived_at
        else:
            instance.admission.note_shed(target.target_id, load, now)
            caller.excluded.add(target.target_id)
            self._policy.note_shed(self, instance, caller)

    def _offer(self, caller: Caller, instance: Instance | None) -> None:
        caller.tries += 1
        caller.sends = 0
        caller.excluded = set()
        caller.tried_at = self.now
        self.offers += 1
        instance = instance or self._retry_random.choice(self.instances)
        instance.budget.record_request()
        self._policy.offer(self, instance, caller)

    def _arrive(self) -> None:
        scenario, generator = self.scenario, self._arrival_random
        if self.now > scenario.seconds:
            return
        self.after(generator.expovariate(self._rate / scenario.clump), self._arrive)
        is_skewed = generator.random() < scenario.skew
        chosen = generator.choice(self.instances)
        for _ in range(scenario.clump):
            weights = [scenario.surge, *[1.0] * (TEAMS - 1)]
            caller = Caller(
                priority=int(generator.random() >= scenario.urgent_share),
                team=generator.choices(range(TEAMS), weights)[0],
                arrived_at=self.now,
                is_patient=generator.random() >= scenario.impatient_share,
            )
            self.callers.append(caller)
            self._offer(caller, self.instances[0] if is_skewed else chosen)

    def _draw_slowness(self) -> None:
        self.after(NOISE_SECONDS, self._draw_slowness)
        for server in self.servers.values():
            is_slow = self._noise_random.random() < SLOW_SHARE
            server.slowness = SLOW_FACTOR if is_slow else 1.0

    def _restart(self) -> None:
        """Replace all instances by new ones, which know no loads."""
        self.instances = [
            Instance(self, index) for index in range(self.scenario.instances)
        ]

    def _make_gossiper(self, index: int) -> Callable[[], None]:
        def send_reports() -> None:
            self.after(GOSSIP_SECONDS, send_reports)
            instance = self.instances[index]
            reports = instance.gossip.collect(self.now)
            for other in self._noise_random.sample(self.instances, FAN_OUT):
                if other is not instance:
                    other.gossip.take(reports, self.now)

        return send_reports


def format_table(scenario: Scenario, seeds: tuple[int, ...]) -> str:
    """Return a row of results for each policy, in percent of callers."""
    rows = [
        "| policy | served, on time | late | failed | priority 0 | priority 1 "
        "| surging team | other teams | refusals | sends | 95% of refusals within |",
        "| --- " * 11 + "|",
    ]
    for name, build in POLICIES.items():
        sums = [0.0] * 15
        for seed in seeds:
            values = _measure_run(_replace_seed(scenario, seed), build())
            sums = [total + value for total, value in zip(sums, values, strict=False)]
        means = [total / len(seeds) for total in sums]
        pairs = [
            f"{100 * means[index]:.1f}, {100 * means[index + 1]:.1f}"
            for index in range(0, 10, 2)
        ]
        late = 100 * (means[0] - means[1])
        failed = 100 * (1.0 - means[0])
        rows.append(
            f"| {name} | {pairs[0]} | {late:.1f} | {failed:.1f} | "
            + " | ".join(pairs[1:])
            + f" | {means[10]:.2f} | {means[11]:.2f} | {1000 * means[12]:.0f} ms |"
        )
    return "\n".join(rows)


def _replace_seed(scenario: Scenario, seed: int) -> Scenario:
    return Scenario(**{**vars(scenario), "seed": seed})


def _measure_run(scenario: Scenario, policy: DirectPolicy) -> list[float]:
    run = OverloadRun(scenario, policy).run()
    values: list[float] = []
    for select in (
        lambda caller: True,
        lambda caller: caller.priority == 0,
        lambda caller: caller.priority == 1,
        lambda caller: caller.team == 0,
        lambda caller: caller.team != 0,
    ):
        values.extend(run.measure(select))
    refusals = sorted(run.refusal_seconds) or [0.0]
    count = len(run.callers)
    values.append(len(run.refusal_seconds) / count)
    values.append(run.sends / count)
    values.append(refusals[int(0.95 * len(refusals))])
    return values
