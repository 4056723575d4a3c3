"""Tests of the exchange of loads over loopback."""

import asyncio
import random
import unittest

from carobladder.clock import SystemClock
from carobladder.entry.loads import LoadExchange
from carobladder.fleet import KeyedRecord, LoadSharing, TargetLoad
from carobladder.platform.store import KeyedTopic
from tests.fleet.builders import fill_table
from tests.platform.fake_store import FakeStore

TOPIC = "keyed.instances"


class LoadExchangeTest(unittest.IsolatedAsyncioTestCase):
    """Guard against instances that do not find each other."""

    def setUp(self):
        self.store = FakeStore()
        self.clock = SystemClock()

    def build(self, name: str, port: int):
        table, targets = fill_table(1)
        exchange = LoadExchange(
            name,
            f"127.0.0.1:{port}",
            LoadSharing(table),
            KeyedTopic(self.store.client, TOPIC),
            self.clock,
            random.Random(1),
        )
        return exchange, targets[0]

    async def find_ports(self, count: int) -> list[int]:
        """Return free ports that differ from each other."""
        loop = asyncio.get_running_loop()
        transports = []
        for _ in range(count):
            transport, _ = await loop.create_datagram_endpoint(
                asyncio.DatagramProtocol, local_addr=("127.0.0.1", 0)
            )
            transports.append(transport)
        ports = [t.get_extra_info("sockname")[1] for t in transports]
        for transport in transports:
            transport.close()
        await asyncio.sleep(0)
        return ports

    async def test_two_instances_exchange_loads(self):
        ports = await self.find_ports(2)
        first, known = self.build("a", ports[0])
        second, unknown = self.build("b", ports[1])
        tasks = [asyncio.create_task(e.run()) for e in (first, second)]
        await asyncio.sleep(0.05)
        page = await KeyedTopic(self.store.client, TOPIC).read_newest()
        self.assertEqual([record.key for record in page.records], ["a", "b"])
        for record in page.records:
            first.take_record(record)
            second.take_record(record)
        known.health.note_load(TargetLoad(5, 0, 8), self.clock.monotonic())
        async with asyncio.timeout(5.0):
            while unknown.health.estimate_load(self.clock.monotonic()) is None:
                await asyncio.sleep(0.02)
        for task in tasks:
            task.cancel()
        self.assertEqual(unknown.health.read_stated_load(0.0)[0], 5)

    async def test_malformed_records_and_datagrams_are_counted_or_ignored(self):
        exchange, _ = self.build("a", 1)
        for value in (None, b"", b"nonsense", b"\xff:x", b"127.0.0.1:5"):
            exchange.take_record(KeyedRecord(0, "b", value))
        self.assertEqual(exchange._peers, {"b": ("127.0.0.1", 5)})
        exchange.take_record(KeyedRecord(1, "b", None))
        exchange.take_record(KeyedRecord(2, "a", b"127.0.0.1:1"))
        self.assertEqual(exchange._peers, {})
        exchange.datagram_received(b"nonsense", None)
        self.assertEqual(exchange.malformed, 1)

    async def test_announcement_is_repeated_until_it_is_accepted(self):
        (port,) = await self.find_ports(1)
        exchange, _ = self.build("a", port)
        self.store.lose_answers = 1
        task = asyncio.create_task(exchange.run())
        await asyncio.sleep(1.3)
        task.cancel()
        writes = [path for method, path, _ in self.store.calls if method == "POST"]
        self.assertEqual(len(writes), 2)
