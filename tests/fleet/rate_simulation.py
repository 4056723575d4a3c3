"""Simulation of instances whose targets name a rate limit for all of them together."""

import heapq
import itertools
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from carobladder.fleet import (
    ColdPacer,
    FleetTarget,
    LoadBounds,
    SelectionCriteria,
    ShareLedger,
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
ANSWER_SECONDS = 0.06
NETWORK_SECONDS = 0.002
PROMPTS = 200


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
        self.now = 0.0
        self.limits = dict(limits)
        self.arrivals: dict[str, list[Arrival]] = {}
        self.answered: list[float] = []
        self.refused: list[float] = []
        self._rate = requests_per_second
        self._begin = begin
        self._end = end
        self._random = random.Random(seed)
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self.instances = [
            self._build_instance(index, instances) for index in range(instances)
        ]
        for number in range(1, targets + 1):
            self.arrivals[f"i-{number}"] = []
            for instance in self.instances:
                instance.table.apply(build_entry(f"i-{number}"), 0.0)
        self.after(0.0, self._arrive)

    def _build_instance(self, index: int, count: int) -> Instance:
        table = TargetTable()
        ledger = ShareLedger(SHARES)
        ledger.assign(frozenset(range(index, SHARES, count)))
        selector = TargetSelector(
            table,
            ColdPacer(ledger),
            VersionMoves(0.1),
            LoadBounds(table, 2.0),
            random.Random(self._random.random()),
        )
        return Instance(f"front-{index}", table, ledger, selector)

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action after a time."""
        due = self.now + seconds
        heapq.heappush(self._events, (due, next(self._order), action))

    def run(self, until: float) -> None:
        """Run the simulation up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until

    def find_excess(self) -> list[tuple[str, float, int, float]]:
        """Return target, time, requests and bound of each window with too many."""
        found = []
        for target_id, limit in self.limits.items():
            bound = OVERSHOOT * WINDOW_SECONDS * limit + SLACK_REQUESTS
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
        self.place(self._random.choice(self.instances))

    def place(self, instance: Instance) -> None:
        """Send a request from an instance to the target that it chooses."""
        key = self._random.randrange(PROMPTS)
        criteria = SelectionCriteria(ENGINES, key, may_repeat=True)
        target = instance.selector.choose(criteria, self.now)
        if target is None:
            self.refused.append(self.now)
            return
        target.health.in_flight += 1
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
        target.note_rate_limit(limit, self.now)
