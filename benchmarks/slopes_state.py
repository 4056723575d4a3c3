"""Cost of configuration, placement, claims, metrics and evidence, by size."""

import asyncio
import gc
import hashlib
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from benchmarks.capacity_size import SIZE
from carobladder.bookings.claims import Claim, Completion, decode_record, encode_record
from carobladder.bookings.ledger import ClaimLedger
from carobladder.clients.instances import InstanceListClient
from carobladder.clients.ports import HttpAnswer
from carobladder.clock import SystemClock
from carobladder.gateway.ports import ChatRequest, ChatTurn
from carobladder.instance.declarations import declare_targets
from carobladder.instance.directory import LiveDirectory
from carobladder.instance.placement import FleetPlacement
from carobladder.moves.evidence import (
    Counts,
    EvidenceKey,
    EvidenceReport,
    EvidenceStore,
)
from carobladder.peers import EvidenceItem
from carobladder.placement.policy import PlacementPolicy
from carobladder.placement.tokens import TokenSigner
from carobladder.resources import Catalog, ConfiguredDirectory
from carobladder.resources.records import Change
from carobladder.resources.records import decode_record as decode_config
from carobladder.resources.records import encode_record as encode_config
from carobladder.resources.snapshots import split_snapshot
from carobladder.targets import RequestClass, TargetState
from carobladder.telemetry import GatewayMetrics

__all__ = [
    "ClaimCost",
    "ConfigCost",
    "EvidenceCost",
    "ListCost",
    "RequestCost",
    "measure_claims",
    "measure_config",
    "measure_evidence",
    "measure_list",
    "measure_metrics",
    "measure_request",
]

_AT = 1767225600.0
_REPEATS = 20


def _time(work: Callable[[], object], repeats: int = _REPEATS) -> float:
    """Return the least processor seconds of one call."""
    best = float("inf")
    for _ in range(repeats):
        started = time.process_time()
        work()
        best = min(best, time.process_time() - started)
    return best


