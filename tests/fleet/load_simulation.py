"""Simulation of instances that send to shared targets and gossip their loads."""

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from carobladder.clock import VirtualClock
from carobladder.fleet import (
    ColdPacer,
    FleetTarget,
    InFlightGossip,
    InFlightReport,
    LoadBounds,
    LoadGossip,
    MoveState,
    MoveStep,
    RatePacer,
    RolloutOrder,
    SelectionCriteria,
    ShareLedger,
    TargetLoad,
    TargetSelector,
    TargetTable,
    VersionMoves,
)
from tests.fleet.builders import ENGINES, build_entry

SHARES = 96
LOAD_MULTIPLE = 2.0
# Requests at a target above the load multiple that are tolerated.
LIMIT_SLACK = 3
GOSSIP_INTERVAL_SECONDS = 0.1
FAN_OUT = 2
# Fraction of a request's duration until its response headers, which report the load.
HEADER_FRACTION = 0.2
# Delay of a report of what an instance has in flight, and its way to the others.
REPORT_DELAY_SECONDS = 0.005
NETWORK_SECONDS = 0.0015
POLL_SECONDS = 0.02
SLOTS = 128
WINDOW_SECONDS = 5.0
# Time between requests that arrive together.
CLUMP_SPACING_SECONDS = 0.004
REUSE_SECONDS = 10.0


@dataclass
class Server:
    """Requests that run at one target."""

    running: int = 0
    draining: bool = False


class Instance:
    """Instance with its own view of the targets' loads."""

    def __init__(self, index: int, count: int, seed: int) -> None:
        self.name = f"front-{index}"
        self.table = TargetTable()
        ledger = ShareLedger(SHARES)
        ledger.assign(frozenset(range(index, SHARES, count)))
        self.moves = VersionMoves(0.1)
        self.selector = TargetSelector(
            self.table,
            ColdPacer(ledger),
            RatePacer(ledger, VirtualClock(), random.Random(seed)),
            self.moves,
            LoadBounds(self.table, LOAD_MULTIPLE),
            random.Random(seed),
        )
        self.gossip = LoadGossip(self.table)
        self.in_flight = InFlightGossip(self.table)
        self.is_announcing = False


