"""Client of the platform's eventually consistent list of instances and targets."""

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Literal

import msgspec
from returns.result import Failure, Result, Success

from carobladder.clients.ports import HttpFetcher
from carobladder.clock import Clock
from carobladder.exceptions import ConnectionBrokenError
from carobladder.membership.views import ListedInstance
from carobladder.telemetry import log_event

__all__ = ["InstanceList", "InstanceListClient", "InstanceListPoller", "ListedTarget"]

TIMEOUT_SECONDS = 2.0
POLL_SECONDS = 1.0
_PATH = "/v1/instances"


@dataclass(frozen=True, slots=True)
class ListedTarget:
    """Target as it appears in the platform's list."""

    target_id: str
    address: str
    data_centre: str
    leaving: bool


@dataclass(frozen=True, slots=True)
class InstanceList:
    """Instances and targets in one response of the platform."""

    instances: tuple[ListedInstance, ...]
    targets: tuple[ListedTarget, ...]


class _ListedItem(msgspec.Struct):
    id: str
    kind: Literal["entry", "target"]
    address: str
    data_centre: str
    state: Literal["live", "leaving"]
    peer_address: str = ""


class _ListResponse(msgspec.Struct):
    instances: list[_ListedItem]


class InstanceListClient:
    """Client of the instance list service at IP:PORT."""

    def __init__(self, fetcher: HttpFetcher, address: str) -> None:
        self._fetcher = fetcher
        self._address = address

    async def read(self) -> Result[InstanceList, str]:
        """Return the list, or the reason of the failure."""
        try:
            answer = await self._fetcher.fetch(
                "GET", self._address, _PATH, timeout_seconds=TIMEOUT_SECONDS
            )
        except ConnectionBrokenError as error:
            return Failure(f"instance list did not respond: {error}")
        if answer.status != HTTPStatus.OK:
            return Failure(f"instance list responded with status {answer.status}")
        try:
            decoded = msgspec.json.decode(answer.body, type=_ListResponse)
        except msgspec.DecodeError as error:
            return Failure(f"cannot decode the instance list: {error}")
        return Success(_convert(decoded))


class InstanceListPoller:
    """Periodic task that passes each list it reads to ``on_list``.

    ``on_list`` is not called for a failed read, so the last list stays in force.
    """

    def __init__(
        self,
        client: InstanceListClient,
        clock: Clock,
        on_list: Callable[[InstanceList], None],
    ) -> None:
        self._client = client
        self._clock = clock
        self._on_list = on_list
        self._failing = False

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            await self._clock.sleep(POLL_SECONDS)

    async def poll(self) -> None:
        """Read the list once; log only the first of consecutive failures."""
        result = await self._client.read()
        if isinstance(result, Success):
            self._failing = False
            self._on_list(result.unwrap())
        elif not self._failing:
            self._failing = True
            log_event("instance_list_unavailable", reason=result.failure())


def _convert(answer: _ListResponse) -> InstanceList:
    instances = []
    targets = []
    for item in answer.instances:
        leaving = item.state == "leaving"
        if item.kind == "entry":
            instances.append(
                ListedInstance(item.id, item.peer_address, item.data_centre, leaving)
            )
        else:
            targets.append(
                ListedTarget(item.id, item.address, item.data_centre, leaving)
            )
    return InstanceList(tuple(instances), tuple(targets))
