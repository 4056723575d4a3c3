"""I1, I2, I3 and I8 over the simulated fleet with configuration from a log."""

import itertools
from collections import deque
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import replace
from functools import partial
from unittest import mock

from carobladder.clock import VirtualClock
from carobladder.instance import declarations
from carobladder.instance.declarations import declare_targets
from carobladder.limits.budgets import SlotLedger
from carobladder.limits.declarations import TargetLoadReport
from carobladder.resources import Catalog, Change, ConfiguredDirectory
from carobladder.resources import directory as directory_module
from tests.faults.cells import Injection, Row, Run
from tests.peers import variants
from tests.peers.simulation import Engine, Fleet, Node, Work

START = 7.0
END = 16.0
LIMIT_SECONDS = 3.0
# Long polls return without news after this time, and at once with news.
LOG_POLL_SECONDS = 0.5
LOG_DELIVERY_SECONDS = (0.001, 0.03)
# An owner's loads are at most a lease old and an allowance lasts a lease longer.
STALE_SECONDS = 3.0
WEIGHTS = (1, 2, 4)
LOAD_MULTIPLE = 1.25


class FaultEngine(Engine):
    """Engine that can be down; it then fails what is sent to it."""

    down = False

    def read_load_report(self, now: float) -> TargetLoadReport:
        """Return the lagging report, or that of a dead engine."""
        probe = super().read_load_report(now)
        return replace(probe, ready=False, running=0) if self.down else probe


