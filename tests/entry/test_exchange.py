"""Tests of the exchange between instances over loopback."""

import asyncio
import random
import unittest

from carobladder.clock import SystemClock
from carobladder.entry.exchange import PeerExchange
from carobladder.entry.followers import TopicFollower
from carobladder.entry.paces import ReadingPace
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
LONG_SECONDS = 5.0


class Member:
    """Hold the parts of one instance that exchange."""

    def __init__(self, store: FakeStore, name: str, port: int) -> None:
        clock = SystemClock()
        address = f"127.0.0.1:{port}"
        self.table, self.targets = fill_table(2)
        self.directory = PeerDirectory(name, address, clock)
        self.shared = build_shared_knowledge(self.table, self.directory)
        self.topic = KeyedTopic(store.client, TOPIC)
        self.announcements = TopicFollower(
            "instances",
            self.topic,
            clock,
            ReadingPace(0.1, 0.05),
            self.directory.take_record,
            lambda away_seconds: None,
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
        self.exchange.follow(self.announcements, (self.announcements,))

    def start(self) -> list[asyncio.Task[None]]:
        """Start following and exchanging."""
        works = (self.announcements.run(), self.exchange.run())
        return [asyncio.create_task(work) for work in works]


class PeerExchangeTest(unittest.IsolatedAsyncioTestCase):
    """Guard against instances that do not find each other or believe anybody."""

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

    async def start(self, *names: str) -> list[Member]:
        ports = await self.find_ports(len(names))
        members = [
            Member(self.store, name, port)
            for name, port in zip(names, ports, strict=True)
        ]
        for member in members:
            self.tasks += member.start()
        async with asyncio.timeout(LONG_SECONDS):
            while any(m.directory.count_peers() < len(names) - 1 for m in members):
                await asyncio.sleep(0.02)
        return members

    async def test_two_instances_exchange_loads(self):
        first, second = await self.start("a", "b")
        known, unknown = first.targets[0], second.targets[0]
        known.health.note_load(TargetLoad(5, 0, 8), self.clock.monotonic())
        async with asyncio.timeout(LONG_SECONDS):
            while unknown.health.estimate_load(self.clock.monotonic()) is None:
                await asyncio.sleep(0.02)
        self.assertEqual(unknown.health.read_latest_load(0.0)[0], 5)
        self.assertEqual(len(second.directory.list_readers()), 1)

    async def test_home_of_a_prompt_names_who_keeps_it(self):
        first, second = await self.start("a", "b")
        await first.shared.prompts.find_source((7,), (5000,), first.targets[1])
        await asyncio.sleep(0.05)
        prompts = second.shared.prompts
        source = await prompts.find_source((7,), (5000,), second.targets[0])
        self.assertIs(source, second.targets[1])

    async def test_instance_warns_others_at_once(self):
        first, second = await self.start("a", "b")
        now = self.clock.monotonic()
        first.targets[1].health.note_first_byte(0.1, now)
        first.exchange.note_silence(first.targets[0], now - 1.0)
        doubted = second.targets[0].health
        async with asyncio.timeout(LONG_SECONDS):
            while not doubted.is_reported_failed(self.clock.monotonic()):
                await asyncio.sleep(0.005)
        self.assertFalse(
            second.targets[1].health.is_reported_failed(self.clock.monotonic())
        )

    async def test_answer_proves_only_a_question_that_was_asked(self):
        """Datagrams of an instance may be repeated or come from its last run."""
        first, second = await self.start("a", "b")
        proofs = []
        follower = first.announcements
        follower.take_peer_state = lambda state, asked_at: proofs.append(asked_at)
        number = first.exchange._draw_question()
        answer = PeerReply(number, True, [TopicState(9, 1)], [None])
        data = encode_datagram(answer, "b", second.directory.own_key)
        first.exchange.datagram_received(data, None)
        self.assertEqual(len(proofs), 1)
        first.exchange.datagram_received(data, None)
        unasked = PeerReply(12345, True, [TopicState(9, 1)], [None])
        sealed = encode_datagram(unasked, "b", second.directory.own_key)
        first.exchange.datagram_received(sealed, None)
        self.assertEqual(len(proofs), 1)

    async def test_forged_datagrams_are_counted_and_dropped(self):
        (member,) = await self.start("a")
        answer = PeerReply(1, True, [TopicState(9, 1)], [None])
        for data in (b"nonsense", encode_datagram(answer, "b", b"k" * 32)):
            member.exchange.datagram_received(data, None)
        self.assertEqual(member.exchange.dropped, 2)

    async def test_announcement_is_repeated_until_it_is_accepted(self):
        (port,) = await self.find_ports(1)
        member = Member(self.store, "a", port)
        await member.announcements._read()
        self.store.lose_answers = 1
        task = asyncio.create_task(member.exchange.run())
        await asyncio.sleep(1.3)
        task.cancel()
        writes = [path for method, path, _ in self.store.calls if method == "POST"]
        self.assertEqual(len(writes), 2)

    async def test_restart_does_not_announce_again(self):
        (port,) = await self.find_ports(1)
        for _ in range(2):
            member = Member(self.store, "a", port)
            tasks = member.start()
            async with asyncio.timeout(LONG_SECONDS):
                while member.directory.own_key is None:
                    await asyncio.sleep(0.02)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        writes = [path for method, path, _ in self.store.calls if method == "POST"]
        self.assertEqual(len(writes), 1)
