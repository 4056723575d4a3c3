"""Tests of the gossip between instances over loopback."""

import asyncio
import random
import unittest

from carobladder.clock import SystemClock
from carobladder.entry.exchange import PeerExchange
from carobladder.entry.followers import TopicFollower
from carobladder.entry.paces import ReadPolicy
from carobladder.entry.peers import PeerDirectory
from carobladder.fleet import (
    PeerReply,
    TargetLoad,
    TopicState,
    encode_datagram,
)
from carobladder.platform.store import KeyedTopic
from tests.fleet.builders import build_shared_knowledge, fill_table
from tests.platform.fake_store import FakeStore

TOPIC = "keyed.instances"
TIMEOUT_SECONDS = 5.0


class ExchangeMember:
    """Components of one instance that take part in the exchange."""

    def __init__(self, store: FakeStore, name: str, port: int) -> None:
        clock = SystemClock()
        address = f"127.0.0.1:{port}"
        self.table, self.targets = fill_table(2)
        self.directory = PeerDirectory(name, address, clock)
        self.shared = build_shared_knowledge(self.table, self.directory)
        self.topic = KeyedTopic(store.client, TOPIC)
        self.instances_follower = TopicFollower(
            "instances",
            self.topic,
            clock,
            ReadPolicy(0.1, 0.05),
            self.directory.apply_record,
            lambda outage_seconds: None,
            random.Random(1),
        )
        self.exchange = PeerExchange(
            address,
            self.directory,
            self.shared,
            self.topic,
            lambda: True,
            clock,
            random.Random(1),
        )
        self.exchange.set_followers(self.instances_follower, (self.instances_follower,))

    def start(self) -> list[asyncio.Task[None]]:
        """Start to follow announcements and to gossip."""
        works = (self.instances_follower.run(), self.exchange.run())
        return [asyncio.create_task(work) for work in works]


class PeerExchangeTest(unittest.IsolatedAsyncioTestCase):
    """Guard against instances that miss each other or accept forged messages."""

    def setUp(self):
        self.store = FakeStore()
        self.clock = SystemClock()
        self.tasks: list[asyncio.Task[None]] = []

    async def asyncTearDown(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

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

    async def start(self, *names: str) -> list[ExchangeMember]:
        ports = await self.find_ports(len(names))
        members = [
            ExchangeMember(self.store, name, port)
            for name, port in zip(names, ports, strict=True)
        ]
        for member in members:
            self.tasks += member.start()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while any(m.directory.count_peers() < len(names) - 1 for m in members):
                await asyncio.sleep(0.02)
        return members

    async def test_two_instances_exchange_loads(self):
        first, second = await self.start("a", "b")
        known, unknown = first.targets[0], second.targets[0]
        known.health.note_load(TargetLoad(5, 0, 8), self.clock.monotonic())
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while unknown.health.estimate_load(self.clock.monotonic()) is None:
                await asyncio.sleep(0.02)
        self.assertEqual(unknown.health.read_latest_load(0.0)[0], 5)
        self.assertEqual(len(second.directory.list_readers()), 1)

    async def test_sent_requests_are_reported_at_once(self):
        """A target that has not answered yet would look idle to the other instances."""
        first, second = await self.start("a", "b")
        first.exchange._choose_interval = lambda: 60.0
        await asyncio.sleep(0.2)
        for count in (1, 2):
            first.targets[0].health.in_flight = count
            first.exchange.report_sent_request()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while second.targets[0].health.peers_in_flight != 2:
                await asyncio.sleep(0.005)
        self.assertEqual(second.shared.in_flight.collect().counts, {})

    async def test_reports_of_sent_requests_are_limited(self):
        (first,) = await self.start("a")
        sent = []
        first.directory.list_peers = lambda: ["b"]
        first.exchange._send = lambda message, peer: sent.append(message)
        for _ in range(60):
            first.exchange._report_in_flight()
        self.assertGreaterEqual(len(sent), 20)
        self.assertLess(len(sent), 30)

    async def test_large_fleet_sends_no_reports_of_requests(self):
        """Reports to hundreds of instances would exceed the bandwidth for control."""
        (first,) = await self.start("a")
        first.directory.count_peers = lambda: 20
        first.directory.list_peers = lambda: ["b"]
        first.directory.list_readers = list
        sent = []
        first.exchange._send = lambda message, peer: sent.append(message)
        first.targets[0].health.in_flight = 1
        first.exchange.report_sent_request()
        self.assertIsNone(first.exchange._report_timer)
        first.exchange._gossip()
        self.assertEqual([message.in_flight for message in sent], [None])

    async def test_prompt_directory_names_the_holder(self):
        first, second = await self.start("a", "b")
        await first.shared.prompts.find_source((7,), (5000,), first.targets[1])
        await asyncio.sleep(0.05)
        prompts = second.shared.prompts
        source = await prompts.find_source((7,), (5000,), second.targets[0])
        self.assertIs(source, second.targets[1])

    async def test_silent_target_is_reported_at_once(self):
        first, second = await self.start("a", "b")
        now = self.clock.monotonic()
        first.targets[1].health.note_first_byte(0.1, now)
        first.exchange.report_silent_target(first.targets[0], now - 1.0)
        target_health = second.targets[0].health
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while not target_health.is_reported_failed(self.clock.monotonic()):
                await asyncio.sleep(0.005)
        self.assertFalse(
            second.targets[1].health.is_reported_failed(self.clock.monotonic())
        )

    async def test_answer_counts_once_and_only_for_a_pending_query(self):
        """Datagrams can be duplicated or come from before a restart."""
        first, second = await self.start("a", "b")
        proof_times = []
        follower = first.instances_follower
        follower.handle_peer_state = lambda state, asked_at: proof_times.append(
            asked_at
        )
        number = first.exchange._register_query()
        answer = PeerReply(number, True, [TopicState(9, 1)], [None])
        data = encode_datagram(answer, "b", second.directory.own_key)
        first.exchange.datagram_received(data, None)
        self.assertEqual(len(proof_times), 1)
        first.exchange.datagram_received(data, None)
        unrequested = PeerReply(12345, True, [TopicState(9, 1)], [None])
        sealed = encode_datagram(unrequested, "b", second.directory.own_key)
        first.exchange.datagram_received(sealed, None)
        self.assertEqual(len(proof_times), 1)

    async def test_forged_datagrams_are_counted_and_dropped(self):
        (member,) = await self.start("a")
        answer = PeerReply(1, True, [TopicState(9, 1)], [None])
        for data in (b"nonsense", encode_datagram(answer, "b", b"k" * 32)):
            member.exchange.datagram_received(data, None)
        self.assertEqual(member.exchange.dropped, 2)

    async def test_announcement_is_retried_until_accepted(self):
        (port,) = await self.find_ports(1)
        member = ExchangeMember(self.store, "a", port)
        await member.instances_follower._read()
        self.store.lose_answers = 1
        task = asyncio.create_task(member.exchange.run())
        await asyncio.sleep(1.3)
        task.cancel()
        writes = [path for method, path, _ in self.store.calls if method == "POST"]
        self.assertEqual(len(writes), 2)

    async def test_restart_does_not_announce_again(self):
        (port,) = await self.find_ports(1)
        for _ in range(2):
            member = ExchangeMember(self.store, "a", port)
            tasks = member.start()
            async with asyncio.timeout(TIMEOUT_SECONDS):
                while member.directory.own_key is None:
                    await asyncio.sleep(0.02)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        writes = [path for method, path, _ in self.store.calls if method == "POST"]
        self.assertEqual(len(writes), 1)