class FaultFleet(Fleet):
    """Fleet whose instances read their targets from a log of changes."""

    def __init__(self, seed: int, placed: Sequence[Injection], run: Run) -> None:
        self.records: list[Change] = []
        self.catalogs: dict[Node, Catalog] = {}
        self.directories: dict[Node, ConfiguredDirectory] = {}
        self.log_down_until = 0.0
        self.log_lag = 0.0
        self.cut: dict[str, float] = {}
        self.listed_leaving: list[tuple[float, frozenset[str]]] = [(0.0, frozenset())]
        self.waiting_changes: list[Change] = []
        # The operator's answer waits until an instance has read the change.
        self.labels: dict[int, str] = {}
        self.accepted_at: dict[str, float] = {}
        self.placed = list(placed)
        self.run_result = run
        self.armed_at = START + (-0.6, -0.02, 0.0)[seed % 3]
        self.late_work = 0.0
        self._wall = VirtualClock()
        engines = [
            FaultEngine("t0", 32, 4, cold=True),
            FaultEngine("t1", 16, 8, cold=False),
            FaultEngine("t2", 16, 8, cold=False),
            FaultEngine("t3", 16, 8, cold=False),
        ]
        self.home = {"t0": "dc-1", "t1": "dc-1", "t2": "dc-2", "t3": "dc-1"}
        self._declare_all()
        super().__init__(seed, engines=engines, balanced=True)
        for node in list(self.nodes.values()):
            self._wrap(node)
        for step in ("handover", "drain", "move"):
            for item in [item for item in self.placed if item.step == step]:
                self.placed.remove(item)
                self._plan(item, step)
        self.at(START, self.retire)

    # Configuration

    def _declare_all(self) -> None:
        for name in ("dc-1", "dc-2"):
            self._accept("data-centre", name, {"region": "r"})
        self._accept("model", "m", {"versions": ["v1"], "shares": {"v1": 1}})
        for target_id in self.home:
            self._accept("target", target_id, self.describe(target_id))

    def describe(self, target_id: str, **changes: object) -> dict:
        """Return the declaration of a target."""
        slots = 32 if target_id == "t0" else 16
        return {
            "pool": "m",
            "data_centre": self.home[target_id],
            "address": "127.0.0.1:1",
            "slots": slots,
            "cold_slots": 4,
            **changes,
        }

    def _accept(self, kind: str, name: str, spec: dict) -> None:
        number = len(self.records)
        change = Change(f"c{number}", "operator", 0.0, "put", kind, name, spec, None)
        self.records.append(change)

    def change(self, label: str, kind: str, name: str, spec: dict) -> None:
        """Append a change as soon as the log is up."""
        if self.now < self.log_down_until:
            delay = self.log_down_until - self.now + 0.01
            self.after(delay, lambda: self.change(label, kind, name, spec))
            return
        self._accept(kind, name, spec)
        self.labels[len(self.records) - 1] = label
        for node in list(self.nodes.values()):
            delay = self.random.uniform(*LOG_DELIVERY_SECONDS)
            self.after(delay + self.log_lag, partial(self._deliver_log, node))

    def is_leaving(self, target_id: str) -> bool:
        """Tell whether an accepted change lets the target leave."""
        changes = [r for r in self.records if r.name == target_id and r.spec]
        return bool(changes[-1].spec.get("leaving")) if changes else False

    def configure(self, node: Node) -> None:
        """Start an instance from the whole log."""
        self.catalogs[node] = Catalog()
        self.directories[node] = ConfiguredDirectory(self.catalogs[node], self._wall)
        self._read_records(node)
        self._declare(node)
        phase = self.random.uniform(0, LOG_POLL_SECONDS)
        self.after(phase, lambda: self._log_loop(node))

    def _read_records(self, node: Node) -> None:
        catalog = self.catalogs[node]
        for offset in range(catalog.applied_offset + 1, len(self.records)):
            catalog.apply(offset, self.records[offset])
        catalog.mark_loaded()

    def _declare(self, node: Node) -> None:
        seen: frozenset[str] = frozenset()
        for changed, names in self.listed_leaving:
            if changed <= self.now - node.list_lag:
                seen = names
        declared = declare_targets(self.catalogs[node], self.directories[node], seen)
        node.coordinator.set_targets(declared)
        node.config = {item.state.target_id: item for item in declared}

    def _log_loop(self, node: Node) -> None:
        if not node.alive:
            return
        self._deliver_log(node)
        pause = max(LOG_POLL_SECONDS, self.log_lag)
        self.at(max(self.now, node.paused_until) + pause, lambda: self._log_loop(node))

    def _deliver_log(self, node: Node) -> None:
        if self.now >= max(self.log_down_until, self.cut.get(node.name, 0.0)):
            self.after(self.log_lag, partial(node.run, partial(self._read_log, node)))

    def _read_log(self, node: Node) -> None:
        before = self.catalogs[node].applied_offset
        self._read_records(node)
        # Admission ranks waiting requests again, without targets that leave.
        node.waiting = [w for w in node.waiting if not self._leaves(node, w)]
        after = self.catalogs[node].applied_offset
        for offset in range(before + 1, after + 1):
            self.accepted_at.setdefault(self.labels.get(offset, ""), self.now)
        if after != before:
            self._declare(node)
        node.coordinator.note_config(after, node.clock())

    def _leaves(self, node: Node, work: Work) -> bool:
        declaration = node.config.get(work.target_id)
        return declaration is not None and declaration.state.leaving

    def _read_list(self, node: Node) -> None:
        super()._read_list(node)
        self._declare(node)

    def retire(self) -> None:
        """Take a target and a data centre out of service; overridden by rows."""

    # Steps

    def add_node(self, name: str, incarnation: int) -> Node:
        """Start an instance whose permits are watched."""
        node = super().add_node(name, incarnation)
        self._wrap(node)
        return node

    def _wrap(self, node: Node) -> None:
        book = node.coordinator.book
        if getattr(book, "watched", False):
            return
        book.watched = True
        original = book.try_acquire

        def try_acquire(target_id, weight, now):
            permit = original(target_id, weight, now)
            if permit is not None:
                self._reach("before-send", node, target_id)
            return permit

        book.try_acquire = try_acquire

    def start(self, work: Work) -> None:
        """Run a request; its later steps are reached in time."""
        engine = self.engines[work.target_id]
        work.seconds += self.late_work
        self.late_work = 0.0
        super().start(work)
        self._reach("after-send", work.node, work.target_id)
        reach = partial(self._reach, node=work.node, target_id=work.target_id)
        self.after(work.seconds / 2, partial(reach, "mid-answer"))
        if getattr(engine, "down", False) and work in engine.running:
            engine.running.remove(work)
            self.after(0.001, lambda: work.node.run(lambda: self._fail(work)))

    def _fail(self, work: Work) -> None:
        work.node.finish(work, failed=True)

    def _end(self, work: Work) -> None:
        self._reach("after-effect", work.node, work.target_id)
        super()._end(work)

    def _reach(self, step: str, node: Node, target_id: str) -> None:
        if self.now < self.armed_at:
            return
        due = next((item for item in self.placed if item.step == step), None)
        if due is None:
            return
        self.placed.remove(due)
        self.armed_at = self.now + self.random.choice((0.0, 0.8))
        self.inject(due.fault, node, target_id)

    def _plan(self, item: Injection, step: str) -> None:
        # Some instances have read the change by then and others have not.
        lead = self.random.uniform(*LOG_DELIVERY_SECONDS)
        if step == "handover":
            self.at(START - 1.0, self._hand_over)
            lead = self.random.uniform(-0.9, 0.5)
        elif step == "move":
            self.at(START - 0.5, self._move)
            lead = self.random.uniform(-0.4, 1.0)
        elif item in self.placed:
            lead = 0.8
        self.at(START + lead, lambda: self._inject_anywhere(item))

    def _hand_over(self) -> None:
        """Take the owner of a target off the list for a while."""
        names = [name for name, node in self.nodes.items() if node.alive]
        owner = self.find_owner("t0")
        self.set_listed([name for name in names if name != owner])
        self.after(6.0, self._list_alive)

    def _list_alive(self) -> None:
        self.set_listed([name for name, node in self.nodes.items() if node.alive])

    def _move(self) -> None:
        """Restart an engine with another version, as a version move does."""
        self.restart_cold("t3")

    def _inject_anywhere(self, item: Injection) -> None:
        node = self.nodes[self.find_owner("t0")]
        self.inject(item.fault, node, self.random.choice(sorted(self.engines)))

    def find_owner(self, target_id: str) -> str:
        """Return an instance that owns the target, or any that lives."""
        alive = [name for name, node in self.nodes.items() if node.alive]
        for name in alive:
            node = self.nodes[name]
            owned = node.coordinator.list_owned(node.clock())
            if target_id in {item.state.target_id for item in owned}:
                return name
        return alive[0]

    # Faults

    def inject(self, fault: str, node: Node, target_id: str) -> None:
        """Cause a fault at the instance and target that reached the step."""
        self.run_result.injected += 1
        _ACTIONS[fault](self, node, target_id)


