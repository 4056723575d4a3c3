"""A fleet that follows topics on a virtual clock, without network or store."""

import asyncio
import heapq
import itertools
import random
from collections import Counter

from carobladder.clock import VirtualClock
from carobladder.entry.exchange import PeerExchange
from carobladder.entry.followers import TopicFollower
from carobladder.entry.paces import ReadingPace, plan_operator_pace, plan_targets_pace
from carobladder.entry.peers import PeerDirectory
from carobladder.exceptions import LogUnavailableError
from carobladder.fleet import (
    KeyedPage,
    KeyedRecord,
    ReaderRole,
    ShareLedger,
    TargetTable,
)
from tests.fleet.builders import build_shared_knowledge

TOPICS = ("operator", "targets")
REVOCATION_SECONDS = 5.0


def build_paces(drain_seconds: float) -> dict[str, ReadingPace]:
    """Return the paces of a deployment whose draining targets end after this time.

    A configuration must be in force within as long.
    """
    return {
        "operator": plan_operator_pace(REVOCATION_SECONDS, drain_seconds),
        "targets": plan_targets_pace(drain_seconds),
    }


PARTITIONS = 96
_STORE_SECONDS = 0.006
_NETWORK_SECONDS = 0.002
_STEP_SECONDS = 0.02


class Topic:
    """Keep the records of one topic; waiting reads may miss records."""

    def __init__(self, fleet: "Fleet", name: str) -> None:
        self.records: list[KeyedRecord] = []
        self.misses_waits = False
        self._fleet = fleet
        self._name = name
        self._waiters: list[asyncio.Future[None]] = []

    def put(self, key: str, value: bytes | None) -> None:
        """Append a record and wake the reads that wait for it."""
        self.records.append(KeyedRecord(len(self.records), key, value))
        if self.misses_waits:
            return
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def read(self, instance: str, first: int, wait_seconds: float) -> KeyedPage:
        """Answer a read of an instance."""
        await self._fleet.call(instance, self._name)
        if wait_seconds and first >= len(self.records):
            waiter = asyncio.get_running_loop().create_future()
            self._waiters.append(waiter)
            timer = asyncio.ensure_future(self._fleet.clock.sleep(wait_seconds))
            try:
                await asyncio.wait({waiter, timer}, return_when=asyncio.FIRST_COMPLETED)
            finally:
                timer.cancel()
            if self._fleet.is_refused(instance):
                raise LogUnavailableError("refused")
        return KeyedPage(tuple(self.records[first:]), len(self.records))


class TopicOfInstance:
    """Read a topic as one instance."""

    def __init__(self, topic: Topic, instance: str) -> None:
        self._topic = topic
        self._instance = instance

    async def read_records(self, first: int, wait_seconds: float) -> KeyedPage:
        """Return records from an offset on."""
        return await self._topic.read(self._instance, first, wait_seconds)

    async def read_newest(self) -> KeyedPage:
        """Return all records."""
        return await self._topic.read(self._instance, 0, 0.0)


class SimulatedExchange(PeerExchange):
    """Send datagrams through the simulated network."""

    def attach(self, network: "Network", name: str) -> None:
        """Use this network; the address is the instance's name."""
        self.connection_made(network.build_transport(name))

    async def _listen(self):
        return self._transport


class Network:
    """Deliver datagrams after a delay; lose some, and all over a cut."""

    def __init__(self, clock: VirtualClock, generator: random.Random) -> None:
        self.lost_share = 0.02
        self.cut: set[str] = set()
        self.delay_seconds: Counter[str] = Counter()
        self.sent_bytes: Counter[str] = Counter()
        self.exchanges: dict[str, PeerExchange] = {}
        self._clock = clock
        self._generator = generator
        self._order = itertools.count()
        self._queue: list[tuple[float, int, str, bytes]] = []

    def build_transport(self, sender: str):
        """Return what an exchange sends by."""
        network = self

        class Transport:
            def sendto(self, data: bytes, address: tuple[str, int]) -> None:
                network.send(sender, address[0], data)

            def close(self) -> None:
                pass

        return Transport()

    def send(self, sender: str, receiver: str, data: bytes) -> None:
        """Take a datagram on its way."""
        self.sent_bytes[sender] += len(data)
        lost = self._generator.random() < self.lost_share
        if lost or (sender in self.cut) != (receiver in self.cut):
            return
        due = self._clock.monotonic() + _NETWORK_SECONDS + self.delay_seconds[sender]
        heapq.heappush(self._queue, (due, next(self._order), receiver, data))

    def deliver(self) -> None:
        """Hand over the datagrams that are due."""
        while self._queue and self._queue[0][0] <= self._clock.monotonic():
            _, _, receiver, data = heapq.heappop(self._queue)
            if receiver in self.exchanges:
                self.exchanges[receiver].datagram_received(data, None)


