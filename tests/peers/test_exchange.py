"""Tests of the protocol between instances over loopback sockets."""

import asyncio
import random
import unittest

import zmq

from carobladder.clock import SystemClock
from carobladder.exceptions import NoCapacityError
from carobladder.gateway.ports import SlotRequest, Team
from carobladder.limits.admission import AdmissionController
from carobladder.limits.declarations import TargetDeclaration, TargetLoadReport
from carobladder.limits.queues import FairQueue
from carobladder.limits.refusals import RefusalPolicy
from carobladder.membership.views import ListedInstance
from carobladder.peers.coordination import Coordinator, Timing
from carobladder.peers.exchange import Exchange, ExchangeCallbacks
from carobladder.peers.transport import PeerKeys, PeerTransport
from carobladder.targets import RequestClass, TargetState

FAST = Timing(
    heartbeat_seconds=0.03, lease_seconds=0.3, list_window_seconds=1.0, ask_seconds=0.01
)
TEAM = Team("team-a", 1.0, frozenset({"m"}))


class _Callbacks(ExchangeCallbacks):
    def __init__(self) -> None:
        self.admission: AdmissionController | None = None

    def handle_slots_changed(self) -> None:
        if self.admission is not None:
            self.admission.serve()


class Node:
    """One instance of the protocol, with admission control."""

    def __init__(self, name: str, keys: PeerKeys) -> None:
        self.name = name
        clock = SystemClock()
        self.transport = PeerTransport("127.0.0.1:0", keys)
        self.transport.start()
        self.coordinator = Coordinator(name, 1, FAST, clock.monotonic())
        callbacks = _Callbacks()
        self.exchange = Exchange(self.coordinator, self.transport, clock, callbacks)
        self.admission = AdmissionController(
            clock=clock,
            book=self.coordinator.book,
            queue=FairQueue(100),
            refusals=RefusalPolicy(random.Random(1)),
            find_target=self.exchange.find_target,
            ask=self.exchange.ask,
        )
        callbacks.admission = self.admission
        self.coordinator.demand = self.admission.describe_demand

    @property
    def listed(self) -> ListedInstance:
        return ListedInstance(self.name, self.transport.address, "dc-1")

    async def run(self) -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(self.exchange.run())
            group.create_task(self.admission.run())
            group.create_task(self.probe())

    async def probe(self) -> None:
        while True:
            for declaration in self.exchange.list_owned():
                probe = TargetLoadReport("boot-1", ready=True, cold=False)
                self.exchange.note_probe(declaration.state.target_id, probe)
            await asyncio.sleep(0.02)


def _declare(count: int, slots: int) -> list[TargetDeclaration]:
    return [
        TargetDeclaration(
            TargetState(f"t{i}", "m", "v1", "dc-1", "127.0.0.1:1", slots=slots),
            balanced=False,
        )
        for i in range(count)
    ]


def _request(targets: int, seconds: float) -> SlotRequest:
    return SlotRequest(
        team=TEAM,
        request_class=RequestClass.SHORT,
        pool="m",
        ranked=[f"t{i}" for i in range(targets)],
        deadline=SystemClock().monotonic() + seconds,
    )


class ExchangeTest(unittest.IsolatedAsyncioTestCase):
    """Guard against instances that fail to share slots over real sockets."""

    async def start(self, count: int, targets: int, slots: int) -> list[Node]:
        public, secret = zmq.curve_keypair()
        keys = PeerKeys(public.decode(), secret.decode())
        nodes = [Node(f"entry-{i}", keys) for i in range(count)]
        for node in nodes:
            node.exchange.set_targets(_declare(targets, slots))
            node.exchange.apply_list([other.listed for other in nodes])
            task = asyncio.create_task(node.run())
            self.addAsyncCleanup(self.stop, node, task)
        return nodes

    async def stop(self, node: Node, task: "asyncio.Task[None]") -> None:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        node.transport.close()

    async def test_one_instance_serves_alone(self):
        (node,) = await self.start(1, 1, 2)
        first = await node.admission.acquire(_request(1, 5))
        second = await node.admission.acquire(_request(1, 5))
        self.assertTrue(first.is_valid() and second.is_valid())
        with self.assertRaises(NoCapacityError) as caught:
            await node.admission.acquire(_request(1, 0.2))
        self.assertGreaterEqual(caught.exception.retry_after_seconds, 1)
        first.release()
        third = await node.admission.acquire(_request(1, 1))
        self.assertTrue(third.is_valid())

    async def test_three_instances_share_a_limit(self):
        nodes = await self.start(3, 4, 3)
        permits = await asyncio.gather(
            *(nodes[i % 3].admission.acquire(_request(4, 5)) for i in range(12))
        )
        targets = [permit.target.target_id for permit in permits]
        self.assertEqual(sorted(targets), sorted(["t0", "t1", "t2", "t3"] * 3))
        with self.assertRaises(NoCapacityError):
            await nodes[0].admission.acquire(_request(4, 0.2))

    async def test_sender_with_another_key_is_rejected(self):
        (node,) = await self.start(1, 1, 2)
        public, secret = zmq.curve_keypair()
        context = zmq.Context.instance()
        outsider = context.socket(zmq.DEALER)
        outsider.curve_serverkey = node.transport._keys.public.encode()
        outsider.curve_publickey = public
        outsider.curve_secretkey = secret
        outsider.linger = 0
        outsider.connect(f"tcp://{node.transport.address}")
        self.addCleanup(outsider.close)
        outsider.send(b"\x01abc")
        await asyncio.sleep(0.3)
        self.assertEqual(node.transport.received_bytes, 0)
