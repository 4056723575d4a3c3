"""Simulated fleet that follows topics on a virtual clock."""

import asyncio
import heapq
import itertools
import random
from collections import Counter

from carobladder.clock import VirtualClock
from carobladder.entry.exchange import PeerExchange
from carobladder.exceptions import LogUnavailableError
from carobladder.fleet import (
    KeyedPage,
    KeyedRecord,
    PeerDirectory,
    ReaderRole,
    ShareLedger,
    TargetTable,
)
from carobladder.topics import (
    ReadPolicy,
    RecentValues,
    TopicFollower,
    build_operator_policy,
    build_targets_policy,
)
from tests.fleet.builders import build_shared_knowledge

TOPICS = ("operator", "targets")
REVOCATION_SECONDS = 5.0
RENEWAL_SECONDS = 1.2


def build_policies(drain_seconds: float) -> dict[str, ReadPolicy]:
    """Return the read policies by topic.

    ``drain_seconds`` is also the time in which a configuration must be in force.
    """
    return {
        "operator": build_operator_policy(REVOCATION_SECONDS, drain_seconds),
        "targets": build_targets_policy(drain_seconds, RENEWAL_SECONDS),
    }


PARTITIONS = 96
_STORE_LATENCY_SECONDS = 0.006
_NETWORK_LATENCY_SECONDS = 0.002
_STEP_SECONDS = 0.02


class SimulatedTopic:
    """Topic of the simulated store, whose waiting reads can miss records."""

    def __init__(self, fleet: "SimulatedFleet", name: str) -> None:
        self.records: list[KeyedRecord] = []
        self.waiting_reads_miss = False
        self._fleet = fleet
        self._name = name
        self._waiters: list[asyncio.Future[None]] = []

    def put(self, key: str, value: bytes | None) -> None:
        """Append a record and wake the reads that wait for it."""
        self.records.append(KeyedRecord(len(self.records), key, value))
        if self.waiting_reads_miss:
            return
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def read(self, instance: str, first: int, wait_seconds: float) -> KeyedPage:
        """Return the records from an offset on, waiting if there are none yet."""
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
        end = len(self.records)
        return KeyedPage(tuple(self.records[first:]), end, end)


class InstanceTopicReader:
    """Reader of a simulated topic for one instance."""

    def __init__(self, topic: SimulatedTopic, instance: str) -> None:
        self._topic = topic
        self._instance = instance

    async def read_records(self, first: int, wait_seconds: float) -> KeyedPage:
        """Return the records from an offset on."""
        return await self._topic.read(self._instance, first, wait_seconds)

    async def read_newest(self) -> KeyedPage:
        """Return all records."""
        return await self._topic.read(self._instance, 0, 0.0)


class SimulatedExchange(PeerExchange):
    """Peer exchange over the simulated network."""

    def attach(self, network: "Network", name: str) -> None:
        """Connect to this network, in which the instance's name is its address."""
        self.connection_made(network.build_transport(name))

    async def _listen(self):
        return self._transport


class Network:
    """Network that delays datagrams, loses some, and separates isolated instances."""

    def __init__(self, clock: VirtualClock, generator: random.Random) -> None:
        self.loss_rate = 0.02
        self.isolated: set[str] = set()
        self.delay_seconds: Counter[str] = Counter()
        self.sent_bytes: Counter[str] = Counter()
        self.exchanges: dict[str, PeerExchange] = {}
        self._clock = clock
        self._generator = generator
        self._order = itertools.count()
        self._queue: list[tuple[float, int, str, bytes]] = []

    def build_transport(self, sender: str):
        """Return a transport for the datagrams of this sender."""
        network = self

        class Transport:
            def sendto(self, data: bytes, address: tuple[str, int]) -> None:
                network.send(sender, address[0], data)

            def close(self) -> None:
                pass

        return Transport()

    def send(self, sender: str, receiver: str, data: bytes) -> None:
        """Queue a datagram unless it is lost."""
        self.sent_bytes[sender] += len(data)
        lost = self._generator.random() < self.loss_rate
        if lost or (sender in self.isolated) != (receiver in self.isolated):
            return
        due = (
            self._clock.monotonic()
            + _NETWORK_LATENCY_SECONDS
            + self.delay_seconds[sender]
        )
        heapq.heappush(self._queue, (due, next(self._order), receiver, data))

    def deliver(self) -> None:
        """Deliver the datagrams that are due."""
        while self._queue and self._queue[0][0] <= self._clock.monotonic():
            _, _, receiver, data = heapq.heappop(self._queue)
            if receiver in self.exchanges:
                self.exchanges[receiver].datagram_received(data, None)


