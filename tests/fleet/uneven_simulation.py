"""Simulation of instances before a plain service whose targets vary in speed."""

import math
import random
import statistics
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from carobladder.clock import VirtualClock
from carobladder.fleet import (
    ColdPacer,
    CompletionPredictor,
    FleetTarget,
    LoadBounds,
    LoadGossip,
    RatePacer,
    SelectionCriteria,
    ShareLedger,
    TargetSelector,
    TargetTable,
    VersionMoves,
)
from carobladder.routing import Route, RouteKind, Service, ServiceWeight
from tests.fleet.builders import build_entry
from tests.fleet.uneven_servers import Job, PlainServer, ServiceShape, Timeline

__all__ = ["Demand", "Exchange", "Instance", "Outcomes", "UnevenFleet", "Unevenness"]

PLAIN = Service("plain")
ROUTE = Route("plain", "h", "/", RouteKind.SAFE, (ServiceWeight("plain"),), 1.5, 0.336)
OBJECTIVE_SECONDS = 0.3
# One way between an instance and a target.
NETWORK_SECONDS = 0.002
# Sends of a request that targets refuse: the first one and three further ones.
MAX_SENDS = 4
CLUMP_SPACING_SECONDS = 0.004
LOAD_MULTIPLE = 2.0
TOLERATED_REQUESTS = 3
_WINDOW_SECONDS = 0.05
_MIN_WINDOW_SENDS = 4


@dataclass(frozen=True)
class Demand:
    """Requests of all callers; their rate swings as a sine by the part ``swing``.

    ``clump`` requests arrive together at one instance.
    """

    per_second: float = 123.0
    swing: float = 0.55
    period_seconds: float = 15.0
    clump: int = 3

    def compute_rate(self, now: float) -> float:
        """Return the requests a second at a time."""
        phase = 2.0 * math.pi * now / self.period_seconds
        return self.per_second * (1.0 + self.swing * math.sin(phase))


@dataclass(frozen=True)
class Unevenness:
    """Share of the targets that are slow, redrawn after a time between two bounds."""

    share: float = 0.15
    slowness: float = 2.5
    min_seconds: float = 0.6
    max_seconds: float = 0.6


@dataclass(frozen=True)
class Exchange:
    """Messages between instances, as in ``entry.exchange`` for a large fleet.

    Each instance sends to a reader and to another one. Readers send no loads. The part
    ``late`` of the messages arrives after up to ``late_seconds``.
    """

    interval_seconds: float = 0.3
    fan_out: int = 2
    readers: int = 3
    lost: float = 0.0
    late: float = 0.0
    late_seconds: float = 1.0
    delay_seconds: float = 0.0015


@dataclass
class Outcomes:
    """Seconds of each answered request, refusals and sends by target.

    ``slow_sends`` counts sends to targets that were slow. ``load_ages`` and
    ``load_errors`` hold the age of the load that was known of the chosen target and the
    difference to its true load, ``windows`` the sends by target in each 50 ms.
    ``arrivals`` holds the time of each arrival at a target and whether it held more
    than the operators' bound.
    """

    seconds: list[float] = field(default_factory=list)
    refused: int = 0
    sends: Counter[str] = field(default_factory=Counter)
    slow_sends: int = 0
    load_ages: list[float] = field(default_factory=list)
    load_errors: list[float] = field(default_factory=list)
    arrivals: list[tuple[float, bool]] = field(default_factory=list)
    windows: dict[int, Counter[str]] = field(default_factory=dict)

    @property
    def total(self) -> int:
        """Return the number of requests that have ended."""
        return len(self.seconds) + self.refused

    @property
    def on_time(self) -> float:
        """Return the part of the requests that was answered within the objective."""
        return sum(s <= OBJECTIVE_SECONDS for s in self.seconds) / self.total

    @property
    def refused_share(self) -> float:
        """Return the part of the requests that was refused."""
        return self.refused / self.total

    @property
    def above_bound_share(self) -> float:
        """Return the part of the arrivals at targets above the operators' bound."""
        return sum(is_above for _, is_above in self.arrivals) / len(self.arrivals)

    @property
    def slow_share(self) -> float:
        """Return the part of the sends that went to slow targets."""
        return self.slow_sends / self.sends.total()

    @property
    def crowding(self) -> float:
        """Return the mean part of the sends in 50 ms that went to one target."""
        busy = [w for w in self.windows.values() if w.total() >= _MIN_WINDOW_SENDS]
        return statistics.fmean(max(w.values()) / w.total() for w in busy)

    def add(self, other: "Outcomes") -> None:
        """Add the outcomes of another run, which must not share its windows."""
        self.seconds += other.seconds
        self.refused += other.refused
        self.sends += other.sends
        self.slow_sends += other.slow_sends
        self.load_ages += other.load_ages
        self.load_errors += other.load_errors
        self.arrivals += other.arrivals
        start = len(self.windows)
        for index, window in enumerate(other.windows.values(), start):
            self.windows[index] = window

    def find_quantile(self, quantile: float) -> float:
        """Return a quantile of the seconds of answered requests."""
        return sorted(self.seconds)[int(len(self.seconds) * quantile)]


