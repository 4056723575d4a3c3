"""A whole deployment as processes: platform, targets and entry instances."""

import asyncio
import os
import secrets
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable, Mapping
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Self

import zmq

from carobladder.settings.definition import ENVIRONMENT_PREFIX, variable_name
from demo.deployments import VERSION, Declaration, Deployment, declare_resources
from demo.ports import PortPicker
from demo.processes import Child, ChildGroup
from standins.client import JsonAnswer, fetch_json

__all__ = ["EntryInstance", "Fleet", "FleetError", "FleetOptions"]

_ROOT = Path(__file__).resolve().parent.parent
_POLL_SECONDS = 0.1
_CALL_SECONDS = 5.0
_SERVE = (sys.executable, "-m", "carobladder", "serve")


class FleetError(Exception):
    """Report a part of the fleet that did not start or did not answer in time."""


@dataclass(frozen=True, slots=True)
class FleetOptions:
    """Choose how the fleet runs; ``settings`` are further instance settings."""

    start_seconds: float = 30.0
    stop_seconds: float = 8.0
    list_lag_seconds: float = 0.5
    engine_arguments: tuple[str, ...] = ("--warm-tokens", "1500")
    settings: tuple[tuple[str, str], ...] = (
        ("drain_notice_seconds", "0.2"),
        ("drain_limit_seconds", "5"),
        ("log_level", "warning"),
    )
    entry_command: tuple[str, ...] = _SERVE


@dataclass(frozen=True, slots=True)
class EntryInstance:
    """Describe one entry instance and its process."""

    name: str
    address: str
    peer_address: str
    data_centre: str
    child: Child

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self.child.pid