def _join(fleet: FaultFleet, node: Node, target_id: str) -> None:
    name = f"t{len(fleet.engines)}"
    fleet.engines[name] = FaultEngine(name, 16, 4, cold=True, cold_since=fleet.now)
    fleet.home[name] = "dc-1"
    fleet.change(name, "target", name, fleet.describe(name))


def _leave(fleet: FaultFleet, node: Node, target_id: str) -> None:
    name = "t3"
    fleet.change(name, "target", name, fleet.describe(name, leaving=True))


def _flap(fleet: FaultFleet, node: Node, target_id: str) -> None:
    for start in (0.0, 1.2):
        fleet.after(start, lambda: _go_down(fleet, "t3"))
        fleet.after(start + 0.6, lambda: _come_up(fleet, "t3"))


def _die(fleet: FaultFleet, node: Node, target_id: str) -> None:
    _go_down(fleet, "t3")
    fleet.after(4.0, lambda: _come_up(fleet, "t3"))


def _go_down(fleet: FaultFleet, target_id: str) -> None:
    fleet.engines[target_id].down = True
    fleet.restart_cold(target_id)


def _come_up(fleet: FaultFleet, target_id: str) -> None:
    fleet.engines[target_id].down = False
    fleet.restart_cold(target_id)


def _disagree(fleet: FaultFleet, node: Node, target_id: str) -> None:
    for other in fleet.nodes.values():
        other.list_lag = fleet.random.uniform(0, 5.0)
    fleet.add_node(f"entry-{len(fleet.nodes)}", 1)
    fleet._list_alive()


def _surge(fleet: FaultFleet, node: Node, target_id: str) -> None:
    fleet.generate(150, 0.4, weights=(1, 1, 2), until=fleet.now + 2.0)


def _turn_cold(fleet: FaultFleet, node: Node, target_id: str) -> None:
    fleet.restart_cold("t3" if target_id == "t0" else target_id)


def _log_down(fleet: FaultFleet, node: Node, target_id: str) -> None:
    fleet.log_down_until = fleet.now + 5.0


def _log_slow(fleet: FaultFleet, node: Node, target_id: str) -> None:
    fleet.log_lag = 1.0
    fleet.after(5.0, lambda: setattr(fleet, "log_lag", 0.0))


