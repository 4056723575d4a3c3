"""A large fleet before engines of which some fall silent, without network."""

import heapq
import random

from carobladder.fleet import FailureSharing, TargetLoad, TargetTable
from tests.fleet.builders import build_entry

# A silent engine is noticed once a request has waited for this long.
PATIENCE_SECONDS = 1.0
# A sound one answers after this time, and others hear of it within the second one.
ANSWER_SECONDS = 0.2
HEARSAY_SECONDS = 1.0
DATAGRAM_SECONDS = 0.002
WARNED_PEERS = 4
STEP_SECONDS = 0.05


class Instance:
    """Hold what one instance believes of the engines."""

    def __init__(self, engines: int, seed: int) -> None:
        self.table = TargetTable()
        for number in range(engines):
            self.table.apply(build_entry(f"i-{number}"), 0.0)
        self.failures = FailureSharing(self.table, random.Random(seed))


class WarnedFleet:
    """Send requests to engines drawn at random; count those that silent ones took.

    A ``failing_part`` of the requests to a silent engine gets no answer.
    """

    def __init__(self, instances: int, engines: int, *, warns: bool, seed: int) -> None:
        self.now = 100.0
        self.lost = 0
        self.answered = 0
        self.messages = 0
        self.silent: set[str] = set()
        self.failing_part = 1.0
        self.instances = [Instance(engines, seed + n) for n in range(instances)]
        self._warns = warns
        self._generator = random.Random(seed)
        self._events: list[tuple[float, int, str, tuple]] = []
        self._number = 0

    def advance(self, seconds: float, per_second: float) -> None:
        """Send requests at this rate through all instances together."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            while self._events and self._events[0][0] <= self.now:
                due, _, kind, values = heapq.heappop(self._events)
                getattr(self, f"_{kind}")(due, *values)
            for _ in range(round(per_second * STEP_SECONDS)):
                self._send(self._generator.randrange(len(self.instances)))

    def count_doubting(self, engine: str) -> int:
        """Return the instances that leave an engine alone."""
        return sum(
            instance.table.find(engine).health.is_doubted(self.now)
            for instance in self.instances
        )

    def _send(self, sender: int) -> None:
        instance = self.instances[sender]
        usable = [
            target
            for target in instance.table.list_all()
            if not target.health.is_doubted(self.now)
        ]
        target = self._generator.choice(usable)
        engine = target.target_id
        fails = self._generator.random() < self.failing_part
        if engine in self.silent and fails:
            self.lost += 1
            self._plan(PATIENCE_SECONDS, "notice", sender, engine, self.now)
            return
        self.answered += 1
        self._plan(ANSWER_SECONDS, "answer", sender, engine)

    def _plan(self, seconds: float, kind: str, *values: object) -> None:
        self._number += 1
        heapq.heappush(self._events, (self.now + seconds, self._number, kind, values))

    def _answer(self, now: float, sender: int, engine: str) -> None:
        own = self.instances[sender].table.find(engine).health
        own.note_first_byte(ANSWER_SECONDS, now)
        for number, instance in enumerate(self.instances):
            if number != sender and self._generator.random() < 0.8:
                health = instance.table.find(engine).health
                health.note_load(TargetLoad(1, 0, 8), now)

    def _notice(self, now: float, sender: int, engine: str, sent_at: float) -> None:
        instance = self.instances[sender]
        target = instance.table.find(engine)
        if target.health.last_byte_at >= sent_at or not self._warns:
            return
        if instance.failures.note_silence(target, sent_at, now):
            self._warn(now, sender)

    def _warn(self, now: float, sender: int) -> None:
        reports = self.instances[sender].failures.collect(now)
        for peer in self._generator.sample(range(len(self.instances)), WARNED_PEERS):
            self.messages += 1
            self._plan(DATAGRAM_SECONDS, "receive", peer, reports)

    def _receive(self, now: float, receiver: int, reports: list) -> None:
        if self.instances[receiver].failures.take(reports, now):
            self._warn(now, receiver)
