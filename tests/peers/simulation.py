"""Simulated fleet in virtual time: instances, network, instance list, engines."""

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from carobladder.limits.admission import Demand
from carobladder.limits.allowances import SlotPermit
from carobladder.limits.declarations import TargetDeclaration, TargetLoadReport
from carobladder.membership.views import ListedInstance
from carobladder.peers.coordination import Coordinator, Outgoing, Timing
from carobladder.peers.messages import decode_message, encode_message
from carobladder.targets import TargetState

PROBE_SECONDS = 0.5
LOAD_LAG_SECONDS = 0.25
CHECK_SECONDS = 0.02
# Time until an unannounced cold start limits all holders: the validity of the load
# report, its lag, and the lease of the last allowance under the old boot id.
COLD_GRACE_SECONDS = 2.5 * PROBE_SECONDS + LOAD_LAG_SECONDS + 1.5


@dataclass
class Network:
    """Fault parameters of the network; delays are in seconds."""

    loss: float = 0.0
    duplicate: float = 0.0
    min_delay: float = 0.0005
    max_delay: float = 0.002
    slow_share: float = 0.0
    slow_delay: float = 2.0
    groups: dict[str, int] = field(default_factory=dict)


@dataclass(eq=False)
class Work:
    """One simulated request, from arrival to completion."""

    node: "Node"
    target_id: str
    weight: int
    seconds: float
    permit: SlotPermit | None = None


@dataclass
class Engine:
    """Simulated engine; while cold it can serve only ``bearable`` slots."""

    target_id: str
    warm_slots: int
    bearable: int
    cold: bool
    cold_since: float = -1e9
    boot: int = 1
    running: list[Work] = field(default_factory=list)
    reports: deque[tuple[float, TargetLoadReport]] = field(default_factory=deque)

    @property
    def weight(self) -> int:
        """Slots in use."""
        return sum(work.weight for work in self.running)

    def record(self, now: float) -> None:
        """Add the current state to the delayed load reports."""
        probe = TargetLoadReport(
            boot_id=f"{self.target_id}-{self.boot}",
            ready=True,
            cold=self.cold,
            bearable=self.bearable if self.cold else self.warm_slots,
            running=len(self.running),
        )
        self.reports.append((now, probe))
        while len(self.reports) > 1 and self.reports[1][0] <= now - LOAD_LAG_SECONDS:
            self.reports.popleft()

    def read_load_report(self, now: float) -> TargetLoadReport:
        """Return the load report as it was LOAD_LAG_SECONDS ago."""
        self.record(now)
        return self.reports[0][1]


class Node:
    """Simulated instance: a coordinator with its own clock."""

    def __init__(self, fleet: "Fleet", name: str, incarnation: int) -> None:
        self.fleet = fleet
        self.name = name
        self.incarnation = incarnation
        self.offset = fleet.random.uniform(0, 1000)
        self.paused_until = 0.0
        self.alive = True
        self.list_lag = 0.0
        self.waiting: list[Work] = []
        self.config: dict[str, TargetDeclaration] = {}
        self.coordinator: Coordinator = fleet.make_coordinator(
            name, incarnation, fleet.timing, self.clock(), self.describe_demand
        )

    def clock(self) -> float:
        """Return the time on this instance's clock."""
        return self.fleet.now + self.offset

    def describe_demand(self, target_id: str) -> Demand:
        """Return the slots that waiting requests for a target need."""
        works = [work for work in self.waiting if work.target_id == target_id]
        if not works:
            return Demand()
        return Demand(sum(work.weight for work in works), works[0].weight)

    def run(self, action: Callable[[], None]) -> None:
        """Run an action now or at the end of a pause, unless the instance is dead."""
        if not self.alive:
            return
        if self.fleet.now < self.paused_until:
            self.fleet.at(self.paused_until, lambda: self.run(action))
            return
        action()

    def tick(self) -> None:
        """Send due messages and start waiting requests."""
        self.fleet.send(self, self.coordinator.tick(self.clock()))
        self.start_waiting()

    def receive_frame(self, frame: bytes) -> None:
        """Process a message, send the answers and start requests that get slots."""
        message = decode_message(frame)
        self.fleet.send(self, self.coordinator.receive(message, self.clock()))
        self.start_waiting()

    def start_waiting(self) -> None:
        """Start waiting requests that get slots; a pause may delay their write."""
        for work in list(self.waiting):
            if work not in self.waiting:
                continue
            # A fault injected by ``try_acquire`` may start waiting requests too.
            place = self.waiting.index(work)
            del self.waiting[place]
            permit = self.coordinator.book.try_acquire(
                work.target_id, work.weight, self.clock()
            )
            if permit is None:
                self.waiting.insert(place, work)
            else:
                work.permit = permit
                if self.fleet.random.random() < self.fleet.write_pause_share:
                    pause = self.fleet.random.uniform(*self.fleet.write_pause_range)
                    self.paused_until = max(self.paused_until, self.fleet.now + pause)
                self.fleet.after(0.0003, lambda w=work: self.run(lambda: self.write(w)))

    def write(self, work: Work) -> None:
        """Send the request if its permit is still valid, else queue it again."""
        assert work.permit is not None
        if not self.fleet.is_valid(self, work.permit):
            self.coordinator.book.release(work.permit)
            self.waiting.append(work)
            return
        self.fleet.start(work)

    def finish(self, work: Work, failed: bool = False) -> None:
        """Release the slots of a request."""
        assert work.permit is not None
        self.coordinator.book.release(
            work.permit, failed=failed, first_byte_seconds=None if failed else 0.2
        )

    def add(self, work: Work) -> None:
        """Start a new request, or queue it and request slots."""
        self.waiting.append(work)
        self.start_waiting()
        if work in self.waiting:
            self.coordinator.ask([work.target_id], self.clock())
            self.tick()


