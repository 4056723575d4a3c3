"""Measure the cost of admission control: control bytes, asks, waits and time.

Run as ``python -m benchmarks.limits``. The protocol runs in virtual time with a
loopback-like delay; only processor time is wall time. The baseline lets each
instance decide from load reports that every instance sends to all others at the
same interval.
"""

import random
import statistics
import time
from dataclasses import dataclass, field

from carobladder.limits.admission import Demand
from carobladder.limits.declarations import TargetDeclaration, TargetLoadReport
from carobladder.membership.views import ListedInstance
from carobladder.peers.coordination import Coordinator, Timing
from carobladder.peers.messages import Heartbeat, SlotReport, encode_message
from carobladder.targets import TargetState

MODELS = 10
SERVICES = 3
SLOTS = 32
COLD_SLOTS = 4
DELAY_SECONDS = 0.001
STEP_SECONDS = 0.002
WARM_UP_SECONDS = 25.0
SECONDS = 15.0
MEAN_SERVICE_SECONDS = 2.0
# CURVE message overhead (33 bytes) and TCP/IP headers of one packet (52 bytes).
FRAMING_BYTES = 85
LOADS = (0.3, 0.6, 0.85)


# A request that its first target cannot take goes to the others after this time.
WIDEN_SECONDS = 0.01


@dataclass(eq=False)
class _Work:
    ranked: list[str]
    weight: int
    arrived: float
    seconds: float
    asked: bool = False
    target: str = ""
    asking: list[str] = field(default_factory=list)
    next_ask: float = 0.0
    pause: float = WIDEN_SECONDS

    def list_targets(self, now: float) -> list[str]:
        """Return the first target, later all of them."""
        widened = now - self.arrived >= WIDEN_SECONDS
        return self.ranked if widened else self.ranked[:1]


@dataclass
class Result:
    """Hold what one run measured."""

    bytes_per_second: float = 0.0
    waits: list[float] = field(default_factory=list)
    asked: int = 0
    lost: int = 0
    cold_peak: int = 0


class _Instance:
    def __init__(self, name: str) -> None:
        self.name = name
        self.now = 0.0
        self.waiting: list[_Work] = []
        self.coordinator = Coordinator(name, 1, Timing(), 0.0, self.demand)

    def demand(self, target: str) -> Demand:
        works = [
            work for work in self.waiting if target in work.list_targets(self.now)[:3]
        ]
        if not works:
            return Demand()
        return Demand(sum(work.weight for work in works), works[0].weight)


