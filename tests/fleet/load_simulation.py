"""Instances that send to common targets and tell each other loads, without network."""

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from carobladder.fleet import (
    ColdPacer,
    FleetTarget,
    LoadSharing,
    Selection,
    ShareLedger,
    TargetLoad,
    TargetSelector,
    TargetTable,
    VersionMoves,
)
from tests.fleet.builders import ENGINES, build_entry

SHARES = 96
LOAD_MULTIPLE = 2.0
# Requests at a target beyond the multiple of the mean that do not count.
LIMIT_SLACK = 3
TELL_SECONDS = 0.1
FAN_OUT = 2
# Part of a request's time until the head of its answer, which states the load.
HEAD_PART = 0.2
SLOTS = 128
WINDOW_SECONDS = 5.0
REUSE_SECONDS = 10.0


@dataclass
class Server:
    """Hold the requests that run at one target."""

    running: int = 0
    emptied: bool = False


class Instance:
    """Choose targets with an own view of their loads."""

    def __init__(self, index: int, count: int, seed: int) -> None:
        self.table = TargetTable()
        ledger = ShareLedger(SHARES)
        ledger.assign(frozenset(range(index, SHARES, count)))
        self.selector = TargetSelector(
            self.table,
            ColdPacer(ledger),
            VersionMoves(0.1),
            LOAD_MULTIPLE,
            random.Random(seed),
        )
        self.sharing = LoadSharing(self.table)


class LoadSimulation:
    """Play arrivals at instances on a virtual time, in order of events."""

    def __init__(
        self,
        *,
        instances: int = 9,
        requests_per_second: float = 65.0,
        hot_share: float = 0.0,
        mean_seconds: float = 0.35,
        tell_seconds: float = TELL_SECONDS,
        seed: int = 1,
    ) -> None:
        self.now = 0.0
        self.servers: dict[str, Server] = {}
        self.refused = 0
        self.reread = 0
        # Time of each arrival and whether its target held too much.
        self.arrivals: list[tuple[float, bool]] = []
        self.sent: dict[str, int] = {}
        self._holders: dict[int, dict[str, float]] = {}
        self._rate = requests_per_second
        self._hot_share = hot_share
        self._mean_seconds = mean_seconds
        self._random = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._instances = [
            Instance(index, instances, seed * 100 + index) for index in range(instances)
        ]
        self._tell_seconds = tell_seconds
        self._after(0.0, self._arrive)
        for instance in self._instances:
            start = self._random.random() * tell_seconds
            self._after(start, self._teller(instance))

    def at(self, seconds: float, action: Callable[[], None]) -> None:
        """Do something at a time."""
        heapq.heappush(self._events, (seconds, next(self._order), action))

    def add_target(self, target_id: str, data_centre: str, cold: float = 0.0) -> None:
        """Register a target with all instances."""
        self.servers[target_id] = Server()
        entry = build_entry(target_id, data_centre=data_centre, cold_seconds=cold)
        for instance in self._instances:
            instance.table.apply(entry, self.now)

    def drain_target(self, target_id: str) -> None:
        """Let a target say that it leaves."""
        for instance in self._instances:
            known = instance.table.find(target_id)
            entry = build_entry(
                target_id, data_centre=known.entry.data_centre, draining=True
            )
            instance.table.apply(entry, self.now)

    def drop_target(self, target_id: str) -> None:
        """Remove a target."""
        del self.servers[target_id]
        for instance in self._instances:
            instance.table.drop(target_id, self.now)

    def empty_data_centre(self, data_centre: str) -> None:
        """Let no requests go to a data centre."""
        for instance in self._instances:
            instance.table.set_emptied(data_centre, True)

    def run(self, seconds: float) -> None:
        """Play until a time."""
        while self._events and self._events[0][0] <= seconds:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = seconds

    def find_worst_window(self, start: float, end: float) -> tuple[int, float]:
        """Return the most arrivals at overrun targets in a window, and their share."""
        worst = (0, 0.0)
        window: deque[tuple[float, bool]] = deque()
        over = 0
        for at, is_over in self.arrivals:
            if not start <= at < end:
                continue
            window.append((at, is_over))
            over += is_over
            while window[0][0] <= at - WINDOW_SECONDS:
                over -= window.popleft()[1]
            if at - start >= WINDOW_SECONDS:
                worst = max(worst, (over, over / len(window)))
        return worst

    def _after(self, seconds: float, action: Callable[[], None]) -> None:
        self.at(self.now + seconds, action)

    def _arrive(self) -> None:
        self._after(self._random.expovariate(self._rate), self._arrive)
        instance = self._random.choice(self._instances)
        hot = self._random.random() < self._hot_share
        key = 0 if hot else int(self._random.paretovariate(0.6)) % 400 + 1
        wanted = Selection(ENGINES, key, may_repeat=True)
        target = instance.selector.choose(wanted, self.now)
        if target is None:
            self.refused += 1
            return
        self._start(target, key)

    def _note_prompt(self, key: int, target_id: str) -> None:
        """Count a prompt that is kept elsewhere but not at this target."""
        holders = self._holders.setdefault(key, {})
        fresh = [t for t, at in holders.items() if self.now - at < REUSE_SECONDS]
        self.reread += bool(fresh) and target_id not in fresh
        holders[target_id] = self.now

    def _start(self, target: FleetTarget, key: int) -> None:
        target_id = target.target_id
        server = self.servers[target_id]
        running = [other.running for other in self.servers.values()]
        mean = sum(running) / len(running)
        over = server.running > LOAD_MULTIPLE * mean + LIMIT_SLACK
        self.arrivals.append((self.now, over))
        self.sent[target_id] = self.sent.get(target_id, 0) + 1
        self._note_prompt(key, target_id)
        server.running += 1
        target.health.in_flight += 1
        crowding = 1.0 + server.running / 16
        seconds = self._random.expovariate(1.0 / self._mean_seconds) * crowding
        self._after(seconds * HEAD_PART, lambda: self._answer(target, server))
        self._after(seconds, lambda: self._finish(target, server, seconds))

    def _answer(self, target: FleetTarget, server: Server) -> None:
        target.health.note_load(TargetLoad(server.running, 0, SLOTS), self.now)

    def _finish(self, target: FleetTarget, server: Server, seconds: float) -> None:
        server.running -= 1
        target.health.in_flight -= 1

    def _teller(self, instance: Instance) -> Callable[[], None]:
        def tell() -> None:
            self._after(self._tell_seconds, tell)
            reports = instance.sharing.collect(self.now)
            others = [other for other in self._instances if other is not instance]
            for other in self._random.sample(others, min(FAN_OUT, len(others))):
                other.sharing.take(reports, self.now)

        return tell
