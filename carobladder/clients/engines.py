"""Client of model engines and periodic probes of the owned targets."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus
from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

from carobladder.clients.ports import HttpAnswer, HttpFetcher
from carobladder.clock import Clock
from carobladder.exceptions import ConnectionBrokenError
from carobladder.limits.declarations import TargetDeclaration, TargetLoadReport

__all__ = [
    "CacheEvent",
    "CacheEvents",
    "EngineClient",
    "LoadReport",
    "OrderOutcome",
    "TargetProber",
]

ORDER_TIMEOUT_SECONDS = 5.0
TRANSFER_TIMEOUT_SECONDS = 30.0
_T = TypeVar("_T")
_BOOT_HEADER = "x-boot-id"
_JSON_HEADERS = (("content-type", "application/json"), ("accept", "application/json"))


class LoadReport(msgspec.Struct, frozen=True):
    """Load that an engine reports about itself, possibly outdated.

    ``bearable`` is the admissible load in slots.
    """

    boot_id: str
    ready: bool
    cold: bool = False
    running: int = 0
    waiting: int = 0
    bearable: int | None = None
    version: str = ""


class CacheEvent(msgspec.Struct, frozen=True):
    """Blocks that an engine stored in its prefix cache or removed from it."""

    sequence: int
    type: str
    blocks: tuple[str, ...]


class CacheEvents(msgspec.Struct, frozen=True):
    """Published cache events and the sequence number to read next.

    Sequence numbers have gaps where the engine lost events.
    """

    boot_id: str
    events: tuple[CacheEvent, ...]
    next: int


class OrderOutcome(Enum):
    """Outcome of an order to an engine."""

    ACCEPTED = "accepted"
    STALE = "stale"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    NOT_SENT = "not_sent"


class _Order(msgspec.Struct):
    fencing: int
    action: str
    version: str


@dataclass(frozen=True, slots=True)
class _EngineRequest:
    method: str
    path: str
    body: bytes
    timeout_seconds: float


class EngineClient:
    """Client of the HTTP interface of model engines at IP:PORT."""

    def __init__(self, fetcher: HttpFetcher) -> None:
        self._fetcher = fetcher

    async def read_load(
        self, address: str, timeout_seconds: float
    ) -> Result[LoadReport, str]:
        """Return the load report, or the reason of the failure.

        The boot id in the response header is always current; if it differs from the
        report's, the report is from before a restart and only the header is used.
        """
        call = _EngineRequest("GET", "/load", b"", timeout_seconds)
        answer = await self._call(address, call)
        if isinstance(answer, ConnectionBrokenError):
            return Failure(str(answer))
        report = _decode(answer, LoadReport)
        current = dict(answer.headers).get(_BOOT_HEADER, "")
        if isinstance(report, Success) and current not in ("", report.unwrap().boot_id):
            return Success(LoadReport(boot_id=current, ready=True, cold=True))
        return report

    async def read_cache_events(
        self, address: str, start: int, timeout_seconds: float
    ) -> Result[CacheEvents, str]:
        """Return the cache events from sequence number ``start`` on, or the failure."""
        call = _EngineRequest(
            "GET", f"/cache-events?from={start}", b"", timeout_seconds
        )
        answer = await self._call(address, call)
        if isinstance(answer, ConnectionBrokenError):
            return Failure(str(answer))
        return _decode(answer, CacheEvents)

    async def send_order(
        self, address: str, fencing: int, action: str, version: str
    ) -> OrderOutcome:
        """Send an order; UNKNOWN means that the engine may have executed it."""
        body = msgspec.json.encode(_Order(fencing, action, version))
        call = _EngineRequest("POST", "/orders", body, ORDER_TIMEOUT_SECONDS)
        answer = await self._call(address, call)
        if isinstance(answer, ConnectionBrokenError):
            written = answer.request_written
            return OrderOutcome.UNKNOWN if written else OrderOutcome.NOT_SENT
        if answer.status == HTTPStatus.CONFLICT:
            return OrderOutcome.STALE
        if answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            return OrderOutcome.UNKNOWN
        if answer.status >= HTTPStatus.BAD_REQUEST:
            return OrderOutcome.REFUSED
        return OrderOutcome.ACCEPTED

    async def export_cache(self, address: str, request: bytes) -> Result[bytes, str]:
        """Return the cache blocks of a completion request's prompt, or the failure."""
        return await self._transfer(address, "/kv/export", request)

    async def import_cache(self, address: str, blocks: bytes) -> Result[bytes, str]:
        """Store exported cache blocks at another engine."""
        return await self._transfer(address, "/kv/import", blocks)

    async def _transfer(
        self, address: str, path: str, body: bytes
    ) -> Result[bytes, str]:
        call = _EngineRequest("POST", path, body, TRANSFER_TIMEOUT_SECONDS)
        answer = await self._call(address, call)
        if isinstance(answer, ConnectionBrokenError):
            return Failure(str(answer))
        if answer.status != HTTPStatus.OK:
            return Failure(f"engine responded with status {answer.status}")
        return Success(answer.body)

    async def _call(
        self, address: str, call: _EngineRequest
    ) -> HttpAnswer | ConnectionBrokenError:
        try:
            return await self._fetcher.fetch(
                call.method,
                address,
                call.path,
                headers=_JSON_HEADERS,
                body=call.body,
                timeout_seconds=call.timeout_seconds,
            )
        except ConnectionBrokenError as error:
            return error


class TargetProber:
    """Periodic task that reads the load of each owned target.

    ``record_probe`` is called with the target's id and its probe, or None if the
    target gave no usable report. ``probe_seconds`` is both interval and timeout.
    """

    def __init__(
        self,
        client: EngineClient,
        clock: Clock,
        probe_seconds: float,
        list_owned: Callable[[], Iterable[TargetDeclaration]],
        record_probe: Callable[[str, TargetLoadReport | None], None],
    ) -> None:
        self._client = client
        self._clock = clock
        self._probe_seconds = probe_seconds
        self._list_owned = list_owned
        self._record_probe = record_probe

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            started = self._clock.monotonic()
            await self.probe_all()
            elapsed = self._clock.monotonic() - started
            await self._clock.sleep(max(0.0, self._probe_seconds - elapsed))

    async def probe_all(self) -> None:
        """Probe all owned targets concurrently."""
        await asyncio.gather(*(self._probe(item) for item in self._list_owned()))

    async def _probe(self, declaration: TargetDeclaration) -> None:
        state = declaration.state
        result = await self._client.read_load(state.address, self._probe_seconds)
        probe = None
        if isinstance(result, Success):
            report = result.unwrap()
            probe = TargetLoadReport(
                boot_id=report.boot_id,
                ready=report.ready,
                cold=report.cold,
                bearable=report.bearable,
                running=report.running,
                waiting=report.waiting,
            )
        self._record_probe(state.target_id, probe)


def _decode(answer: HttpAnswer, kind: type[_T]) -> Result[_T, str]:
    if answer.status != HTTPStatus.OK:
        return Failure(f"engine responded with status {answer.status}")
    try:
        return Success(msgspec.json.decode(answer.body, type=kind))
    except msgspec.DecodeError as error:
        return Failure(f"cannot decode the engine's response: {error}")
