"""Test case with an instance, a simulated store and a target over loopback."""

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
from standins.store import StoreState
from tests.forwarding.fixtures import HOST, KEY, ScriptedTarget, build_response
from tests.platform.test_documents import CONFIGURATION, ROUTE, SERVER

OPERATOR_TOPIC = "keyed.op"
SERVERS_TOPIC = "keyed.servers"
SAFE_ROUTE = {
    **ROUTE,
    "host": HOST,
    "kind": "safe",
    "trafficSplit": [],
    "service": "x",
    "timeoutMs": 1500,
}


class StoreHandler:
    """Handler that serves the simulated store; waiting reads poll it."""

    def __init__(self, state: StoreState) -> None:
        self.state = state
        self.down = False

    async def handle(self, request, responder) -> None:
        """Answer one call to the store."""
        waits = (
            40 if "waitMs" in request.query and "waitMs=0" not in request.query else 0
        )
        for _ in range(waits):
            if self.down or self._call(request).body[16:]:
                break
            await asyncio.sleep(0.02)
        if self.down:
            await responder.send_answer(Answer(503, self.state.era_headers))
            return
        found = self._call(request)
        await responder.send_answer(Answer(found.status, found.headers, found.body))

    def _call(self, request):
        return self.state.call(request.method, request.target, request.body)


async def answer_request(request: bytes, writer) -> None:
    """Answer every request."""
    writer.write(build_response(request, b"ok"))


class PlatformInstanceCase(unittest.IsolatedAsyncioTestCase):
    """Test case that runs an instance; subclasses may override ``start_instance``."""

    async def asyncSetUp(self):
        self.clock = SystemClock()
        self.state = StoreState()
        self.store = StoreHandler(self.state)
        server = GatewayServer(
            self.store, RequestLimits(), self.clock, GatewayMetrics(), None
        )
        await server.start("127.0.0.1:0")
        self.addAsyncCleanup(server.close)
        self.target = ScriptedTarget(answer_request)
        self.target_server = await self.enterAsyncContext(self.target.server)
        self.client = HttpClient(self.clock)
        self.addCleanup(self.client.close)
        self.instance = PlatformInstance(
            EntrySettings(
                instance="front-1",
                data_centre="dc-1",
                listen="127.0.0.1:0",
                readiness_listen="127.0.0.1:0",
                metrics_listen="127.0.0.1:0",
                peer_listen="127.0.0.1:0",
                store_address=f"127.0.0.1:{server.port}",
                shutdown_grace_seconds=4,
            ),
            self.clock,
            incarnation=1,
        )
        self.stop = asyncio.Event()
        self.addAsyncCleanup(self.end)
        await self.start_instance()

    async def start_instance(self) -> None:
        """Start the instance."""
        self.task = asyncio.create_task(self.instance.serve(self.stop))

    async def end(self) -> None:
        self.stop.set()
        async with asyncio.timeout(10.0):
            await self.task

    def configure(self, version: int, **changes: object) -> None:
        """Write a configuration, as the operator does."""
        tenants = [{"name": "t", "apiKeys": [KEY]}]
        document = {**CONFIGURATION, "routes": [SAFE_ROUTE], "tenants": tenants}
        self.state.put_document(
            OPERATOR_TOPIC, "config", {**document, "version": version, **changes}
        )

    def register(self, *, key: str = "i-0", **changes: object) -> None:
        """Write the entry of the target, as the target does, or one of another key."""
        entry = {**SERVER, "service": "x", "address": self.target_server.address}
        entry["coldRemainingMs"] = 0
        self.state.put_document(SERVERS_TOPIC, key, {**entry, **changes})

    async def call(self, path: str = "/a/x", key: str = KEY) -> int:
        """Send a request to the instance and return the status."""
        headers = (
            ("Host", HOST),
            ("Carobladder-Request-Id", "ab12"),
            ("Carobladder-Deadline", "1500"),
            ("X-Api-Key", key),
        )
        found = await self.client.fetch(
            "GET",
            f"127.0.0.1:{self.instance.parts.server.port}",
            path,
            headers=headers,
            timeout_seconds=3.0,
        )
        return found.status

    async def wait_for(self, status: int, **options: str) -> None:
        """Send requests until one is answered with this status."""
        async with asyncio.timeout(5.0):
            while await self.call(**options) != status:
                await asyncio.sleep(0.05)

    async def wait_until_listening(self) -> None:
        async with asyncio.timeout(5.0):
            while not self.instance.parts.server.is_listening:
                await asyncio.sleep(0.01)