class FleetRun:
    """Run the protocol between instances over a fixed delay."""

    def __init__(self, instances: int, load: float, seed: int) -> None:
        self.random = random.Random(seed)
        self.load = load
        self.targets = [f"model-{i}" for i in range(MODELS)]
        self.targets += [f"service-{i}" for i in range(SERVICES)]
        names = [f"entry-{i}" for i in range(instances)]
        self.instances = {name: _Instance(name) for name in names}
        listed = [ListedInstance(name, "127.0.0.1:1", "dc-1") for name in names]
        for instance in self.instances.values():
            instance.coordinator.set_targets(self._declare())
            instance.coordinator.apply_list(listed, 0.0)
        self.cold = "model-0"
        self.in_flight = dict.fromkeys(self.targets, 0)
        self.now = 0.0
        self.mail: list[tuple[float, str, object]] = []
        self.ends: list[tuple[float, _Instance, object, _Work]] = []
        self.sent = 0
        self.result = Result()

    def _declare(self) -> list[TargetDeclaration]:
        return [
            TargetDeclaration(
                TargetState(
                    name, name.split("-")[0], "1", "dc-1", "127.0.0.1:2", slots=SLOTS
                ),
                COLD_SLOTS,
                balanced=name.startswith("model"),
            )
            for name in self.targets
        ]

    def run(self) -> Result:
        """Return what was measured after the warm-up."""
        while self.now < WARM_UP_SECONDS + SECONDS:
            self.now = round(self.now + STEP_SECONDS, 6)
            self._step()
        sent = self.sent / len(self.instances) / SECONDS
        self.result.bytes_per_second = sent
        return self.result

    @property
    def _measuring(self) -> bool:
        return self.now > WARM_UP_SECONDS

    def _step(self) -> None:
        due = [item for item in self.mail if item[0] <= self.now]
        self.mail = [item for item in self.mail if item[0] > self.now]
        for _, peer, message in due:
            instance = self.instances[peer]
            self._send(instance.coordinator.receive(message, self.now))
            self._serve(instance)
        for end in [end for end in self.ends if end[0] <= self.now]:
            self.ends.remove(end)
            _, instance, permit, work = end
            instance.coordinator.book.release(permit, first_byte_seconds=0.3)
            self.in_flight[work.target] -= work.weight
            self._serve(instance)
            allowance = instance.coordinator.book.find(work.target, self.now)
            if allowance is not None and allowance.contended:
                instance.coordinator.ask([work.target], self.now)
        self._arrive()
        for instance in self.instances.values():
            self._probe(instance)
            if instance.waiting:
                self._serve(instance)
            if instance.coordinator.next_due(self.now) <= self.now:
                self._send(instance.coordinator.tick(self.now))
                self._serve(instance)

    def _send(self, outgoing) -> None:
        for item in outgoing:
            if self._measuring:
                self.sent += len(encode_message(item.message)) + FRAMING_BYTES
            self.mail.append((self.now + DELAY_SECONDS, item.peer, item.message))

    def _probe(self, instance: _Instance) -> None:
        if round(self.now / STEP_SECONDS) % 250:
            return
        for declaration in instance.coordinator.list_owned(self.now):
            target = declaration.state.target_id
            cold = target == self.cold
            probe = TargetLoadReport("b", True, cold, COLD_SLOTS if cold else SLOTS)
            instance.coordinator.note_probe(target, probe, self.now)

    def _arrive(self) -> None:
        capacity = (len(self.targets) - 1) * SLOTS + COLD_SLOTS
        rate = self.load * capacity / 2.0 / MEAN_SERVICE_SECONDS
        count = int(rate * STEP_SECONDS + self.random.random())
        for _ in range(count):
            weight = self.random.choice((1, 1, 2, 4))
            seconds = self.random.expovariate(1 / MEAN_SERVICE_SECONDS)
            instance = self.random.choice(list(self.instances.values()))
            work = _Work(self._rank_targets(), weight, self.now, seconds)
            instance.waiting.append(work)
            self._serve(instance)

    def _rank_targets(self) -> list[str]:
        first = self.random.choice(self.targets)
        pool = [t for t in self.targets if t.split("-")[0] == first.split("-")[0]]
        others = [target for target in pool if target != first]
        self.random.shuffle(others)
        return [first, *others]

    def _serve(self, instance: _Instance) -> None:
        instance.now = self.now
        for work in list(instance.waiting):
            permit = self._acquire(instance, work)
            if permit is None:
                if self.now - work.arrived > 10.0:
                    instance.waiting.remove(work)
                    self.result.lost += self._measuring
                else:
                    work.asked = True
                    self._ask(instance, work)
                continue
            instance.waiting.remove(work)
            self._start(instance, permit, work)

    def _acquire(self, instance: _Instance, work: _Work):
        for target in work.list_targets(self.now):
            permit = instance.coordinator.book.try_acquire(
                target, work.weight, self.now
            )
            if permit is not None:
                work.target = target
                return permit
        return None

    def _ask(self, instance: _Instance, work: _Work) -> None:
        if self.now >= work.next_ask:
            work.next_ask = self.now + work.pause
            work.pause *= 2
            work.asking = self._list_asked(instance, work)
            instance.coordinator.ask(work.asking, self.now)

    def _list_asked(self, instance: _Instance, work: _Work) -> list[str]:
        steps = int((self.now - work.arrived) / WIDEN_SECONDS)
        if not steps:
            return work.ranked[:1]
        book = instance.coordinator.book
        found = book.filter_by_load(work.ranked, work.weight, 1.25, self.now)
        return list(found or work.ranked)[: 1 << min(steps, 10)]

    def _start(self, instance: _Instance, permit, work: _Work) -> None:
        self.in_flight[work.target] += work.weight
        self.ends.append((self.now + work.seconds, instance, permit, work))
        if self._measuring:
            self.result.waits.append(self.now - work.arrived)
            self.result.asked += work.asked
            peak = max(self.result.cold_peak, self.in_flight[self.cold])
            self.result.cold_peak = peak