class Instance:
    """Instance with its own view of the targets."""

    def __init__(self, index: int, count: int, seed: int) -> None:
        self.table = TargetTable()
        ledger = ShareLedger(96)
        ledger.assign(frozenset(range(index, 96, count)))
        self.generator = random.Random(seed)
        self.predictor = CompletionPredictor()
        self.selector = TargetSelector(
            self.table,
            ColdPacer(ledger),
            RatePacer(ledger, VirtualClock(), random.Random(seed)),
            VersionMoves(0.1),
            LoadBounds(self.table, LOAD_MULTIPLE),
            self.generator,
            self.predictor,
        )
        self.gossip = LoadGossip(self.table)


class Chooser:
    """Choice of the selector; ``route`` None is the one without predictions."""

    def __init__(self, route: Route | None = ROUTE, *, uses_loads: bool = True) -> None:
        self.route = route
        self.uses_loads = uses_loads
        self.fleet: UnevenFleet

    def choose(
        self, instance: Instance, excluded: set[str], now: float
    ) -> FleetTarget | None:
        """Return the target of a request, or None."""
        criteria = SelectionCriteria(
            PLAIN, None, may_repeat=True, excluded=excluded, route=self.route
        )
        return instance.selector.choose(criteria, now)


class UnevenFleet:
    """Discrete-event simulation of requests, answers and messages between instances.

    Targets are ``i-1`` onwards. ``warmup_seconds`` are left out of the outcomes.
    """

    def __init__(
        self,
        chooser: Chooser,
        *,
        seed: int,
        instances: int = 35,
        shape: ServiceShape | None = None,
        demand: Demand | None = None,
        unevenness: Unevenness | None = None,
        exchange: Exchange | None = None,
        warmup_seconds: float = 10.0,
    ) -> None:
        self.timeline = Timeline()
        self.outcomes = Outcomes()
        self.shape = shape or ServiceShape()
        self.unevenness = unevenness or Unevenness()
        self._demand = demand or Demand()
        self._exchange = exchange or Exchange()
        self._chooser = chooser
        chooser.fleet = self
        self._warmup_seconds = warmup_seconds
        # Separate generators, so that all choices meet the same requests and speeds.
        self._demand_random = random.Random(seed)
        self._machine_random = random.Random(seed + 1)
        self._message_random = random.Random(seed + 2)
        self.instances = [
            Instance(index, instances, seed * 1000 + index)
            for index in range(instances)
        ]
        names = [f"i-{index}" for index in range(1, self.shape.targets + 1)]
        self.servers = {
            name: PlainServer(name, self.shape, self.timeline) for name in names
        }
        for name in names:
            entry = build_entry(name, service=PLAIN.name, slots=self.shape.slots)
            for instance in self.instances:
                instance.table.apply(entry, 0.0)
        self._start()

    def run(self, seconds: float) -> Outcomes:
        """Run up to a time and return the outcomes after the warm-up."""
        self.timeline.run(seconds)
        return self.outcomes

    def at(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time."""
        self.timeline.after(seconds - self.timeline.now, action)

    def _start(self) -> None:
        self._arrive()
        self._redraw()
        for index, instance in enumerate(self.instances):
            start = self._message_random.random() * self._exchange.interval_seconds
            self.timeline.after(start, self._make_gossiper(index, instance))

    def _arrive(self) -> None:
        """Send the requests that arrive together at one instance."""
        demand = self._demand
        peak = demand.per_second * (1.0 + demand.swing) / demand.clump
        self.timeline.after(self._demand_random.expovariate(peak), self._arrive)
        rate = demand.compute_rate(self.timeline.now) / demand.clump
        if self._demand_random.random() >= rate / peak:
            return
        instance = self._demand_random.choice(self.instances)
        for index in range(demand.clump):
            request = _Request(
                self, instance, self.shape.draw_work(self._demand_random)
            )
            self.timeline.after(index * CLUMP_SPACING_SECONDS, request.start)

    def _redraw(self) -> None:
        """Draw anew which targets are slow."""
        uneven = self.unevenness
        for server in self.servers.values():
            is_slow = self._machine_random.random() < uneven.share
            server.set_slowness(uneven.slowness if is_slow else 1.0)
        seconds = self._machine_random.uniform(uneven.min_seconds, uneven.max_seconds)
        self.timeline.after(seconds, self._redraw)

    def _make_gossiper(self, index: int, instance: Instance) -> Callable[[], None]:
        exchange = self._exchange
        others = [other for other in self.instances if other is not instance]
        readers = [r for r in self.instances[: exchange.readers] if r is not instance]

        def send_reports() -> None:
            self.timeline.after(exchange.interval_seconds, send_reports)
            if index < exchange.readers or not self._chooser.uses_loads:
                return
            receivers = self._message_random.sample(readers, min(1, len(readers)))
            count = exchange.fan_out - len(receivers)
            receivers += self._message_random.sample(others, count)
            reports = instance.gossip.collect(self.timeline.now)
            for receiver in receivers:
                if self._message_random.random() >= exchange.lost:
                    self._deliver(receiver, reports)

        return send_reports

    def _deliver(self, receiver: Instance, reports: list) -> None:
        exchange = self._exchange
        delay = exchange.delay_seconds
        if self._message_random.random() < exchange.late:
            delay += self._message_random.random() * exchange.late_seconds
        self.timeline.after(
            delay,
            lambda: receiver.gossip.take(reports, self.timeline.now),
        )

    @property
    def is_counted(self) -> bool:
        """Whether the warm-up is over."""
        return self.timeline.now >= self._warmup_seconds

    def note_arrival(self, server: PlainServer) -> None:
        """Record whether a target holds more than the bound as a request arrives."""
        if not self.is_counted:
            return
        mean = statistics.fmean(other.total for other in self.servers.values())
        is_above = server.total > LOAD_MULTIPLE * mean + TOLERATED_REQUESTS
        self.outcomes.arrivals.append((self.timeline.now, is_above))

    def choose(self, instance: Instance, excluded: set[str]) -> FleetTarget | None:
        """Choose a target and record what was known of it."""
        now = self.timeline.now
        target = self._chooser.choose(instance, excluded, now)
        if target is None or not self.is_counted:
            return target
        server = self.servers[target.target_id]
        outcomes = self.outcomes
        outcomes.sends[server.name] += 1
        outcomes.slow_sends += server.slowness > 1.0
        window = outcomes.windows.setdefault(int(now / _WINDOW_SECONDS), Counter())
        window[server.name] += 1
        latest = target.health.read_latest_load(now)
        if latest is not None:
            outcomes.load_ages.append(latest[1])
            estimate = target.health.estimate_load(now) or 0.0
            outcomes.load_errors.append(estimate - server.total)
        return target

    def note_answer(
        self, target: FleetTarget, server: PlainServer, seconds: float, refused: bool
    ) -> None:
        """Apply an answer as the program does."""
        now = self.timeline.now
        health = target.health
        health.in_flight -= 1
        if self._chooser.uses_loads:
            target.note_load(server.state_load(), now)
        health.note_first_byte(seconds, now)
        health.note_answer(refused)


class _Request:
    """One request of a caller, from its arrival to its answer."""

    def __init__(self, fleet: UnevenFleet, instance: Instance, work: float) -> None:
        self._fleet = fleet
        self._instance = instance
        self._work = work
        self._tried: set[str] = set()
        self._arrived_at = 0.0

    def start(self) -> None:
        """Send the request for the first time."""
        self._arrived_at = self._fleet.timeline.now
        self._send()

    def _send(self) -> None:
        fleet = self._fleet
        target = fleet.choose(self._instance, self._tried)
        if target is None or len(self._tried) >= MAX_SENDS:
            fleet.outcomes.refused += fleet.is_counted
            return
        self._prediction = self._instance.predictor.predict_seconds(
            target, ROUTE, fleet.timeline.now
        )
        target.health.note_sent(fleet.timeline.now)
        self._tried.add(target.target_id)
        sent_at = fleet.timeline.now
        fleet.timeline.after(NETWORK_SECONDS, lambda: self._reach(target, sent_at))

    def _reach(self, target: FleetTarget, sent_at: float) -> None:
        fleet = self._fleet
        server = fleet.servers[target.target_id]
        if server.is_down:
            target.health.in_flight -= 1
            target.health.note_failure(fleet.timeline.now)
            self._send()
            return

        fleet.note_arrival(server)

        def finish() -> None:
            fleet.timeline.after(
                NETWORK_SECONDS, lambda: self._end(target, server, sent_at)
            )

        if not server.accept(Job(self._work, finish)):
            fleet.timeline.after(
                NETWORK_SECONDS, lambda: self._refuse(target, server, sent_at)
            )

    def _refuse(self, target: FleetTarget, server: PlainServer, sent_at: float) -> None:
        now = self._fleet.timeline.now
        self._fleet.note_answer(target, server, now - sent_at, True)
        self._send()

    def _end(self, target: FleetTarget, server: PlainServer, sent_at: float) -> None:
        now = self._fleet.timeline.now
        self._fleet.note_answer(target, server, now - sent_at, False)
        self._instance.predictor.note_response(
            target, ROUTE, now - sent_at, self._prediction, now
        )
        if self._fleet.is_counted:
            self._fleet.outcomes.seconds.append(now - self._arrived_at)