class Fleet:
    """Start a deployment on entering; end all its processes on leaving.

    Entering raises FleetError that names the part that failed.
    """

    def __init__(
        self, deployment: Deployment, options: FleetOptions | None = None
    ) -> None:
        self.deployment = deployment
        self.options = options or FleetOptions()
        self.instances: list[EntryInstance] = []
        self.engines: list[str] = []
        self.services: list[str] = []
        self.log_address = ""
        self.list_address = ""
        self.stuck: list[str] = []
        self.admin_key = secrets.token_hex(16)
        self._ports = PortPicker()
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Start all processes, declare the resources and wait until ready."""
        async with AsyncExitStack() as stack:
            directory = stack.enter_context(tempfile.TemporaryDirectory("-fleet"))
            self._children = ChildGroup(Path(directory))
            stack.push_async_callback(self._stop)
            await self._start()
            self._stack = stack.pop_all()
        return self

    async def __aexit__(self, *details: Any) -> None:
        """End all processes."""
        await self._stack.aclose()

    async def _stop(self) -> None:
        stuck = await self._children.stop(self.options.stop_seconds)
        self.stuck = [child.name for child in stuck]

    async def _start(self) -> None:
        await self._start_platform()
        await self._start_targets()
        await self._wait_all("/faults", [*self.platform, *self.engines, *self.services])
        await self._start_instances()
        await self._wait_all("/healthz", [item.address for item in self.instances])
        await self._declare_all()
        await self._wait_all("/readyz", [item.address for item in self.instances])

    @property
    def platform(self) -> list[str]:
        """Return the addresses of the log and the list."""
        return [self.log_address, self.list_address]

    async def _start_platform(self) -> None:
        self.log_address = await self._start_standin("log")
        lag = ("--lag-seconds", str(self.options.list_lag_seconds))
        self.list_address = await self._start_standin("instances", *lag)

    async def _start_targets(self) -> None:
        deployment = self.deployment
        for index in range(deployment.model.servers):
            arguments = self._engine_arguments(index)
            address = await self._start_standin("engine", *arguments, index=index)
            self.engines.append(address)
        addresses = [self._ports.pick() for _ in range(deployment.bookings.servers)]
        for index, address in enumerate(addresses):
            arguments = self._service_arguments(address, addresses)
            await self._start_standin(
                "service", *arguments, index=index, address=address
            )
            self.services.append(address)

    def _engine_arguments(self, index: int) -> list[str]:
        deployment = self.deployment
        values = {
            "--model": deployment.model.name,
            "--version": VERSION,
            "--known-versions": f"{VERSION},v2,v3",
            "--slots": str(deployment.engine_slots),
            "--cold-slots": str(deployment.engine_cold_slots),
            "--seed": str(index + 1),
        }
        pairs = [text for pair in values.items() for text in pair]
        return [*pairs, *self.options.engine_arguments]

    def _service_arguments(self, address: str, addresses: list[str]) -> list[str]:
        arguments = ["--bookings-path", self.deployment.bookings_path]
        arguments += ["--stock-path", self.deployment.stock_path]
        arguments += ["--bearable", str(self.deployment.service_slots)]
        for other in addresses:
            if other != address:
                arguments += ["--siblings", other]
        return arguments

    async def _start_standin(
        self, kind: str, *arguments: str, index: int = 0, address: str = ""
    ) -> str:
        address = address or self._ports.pick()
        command = [sys.executable, "-m", f"standins.{kind}", "--listen", address]
        name = f"{kind}-{index + 1}"
        await self._children.start(name, [*command, *arguments], _environment({}))
        return address

    async def _start_instances(self) -> None:
        public_key, secret_key = zmq.curve_keypair()
        shared = {
            "log_url": f"http://{self.log_address}",
            "list_url": f"http://{self.list_address}",
            "peer_public_key": public_key.decode(),
            "peer_secret_key": secret_key.decode(),
            "token_secret": secrets.token_hex(16),
            "admin_key": self.admin_key,
            **dict(self.options.settings),
        }
        for index in range(self.deployment.instances):
            instance = await self._start_instance(index, shared)
            self.instances.append(instance)
            await self.list_instance(instance)

    async def _start_instance(
        self, index: int, shared: Mapping[str, str]
    ) -> EntryInstance:
        name = f"entry-{index + 1}"
        address, peer_address = self._ports.pick(), self._ports.pick()
        settings = {
            **shared,
            "instance_id": name,
            "data_centre": self.deployment.data_centre(index),
            "listen": address,
            "peer_listen": peer_address,
        }
        child = await self._children.start(
            name, self.options.entry_command, _environment(settings)
        )
        data_centre = settings["data_centre"]
        return EntryInstance(name, address, peer_address, data_centre, child)

    async def list_instance(self, instance: EntryInstance, state: str = "live") -> None:
        """Put an instance on the platform's list."""
        entry = {
            "kind": "entry",
            "address": instance.address,
            "peer_address": instance.peer_address,
            "data_centre": instance.data_centre,
            "state": state,
        }
        await self._call_list("PUT", instance.name, entry)

    async def unlist_instance(self, instance: EntryInstance) -> None:
        """Remove an instance from the platform's list."""
        await self._call_list("DELETE", instance.name, None)

    async def _call_list(self, method: str, name: str, body: Any) -> None:
        path = f"/v1/instances/{name}"
        await fetch_json(method, self.list_address, path, body)

    def kill_instance(self, instance: EntryInstance) -> None:
        """Kill an instance by its pid, without any notice."""
        instance.child.send(signal.SIGKILL)

    async def _declare_all(self) -> None:
        groups = declare_resources(self.deployment, self.engines, self.services)
        for group in groups:
            await asyncio.gather(*(self.declare(item) for item in group))

    async def declare(self, declaration: Declaration) -> JsonAnswer:
        """Put a resource, repeated while the fleet cannot accept it yet."""
        path = f"/admin/v1/{declaration.kind}/{declaration.name}"
        headers = {"Authorization": f"Bearer {self.admin_key}"}
        body = {"spec": declaration.spec}

        async def put() -> JsonAnswer | None:
            # Any instance accepts changes; the first that runs is as good as any.
            address = next(i.address for i in self.instances if i.child.running)
            answer = await fetch_json("PUT", address, path, body, headers)
            if answer.status in (429, 503):
                return None
            if answer.status >= 300:
                raise FleetError(f"PUT {path}: {answer.status} {answer.body}")
            return answer

        return await self._repeat(f"PUT {path}", put)

    async def _wait_all(self, path: str, addresses: list[str]) -> None:
        async def check(address: str) -> JsonAnswer:
            async def get() -> JsonAnswer | None:
                answer = await fetch_json(
                    "GET", address, path, timeout_seconds=_CALL_SECONDS
                )
                return answer if answer.status == 200 else None

            return await self._repeat(f"GET {path} of {address}", get)

        await asyncio.gather(*(check(address) for address in addresses))

    async def _repeat(
        self, action: str, call: Callable[[], Awaitable[JsonAnswer | None]]
    ) -> JsonAnswer:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self.options.start_seconds
        reason = "no success"
        while loop.time() < deadline:
            self.check_processes()
            try:
                if (answer := await call()) is not None:
                    return answer
            except OSError as error:
                reason = str(error) or type(error).__name__
            await asyncio.sleep(_POLL_SECONDS)
        raise FleetError(
            f"{action} failed for {self.options.start_seconds} s: {reason}"
        )

    def check_processes(self) -> None:
        """Raise FleetError if a process ended without being told to."""
        for child in self._children.list_failed():
            tail = child.read_log_tail()
            raise FleetError(f"{child.name} ended with {child.status}:\n{tail}")


def _environment(settings: Mapping[str, str]) -> dict[str, str]:
    kept = {
        name: value
        for name, value in os.environ.items()
        if not name.startswith(ENVIRONMENT_PREFIX)
    }
    chosen = {variable_name(name): value for name, value in settings.items()}
    return {**kept, "PYTHONPATH": str(_ROOT), **chosen}
