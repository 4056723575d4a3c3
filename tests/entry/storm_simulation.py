"""Simulated fleet on narrow links that follows large configurations."""

import asyncio
import functools
import itertools

from carobladder.clock import VirtualClock
from carobladder.fleet import (
    ConfigurationRecord,
    KeyedPage,
    KeyedRecord,
    OperatorRecord,
)
from carobladder.platform.documents import (
    decode_operator_record,
)
from carobladder.platform.names import CONFIGURATION_KEY
from carobladder.topics import ConfigurationSelector, TopicFollower
from tests.entry.fleet_simulation import (
    InstanceTopicReader,
    Network,
    SimulatedFleet,
    SimulatedInstance,
)

CONFIGURATION_SECONDS = 3.0
# An answer of the store ends before the record that exceeds this size.
_PAGE_BYTES = 1_048_576
_BASE64_FACTOR = 4 / 3
_SLICE_SECONDS = 0.02


@functools.lru_cache(maxsize=4)
def decode_once(value: bytes) -> OperatorRecord:
    """Decode a configuration once for all instances of the simulation."""
    return decode_operator_record(KeyedRecord(0, CONFIGURATION_KEY, value))


class SimulatedSelector(ConfigurationSelector):
    """Selector that shares what it decodes with those of other instances."""

    def decode(self, record: KeyedRecord) -> OperatorRecord:
        """Decode a record; configurations are decoded once."""
        if record.key != CONFIGURATION_KEY or record.value is None:
            return decode_operator_record(record)
        return decode_once(record.value)


class Link:
    """Link of an instance, whose transfers take turns.

    ``backlog_seconds`` is how long a request that arrives now waits.
    """

    def __init__(self, clock: VirtualClock, bytes_per_second: float) -> None:
        self.received_bytes = 0
        self._clock = clock
        self._bytes_per_second = bytes_per_second
        self._transfers: dict[object, float] = {}
        self._updated_at = 0.0

    @property
    def backlog_seconds(self) -> float:
        """Time that the transfers under way take."""
        return sum(self._transfers.values()) / self._bytes_per_second

    async def transfer(self, size: float) -> None:
        """Wait until the bytes have arrived; a cancelled transfer frees the link."""
        token = object()
        self._transfers[token] = size
        try:
            while self._transfers[token] > 0:
                await self._clock.sleep(_SLICE_SECONDS)
                self._progress()
        finally:
            del self._transfers[token]

    def receive(self, size: int) -> float:
        """Record a datagram and return the seconds until it has arrived."""
        self.received_bytes += size
        return size / self._bytes_per_second + self.backlog_seconds / 2

    def _progress(self) -> None:
        """Share the bytes of the time since the last call among the transfers."""
        now = self._clock.monotonic()
        available = (now - self._updated_at) * self._bytes_per_second
        self._updated_at = now
        available = min(available, 2 * _SLICE_SECONDS * self._bytes_per_second)
        active = [token for token, left in self._transfers.items() if left > 0]
        for token in active:
            part = min(self._transfers[token], available / len(active))
            self._transfers[token] -= part
            self.received_bytes += part


class LinkedReader(InstanceTopicReader):
    """Reader whose answers pass the link of its instance."""

    def __init__(self, topic, instance: str, link: Link, clock: VirtualClock) -> None:
        super().__init__(topic, instance)
        self._link = link
        self._clock = clock

    async def read_records(self, first: int, wait_seconds: float) -> KeyedPage:
        """Return the records from an offset on, as many as an answer holds."""
        page = await super().read_records(first, wait_seconds)
        records: list[KeyedRecord] = []
        size = 0
        for record in page.records:
            size += len(record.value or b"")
            if records and size > _PAGE_BYTES:
                break
            records.append(record)
        seconds = await self._transfer(sum(len(r.value or b"") for r in records))
        return KeyedPage(tuple(records), first + len(records), page.end, None, seconds)

    async def read_newest(self) -> KeyedPage:
        """Return the newest record of each key."""
        page = await super().read_newest()
        newest = {record.key: record for record in page.records}
        records = tuple(record for record in newest.values() if record.value)
        size = sum(len(record.value or b"") for record in records)
        seconds = await self._transfer(size * _BASE64_FACTOR)
        return KeyedPage(records, page.end, page.end, None, seconds)

    async def _transfer(self, size: float) -> float:
        began = self._clock.monotonic()
        if size:
            await self._link.transfer(size)
        return self._clock.monotonic() - began


class LinkedNetwork(Network):
    """Network whose datagrams pass the link of their receiver."""

    def __init__(self, fleet: "StormFleet") -> None:
        super().__init__(fleet.clock, fleet.generator)
        self._fleet = fleet

    def send(self, sender: str, receiver: str, data: bytes) -> None:
        """Queue a datagram behind what its receiver is reading."""
        link = self._fleet.links[receiver]
        before = self.delay_seconds[sender]
        self.delay_seconds[sender] = before + link.receive(len(data))
        super().send(sender, receiver, data)
        self.delay_seconds[sender] = before


class StormInstance(SimulatedInstance):
    """Instance that applies configurations of the operators' topic."""

    def _follow(self, fleet: "StormFleet", topic: str) -> TopicFollower:
        self.versions: dict[int, float] = {}

        def apply(record: KeyedRecord) -> None:
            now = fleet.clock.monotonic()
            self.received[topic][record.key] = (record.value, now)
            if topic != "operator" or record.value is None:
                return
            decoded = decode_once(record.value)
            if not isinstance(decoded, ConfigurationRecord):
                return
            version = decoded.configuration.version
            if version >= self.version:
                self.versions[version] = now
                self.values.note(record.value)

        return TopicFollower(
            topic,
            LinkedReader(
                fleet.topics[topic], self.name, fleet.links[self.name], fleet.clock
            ),
            fleet.clock,
            fleet.read_policies[topic],
            apply,
            lambda outage_seconds: None,
            fleet.generator,
            self.role.is_held,
            selector=self._build_selector() if topic == "operator" else None,
        )

    @property
    def version(self) -> int:
        """Version in force."""
        return max(self.versions, default=0)

    def _build_selector(self) -> SimulatedSelector:
        return SimulatedSelector(lambda: self.version)


class StormFleet(SimulatedFleet):
    """Fleet whose instances have links of these rates, which repeat."""

    def __init__(self, count: int, rates: list[float], seed: int = 1) -> None:
        self._rates = rates
        super().__init__(count, CONFIGURATION_SECONDS, seed)
        self.backlogs: list[float] = []

    def _build_instances(self, count: int) -> list[SimulatedInstance]:
        rates = itertools.islice(itertools.cycle(self._rates), count)
        self.links = {f"n{n}": Link(self.clock, rate) for n, rate in enumerate(rates)}
        self.network = LinkedNetwork(self)
        return [StormInstance(self, name) for name in self.links]

    async def advance(self, seconds: float) -> None:
        """Advance the clock and record the backlog of each link ten times a second."""
        for _ in range(round(seconds / 0.1)):
            await super().advance(0.1)
            self.backlogs += [link.backlog_seconds for link in self.links.values()]

    async def settle(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        self.stop()
        await asyncio.gather(*self.tasks, return_exceptions=True)