def _lose_append(fleet: FaultFleet, node: Node, target_id: str) -> None:
    """Repeat the last change, as a writer does whose answer was lost."""
    fleet.records.append(fleet.records[-1])


def _race(fleet: FaultFleet, node: Node, target_id: str) -> None:
    """Append a change that expects a revision of long ago."""
    number = len(fleet.records)
    spec = fleet.describe("t1")
    stale = Change(f"c{number}", "other", 0.0, "put", "target", "t1", spec, 0)
    fleet.records.append(stale)


def _pause_past_lease(fleet: FaultFleet, node: Node, target_id: str) -> None:
    node.paused_until = max(node.paused_until, fleet.now + 2.5)


def _pause(fleet: FaultFleet, node: Node, target_id: str) -> None:
    pause = fleet.random.uniform(0.3, 5.0)
    node.paused_until = max(node.paused_until, fleet.now + pause)


def _kill(fleet: FaultFleet, node: Node, target_id: str) -> None:
    if sum(other.alive for other in fleet.nodes.values()) > 2 and node.alive:
        fleet.kill(node.name)
        fleet.after(2.0, fleet._list_alive)


def _partition(fleet: FaultFleet, node: Node, target_id: str) -> None:
    """Cut an instance off its peers; it still reaches log and targets."""
    fleet.network.groups[node.name] = len(fleet.network.groups) + 1
    fleet.after(6.0, fleet.network.groups.clear)


def _late(fleet: FaultFleet, node: Node, target_id: str) -> None:
    fleet.late_work = 6.0


_ACTIONS: dict[str, Callable[[FaultFleet, Node, str], None]] = {
    "engine-joins": _join,
    "engine-leaves": _leave,
    "engine-flaps": _flap,
    "engine-dies": _die,
    "list-disagrees": _disagree,
    "team-surge": _surge,
    "target-cold": _turn_cold,
    "log-down": _log_down,
    "log-slow": _log_slow,
    "append-answer-lost": _lose_append,
    "lease-lapses": _pause_past_lease,
    "operators-race": _race,
    "instance-dies": _kill,
    "instance-paused": _pause,
    "instance-partitioned": _partition,
    "answer-late": _late,
}
_STEPS = (
    "before-send",
    "after-send",
    "mid-answer",
    "after-effect",
    "handover",
    "drain",
    "move",
)
_MAP = dict.fromkeys(_ACTIONS, _STEPS)


# I2


class DrainingFleet(FaultFleet):
    """Fleet from which a target leaves, so that the drain step exists."""

    def retire(self) -> None:
        """Let a warm target leave by configuration and by the list."""
        spec = self.describe("t1", leaving=True)
        self.change("leave", "target", "t1", spec)
        self.listed_leaving.append((self.now, frozenset({"t1"})))


def _run_cold(placed: Sequence[Injection], seed: int) -> Run:
    result = Run()
    fleet = DrainingFleet(seed, placed, result)
    fleet.generate(45, 0.8, weights=(1, 1, 2))
    fleet.run_until(END)
    found = fleet.excess or fleet.usable_excess
    if found:
        time, target_id, slots = found[0]
        what = "slots used" if fleet.excess else "slots usable"
        bearable = fleet.engines[target_id].bearable
        result.violation = (
            f"{time:.3f} s: {slots} {what} of {target_id}, which bears {bearable} "
            f"({len(fleet.excess)} starts, {len(fleet.usable_excess)} looks)"
        )
    return result


@contextmanager
def forgotten_cold_limit() -> Iterator[None]:
    """Let owners hand out a multiple of what a cold target bears."""
    original = SlotLedger.count_capacity

    def count(self, terms, now):
        changed = replace(terms, limit=terms.limit * 4, cold=False, foreign=0)
        return original(self, changed, now)

    with mock.patch.object(SlotLedger, "count_capacity", count):
        yield


I2 = Row(
    "I2",
    _MAP,
    _run_cold,
    {
        "cold limit forgotten": forgotten_cold_limit,
        "undivided budget": variants.undivided_budget,
        "no wait at takeover": variants.no_takeover_wait,
        "foreign requests ignored": variants.ignore_unattributed_requests,
    },
    {
        "list-disagrees": ["undivided budget"],
        "instance-partitioned": ["undivided budget"],
        "instance-paused": ["undivided budget"],
    },
    variant_seeds=(1, 2),
)


