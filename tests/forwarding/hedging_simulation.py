"""Simulation of a plain service whose callers' instances send copies of late requests.

Instances, their knowledge of loads, the choice of targets, the policy and the budgets
are those of the program; targets, callers and time are simulated.
"""

import heapq
import itertools
import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from carobladder.fleet import (
    ColdPacer,
    LoadBounds,
    RatePacer,
    SelectionCriteria,
    ServiceBudgets,
    ShareLedger,
    TargetLoad,
    TargetSelector,
    TargetTable,
    VersionMoves,
)
from carobladder.forwarding import LASTING_REASONS, HedgePolicy
from tests.fleet.builders import build_entry
from tests.forwarding.hedges import SERVICE, build_call

NETWORK_SECONDS = 0.001
WARMUP_SECONDS = 15.0
WINDOW_SECONDS = 10.0
RETRY_RATIO = 0.2
RETRY_SLACK = 50.0
SHARE_PARTITIONS = 384
FAILURE_SECONDS = 0.005
DEADLINE_SECONDS = 1.535
RECHECK_FRACTION = 0.25


@dataclass(frozen=True)
class Scenario:
    """Service and its callers; ``slowness`` is that of a target at a time.

    ``fails`` tells whether a target fails its requests at a time.
    """

    name: str
    slowness: Callable[[random.Random, int, float], float]
    instances: int = 35
    targets: int = 4
    slots: int = 6
    rate: float = 123.0
    swing: float = 0.0
    mean_seconds: float = 0.069
    tail_share: float = 0.0
    seconds: float = 90.0
    fails: Callable[[int, float], bool] = lambda index, now: False


@dataclass
class Result:
    """What the requests of a run got, after its warm-up."""

    latencies: list[float] = field(default_factory=list)
    requests: int = 0
    copies: int = 0
    retries: int = 0
    failed: int = 0
    extra_at: list[float] = field(default_factory=list)
    arrived_at: list[float] = field(default_factory=list)
    copied_at: list[float] = field(default_factory=list)

    @property
    def copy_share(self) -> float:
        """Copies relative to requests."""
        return self.copies / self.requests

    def find_worst_window(self) -> float:
        """Return the largest use of the retry budget in any window, 1.0 is all."""
        worst = 0.0
        extra, arrived = deque[float](), deque[float]()
        times = sorted(
            [(t, 0) for t in self.arrived_at] + [(t, 1) for t in self.extra_at]
        )
        for now, is_extra in times:
            (extra if is_extra else arrived).append(now)
            for kept in (extra, arrived):
                while kept and kept[0] <= now - WINDOW_SECONDS:
                    kept.popleft()
            limit = RETRY_RATIO * len(arrived) + RETRY_SLACK
            worst = max(worst, len(extra) / limit)
        return worst


class SimulatedClock:
    """Clock that the simulation sets."""

    def __init__(self) -> None:
        self.now_seconds = 0.0

    def monotonic(self) -> float:
        """Return the simulated time in seconds."""
        return self.now_seconds

    boottime = monotonic


@dataclass(eq=False)
class Send:
    """One send of a request to a target."""

    request: "Request"
    index: int
    sent_at: float
    is_running: bool = False
    has_ended: bool = False


@dataclass(eq=False)
class Request:
    """Request of a caller at an instance."""

    instance: "SimulatedInstance"
    arrived_at: float
    sends: list[Send] = field(default_factory=list)
    tried: set[str] = field(default_factory=set)
    is_done: bool = False
    is_late: bool = False


class SimulatedInstance:
    """Knowledge and decisions of one instance."""

    def __init__(self, scenario: Scenario, clock, share: float, number: int, seed: int):
        self.table = TargetTable()
        self.targets = [
            self.table.apply(
                build_entry(f"i-{i}", service="stock", slots=scenario.slots), 0.0
            )
            for i in range(scenario.targets)
        ]
        ledger = ShareLedger(SHARE_PARTITIONS)
        partitions = range(number, SHARE_PARTITIONS, scenario.instances)
        ledger.assign(frozenset(partitions))
        self.budgets = ServiceBudgets(RETRY_RATIO, RETRY_SLACK, ledger, clock, share)
        generator = random.Random(seed * 1000 + number)
        bounds = LoadBounds(self.table, 2.0)
        self.selector = TargetSelector(
            self.table,
            ColdPacer(ledger),
            RatePacer(ledger, clock, generator),
            VersionMoves(0.1),
            bounds,
            generator,
        )
        self.policy = HedgePolicy(
            share, self.table, self.budgets.find, lambda call: True, clock
        )


