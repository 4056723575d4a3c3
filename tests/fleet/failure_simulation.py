"""Simulation of a large fleet in which some engines stop responding."""

import heapq
import random

from carobladder.fleet import FailureGossip, TargetLoad, TargetTable
from tests.fleet.builders import build_entry

# An unresponsive engine is detected once a request has waited for this long.
SILENCE_TIMEOUT_SECONDS = 1.0
# A healthy engine responds after the first of these times, and other instances learn of
# the response within the second.
ANSWER_SECONDS = 0.2
GOSSIP_SECONDS = 1.0
DATAGRAM_SECONDS = 0.002
REPORT_FAN_OUT = 4
STEP_SECONDS = 0.05


class Instance:
    """Instance with its own view of the engines' health."""

    def __init__(self, engines: int, seed: int) -> None:
        self.table = TargetTable()
        for number in range(engines):
            self.table.apply(build_entry(f"i-{number}"), 0.0)
        self.failures = FailureGossip(self.table, random.Random(seed))


class FailureSimulation:
    """Fleet that sends requests to random engines and counts the lost ones.

    A fraction ``loss_rate`` of the requests to an unresponsive engine gets no response.
    """

    def __init__(
        self, instances: int, engines: int, *, shares_reports: bool, seed: int
    ) -> None:
        self.now = 100.0
        self.lost = 0
        self.answered = 0
        self.messages = 0
        self.unresponsive: set[str] = set()
        self.loss_rate = 1.0
        self.instances = [Instance(engines, seed + n) for n in range(instances)]
        self._shares_reports = shares_reports
        self._generator = random.Random(seed)
        self._events: list[tuple[float, int, str, tuple]] = []
        self._sequence = 0

    def advance(self, seconds: float, per_second: float) -> None:
        """Send requests at this rate in total, through random instances."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            while self._events and self._events[0][0] <= self.now:
                due, _, kind, values = heapq.heappop(self._events)
                getattr(self, f"_{kind}")(due, *values)
            for _ in range(round(per_second * STEP_SECONDS)):
                self._send(self._generator.randrange(len(self.instances)))

    def count_avoiding(self, engine: str) -> int:
        """Return the number of instances that avoid an engine."""
        return sum(
            instance.table.find(engine).health.is_reported_failed(self.now)
            for instance in self.instances
        )

    def _send(self, sender: int) -> None:
        instance = self.instances[sender]
        usable = [
            target
            for target in instance.table.list_all()
            if not target.health.is_reported_failed(self.now)
        ]
        target = self._generator.choice(usable)
        engine = target.target_id
        is_lost = self._generator.random() < self.loss_rate
        if engine in self.unresponsive and is_lost:
            self.lost += 1
            self._schedule(SILENCE_TIMEOUT_SECONDS, "notice", sender, engine, self.now)
            return
        self.answered += 1
        self._schedule(ANSWER_SECONDS, "answer", sender, engine)

    def _schedule(self, seconds: float, kind: str, *values: object) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (self.now + seconds, self._sequence, kind, values))

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
        if target.health.last_byte_at >= sent_at or not self._shares_reports:
            return
        if instance.failures.note_silence(target, sent_at, now):
            self._send_reports(now, sender)

    def _send_reports(self, now: float, sender: int) -> None:
        reports = self.instances[sender].failures.collect(now)
        for peer in self._generator.sample(range(len(self.instances)), REPORT_FAN_OUT):
            self.messages += 1
            self._schedule(DATAGRAM_SECONDS, "receive", peer, reports)

    def _receive(self, now: float, receiver: int, reports: list) -> None:
        if self.instances[receiver].failures.take(reports, now):
            self._send_reports(now, receiver)