class SimulatedInstance:
    """Follow both topics as the entry program does."""

    def __init__(self, fleet: "Fleet", name: str) -> None:
        self.name = name
        self.seen: dict[str, dict[str, tuple[bytes | None, float]]] = {
            topic: {} for topic in TOPICS
        }
        self.ledger = ShareLedger(PARTITIONS)
        self.directory = PeerDirectory(name, f"{name}:1", fleet.clock)
        self.role = ReaderRole(self.ledger, self.directory.count_peers)
        self.followers = {topic: self._follow(fleet, topic) for topic in TOPICS}
        self.exchange = SimulatedExchange(
            f"{name}:1",
            self.directory,
            build_shared_knowledge(TargetTable()),
            None,
            self.role.is_held,
            fleet.clock,
            fleet.generator,
        )
        self.exchange._followers = tuple(self.followers.values())
        self.exchange.attach(fleet.network, name)

    def _follow(self, fleet: "Fleet", topic: str) -> TopicFollower:
        def take(record: KeyedRecord) -> None:
            now = fleet.clock.monotonic()
            self.seen[topic][record.key] = (record.value, now)

        return TopicFollower(
            topic,
            TopicOfInstance(fleet.topics[topic], self.name),
            fleet.clock,
            fleet.paces[topic],
            take,
            lambda away_seconds: None,
            fleet.generator,
            self.role.is_held,
        )


class Fleet:
    """Run instances whose shares are dealt evenly."""

    def __init__(self, count: int, drain_seconds: float, seed: int = 1) -> None:
        self.paces = build_paces(drain_seconds)
        self.clock = VirtualClock()
        self.generator = random.Random(seed)
        self.network = Network(self.clock, self.generator)
        self.topics = {name: Topic(self, name) for name in TOPICS}
        self.calls: Counter[str] = Counter()
        self.refused: set[str] = set()
        self.instances = [SimulatedInstance(self, f"n{n}") for n in range(count)]
        self.tasks: list[asyncio.Task[None]] = []
        self.oldest = dict.fromkeys(TOPICS, 0.0)
        self._introduce()
        self.deal(self.instances)

    def _introduce(self) -> None:
        values = {i.name: i.directory.describe_self() for i in self.instances}
        for instance in self.instances:
            instance.directory.take_announcement(values[instance.name])
            for name, value in values.items():
                instance.directory.take_record(KeyedRecord(0, name, value))
            self.network.exchanges[instance.name] = instance.exchange

    def deal(self, holders: list[SimulatedInstance]) -> None:
        """Give all share partitions to these instances."""
        for instance in self.instances:
            position = holders.index(instance) if instance in holders else None
            held = frozenset(
                number
                for number in range(PARTITIONS)
                if position is not None and number % len(holders) == position
            )
            instance.ledger.assign(held)

    async def call(self, instance: str, topic: str) -> None:
        """Count a call to the store; raises LogUnavailableError if it is refused."""
        self.calls[topic] += 1
        await self.clock.sleep(_STORE_SECONDS)
        if self.is_refused(instance):
            raise LogUnavailableError("refused")

    def is_refused(self, instance: str) -> bool:
        """Tell whether the store refuses this instance now."""
        return instance in self.refused

    def start(self) -> None:
        """Start all instances."""
        # The loop's own checks would take most of a test's time.
        asyncio.get_running_loop().set_debug(False)
        for instance in self.instances:
            works = [follower.run() for follower in instance.followers.values()]
            for work in (*works, instance.exchange.run()):
                self.tasks.append(asyncio.ensure_future(work))

    def stop(self) -> None:
        """End all tasks."""
        for task in self.tasks:
            task.cancel()

    async def advance(self, seconds: float) -> None:
        """Let time pass and note the oldest proof of each topic."""
        for step in range(round(seconds / _STEP_SECONDS)):
            self.clock.advance(_STEP_SECONDS)
            self.network.deliver()
            for _ in range(6):
                await asyncio.sleep(0)
            if step % 5 == 0:
                self._note_ages()

    def _note_ages(self) -> None:
        now = self.clock.boottime()
        for topic in TOPICS:
            ages = [
                instance.followers[topic].freshness.age(now)
                for instance in self.instances
                if instance.name not in self.refused | self.network.cut
            ]
            self.oldest[topic] = max([self.oldest[topic], *ages])

    def count_knowing(self, topic: str, key: str) -> int:
        """Return the instances that have taken a record of this key."""
        return sum(key in instance.seen[topic] for instance in self.instances)
