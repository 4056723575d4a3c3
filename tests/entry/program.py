"""Test case with the entry program as a process, beside a store and targets."""

import asyncio
import os
import re
import socket
import sys
import tempfile
import unittest
from pathlib import Path

from carobladder.clock import SystemClock
from carobladder.gateway.requests import RequestLimits
from carobladder.gateway.server import GatewayServer
from carobladder.telemetry import GatewayMetrics
from standins.store import StoreState
from tests.entry.fixtures import OPERATOR_TOPIC, SERVERS_TOPIC, StoreHandler
from tests.forwarding.fixtures import (
    HOST,
    KEY,
    ScriptedTarget,
    build_request,
    build_response,
)
from tests.platform.test_documents import CONFIGURATION, ROUTE, SERVER

_ROOT = Path(__file__).resolve().parents[2]
_START_SECONDS = 10.0
_POLL_SECONDS = 0.05
_NEIGHBOUR_SECONDS = 0.05
_RECEIVE_BYTES = 4096
_SETTINGS = """
instance = "front-1"
data_centre = "dc-1"
listen = "127.0.0.1:{listen}"
readiness_listen = "127.0.0.1:{readiness}"
metrics_listen = "127.0.0.1:{metrics}"
peer_listen = "127.0.0.1:{peer}"
store_address = "127.0.0.1:{store}"
memory_mb = {memory_mb}
"""


def build_program_route(name: str, service: str, **changes: object) -> dict:
    """Return a route with the path prefix /NAME/, as the operator writes it."""
    return {
        **ROUTE,
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "trafficSplit": [],
        "service": service,
        "attempts": 1,
        "sticky": False,
        **changes,
    }


async def answer(request: bytes, writer: asyncio.StreamWriter) -> None:
    """Answer every request."""
    writer.write(build_response(request, b"ok"))


class EntryProgramCase(unittest.IsolatedAsyncioTestCase):
    """Test case that runs the entry program; subclasses configure and start it."""

    MEMORY_MB = 160

    async def asyncSetUp(self):
        self.state = StoreState()
        store = GatewayServer(
            StoreHandler(self.state),
            RequestLimits(),
            SystemClock(),
            GatewayMetrics(),
            None,
        )
        await store.start("127.0.0.1:0")
        self.addAsyncCleanup(store.close)
        self._store_port = store.port
        self._folder = Path(self.enterContext(tempfile.TemporaryDirectory()))

    def configure(self, routes: list[dict], services: list[str]) -> None:
        """Write a configuration whose services have room for all requests."""
        declared = [
            {"name": name, "healthPath": "/health", "maxConnections": 5000}
            for name in services
        ]
        tenants = [{"name": "t", "apiKeys": [KEY]}]
        document = {
            **CONFIGURATION,
            "routes": routes,
            "services": declared,
            "tenants": tenants,
        }
        self.state.put_document(OPERATOR_TOPIC, "config", document)

    def register(self, key: str, service: str, address: str) -> None:
        """Write the entry of a target."""
        entry = {**SERVER, "service": service, "address": address, "slots": 5000}
        entry["coldRemainingMs"] = 0
        self.state.put_document(SERVERS_TOPIC, key, entry)

    async def start_target(self, key: str, service: str, script) -> str:
        """Start and register a target that runs a script; return its address."""
        server = await self.enterAsyncContext(ScriptedTarget(script).server)
        self.register(key, service, server.address)
        return server.address

    async def start_program(self) -> None:
        """Start the program and wait until it is ready."""
        ports = _find_free_ports(4)
        self.port, self._readiness_port, self.metrics_port, peer = ports
        settings = self._folder / "settings.toml"
        settings.write_text(
            _SETTINGS.format(
                listen=self.port,
                readiness=self._readiness_port,
                metrics=self.metrics_port,
                peer=peer,
                store=self._store_port,
                memory_mb=self.MEMORY_MB,
            )
        )
        self.log_path = self._folder / "log"
        with self.log_path.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "carobladder.entry",
                cwd=_ROOT,
                env={**os.environ, "CAROBLADDER_SETTINGS": str(settings)},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.addAsyncCleanup(self._end_program)
        async with asyncio.timeout(_START_SECONDS):
            while b" 200 " not in await self._fetch(self._readiness_port, "/readyz"):
                await asyncio.sleep(_POLL_SECONDS)

    async def _end_program(self) -> None:
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()

    async def _fetch(self, port: int, path: str) -> bytes:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            return b""
        writer.write(
            f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode()
        )
        answer = await reader.read()
        writer.close()
        return answer

    async def call(self, path: str, seconds: float) -> bytes:
        """Return the bytes that a caller gets on a connection of its own.

        ``seconds`` is its deadline. They are empty if no end has come in twice that, or
        if the program takes no connection.
        """
        fields = {"Carobladder-Deadline": f"{seconds * 1000:.0f}"}
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            return b""
        writer.write(build_request(path, method="GET", **fields))
        try:
            async with asyncio.timeout(2 * seconds):
                return await reader.read()
        except (TimeoutError, ConnectionResetError):
            return b""
        finally:
            writer.transport.abort()

    async def call_neighbour(self, seconds: float, statuses: list[bytes]) -> None:
        """Call a sound target again and again, and add the status of each answer."""
        while True:
            answered = await self.call("/sound/x", seconds)
            statuses.append(answered[9:12])
            await asyncio.sleep(_NEIGHBOUR_SECONDS)

    async def stall(self, path: str, seconds: float, **request) -> socket.socket:
        """Return a connection with an answer of which only one byte is read.

        ``seconds`` is the deadline of the call, and the longest wait for that byte.
        """
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        self.addCleanup(sock.close)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BYTES)
        sock.setblocking(False)
        await loop.sock_connect(sock, ("127.0.0.1", self.port))
        fields = {"Carobladder-Deadline": f"{seconds * 1000:.0f}"}
        await loop.sock_sendall(sock, build_request(path, **request, **fields))
        async with asyncio.timeout(seconds):
            self.assertEqual(await loop.sock_recv(sock, 1), b"H")
        return sock

    async def read_metric(self, name: str) -> float:
        """Return the sum of the samples of a metric."""
        text = (await self._fetch(self.metrics_port, "/metrics")).decode()
        values = re.findall(rf"^{name}(?:{{.*}})? (\S+)$", text, re.MULTILINE)
        return sum(float(value) for value in values)

    def read_peak_mb(self) -> float:
        """Return the highest resident memory of the process."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        match = re.search(r"VmHWM:\s+(\d+) kB", status)
        assert match is not None
        return int(match[1]) * 1024 / 1_000_000


def _find_free_ports(count: int) -> list[int]:
    """Return TCP ports of the loopback address that nothing listens on."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports
