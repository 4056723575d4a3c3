"""Tests of the gossip between instances over loopback."""

import asyncio
import random
import unittest
from collections.abc import Callable

from carobladder.clock import SystemClock, VirtualClock
from carobladder.entry.exchange import PeerExchange
from carobladder.eras import EraMonitor
from carobladder.fleet import (
    PeerDirectory,
    PeerReply,
    TargetLoad,
    TopicState,
    decode_datagram,
    encode_datagram,
)
from carobladder.platform.store import KeyedTopic
from carobladder.topics import ReadPolicy, TopicFollower, build_instances_policy
from standins.store import StoreState
from tests.entry.fleet_simulation import Network, SimulatedExchange
from tests.entry.test_versions import LongPollStore
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

        def note_proof(state: TopicState, asked_at: float, *, is_proof: bool) -> None:
            self.assertTrue(is_proof)
            proof_times.append(asked_at)

        follower.handle_peer_state = note_proof
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


class HeardExchange(SimulatedExchange):
    """Exchange that keeps the times at which it last heard of each instance."""

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)
        self.heard_at: dict[str, float] = {}

    def datagram_received(self, data: bytes, address: object) -> None:
        """Note the sender of a message that is accepted."""
        dropped = self.dropped
        super().datagram_received(data, address)
        if self.dropped == dropped:
            name, _ = decode_datagram(data, self._directory.find_key)
            self.heard_at[name] = self._clock.monotonic()


class RestoredMember:
    """Instance that announces itself in a store that is restored from a copy."""

    def __init__(
        self,
        name: str,
        state: StoreState,
        clock: VirtualClock,
        network: Network,
        is_reader: Callable[[], bool],
    ) -> None:
        self.name = name
        self.store = LongPollStore(state, clock)
        generator = random.Random(name)
        eras = EraMonitor()
        topic = KeyedTopic(self.store.client, TOPIC)
        self.directory = PeerDirectory(name, f"{name}:1", clock)
        follower = TopicFollower(
            "instances",
            topic,
            clock,
            build_instances_policy(),
            self.directory.apply_record,
            lambda outage_seconds: None,
            generator,
            is_reader,
            eras,
        )
        table, _ = fill_table(2)
        self.exchange = HeardExchange(
            f"{name}:1",
            self.directory,
            build_shared_knowledge(table, self.directory),
            topic,
            is_reader,
            clock,
            generator,
            eras,
        )
        self.exchange.set_followers(follower, (follower,))
        self.exchange.attach(network, name)
        network.exchanges[name] = self.exchange
        works = (follower.run(), self.exchange.run())
        self.tasks = [asyncio.create_task(work) for work in works]


class RestoredAnnouncementsTest(unittest.IsolatedAsyncioTestCase):
    """Guard against instances that nobody understands once the store was restored.

    The copy lacks the announcement of the instance "c"; only "a" reads for the others.
    """

    async def asyncSetUp(self):
        # Debug mode would take most of a test's time.
        asyncio.get_running_loop().set_debug(False)
        self.clock = VirtualClock()
        self.state = StoreState()
        self.network = Network(self.clock, random.Random(1))
        self.network.loss_rate = 0.0
        self.members: dict[str, RestoredMember] = {}
        self.start("a", "b")
        await self.run_for(12.0)
        self.copy = self.state.take_copy()
        self.start("c")
        await self.run_for(20.0)
        self.key = self.members["c"].directory.own_key
        self.check_exchange(silent_seconds=1.0)
        for member in self.members.values():
            member.exchange.dropped = 0

    async def asyncTearDown(self):
        tasks = [task for member in self.members.values() for task in member.tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def start(self, *names: str) -> None:
        for name in names:
            self.members[name] = RestoredMember(
                name,
                self.state,
                self.clock,
                self.network,
                lambda name=name: name == "a",
            )

    async def run_for(self, seconds: float) -> None:
        """Let the instances work for this long."""
        for _ in range(round(seconds / 0.02)):
            self.clock.advance(0.02)
            self.network.deliver()
            for _ in range(8):
                await asyncio.sleep(0)

    def check_exchange(self, silent_seconds: float) -> None:
        """Check that each instance has heard of each other one in this time."""
        for member in self.members.values():
            others = self.members.keys() - {member.name}
            oldest = self.clock.monotonic() - silent_seconds
            heard = {n for n, at in member.exchange.heard_at.items() if at >= oldest}
            self.assertEqual(heard, others, member.name)

    async def run_and_check(self, seconds: float) -> None:
        """Run, and check all the while that no instance misses another one."""
        for _ in range(round(seconds / 0.2)):
            await self.run_for(0.2)
            self.check_exchange(silent_seconds=1.0)
        dropped = {n: m.exchange.dropped for n, m in self.members.items()}
        self.assertEqual(set(dropped.values()), {0}, dropped)

    async def check_new_instance(self) -> None:
        """Check that an instance that starts now understands the one that was lost."""
        self.start("d")
        await self.run_for(20.0)
        new = self.members["d"]
        self.assertEqual(new.directory.find_key("c"), self.key)
        self.assertEqual(new.exchange.dropped, 0)
        self.check_exchange(silent_seconds=1.5)

    # Guards against a copy that makes an instance unknown to those that start later.
    async def test_new_instance_knows_the_one_that_the_copy_lacks(self):
        self.state.restore(self.copy)
        await self.run_and_check(8.0)
        await self.check_new_instance()

    # Guards against running instances that forget one whose announcement is lost, while
    # it cannot be written again.
    async def test_others_keep_exchanging_until_it_is_announced_again(self):
        self.state.restore(self.copy)
        self.members["c"].store.status = 503
        await self.run_and_check(8.0)
        self.members["c"].store.status = None
        await self.run_and_check(4.0)
        await self.check_new_instance()

    # Guards against an announcement that a second copy loses as it is written again.
    async def test_second_restore(self):
        for pause_seconds in (0.3, 1.0, 6.0):
            self.state.restore(self.copy)
            await self.run_and_check(pause_seconds)
        await self.run_and_check(3.0)
        await self.check_new_instance()

    # Guards against an instance that restarts beside a copy without its announcement,
    # whose new key the others never learn.
    async def test_restarted_instance_is_understood(self):
        for task in self.members["c"].tasks:
            task.cancel()
        self.state.restore(self.copy)
        self.start("c")
        await self.run_for(20.0)
        self.check_exchange(silent_seconds=1.5)
        self.assertNotEqual(self.members["c"].directory.own_key, self.key)