def _measure_bytes(build: Callable[[], object]) -> tuple[object, int]:
    """Return what was built and the bytes that it holds."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    built = build()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return built, size


@dataclass(frozen=True, slots=True)
class ConfigCost:
    """State the cost of the configuration; times in processor seconds."""

    state_bytes: float
    apply_seconds: float
    index_seconds: float
    declare_seconds: float
    record_bytes: float
    snapshot_bytes: float
    snapshot_seconds: float


def build_catalog(instances: int) -> Catalog:
    """Return a catalog with the part of teams, models and targets."""
    share = instances / SIZE.instances
    catalog = Catalog()
    for offset, change in enumerate(_list_changes(share)):
        record = decode_config(encode_config(change))
        entry = catalog.apply(offset, record)
        assert entry is not None and entry.accepted, entry
    catalog.mark_loaded()
    return catalog


def _list_changes(share: float) -> list[Change]:
    changes = []
    for index in range(SIZE.data_centres):
        spec = {"region": f"region-{index % SIZE.regions}"}
        changes.append(_put("data-centre", f"dc-{index:02}", spec))
    models = [f"model-{index:02}" for index in range(SIZE.models)]
    for name in models:
        spec = {"versions": ["v1", "v2"], "shares": {"v1": 0.9, "v2": 0.1}}
        changes.append(_put("model", name, spec))
    for index in range(max(1, round(SIZE.targets * share))):
        changes.append(_put("target", f"engine-{index:04}", describe_target(index)))
    for index in range(max(1, round(SIZE.teams * share))):
        changes.append(_put("team", f"team-{index:04}", _describe_team(index, models)))
    return changes


def describe_target(index: int) -> dict[str, object]:
    """Return the specification of a target; its pool follows from the index."""
    return {
        "pool": f"model-{index % SIZE.models:02}",
        "version": "v1",
        "data_centre": f"dc-{index % SIZE.data_centres:02}",
        "address": f"10.0.{index // 250}.{index % 250}:9000",
        "slots": 100,
        "cold_slots": 8,
    }


def _describe_team(index: int, models: list[str]) -> dict[str, object]:
    digest = hashlib.sha256(f"team {index}".encode()).hexdigest()
    return {"weight": 1.0, "credentials": [digest], "models": models[:8]}


def _put(kind: str, name: str, spec: dict[str, object]) -> Change:
    change_id = hashlib.sha256(f"{kind}/{name}".encode()).hexdigest()[:32]
    return Change(change_id, "operator", _AT, "put", kind, name, dict(spec))


def measure_config(instances: int) -> ConfigCost:
    """Return the cost of a configuration of this size."""
    catalog, state_bytes = _measure_bytes(lambda: build_catalog(instances))
    assert isinstance(catalog, Catalog)
    clock = SystemClock()
    directory = ConfiguredDirectory(catalog, clock)
    numbers = iter(range(10**9))

    def change_team() -> None:
        number = next(numbers)
        spec = {"weight": 1.0 + number, "credentials": ["ab" * 32]}
        change = msgspec.structs.replace(
            _put("team", "team-0000", spec), change_id=f"change-{number}"
        )
        record = decode_config(encode_config(change))
        catalog.apply(catalog.applied_offset + 1, record)

    def change_and_look_up() -> None:
        change_team()
        directory.version_shares("model-00")

    apply_seconds = _time(change_team)
    index_seconds = _time(change_and_look_up) - apply_seconds
    directory.version_shares("model-00")
    records = [encode_config(change) for change in _list_changes(0.05)]
    parts = split_snapshot(catalog.state, "snapshot-1", _AT)
    return ConfigCost(
        state_bytes=state_bytes,
        apply_seconds=apply_seconds,
        index_seconds=index_seconds,
        declare_seconds=_time(lambda: declare_targets(catalog, directory, ())),
        record_bytes=sum(map(len, records)) / len(records),
        snapshot_bytes=sum(len(encode_config(part)) for part in parts),
        snapshot_seconds=_time(
            lambda: split_snapshot(catalog.state, "snapshot-1", _AT), 3
        ),
    )


@dataclass(frozen=True, slots=True)
class RequestCost:
    """State the processor seconds of deciding about one request."""

    rank_seconds: float
    token_seconds: float
    token_bytes: float


def measure_request(instances: int) -> RequestCost:
    """Return the cost of listing, ranking and signing for one chat."""
    clock = SystemClock()
    catalog = build_catalog(instances)
    configured = ConfiguredDirectory(catalog, clock)
    known = {
        state.target_id: state
        for index in range(SIZE.models)
        for state in configured.list_targets(f"model-{index:02}")
    }
    directory = LiveDirectory(configured, known.get)
    signer = TokenSigner(b"0123456789abcdef")
    placement = FleetPlacement(PlacementPolicy(), signer, clock)
    team = configured.find_team("team 0")
    assert team is not None
    turns = (ChatTurn("system", "catalogue " * 50), ChatTurn("user", "a quote"))
    chat = ChatRequest(team, "model-00", RequestClass.QUICK, turns, chat_id="chat-1")
    target = TargetState("engine-0000", "model-00", "v1", "dc-00", "10.0.0.1:9000", "b")

    def rank() -> None:
        targets = directory.list_targets("model-00")
        placement.rank(chat, targets, directory.version_shares("model-00"))

    text = placement.issue_token(chat, target, 1000)

    def use_token() -> None:
        placement.issue_token(chat, target, 1000)
        signer.verify(text, team.name, "model-00", clock.now())

    return RequestCost(_time(rank, 200), _time(use_token, 200), len(text))


@dataclass(frozen=True, slots=True)
class ClaimCost:
    """State the cost of one booking: its claim and its completion."""

    record_bytes: float
    apply_seconds: float
    entry_bytes: float


def measure_claims(bookings: int) -> ClaimCost:
    """Return the cost per booking, with so many in the ledger."""
    frames = [encode_record(record) for i in range(bookings) for record in _book(i)]

    def fill() -> ClaimLedger:
        ledger = ClaimLedger()
        for offset, frame in enumerate(frames):
            ledger.apply(offset, decode_record(frame))
        return ledger

    _, size = _measure_bytes(fill)
    return ClaimCost(
        record_bytes=sum(map(len, frames)) / bookings,
        apply_seconds=_time(fill, 3) / bookings,
        entry_bytes=size / bookings,
    )


def _book(index: int) -> tuple[Claim, Completion]:
    team, key = f"team-{index % 97:04}", f"0190a5b2-7c3d-7e4f-8a1b-{index:012x}"
    claim_id = f"{index:032x}"
    headers = (("content-type", "application/json"),)
    body = b'{"booking":"0190a5b2-7c3d","state":"booked","slot":"2026-01-05T08:00"}'
    claim = Claim(
        team, key, claim_id, "entry-0001", "orders", f"{index:016x}", int(_AT * 1000)
    )
    return claim, Completion(team, key, claim_id, 201, headers, body)


@dataclass(frozen=True, slots=True)
class ListCost:
    """State the cost of one answer of the platform's list."""

    answer_bytes: float
    decode_seconds: float


class _FixedFetcher:
    """Answer each request with the same body."""

    def __init__(self, body: bytes) -> None:
        self._answer = HttpAnswer(200, (), body)

    async def fetch(self, *_: object, **__: object) -> HttpAnswer:
        return self._answer


def measure_list(instances: int) -> ListCost:
    """Return the cost of a list of these instances and their targets."""
    items = [
        _list_item("entry", f"entry-{i:04}", f"10.1.{i // 250}.{i % 250}:8080")
        for i in range(instances)
    ]
    items += [
        _list_item("target", f"engine-{i:04}", f"10.0.{i // 250}.{i % 250}:9000")
        for i in range(SIZE.count_targets(instances))
    ]
    body = msgspec.json.encode({"instances": items})
    client = InstanceListClient(_FixedFetcher(body), "127.0.0.1:1")  # type: ignore[arg-type]
    return ListCost(len(body), _time(lambda: asyncio.run(client.read()), 5))


def _list_item(kind: str, name: str, address: str) -> dict[str, str]:
    return {
        "id": name,
        "kind": kind,
        "address": address,
        "peer_address": address if kind == "entry" else "",
        "data_centre": "dc-00",
        "state": "live",
    }


def measure_metrics(teams: int) -> tuple[int, int, int]:
    """Return series, rendered bytes and held bytes after requests of the teams."""

    def observe() -> GatewayMetrics:
        metrics = GatewayMetrics()
        for index in range(teams):
            for request_class in RequestClass:
                metrics.observe_request(f"team-{index}", request_class, 0.1)
                metrics.observe_first_token(f"team-{index}", request_class, 0.1)
                metrics.create_gap_observer(request_class)(0.03)
        return metrics

    metrics, size = _measure_bytes(observe)
    assert isinstance(metrics, GatewayMetrics)
    rendered = metrics.render()
    lines = sum(not line.startswith(b"#") for line in rendered.splitlines())
    return lines, len(rendered), size


@dataclass(frozen=True, slots=True)
class EvidenceCost:
    """State the cost of a move's evidence at its driver."""

    item_bytes: float
    total_seconds: float
    state_bytes: float


def measure_evidence(instances: int) -> EvidenceCost:
    """Return the cost of the counts of one move from so many instances."""
    keys = [
        EvidenceKey("move-1", arm, "/v1/chat/completions", request_class)
        for arm in ("v1", "v2")
        for request_class in RequestClass
    ]

    def fill() -> EvidenceStore:
        book = EvidenceStore()
        for index in range(instances):
            counts = {key: Counts(1000 + index, 3, 20, 10) for key in keys}
            book.merge(EvidenceReport(f"entry-{index:04}", 1, 1, counts))
        return book

    book, size = _measure_bytes(fill)
    assert isinstance(book, EvidenceStore)
    item = EvidenceItem(
        move_id="move-1",
        arm="v2",
        route="/v1/chat/completions",
        request_class="quick",
        run=int(_AT * 1000),
        sequence=1000,
        requests=10_000,
        errors=10,
        slow_first=300,
        slow_gap=300,
    )
    return EvidenceCost(
        item_bytes=len(msgspec.msgpack.encode(item)),
        total_seconds=_time(lambda: book.totals("move-1"), 5),
        state_bytes=size,
    )