class LaggingRun(FleetRun):
    """Let each instance decide from the load that the others last reported."""

    def __init__(self, instances: int, load: float, seed: int) -> None:
        super().__init__(instances, load, seed)
        names = list(self.instances)
        self.own = {name: dict.fromkeys(self.targets, 0) for name in names}
        self.seen = {name: {} for name in names}
        self.due = {name: self.random.random() * 0.25 for name in names}

    def _step(self) -> None:
        due = [item for item in self.mail if item[0] <= self.now]
        self.mail = [item for item in self.mail if item[0] > self.now]
        for _, peer, (sender, loads) in due:
            self.seen[peer][sender] = loads
            self._serve(self.instances[peer])
        for end in [end for end in self.ends if end[0] <= self.now]:
            self.ends.remove(end)
            _, instance, _, work = end
            self.own[instance.name][work.target] -= work.weight
            self.in_flight[work.target] -= work.weight
            self._serve(instance)
        self._arrive()
        for instance in self.instances.values():
            if instance.waiting:
                self._serve(instance)
            if self.due[instance.name] <= self.now:
                self.due[instance.name] += Timing().heartbeat_seconds
                self._report(instance.name)

    def _report(self, name: str) -> None:
        loads = dict(self.own[name])
        reports = [SlotReport(target, load, 0, 0) for target, load in loads.items()]
        beat = Heartbeat(name, 1, 1000, 9, 2**31, 0, False, reports)
        for peer in self.instances:
            if peer != name:
                if self._measuring:
                    self.sent += len(encode_message(beat)) + FRAMING_BYTES
                self.mail.append((self.now + DELAY_SECONDS, peer, (name, loads)))

    def _acquire(self, instance: _Instance, work: _Work):
        for target in work.list_targets(self.now):
            load = self.own[instance.name][target]
            load += sum(seen[target] for seen in self.seen[instance.name].values())
            limit = COLD_SLOTS if target == self.cold else SLOTS
            if load + work.weight <= limit:
                work.target = target
                self.own[instance.name][target] += work.weight
                return target
        return None

    def _ask(self, instance: _Instance, work: _Work) -> None:
        work.asked = False


def measure_heartbeat(instances: int) -> tuple[float, float]:
    """Return microseconds to build one heartbeat and to answer one."""
    names = [f"entry-{i}" for i in range(instances)]
    count = max(13, 5100 * instances // 800)
    targets = [
        TargetDeclaration(TargetState(f"t{i}", f"m{i % 33}", "1", "dc", "a"))
        for i in range(count)
    ]
    listed = [ListedInstance(name, "a", "dc") for name in names]
    coordinator = Coordinator(names[0], 1, Timing(), 0.0)
    coordinator.set_targets(targets)
    now = 0.0
    coordinator.apply_list(listed, now)
    sequence = 0
    spent_building, spent_answering, built, answered = 0.0, 0.0, 0, 0
    for index in range(5):
        now += 0.25
        sequence += 1  # noqa: SIM113 - counts rounds, as time does
        started = time.process_time()
        outgoing = coordinator.tick(now)
        spent_building += time.process_time() - started
        built += len(outgoing)
        owned = [item.state.target_id for item in coordinator.list_owned(now)][:13]
        for target in owned:
            coordinator.note_probe(target, TargetLoadReport("b", True, False), now)
        beats = [
            Heartbeat(
                name,
                1,
                sequence,
                instances,
                1,
                0,
                True,
                [SlotReport(target, 1, 0, 0, delegated=True) for target in owned],
                echo=sequence,
                echo_incarnation=1,
                confirmed=True,
                shares=instances,
            )
            for name in (names[1:51] if index else names[1:])
        ]
        started = time.process_time()
        for beat in beats:
            coordinator.receive(beat, now)
        # The first round only fills the state.
        if index:
            spent_answering += time.process_time() - started
            answered += len(beats)
    return 1e6 * spent_building / max(1, built), 1e6 * spent_answering / answered


def _print_run(label: str, instances: int, load: float, kind: type[FleetRun]) -> None:
    result = kind(instances, load, seed=1).run()
    waits = sorted(result.waits)
    share = result.asked / len(waits)
    p95 = waits[int(0.95 * len(waits))]
    print(
        f"{label:18} instances={instances} load={load:.2f} "
        f"bytes_per_second={result.bytes_per_second:.0f} asked={share:.1%} "
        f"wait_mean_ms={1000 * statistics.fmean(waits):.1f} "
        f"wait_p95_ms={1000 * p95:.1f} "
        f"requests={len(waits)} refused={result.lost} "
        f"cold_peak={result.cold_peak}/{COLD_SLOTS}",
        flush=True,
    )


def main() -> None:
    """Print the figures of the protocol and of the baseline."""
    for instances in (6, 9):
        for load in LOADS:
            _print_run("delegated shares", instances, load, FleetRun)
            _print_run("lagging reports", instances, load, LaggingRun)
    for instances in (10, 100, 800):
        build, answer = measure_heartbeat(instances)
        print(
            f"processor time   instances={instances} build_us={build:.0f} "
            f"answer_us={answer:.0f}"
        )


if __name__ == "__main__":
    main()
