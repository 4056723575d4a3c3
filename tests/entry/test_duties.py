"""Tests of the duties of a fleet with a store and the platform's API over loopback."""

import asyncio
import unittest

from carobladder.clients.http import HttpClient
from carobladder.clock import SystemClock
from carobladder.entry.runtime import PlatformInstance
from carobladder.gateway.ports import Answer
from carobladder.gateway.requests import RequestLimits
from carobladder.gateway.server import GatewayServer
from carobladder.settings.entry import EntrySettings
from carobladder.telemetry import GatewayMetrics
from standins.cloud import CloudState
from standins.store import StoreState
from tests.entry.fixtures import (
    OPERATOR_TOPIC,
    SAFE_ROUTE,
    SERVERS_TOPIC,
    StoreHandler,
    answer_request,
)
from tests.forwarding.fixtures import HOST, KEY, ScriptedTarget
from tests.platform.test_documents import CONFIGURATION, SERVER

LEASE_SECONDS = 1.0
TIMEOUT_SECONDS = 25.0


class CloudHandler:
    """Handler that serves the stand-in of the platform's API."""

    def __init__(self, state: CloudState) -> None:
        self.state = state

    async def handle(self, request, responder) -> None:
        """Answer one call."""
        found = self.state.call(
            request.method, request.path, request.headers, request.body
        )
        await responder.send_answer(Answer(found.status, (), found.body))


async def find_udp_ports(count: int) -> list[int]:
    """Return free ports that differ from each other."""
    loop = asyncio.get_running_loop()
    transports = [
        (
            await loop.create_datagram_endpoint(
                asyncio.DatagramProtocol, local_addr=("127.0.0.1", 0)
            )
        )[0]
        for _ in range(count)
    ]
    ports = [transport.get_extra_info("sockname")[1] for transport in transports]
    for transport in transports:
        transport.close()
    await asyncio.sleep(0)
    return ports


class DutyFleetTest(unittest.IsolatedAsyncioTestCase):
    """Guard against parts of the duties that work alone but not together."""

    async def asyncSetUp(self):
        self.clock = SystemClock()
        self.state = StoreState()
        self.cloud = CloudState(self.clock.monotonic)
        self.store_server = await self.serve(StoreHandler(self.state))
        self.cloud_server = await self.serve(CloudHandler(self.cloud))
        target = ScriptedTarget(answer_request)
        self.target = await self.enterAsyncContext(target.server)
        self.client = HttpClient(self.clock)
        self.addCleanup(self.client.close)
        tenants = [{"name": "t", "apiKeys": [KEY]}]
        scaling = {"minReplicas": 2, "maxReplicas": 5, "bootS": 0.2}
        services = [{**CONFIGURATION["services"][0], "scaling": scaling}]
        document = {
            **CONFIGURATION,
            "routes": [SAFE_ROUTE],
            "tenants": tenants,
            "services": services,
        }
        self.state.put_document(OPERATOR_TOPIC, "config", {**document, "version": 1})
        entry = {**SERVER, "service": "x", "address": self.target.address}
        self.state.put_document(SERVERS_TOPIC, "i-0", {**entry, "coldRemainingMs": 0})
        ports = await find_udp_ports(2)
        self.instances = [self.build_instance(i, port) for i, port in enumerate(ports)]
        self.stops = [asyncio.Event() for _ in self.instances]
        self.tasks = [
            asyncio.create_task(instance.serve(stop))
            for instance, stop in zip(self.instances, self.stops, strict=True)
        ]

    async def asyncTearDown(self):
        for stop in self.stops:
            stop.set()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await asyncio.gather(*self.tasks)

    async def serve(self, handler) -> GatewayServer:
        server = GatewayServer(
            handler, RequestLimits(), self.clock, GatewayMetrics(), None
        )
        await server.start("127.0.0.1:0")
        self.addAsyncCleanup(server.close)
        return server

    def build_instance(self, index: int, port: int) -> PlatformInstance:
        settings = EntrySettings(
            instance=f"front-{index}",
            data_centre="dc-1",
            listen="127.0.0.1:0",
            readiness_listen="127.0.0.1:0",
            metrics_listen="127.0.0.1:0",
            peer_listen=f"127.0.0.1:{port}",
            store_address=f"127.0.0.1:{self.store_server.port}",
            shutdown_grace_seconds=4,
            api_address=f"127.0.0.1:{self.cloud_server.port}",
            duty_lease_ms=LEASE_SECONDS * 1000,
            usage_window_seconds=1.0,
            usage_late_seconds=6.0,
        )
        return PlatformInstance(settings, self.clock, incarnation=index)

    async def call(self, index: int) -> int:
        """Send a request to an instance and return the status."""
        headers = (
            ("Host", HOST),
            ("Carobladder-Request-Id", "ab12"),
            ("Carobladder-Deadline", "1500"),
            ("X-Api-Key", KEY),
        )
        port = self.instances[index].parts.server.port
        found = await self.client.fetch(
            "GET", f"127.0.0.1:{port}", "/a/x", headers=headers, timeout_seconds=3.0
        )
        return found.status

    async def wait_for(self, condition) -> None:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while not condition():
                await asyncio.sleep(0.02)

    def list_holders(self) -> list[int]:
        return [
            index
            for index, instance in enumerate(self.instances)
            if instance.parts.duties.token is not None
        ]

    def count_reported(self) -> int:
        return sum(sum(counts.values()) for counts in self.cloud.usage.values())

    async def test_duties_are_performed_also_when_the_holder_stops(self):
        await self.wait_for(lambda: self.cloud.usage)
        sent = 0
        for index in (0, 1, 0, 1, 1):
            self.assertEqual(await self.call(index), 200)
            sent += 1
        await self.wait_for(lambda: self.count_reported() == sent)
        await self.wait_for(lambda: len(self.list_holders()) == 1)
        (holder,) = self.list_holders()
        other = 1 - holder
        for index in (0, 1):
            self.assertEqual(await self.call(index), 200)
            sent += 1
        self.stops[holder].set()
        await self.wait_for(lambda: self.list_holders() == [other])
        self.assertEqual(await self.call(other), 200)
        sent += 1
        await self.wait_for(lambda: self.count_reported() == sent)
        await self.wait_for(lambda: self.cloud.desired)
        self.assertEqual(self.cloud.desired, {("x", "dc-1"): 2})
        self.assertEqual({c.holder for c in self.cloud.calls}, {"front-0", "front-1"})
        windows = sorted(self.cloud.usage)
        self.assertEqual(windows, list(range(windows[0], windows[-1] + 1)))
        self.assertEqual(self.cloud.violations, [])
