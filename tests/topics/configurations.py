"""Large configurations and a store on a narrow link, for tests of storms."""

import asyncio
import json
import random
from dataclasses import replace

from carobladder.clock import VirtualClock
from carobladder.eras import EraMonitor
from carobladder.fleet import KeyedRecord, TargetTable
from carobladder.platform.names import CONFIGURATION_KEY, OPERATOR_TOPIC
from carobladder.platform.store import KeyedTopic
from carobladder.topics import (
    ConfigurationSelector,
    ControlState,
    TopicFollower,
    build_operator_policy,
)
from tests.platform.fake_store import FakeStore

REVOCATION_SECONDS = 5.0
CONFIGURATION_SECONDS = 3.0
_PIECE_BYTES = 32_768
_STEP_SECONDS = 0.02


def build_document(version: int, routes: int, changed: int = 0) -> bytes:
    """Return a configuration; ``changed`` of its routes depend on the version."""
    items = [
        {
            "name": f"route-{number}",
            "host": f"h{number % 40}.example.test",
            "pathPrefix": f"/v1/service-{number % 12}/path-{number}/",
            "kind": "safe",
            "timeoutMs": 1628.0 + (version if number < changed else 0),
            "targetLatencyMs": 217.0,
            "attempts": 2,
            "trafficSplit": [{"service": f"s{number % 12}", "weight": 0.9}],
        }
        for number in range(routes)
    ]
    return json.dumps({"version": version, "routes": items}).encode()


class LinkedStore(FakeStore):
    """Store behind a link of ``bytes_per_second``, whose waiting reads wait."""

    def __init__(self, clock: VirtualClock, bytes_per_second: float) -> None:
        super().__init__()
        self.received_bytes = 0
        self._clock = clock
        self._bytes_per_second = bytes_per_second
        self._step_bytes = round(bytes_per_second * _STEP_SECONDS)
        self._free_at = 0.0

    async def fetch(self, method, address, path, **options):
        """Answer after the time that the bytes take on the shared link."""
        if "waitMs=0" not in path and "log-read" in path:
            first = int(path.split("from=")[1].split("&")[0])
            while self.state.find_end(OPERATOR_TOPIC, 0) <= first:
                await self._clock.sleep(0.01)
        answer = await super().fetch(method, address, path, **options)
        began = self._clock.monotonic()
        await self._transfer(len(answer.body))
        return replace(answer, body_seconds=self._clock.monotonic() - began)

    async def _transfer(self, size: int) -> None:
        """Take turns with other answers; a cancelled one leaves the link."""
        while size > 0:
            await self._clock.sleep(max(0.0, self._free_at - self._clock.monotonic()))
            if self._clock.monotonic() < self._free_at:
                continue
            piece = min(size, max(_PIECE_BYTES, self._step_bytes))
            size -= piece
            self.received_bytes += piece
            free_at = max(self._free_at, self._clock.monotonic() - _STEP_SECONDS)
            self._free_at = free_at + piece / self._bytes_per_second


class OperatorInstance:
    """Instance that follows the operators' topic and applies configurations."""

    def __init__(
        self,
        clock: VirtualClock,
        store: FakeStore,
        *,
        is_reader: bool = True,
        eras: EraMonitor | None = None,
    ) -> None:
        self.orders: list[object] = []
        self.applied: list[KeyedRecord] = []
        self.control_state = ControlState(
            clock, TargetTable(), lambda target: None, 10.0, self.orders.append
        )
        self.selector = ConfigurationSelector(lambda: self.control_state.version)
        self.follower = TopicFollower(
            "operator",
            KeyedTopic(store.client, OPERATOR_TOPIC),
            clock,
            build_operator_policy(REVOCATION_SECONDS, CONFIGURATION_SECONDS),
            self.apply,
            lambda outage_seconds: None,
            random.Random(1),
            lambda: is_reader,
            eras,
            selector=self.selector,
        )

    def apply(self, record: KeyedRecord) -> None:
        """Apply a record."""
        self.applied.append(record)
        self.control_state.apply(self.selector.decode(record))

    @property
    def versions(self) -> list[int]:
        """Versions of the configurations that were passed on."""
        return [
            json.loads(record.value)["version"]
            for record in self.applied
            if record.key == CONFIGURATION_KEY and record.value
        ]


def put_configuration(store: FakeStore, value: bytes | None) -> int:
    """Write a configuration as operators do, and return its offset."""
    return store.state.put(OPERATOR_TOPIC, CONFIGURATION_KEY, value)


async def advance(clock: VirtualClock, seconds: float, step: float = 0.02) -> None:
    """Advance the clock in small steps while tasks run."""
    for _ in range(round(seconds / step)):
        clock.advance(step)
        for _ in range(12):
            await asyncio.sleep(0)