# I3 and I8


class ClosingFleet(FaultFleet):
    """Fleet from which a data centre is taken out."""

    def retire(self) -> None:
        """Close the data centre of t2."""
        spec = {"region": "r", "state": "closed"}
        self.change("close", "data-centre", "dc-2", spec)


def _run_out(
    kind: type[FaultFleet], label: str, target_id: str, placed, seed: int
) -> Run:
    result = Run()
    fleet = kind(seed, placed, result)
    fleet.generate(40, 0.5)
    fleet.preferred_target = target_id
    fleet.run_until(END)
    limit = fleet.accepted_at.get(label, END) + LIMIT_SECONDS
    late = [(t, name) for t, name, on in fleet.starts if on == target_id and t > limit]
    if label not in fleet.accepted_at:
        result.injected = 0
    if late:
        time, name = late[-1]
        seconds = time - fleet.accepted_at[label]
        result.violation = (
            f"{len(late)} requests to {target_id} later than {LIMIT_SECONDS:g} s, "
            f"the last {seconds:.3f} s after the change, by {name}"
        )
    return result


@contextmanager
def data_centre_ignored() -> Iterator[None]:
    """Take closed data centres as open."""
    with mock.patch.object(directory_module, "is_out_of_service", lambda *_: False):
        yield


@contextmanager
def leaving_ignored() -> Iterator[None]:
    """Declare leaving targets as staying."""
    original = declarations.declare_targets

    def declare(catalog, directory, listed_leaving):
        items = original(catalog, directory, listed_leaving)
        return [replace(i, state=replace(i.state, leaving=False)) for i in items]

    with mock.patch(f"{__name__}.declare_targets", declare):
        yield


I3 = Row(
    "I3",
    _MAP,
    partial(_run_out, ClosingFleet, "close", "t2"),
    {"closed data centre taken as open": data_centre_ignored},
    variant_seeds=(1, 2),
)
I8 = Row(
    "I8",
    _MAP,
    partial(_run_out, DrainingFleet, "leave", "t1"),
    {"leaving target taken as staying": leaving_ignored},
    variant_seeds=(1, 2),
)


# I1


def _run_load(placed: Sequence[Injection], seed: int) -> Run:
    result = Run()
    fleet = FaultFleet(seed, placed, result)
    # The pool is warm: a cold target has a limit of its own.
    fleet.engines["t0"].cold = False
    history: deque[tuple[float, dict[str, int], frozenset[str]]] = deque()
    worst = [0.0, ""]

    def sample() -> None:
        loads = {name: engine.weight for name, engine in fleet.engines.items()}
        ready = frozenset(
            name
            for name, engine in fleet.engines.items()
            if not engine.down and not engine.cold and not fleet.is_leaving(name)
        )
        history.append((fleet.now, loads, ready))
        while history[0][0] < fleet.now - STALE_SECONDS:
            history.popleft()

    def sample_often() -> None:
        sample()
        fleet.after(0.02, sample_often)

    def check(work: Work) -> None:
        sample()
        engine = fleet.engines[work.target_id]
        if engine.cold or fleet.now < START - 2:
            return
        peaks: dict[str, int] = {}
        for _, loads, _ in history:
            for name, load in loads.items():
                peaks[name] = max(peaks.get(name, 0), load)
        means = {
            sum(peaks[name] for name in ready) / len(ready)
            for _, _, ready in itertools.islice(history, 0, None, 10)
            if ready
        }
        # Below one request of the greatest weight, loads cannot be spread evenly.
        cap = max(LOAD_MULTIPLE * max(means, default=0.0), max(WEIGHTS))
        bound = cap + max(WEIGHTS)
        if engine.weight - bound > worst[0]:
            worst[0] = engine.weight - bound
            worst[1] = (
                f"{fleet.now:.3f} s: {engine.weight} slots in use at {engine.target_id}"
                f", the bound is {bound:.1f}"
            )

    sample_often()
    fleet.check_start = check
    fleet.generate(30, 0.8, weights=WEIGHTS)
    fleet.preferred_target = "t0"
    fleet.run_until(END)
    result.violation = str(worst[1])
    return result


I1 = Row(
    "I1",
    _MAP,
    _run_load,
    {"load rule missing": variants.no_load_cap},
    variant_seeds=(1, 2, 3),
)
