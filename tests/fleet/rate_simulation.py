"""Simulation of instances whose targets name a rate limit for all of them together."""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from carobladder.clock import VirtualClock
from carobladder.fleet import (
    ColdPacer,
    FleetTarget,
    LoadBounds,
    RateGossip,
    RatePacer,
    RateReport,
    SelectionCriteria,
    ShareLedger,
    TargetLoad,
    TargetSelector,
    TargetTable,
    VersionMoves,
)
from tests.fleet.builders import ENGINES, build_entry

SHARES = 384
# A target may get this many times its limit, and some requests more, in a window.
OVERSHOOT = 1.5
SLACK_REQUESTS = 5
WINDOW_SECONDS = 4.0
# The bound holds from this time after a target has first named its limit, for the
# instances that passed on such an answer at least half a second before.
CONTACT_SECONDS = 3.0
KNOWN_SECONDS = 0.5
ANSWER_SECONDS = 0.5
NETWORK_SECONDS = 0.002
PROMPTS = 200
REPORT_FANOUT = 4
GOSSIP_SECONDS = 0.3
LOSS_RATE = 0.02
# Interval in which instances learn which partitions they hold.
RENEWAL_SECONDS = 2.5


@dataclass(frozen=True, slots=True)
class Arrival:
    """Request that reached a target; ``counts`` if its instance knew of the limit."""

    at: float
    counts: bool


@dataclass
class Instance:
    """Instance with its own view of the targets."""

    name: str
    table: TargetTable
    ledger: ShareLedger
    selector: TargetSelector
    gossip: RateGossip
    # When the instance first passed on an answer with the limit of a target.
    told_at: dict[str, float] = field(default_factory=dict)


