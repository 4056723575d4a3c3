"""State of the engine that orders and restarts change."""

import asyncio
import secrets
from dataclasses import dataclass, field
from typing import Any

from carobladder.clock import Clock
from standins.engine.batch import Batch
from standins.engine.cache import PrefixCache
from standins.engine.load import LaggingReports
from standins.engine.options import EngineOptions
from standins.engine.orders import Fence, Order
from standins.engine.warmth import Warmth
from standins.http import RequestError

__all__ = ["Counters", "EngineState"]


@dataclass(slots=True)
class Counters:
    """Count what the engine did; tests and the demonstration compare these.

    ``cold_excess`` counts requests that arrived over the bearable slots.
    """

    requests: int = 0
    whole: int = 0
    cancelled: int = 0
    failed: int = 0
    cold_excess: int = 0
    resumed: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    peak_slots: int = 0
    by_version: dict[str, int] = field(default_factory=dict)


class EngineState:
    """Own the batch, the cache, the loaded version and the warmth."""

    def __init__(self, options: EngineOptions, clock: Clock) -> None:
        self._options = options
        self._clock = clock
        self.boot_id = secrets.token_hex(8)
        self.version = options.version
        self.role = options.role
        self.adapters: set[str] = set()
        self.fetched = {options.version}
        self.ready = True
        self.fence = Fence(options)
        self.warmth = Warmth(options)
        self.cache = PrefixCache(options, clock)
        self.counters = Counters()
        self.batch = Batch(options, clock, self._step_factor, self._add_work)
        self._reports = LaggingReports(clock, options.load_lag_seconds)
        self._tasks: set[asyncio.Task[None]] = set()
        self.record_load()

    def start(self) -> None:
        """Start the step loop."""
        self._spawn(self.batch.run())

    async def stop(self) -> None:
        """Stop the step loop and running orders."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _step_factor(self) -> float:
        return self.warmth.step_factor(self.batch.weight)

    def _add_work(self, tokens: int) -> None:
        self.warmth.add_work(tokens)
        self.record_load()

    def record_load(self) -> None:
        """Record the load as of now."""
        self._reports.record(
            {
                "boot_id": self.boot_id,
                "ready": self.ready,
                "cold": self.warmth.cold,
                "running": self.batch.running,
                "waiting": self.batch.waiting,
                "bearable": self.warmth.bearable,
                "version": self.version,
            }
        )

    def show_load(self) -> dict[str, Any]:
        """Return the load as of the reporting lag ago."""
        return self._reports.show()

    def restart(self) -> None:
        """Become cold with a new boot id, an empty cache and no warning."""
        self.boot_id = secrets.token_hex(8)
        self.cache.clear()
        self.warmth.reset()
        self.record_load()

    def obey(self, order: Order) -> None:
        """Start to carry out an order; raises RequestError if it cannot be."""
        self.fence.check(order)
        if order.action == "set-role":
            self.role = order.version
        elif order.action == "load-adapter":
            self._spawn(self._fetch_adapter(order.version))
        elif order.action == "unload":
            if order.version == self.version:
                raise RequestError(422, "the version is in use; load another first")
            self.fetched.discard(order.version)
        else:
            self._check_known(order.version)
            self._spawn(self._load(order))

    def _check_known(self, version: str) -> None:
        if version not in self._options.known_versions.split(","):
            raise RequestError(404, f"the weight store has no version {version}")

    async def _load(self, order: Order) -> None:
        if order.action == "load" and order.version != self.version:
            self.ready = False
            self.record_load()
        if order.version not in self.fetched:
            await self._fetch(self._options.weights_bytes)
            self.fetched.add(order.version)
        if order.action == "prefetch" or order.version == self.version:
            return
        # A later order may have been accepted while this one fetched weights.
        if order.fencing >= self.fence.greatest or not self._options.checks_fencing:
            self.version = order.version
            self.restart()
        self.ready = True
        self.record_load()

    async def _fetch_adapter(self, name: str) -> None:
        await self._fetch(self._options.weights_bytes // 100)
        self.adapters.add(name)

    async def _fetch(self, size: int) -> None:
        options = self._options
        seconds = size / options.weight_bytes_per_second / options.speed
        await self._clock.sleep(seconds)