class LoadSimulation:
    """Discrete-event simulation of requests that arrive at instances.

    ``mean_clump`` is the mean number of requests that arrive together at an instance. A
    request takes twice as long beside ``doubling_requests`` others. The mean load, from
    which the bound follows, is that of all targets or only of those that do not drain.
    A request waits at most ``max_wait_seconds`` while all targets are overloaded.
    """

    def __init__(
        self,
        *,
        instances: int = 9,
        requests_per_second: float = 65.0,
        hot_share: float = 0.0,
        mean_seconds: float = 0.35,
        mean_clump: float = 1.0,
        doubling_requests: float = 16.0,
        counts_draining: bool = True,
        max_wait_seconds: float = 0.0,
        gossip_interval_seconds: float = GOSSIP_INTERVAL_SECONDS,
        seed: int = 1,
    ) -> None:
        self.now = 0.0
        self._counts_draining = counts_draining
        self._max_wait_seconds = max_wait_seconds
        self.servers: dict[str, Server] = {}
        self.refused = 0
        self.cache_misses = 0
        # Time of each arrival and whether its target was overloaded.
        self.arrivals: list[tuple[float, bool]] = []
        self.sent: dict[str, int] = {}
        self._holders: dict[int, dict[str, float]] = {}
        self._rate = requests_per_second
        self._hot_share = hot_share
        self._mean_seconds = mean_seconds
        self._mean_clump = mean_clump
        self._doubling_requests = doubling_requests
        self._random = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._instances = [
            Instance(index, instances, seed * 100 + index) for index in range(instances)
        ]
        self._gossip_interval_seconds = gossip_interval_seconds
        self._after(0.0, self._arrive)
        for instance in self._instances:
            start = self._random.random() * gossip_interval_seconds
            self._after(start, self._make_gossiper(instance))

    def at(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time."""
        heapq.heappush(self._events, (seconds, next(self._order), action))

    def add_target(
        self, target_id: str, data_centre: str, cold: float = 0.0, version: str = "v1"
    ) -> None:
        """Register a target at all instances."""
        self.servers[target_id] = Server()
        entry = build_entry(
            target_id, data_centre=data_centre, cold_seconds=cold, version=version
        )
        for instance in self._instances:
            instance.table.apply(entry, self.now)

    def drain_target(self, target_id: str) -> None:
        """Mark a target as draining at all instances."""
        self.servers[target_id].draining = True
        for instance in self._instances:
            known = instance.table.find(target_id)
            entry = build_entry(
                target_id, data_centre=known.entry.data_centre, draining=True
            )
            instance.table.apply(entry, self.now)

    def drop_target(self, target_id: str) -> None:
        """Remove a target from all instances."""
        del self.servers[target_id]
        for instance in self._instances:
            instance.table.drop(target_id, self.now)

    def move_version(self, version: str, share: float) -> None:
        """Send this share of the requests to the targets of a version."""
        order = RolloutOrder("engine", version, 15.0, 1)
        step = MoveStep("engine", version, 1, MoveState.RUNNING, share, 1.0)
        for instance in self._instances:
            instance.moves.take_order(order, self.now)
            instance.moves.apply_step(step, self.now)

    def empty_data_centre(self, data_centre: str) -> None:
        """Block requests to a data centre."""
        for instance in self._instances:
            instance.table.set_emptied(data_centre, True)

    def run(self, seconds: float) -> None:
        """Run the simulation up to the simulated time ``seconds``."""
        while self._events and self._events[0][0] <= seconds:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = seconds

    def find_worst_window(self, start: float, end: float) -> tuple[int, float]:
        """Return the most arrivals at overloaded targets in a window, and the share."""
        worst = (0, 0.0)
        window: deque[tuple[float, bool]] = deque()
        overloaded = 0
        for at, is_overloaded in self.arrivals:
            if not start <= at < end:
                continue
            window.append((at, is_overloaded))
            overloaded += is_overloaded
            while window[0][0] <= at - WINDOW_SECONDS:
                overloaded -= window.popleft()[1]
            if at - start >= WINDOW_SECONDS:
                worst = max(worst, (overloaded, overloaded / len(window)))
        return worst

    def _after(self, seconds: float, action: Callable[[], None]) -> None:
        self.at(self.now + seconds, action)

    def _arrive(self) -> None:
        """Send the requests that arrive together at one instance."""
        seconds = self._random.expovariate(self._rate / self._mean_clump)
        self._after(seconds, self._arrive)
        instance = self._random.choice(self._instances)
        self._send(instance)
        delay = 0.0
        while (
            self._mean_clump > 1.0 and self._random.random() >= 1.0 / self._mean_clump
        ):
            delay += CLUMP_SPACING_SECONDS
            self._after(delay, lambda: self._send(instance))

    def _send(self, instance: Instance) -> None:
        hot = self._random.random() < self._hot_share
        key = 0 if hot else int(self._random.paretovariate(0.6)) % 400 + 1
        self._place(instance, key, self.now + self._max_wait_seconds)

    def _place(self, instance: Instance, key: int, wait_until: float) -> None:
        """Start a request, after a wait while all targets are overloaded."""
        criteria = SelectionCriteria(ENGINES, key, may_repeat=True)
        if self.now < wait_until and instance.selector.is_overloaded(
            criteria, self.now
        ):
            self._after(POLL_SECONDS, lambda: self._place(instance, key, wait_until))
            return
        target = instance.selector.choose(criteria, self.now)
        if target is None:
            self.refused += 1
            return
        self._start(target, key)
        self._announce(instance)

    def _announce(self, instance: Instance) -> None:
        """Report shortly to all other instances what this one has in flight."""
        if instance.is_announcing:
            return
        instance.is_announcing = True
        self._after(REPORT_DELAY_SECONDS, lambda: self._report_in_flight(instance))

    def _report_in_flight(self, instance: Instance) -> None:
        instance.is_announcing = False
        report = instance.in_flight.collect()
        for other in self._instances:
            if other is not instance:
                self._deliver(instance, report, other)

    def _deliver(
        self, sender: Instance, report: InFlightReport, receiver: Instance
    ) -> None:
        self._after(
            NETWORK_SECONDS,
            lambda: receiver.in_flight.take(sender.name, report, self.now),
        )

    def _note_prompt(self, key: int, target_id: str) -> None:
        """Count a cache miss if only other targets have the prompt cached."""
        holders = self._holders.setdefault(key, {})
        recent = [t for t, at in holders.items() if self.now - at < REUSE_SECONDS]
        self.cache_misses += bool(recent) and target_id not in recent
        holders[target_id] = self.now

    def _start(self, target: FleetTarget, key: int) -> None:
        target_id = target.target_id
        server = self.servers[target_id]
        running = [
            other.running
            for other in self.servers.values()
            if self._counts_draining or not other.draining
        ]
        mean = sum(running) / len(running)
        overloaded = server.running > LOAD_MULTIPLE * mean + LIMIT_SLACK
        self.arrivals.append((self.now, overloaded))
        self.sent[target_id] = self.sent.get(target_id, 0) + 1
        self._note_prompt(key, target_id)
        server.running += 1
        target.health.in_flight += 1
        slowdown = 1.0 + server.running / self._doubling_requests
        seconds = self._random.expovariate(1.0 / self._mean_seconds) * slowdown
        self._after(
            seconds * HEADER_FRACTION, lambda: self._report_load(target, server)
        )
        self._after(seconds, lambda: self._finish(target, server, seconds))

    def _report_load(self, target: FleetTarget, server: Server) -> None:
        target.health.note_load(TargetLoad(server.running, 0, SLOTS), self.now)

    def _finish(self, target: FleetTarget, server: Server, seconds: float) -> None:
        server.running -= 1
        target.health.in_flight -= 1

    def _make_gossiper(self, instance: Instance) -> Callable[[], None]:
        def send_reports() -> None:
            self._after(self._gossip_interval_seconds, send_reports)
            reports = instance.gossip.collect(self.now)
            others = [other for other in self._instances if other is not instance]
            for other in self._random.sample(others, min(FAN_OUT, len(others))):
                other.gossip.take(reports, self.now)
                self._deliver(instance, instance.in_flight.collect(), other)

        return send_reports
