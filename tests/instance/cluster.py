"""Small fleet in the process of the test, with simulated services on loopback."""

import asyncio
import contextlib
import hashlib
from typing import Any, Self

import zmq

from carobladder.clock import SystemClock
from carobladder.instance.runtime import Instance
from carobladder.settings.check import load_settings
from carobladder.settings.definition import variable_name
from standins.client import JsonAnswer, fetch_json
from standins.engine import EngineApp, EngineOptions
from standins.http import start_app
from standins.instances import InstancesApp, InstancesOptions
from standins.log import LogApp, LogOptions
from standins.service import ServiceApp, ServiceOptions

ADMIN_KEY = "operator-key-of-the-tests"
SALES_KEY = "key-of-team-sales"
OTHER_KEY = "key-of-team-other"
MODEL = "quotes"
TEST_TIMEOUT_SECONDS = 30.0


class LocalFleet:
    """Instances with a simulated platform and targets, as a context manager."""

    def __init__(self, instances: int = 2, engines: int = 2, **settings: str) -> None:
        self._counts = (instances, engines)
        self._settings = settings
        self._stack = contextlib.AsyncExitStack()
        public, secret = zmq.curve_keypair()
        self._keys = (public.decode(), secret.decode())
        self._stop_events: list[asyncio.Event] = []
        self.runs: list[asyncio.Task[int]] = []
        self.instances: list[Instance] = []
        self.engines: list[EngineApp] = []
        self.engine_addresses: list[str] = []
        self.service = ServiceApp(ServiceOptions(bookings_path="/reservations"))
        self.log = LogApp(LogOptions())
        self.list = InstancesApp(InstancesOptions(lag_seconds=0.0))

    async def __aenter__(self) -> Self:
        await self._stack.__aenter__()
        self.log_address = await self._start(self.log)
        self.list_address = await self._start(self.list)
        self.service_address = await self._start(self.service)
        instances, engines = self._counts
        for _ in range(engines):
            await self.add_engine()
        for number in range(instances):
            await self.add_instance(f"entry-{number}")
        await self._declare_resources()
        await self.wait_ready()
        return self

    async def __aexit__(self, *_: object) -> None:
        for number in range(len(self.runs)):
            self.stop(number)
        await asyncio.gather(*self.runs, return_exceptions=True)
        await self._stack.aclose()

    def address(self, number: int) -> str:
        """Return the address on which an instance serves callers."""
        return f"127.0.0.1:{self.instances[number].server.port}"

    def stop(self, number: int) -> None:
        """Start to drain an instance, as SIGTERM does."""
        self._stop_events[number].set()

    async def add_engine(self) -> None:
        """Start an engine that is warm from the start."""
        options = EngineOptions(
            model=MODEL, version="v1", known_versions="v1,v2", warm_tokens=0
        )
        engine = EngineApp(options)
        self.engines.append(engine)
        self.engine_addresses.append(await self._start(engine))

    async def add_instance(self, name: str) -> None:
        """Start an instance and register it in the instance list."""
        values = {
            "instance_id": name,
            "data_centre": "dc-1",
            "listen": "127.0.0.1:0",
            "peer_listen": "127.0.0.1:0",
            "log_url": f"http://{self.log_address}",
            "list_url": f"http://{self.list_address}",
            "peer_public_key": self._keys[0],
            "peer_secret_key": self._keys[1],
            "token_secret": "secret-of-the-tests",
            "admin_key": ADMIN_KEY,
            "heartbeat_seconds": "0.1",
            "lease_seconds": "1.0",
            "probe_seconds": "0.2",
            "drain_notice_seconds": "0.2",
            **self._settings,
        }
        environment = {variable_name(key): value for key, value in values.items()}
        instance = Instance(load_settings({}, environment), SystemClock())
        stop = asyncio.Event()
        self.instances.append(instance)
        self._stop_events.append(stop)
        self.runs.append(asyncio.create_task(instance.serve(stop)))
        await asyncio.wait_for(instance.listening.wait(), TEST_TIMEOUT_SECONDS)
        entry = {
            "kind": "entry",
            "address": self.address(len(self.instances) - 1),
            "peer_address": instance.peer_address,
            "data_centre": "dc-1",
            "state": "live",
        }
        path = f"/v1/instances/{name}"
        await fetch_json("PUT", self.list_address, path, entry)

    async def put(self, kind: str, name: str, spec: dict[str, Any]) -> JsonAnswer:
        """Declare a resource through the first instance."""
        headers = {"Authorization": f"Bearer {ADMIN_KEY}"}
        path = f"/admin/v1/{kind}/{name}"
        body = {"spec": spec}
        answer = await fetch_json("PUT", self.address(0), path, body, headers=headers)
        if answer.status != 200:
            raise AssertionError(f"{kind}/{name} was rejected: {answer}")
        return answer

    async def wait_ready(self) -> None:
        """Wait until every running instance is ready and can serve a chat."""
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            for number, run in enumerate(self.runs):
                while not run.done() and not self.instances[number].ready:
                    await asyncio.sleep(0.05)
                while not run.done() and not await self._can_serve(number):
                    await asyncio.sleep(0.05)

    async def _can_serve(self, number: int) -> bool:
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": "ready?"}],
            "max_tokens": 1,
        }
        answer = await self.call(number, "POST", "/v1/chat/completions", body)
        return answer.status == 200

    async def call(
        self,
        number: int,
        method: str,
        path: str,
        body: Any = None,
        key: str = SALES_KEY,
        **headers: str,
    ) -> JsonAnswer:
        """Send a team's request through an instance."""
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        return await fetch_json(
            method,
            self.address(number),
            path,
            body,
            headers={"Authorization": f"Bearer {key}", **named},
        )

    async def _start(self, app: Any) -> str:
        return await self._stack.enter_async_context(start_app(app))

    async def _declare_resources(self) -> None:
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while not self.instances[0]._configuration.catalog.loaded:
                await asyncio.sleep(0.05)
        await self.put("data-centre", "dc-1", {"region": "r-1"})
        model = {"versions": ["v1"], "shares": {"v1": 1.0}}
        await self.put("model", MODEL, model)
        await self.put("service", "reservations", {"path_prefix": "/reservations"})
        for name, key in (("sales", SALES_KEY), ("other", OTHER_KEY)):
            spec = {
                "credentials": [hashlib.sha256(key.encode()).hexdigest()],
                "models": [MODEL] if name == "sales" else [],
                "services": ["reservations"],
            }
            await self.put("team", name, spec)
        for number, address in enumerate(self.engine_addresses):
            await self._put_target(f"engine-{number}", MODEL, address)
        await self._put_target("service-0", "reservations", self.service_address)

    async def _put_target(self, name: str, pool: str, address: str) -> None:
        spec = {"pool": pool, "data_centre": "dc-1", "address": address}
        if pool == MODEL:
            spec["version"] = "v1"
        await self.put("target", name, spec)