class RateSimulation:
    """Discrete-event simulation of requests at random instances.

    ``limits`` are the requests a second by target, which the targets name from
    ``begin`` to ``end`` seconds.
    """

    def __init__(
        self,
        *,
        instances: int,
        targets: int,
        requests_per_second: float,
        limits: Mapping[str, float],
        begin: float = 2.0,
        end: float = 22.0,
        seed: int = 1,
    ) -> None:
        self.clock = VirtualClock()
        self.limits = dict(limits)
        self.arrivals: dict[str, list[Arrival]] = {}
        self.running: Counter[str] = Counter()
        self.answered: list[float] = []
        self.refused: list[float] = []
        self.loss_rate = LOSS_RATE
        self._count = instances
        self._rate = requests_per_second
        self._begin = begin
        self._end = end
        self._random = random.Random(seed)
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self.instances = [
            self._build_instance(index, instances) for index in range(instances)
        ]
        # Instances that callers reach.
        self.serving = self.instances
        for number in range(1, targets + 1):
            self.arrivals[f"i-{number}"] = []
            for instance in self.instances:
                instance.table.apply(build_entry(f"i-{number}"), 0.0)
        self.after(0.0, self._arrive)
        for instance in self.instances:
            start = self._random.random() * GOSSIP_SECONDS
            self.after(start, lambda instance=instance: self._gossip(instance))

    @property
    def now(self) -> float:
        """Simulated time in seconds."""
        return self.clock.boottime()

    def _build_instance(self, index: int, count: int) -> Instance:
        table = TargetTable()
        ledger = ShareLedger(SHARES)
        ledger.assign(frozenset(range(index, SHARES, count)))
        selector = TargetSelector(
            table,
            ColdPacer(ledger),
            RatePacer(ledger, self.clock, random.Random(self._random.random())),
            VersionMoves(0.1),
            LoadBounds(table, 2.0),
            random.Random(self._random.random()),
        )
        gossip = RateGossip(table, self.clock)
        return Instance(f"front-{index}", table, ledger, selector, gossip)

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action after a time."""
        due = self.now + seconds
        heapq.heappush(self._events, (due, next(self._order), action))

    def deal_partitions_anew(self, *times: float) -> None:
        """Give all partitions to other instances; each learns it a while later."""
        for shift, time in enumerate(times, 1):
            for index, instance in enumerate(self.instances):
                held = range((index + shift) % len(self.instances), SHARES, self._count)
                self.after(
                    time + self._random.random() * RENEWAL_SECONDS,
                    lambda instance=instance, held=held: instance.ledger.assign(
                        frozenset(held), self.now
                    ),
                )

    def let_leases_lapse(self, instances: list[Instance], time: float) -> None:
        """Give the partitions of some instances to the others, without telling them."""
        lost = [index for index, i in enumerate(self.instances) if i in instances]
        others = [i for i in self.instances if i not in instances]
        for instance in instances:
            instance.ledger.extend_lease(time)
        for position, instance in enumerate(others):
            own = self.instances.index(instance)
            held = set(range(own, SHARES, self._count))
            for index in lost:
                gained = range(index, SHARES, self._count)
                held.update(gained[position :: len(others)])
            self.after(
                time,
                lambda instance=instance, held=frozenset(held): instance.ledger.assign(
                    held, self.now
                ),
            )

    def run(self, until: float) -> None:
        """Run the simulation up to a time."""
        while self._events and self._events[0][0] <= until:
            due, _, action = heapq.heappop(self._events)
            self.clock.advance(max(0.0, due - self.now))
            action()
        self.clock.advance(until - self.now)

    def find_excess(
        self, overshoot: float = OVERSHOOT
    ) -> list[tuple[str, float, int, float]]:
        """Return target, time, requests and bound of each window with too many."""
        found = []
        for target_id, limit in self.limits.items():
            bound = overshoot * WINDOW_SECONDS * limit + SLACK_REQUESTS
            times = [a.at for a in self.arrivals[target_id] if a.counts]
            first = 0
            for index, at in enumerate(times):
                while times[first] <= at - WINDOW_SECONDS:
                    first += 1
                if index - first + 1 > bound:
                    found.append((target_id, at, index - first + 1, bound))
        return found

    def count_arrivals(self, target_id: str, start: float, end: float) -> int:
        """Return the requests that reached a target in a time."""
        return sum(start <= arrival.at < end for arrival in self.arrivals[target_id])

    def compute_answered_share(self, start: float, end: float) -> float:
        """Return the share of the requests of a time that were answered."""
        answered = sum(start <= at < end for at in self.answered)
        refused = sum(start <= at < end for at in self.refused)
        return answered / (answered + refused)

    def _arrive(self) -> None:
        self.after(self._random.expovariate(self._rate), self._arrive)
        self.place(self._random.choice(self.serving))

    def place(self, instance: Instance) -> None:
        """Send a request from an instance to the target that it chooses."""
        key = self._random.randrange(PROMPTS)
        criteria = SelectionCriteria(ENGINES, key, may_repeat=True)
        target = instance.selector.choose(criteria, self.now)
        if target is None:
            self.refused.append(self.now)
            return
        target.health.in_flight += 1
        self.running[target.target_id] += 1
        self.after(NETWORK_SECONDS, lambda: self._reach(instance, target))

    def _reach(self, instance: Instance, target: FleetTarget) -> None:
        told_at = instance.told_at.get(target.target_id)
        is_told = told_at is not None and self.now >= told_at + KNOWN_SECONDS
        is_bound = self._begin + CONTACT_SECONDS <= self.now < self._end
        self.arrivals[target.target_id].append(Arrival(self.now, is_told and is_bound))
        sent_at = self.now
        self.after(ANSWER_SECONDS, lambda: self._answer(instance, target, sent_at))

    def _answer(self, instance: Instance, target: FleetTarget, sent_at: float) -> None:
        target.health.in_flight -= 1
        running = self.running[target.target_id]
        target.health.note_load(TargetLoad(running, 0, ENGINES.batch_slots), self.now)
        self.running[target.target_id] -= 1
        self.answered.append(sent_at)
        is_limited = self._begin <= self.now < self._end
        limit = self.limits.get(target.target_id) if is_limited else None
        if limit is not None:
            instance.told_at.setdefault(target.target_id, self.now)
        self.learn(instance, target, limit)

    def learn(
        self, instance: Instance, target: FleetTarget, limit: float | None
    ) -> None:
        """Pass the limit of an answer to the instance that got it."""
        if target.note_rate_limit(limit, self.now):
            self._report(instance)

    def _report(self, instance: Instance) -> None:
        """Send the limits that an instance knows to some others at once."""
        for other in self._random.sample(
            self.instances, min(REPORT_FANOUT, len(self.instances))
        ):
            self._send_reports(instance, other)

    def _send_reports(self, sender: Instance, receiver: Instance) -> None:
        reports = sender.gossip.collect()
        if self._random.random() >= self.loss_rate:
            self.after(NETWORK_SECONDS, lambda: self._take(receiver, reports))

    def _take(self, instance: Instance, reports: list[RateReport]) -> None:
        if instance.gossip.take(reports):
            self._report(instance)

    def _gossip(self, instance: Instance) -> None:
        """Send the limits that an instance knows to two others, again and again."""
        self.after(GOSSIP_SECONDS, lambda: self._gossip(instance))
        for other in self._random.sample(self.instances, 2):
            self._send_reports(instance, other)