class SimulatedTarget:
    """Target with slots and a queue."""

    def __init__(self, simulation: "Simulation", index: int) -> None:
        self._simulation = simulation
        self._index = index
        self._queue: deque[Send] = deque()
        self._running = 0

    def take(self, send: Send) -> None:
        """Run a request, or queue it."""
        if send.has_ended:
            return
        simulation = self._simulation
        if simulation.scenario.fails(self._index, simulation.clock.now_seconds):
            simulation.after(FAILURE_SECONDS, simulation.fail, send)
            return
        self._queue.append(send)
        self._start_next()

    def cancel(self, send: Send) -> None:
        """End a request whose caller has left."""
        if send.is_running:
            send.is_running = False
            self._running -= 1
            self._start_next()
        elif send in self._queue:
            self._queue.remove(send)

    def read_load(self) -> TargetLoad:
        """Return the load that the target states."""
        slots = self._simulation.scenario.slots
        return TargetLoad(self._running, len(self._queue), slots)

    def _start_next(self) -> None:
        while self._queue and self._running < self._simulation.scenario.slots:
            send = self._queue.popleft()
            send.is_running = True
            self._running += 1
            seconds = self._simulation.draw_seconds(self._index)
            self._simulation.after(seconds, self._finish, send)

    def _finish(self, send: Send) -> None:
        if not send.is_running:
            return
        load = self.read_load()
        send.is_running = False
        self._running -= 1
        self._simulation.after(NETWORK_SECONDS, self._simulation.answer, send, load)
        self._start_next()