class Fleet:
    """Simulated fleet: instances, network, instance list and engines."""

    def __init__(
        self,
        seed: int,
        nodes: int = 5,
        engines: list[Engine] | None = None,
        timing: Timing | None = None,
        make_coordinator: Callable[..., Coordinator] = Coordinator,
        balanced: bool = False,
    ) -> None:
        self.random = random.Random(seed)
        self.now = 0.0
        self.timing = timing or Timing()
        self.make_coordinator = make_coordinator
        self.network = Network()
        self.order = itertools.count()
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.engines = {
            engine.target_id: engine
            for engine in engines or [Engine("t0", 32, 4, cold=True)]
        }
        self.balanced = balanced
        self.leaving: set[str] = set()
        self.listed: list[tuple[float, dict[str, bool]]] = []
        self.nodes: dict[str, Node] = {}
        self.excess: list[tuple[float, str, int]] = []
        self.starts: list[tuple[float, str, str]] = []
        self.peak_cold = 0
        self.write_pause_share = 0.0
        self.write_pause_range = (0.0, 4.0)
        self.probing = True
        self.preferred_target = ""
        self.sent_bytes = 0
        self.check_start: Callable[[Work], None] = lambda work: None
        names = [f"entry-{i}" for i in range(nodes)]
        self.usable_excess: list[tuple[float, str, int]] = []
        self.set_listed(names)
        for name in names:
            self.add_node(name, 1)
        self._check_loop()

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time."""
        heapq.heappush(self.queue, (time, next(self.order), action))

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        self.at(self.now + seconds, action)

    def run_until(self, end: float) -> None:
        """Advance the virtual time."""
        while self.queue and self.queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self.queue)
            action()
        self.now = end

    def add_node(self, name: str, incarnation: int) -> Node:
        """Add an instance and schedule its periodic tasks."""
        node = Node(self, name, incarnation)
        self.nodes[name] = node
        self.configure(node)
        step = self.random.uniform(0, 0.02)
        self.after(step, lambda: self._tick_loop(node))
        self.after(step / 2, lambda: self._list_loop(node))
        self.after(step, lambda: self._probe_loop(node))
        return node

    def configure(self, node: Node) -> None:
        """Pass the declared targets to an instance."""
        declared = []
        for engine in self.engines.values():
            state = TargetState(
                engine.target_id, "m", "v1", "dc-1", "a", slots=engine.warm_slots
            )
            state = replace(state, leaving=engine.target_id in self.leaving)
            declared.append(TargetDeclaration(state, 4, balanced=self.balanced))
        node.coordinator.set_targets(declared)
        node.config = {item.state.target_id: item for item in declared}

    def set_listed(self, names: list[str]) -> None:
        """Change the list of instances on the platform."""
        self.listed.append((self.now, dict.fromkeys(names, False)))

    def kill(self, name: str) -> None:
        """Stop an instance; its connections close with it."""
        node = self.nodes[name]
        node.alive = False
        for engine in self.engines.values():
            engine.running = [work for work in engine.running if work.node is not node]

    def restart(self, name: str) -> Node:
        """Restart an instance under the same name."""
        self.kill(name)
        return self.add_node(name, self.nodes[name].incarnation + 1)

    def restart_cold(self, target_id: str) -> None:
        """Restart an engine without notice; its requests fail."""
        engine = self.engines[target_id]
        broken, engine.running = engine.running, []
        engine.boot += 1
        engine.cold = True
        engine.cold_since = self.now
        engine.record(self.now)
        for work in broken:
            work.node.run(lambda w=work: w.node.finish(w, failed=True))

    def is_valid(self, node: Node, permit: SlotPermit) -> bool:
        """Check the permit again, as the gateway does before it sends."""
        if node.config[permit.target_id].state.leaving:
            return False
        return node.coordinator.book.is_valid(permit, node.clock())

    def start(self, work: Work) -> None:
        """Run a request on its engine and check the limit of a cold engine."""
        engine = self.engines[work.target_id]
        engine.running.append(work)
        self.starts.append((self.now, work.node.name, work.target_id))
        settled = self.now > engine.cold_since + COLD_GRACE_SECONDS
        if engine.cold and settled:
            self.peak_cold = max(self.peak_cold, engine.weight)
            if engine.weight > engine.bearable:
                self.excess.append((self.now, work.target_id, engine.weight))
        self.check_start(work)
        self.after(work.seconds, lambda: self._end(work))

    def count_usable(self, target_id: str) -> int:
        """Return the sum of the unexpired allowances of all holders."""
        total = 0
        for node in self.nodes.values():
            allowance = node.coordinator.book.find(target_id, node.clock())
            if node.alive and allowance is not None:
                total += allowance.slots
        return total

    def _check_loop(self) -> None:
        for engine in self.engines.values():
            usable = self.count_usable(engine.target_id)
            settled = self.now > engine.cold_since + COLD_GRACE_SECONDS
            if engine.cold and settled and usable > engine.bearable:
                self.usable_excess.append((self.now, engine.target_id, usable))
        self.after(CHECK_SECONDS, self._check_loop)

    def _end(self, work: Work) -> None:
        engine = self.engines[work.target_id]
        if work in engine.running:
            engine.running.remove(work)
            work.node.run(lambda: (work.node.finish(work), work.node.start_waiting()))

    def send(self, sender: Node, outgoing: list[Outgoing]) -> None:
        """Send messages over the network, which may duplicate or lose them."""
        for item in outgoing:
            frame = encode_message(item.message)
            self.sent_bytes += len(frame)
            copies = 2 if self.random.random() < self.network.duplicate else 1
            for _ in range(copies):
                self._transmit(sender.name, item.peer, frame)

    def _transmit(self, sender: str, peer: str, frame: bytes) -> None:
        network = self.network
        if self.random.random() < network.loss:
            return
        delay = self.random.uniform(network.min_delay, network.max_delay)
        if self.random.random() < network.slow_share:
            delay = self.random.uniform(0, network.slow_delay)
        self.after(delay, lambda: self._deliver(sender, peer, frame))

    def _deliver(self, sender: str, peer: str, frame: bytes) -> None:
        groups = self.network.groups
        if groups.get(sender, 0) != groups.get(peer, 0):
            return
        node = self.nodes.get(peer)
        if node is not None:
            node.run(lambda: node.receive_frame(frame))

    def _tick_loop(self, node: Node) -> None:
        if node.alive:
            node.run(node.tick)
            self.at(
                max(self.now, node.paused_until) + 0.02, lambda: self._tick_loop(node)
            )

    def _list_loop(self, node: Node) -> None:
        if not node.alive:
            return
        node.run(lambda: self._read_list(node))
        self.at(max(self.now, node.paused_until) + 1.0, lambda: self._list_loop(node))

    def _read_list(self, node: Node) -> None:
        seen = self.listed[0][1]
        for changed, names in self.listed:
            if changed <= self.now - node.list_lag:
                seen = names
        node.coordinator.apply_list(
            [ListedInstance(name, "a", "dc-1", gone) for name, gone in seen.items()],
            node.clock(),
        )

    def _probe_loop(self, node: Node) -> None:
        if not node.alive:
            return
        node.run(lambda: self._probe(node))
        pause = PROBE_SECONDS
        self.at(
            max(self.now, node.paused_until) + pause, lambda: self._probe_loop(node)
        )

    def _probe(self, node: Node) -> None:
        if not self.probing:
            return
        for declaration in node.coordinator.list_owned(node.clock()):
            target_id = declaration.state.target_id
            report = self.engines[target_id].read_load_report(self.now)
            node.coordinator.note_probe(target_id, report, node.clock())

    def generate(
        self,
        rate: float,
        seconds: float,
        weights: tuple[int, ...] = (1,),
        **limits: Any,
    ) -> None:
        """Generate requests at random instances and targets.

        ``rate`` is in requests per second and ``seconds`` scales their durations.
        """
        until = limits.get("until", 1e9)
        target_ids = sorted(self.engines)

        def arrive() -> None:
            if self.now > until:
                return
            self.after(self.random.expovariate(rate), arrive)
            node = self.random.choice(list(self.nodes.values()))
            target_id = self.random.choice(target_ids)
            if self.preferred_target and self.random.random() < 0.5:
                target_id = self.preferred_target
            queued = sum(work.target_id == target_id for work in node.waiting)
            if queued < 20:
                mean = seconds * self.random.choice((0.25, 1, 1, 8))
                duration = self.random.expovariate(1 / mean)
                weight = self.random.choice(weights)
                work = Work(node, target_id, weight, duration)
                node.run(lambda: node.add(work))

        arrive()