class SimulatedInstance:
    """Instance that follows both topics as the program does."""

    def __init__(self, fleet: "SimulatedFleet", name: str) -> None:
        self.name = name
        self.received: dict[str, dict[str, tuple[bytes | None, float]]] = {
            topic: {} for topic in TOPICS
        }
        self.values = RecentValues()
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
            values=self.values,
        )
        self.exchange._followers = tuple(self.followers.values())
        self.exchange.attach(fleet.network, name)

    def _follow(self, fleet: "SimulatedFleet", topic: str) -> TopicFollower:
        def record_receipt(record: KeyedRecord) -> None:
            now = fleet.clock.monotonic()
            self.received[topic][record.key] = (record.value, now)
            if record.value is not None:
                self.values.note(record.value)

        return TopicFollower(
            topic,
            InstanceTopicReader(fleet.topics[topic], self.name),
            fleet.clock,
            fleet.read_policies[topic],
            record_receipt,
            lambda outage_seconds: None,
            fleet.generator,
            self.role.is_held,
        )


class SimulatedFleet:
    """Fleet of instances that hold equal shares."""

    def __init__(self, count: int, drain_seconds: float, seed: int = 1) -> None:
        self.read_policies = build_policies(drain_seconds)
        self.clock = VirtualClock()
        self.generator = random.Random(seed)
        self.network = Network(self.clock, self.generator)
        self.topics = {name: SimulatedTopic(self, name) for name in TOPICS}
        self.calls: Counter[str] = Counter()
        self.refused: set[str] = set()
        self.instances = self._build_instances(count)
        self.tasks: list[asyncio.Task[None]] = []
        self.oldest_ages = dict.fromkeys(TOPICS, 0.0)
        self._exchange_announcements()
        self.assign_shares(self.instances)

    def _build_instances(self, count: int) -> list[SimulatedInstance]:
        return [SimulatedInstance(self, f"n{number}") for number in range(count)]

    def _exchange_announcements(self) -> None:
        values = {i.name: i.directory.build_announcement() for i in self.instances}
        for instance in self.instances:
            instance.directory.apply_own_announcement(values[instance.name])
            for name, value in values.items():
                instance.directory.apply_record(KeyedRecord(0, name, value))
            self.network.exchanges[instance.name] = instance.exchange

    def assign_shares(self, holders: list[SimulatedInstance]) -> None:
        """Assign all share partitions to these instances."""
        for instance in self.instances:
            position = holders.index(instance) if instance in holders else None
            held = frozenset(
                number
                for number in range(PARTITIONS)
                if position is not None and number % len(holders) == position
            )
            instance.ledger.assign(held)

    async def call(self, instance: str, topic: str) -> None:
        """Make a call to the store; raises LogUnavailableError if it is refused."""
        self.calls[topic] += 1
        await self.clock.sleep(_STORE_LATENCY_SECONDS)
        if self.is_refused(instance):
            raise LogUnavailableError("refused")

    def is_refused(self, instance: str) -> bool:
        """Return whether the store refuses this instance now."""
        return instance in self.refused

    def start(self) -> None:
        """Start all instances."""
        # Debug mode would take most of a test's time.
        asyncio.get_running_loop().set_debug(False)
        for instance in self.instances:
            coroutines = [follower.run() for follower in instance.followers.values()]
            for coroutine in (*coroutines, instance.exchange.run()):
                self.tasks.append(asyncio.ensure_future(coroutine))

    def stop(self) -> None:
        """End all tasks."""
        for task in self.tasks:
            task.cancel()

    async def advance(self, seconds: float) -> None:
        """Advance the clock and record the age of the oldest proof of each topic."""
        for step in range(round(seconds / _STEP_SECONDS)):
            self.clock.advance(_STEP_SECONDS)
            self.network.deliver()
            for _ in range(6):
                await asyncio.sleep(0)
            if step % 5 == 0:
                self._record_ages()

    def _record_ages(self) -> None:
        now = self.clock.boottime()
        for topic in TOPICS:
            ages = [
                instance.followers[topic].freshness.age(now)
                for instance in self.instances
                if instance.name not in self.refused | self.network.isolated
            ]
            self.oldest_ages[topic] = max([self.oldest_ages[topic], *ages])

    def count_received(self, topic: str, key: str) -> int:
        """Return how many instances have received a record of this key."""
        return sum(key in instance.received[topic] for instance in self.instances)