class Simulation:
    """Run of one scenario; ``fixed_delay`` sends copies after it without a limit."""

    def __init__(
        self, scenario: Scenario, seed: int, share: float, fixed_delay: float = 0.0
    ) -> None:
        self.scenario = scenario
        self.clock = SimulatedClock()
        self.result = Result()
        self._fixed_delay = fixed_delay
        # Work and arrivals are the same for all ways of sending copies.
        self._arrivals = random.Random(seed)
        self._work = random.Random(seed + 1)
        self._slowness = random.Random(seed + 2)
        self._callers = random.Random(seed + 3)
        self._events: list[tuple] = []
        self._order = itertools.count()
        self._targets = [SimulatedTarget(self, i) for i in range(scenario.targets)]
        self._instances = [
            SimulatedInstance(scenario, self.clock, share, number, seed)
            for number in range(scenario.instances)
        ]
        self._call = build_call(self.clock)

    def run(self) -> Result:
        """Play the scenario to its end."""
        self.after(0.0, self._arrive)
        while self._events and self._events[0][0] < self.scenario.seconds:
            self.clock.now_seconds, _, callback, arguments = heapq.heappop(self._events)
            callback(*arguments)
        return self.result

    def after(self, seconds: float, callback: Callable, *arguments) -> None:
        """Call a function after some time."""
        at = self.clock.now_seconds + seconds
        heapq.heappush(self._events, (at, next(self._order), callback, arguments))

    def draw_seconds(self, index: int) -> float:
        """Return the time that a request takes at a target."""
        scenario, mean = self.scenario, self.scenario.mean_seconds
        seconds = 0.5 * mean + self._work.expovariate(2.0 / mean)
        if self._work.random() < scenario.tail_share:
            seconds *= 10.0
        now = self.clock.now_seconds
        return seconds * scenario.slowness(self._slowness, index, now)

    def _arrive(self) -> None:
        now, scenario = self.clock.now_seconds, self.scenario
        clump = 3 if scenario.swing else 1
        for _ in range(clump):
            self._begin(Request(self._callers.choice(self._instances), now))
        swing = scenario.swing * math.sin(2 * math.pi * now / 15.0)
        rate = scenario.rate * (1.0 + swing) / clump
        self.after(self._arrivals.expovariate(rate), self._arrive)

    def _begin(self, request: Request) -> None:
        now = self.clock.now_seconds
        request.instance.budgets.find("stock").record_request()
        self.result.arrived_at.append(now)
        if now >= WARMUP_SECONDS:
            self.result.requests += 1
        self._send(request, self._choose(request, set()))
        if self._fixed_delay:
            self.after(self._fixed_delay, self._copy_after_fixed_delay, request)
            return
        policy = request.instance.policy
        if policy.is_eligible(self._call):
            delay = policy.find_delay(self._call)
            if delay is not None:
                self.after(delay, self._copy_if_late, request, delay)

    def _choose(self, request: Request, unfit: set[str]):
        criteria = SelectionCriteria(SERVICE, None, True, request.tried | unfit)
        return request.instance.selector.choose(criteria, self.clock.now_seconds)

    def _send(self, request: Request, target) -> None:
        index = request.instance.targets.index(target)
        now = self.clock.now_seconds
        target.health.note_sent(now)
        request.tried.add(target.target_id)
        send = Send(request, index, now)
        request.sends.append(send)
        self.after(NETWORK_SECONDS, self._targets[index].take, send)

    def _copy_after_fixed_delay(self, request: Request) -> None:
        if request.is_done:
            return
        target = self._choose(request, set())
        if target is not None:
            self._count_copy()
            self._send(request, target)

    def _copy_if_late(self, request: Request, delay: float) -> None:
        policy = request.instance.policy
        is_open = not request.is_done and len(request.sends) == 1
        if not request.is_late:
            policy.note_lateness(self._call, is_late=is_open)
        if not is_open:
            return
        request.is_late = True
        call = replace(self._call, deadline=request.arrived_at + DEADLINE_SECONDS)
        reason = policy.find_reason(call)
        if reason is None and self._copy_to_fit(request, call):
            return
        if reason not in LASTING_REASONS:
            self.after(RECHECK_FRACTION * delay, self._copy_if_late, request, delay)

    def _copy_to_fit(self, request: Request, call) -> bool:
        policy, first = request.instance.policy, request.sends[0]
        unfit = policy.list_unfit(
            call, request.instance.targets[first.index], first.sent_at
        )
        target = self._choose(request, unfit)
        if target is None or not policy.withdraw(call):
            return False
        self._count_copy()
        self._send(request, target)
        return True

    def _count_copy(self) -> None:
        self.result.extra_at.append(self.clock.now_seconds)
        self.result.copied_at.append(self.clock.now_seconds)
        if self.clock.now_seconds >= WARMUP_SECONDS:
            self.result.copies += 1

    def answer(self, send: Send, load: TargetLoad) -> None:
        """Take the answer of a target."""
        if send.has_ended:
            return
        now, request = self.clock.now_seconds, send.request
        target = request.instance.targets[send.index]
        self._end(send)
        target.health.note_first_byte(now - send.sent_at, now)
        target.health.note_load(load, now)
        target.health.note_answer(False)
        request.is_done = True
        for other in request.sends:
            if not other.has_ended:
                self._end(other)
                cancel = self._targets[other.index].cancel
                self.after(NETWORK_SECONDS, cancel, other)
        first = request.sends[0]
        request.instance.policy.note_first_byte(self._call, now - first.sent_at)
        if request.arrived_at >= WARMUP_SECONDS:
            self.result.latencies.append(now - request.arrived_at)

    def fail(self, send: Send) -> None:
        """Take the failure of a target; send the request again within the budget."""
        if send.has_ended:
            return
        now, request = self.clock.now_seconds, send.request
        self._end(send)
        health = request.instance.targets[send.index].health
        health.note_first_byte(now - send.sent_at, now)
        health.note_answer(True)
        if not all(other.has_ended for other in request.sends):
            return
        budget = request.instance.budgets.find("stock")
        if len(request.sends) < 2 and budget.withdraw(now):
            self.result.retries += 1
            self.result.extra_at.append(now)
            self._send(request, self._choose(request, set()))
            return
        request.is_done = True
        self.result.failed += 1

    def _end(self, send: Send) -> None:
        send.has_ended = True
        send.request.instance.targets[send.index].health.in_flight -= 1
