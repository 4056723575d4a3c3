"""Collect all series: decision code in this process, then real processes."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from benchmarks import measure
from benchmarks.capacity_size import LIMITS, SIZE
from benchmarks.measure_report import GAP_MS, WINDOW_SECONDS
from benchmarks.slopes_fit import Fit, Series, fit_series
from benchmarks.slopes_fleet import FleetCost, measure_fleet
from benchmarks.slopes_peers import PeerCost, measure_peers, measure_view_change
from benchmarks.slopes_state import (
    measure_claims,
    measure_config,
    measure_evidence,
    measure_list,
    measure_metrics,
    measure_request,
)

__all__ = ["Measured", "Results", "Today", "collect"]

STATE_SIZES = (10, 16, 100, 800)
PROCESS_SIZES = (2, 4, 8, 16)
STREAM_SIZES = (1, 100, 600)
TODAY_INSTANCES = 9
TODAY_TARGETS = 13
_BOOKING_SIZES = (1_000, 10_000, 50_000)
_BOOKINGS = 100_000.0
_TEAM_SIZES = (10, 100, SIZE.teams)
_HEARTBEATS_A_SECOND = 4
_IN_PROCESS = "in one process"
_PROCESSES = "real processes"

# Name, title, unit and exponent of x; the unit "s" is processor time.
_PEER_SERIES = (
    ("core_share", "protocol between instances, processor time", "core", 2),
    ("bytes_sent", "protocol between instances, bytes sent", "B/s", 1),
    ("bytes_received", "protocol between instances, bytes received", "B/s", 1),
    ("messages", "protocol between instances, messages", "1/s", 1),
    ("state_bytes", "coordinator, held state", "B", 1),
)
_VIEW_SERIES = (
    ("leave_seconds", "owners after an instance left", "s", 1),
    ("join_seconds", "owners after an instance joined", "s", 1),
)
_CONFIG_SERIES = (
    ("state_bytes", "configuration, held state", "B", 1),
    ("apply_seconds", "configuration, decode and apply one change", "s", 1),
    ("index_seconds", "configuration, index after a change", "s", 1),
    ("declare_seconds", "targets declared again with each heartbeat", "s", 1),
    ("record_bytes", "configuration, one record", "B", 1),
    ("snapshot_bytes", "configuration, snapshot", "B", 1),
    ("snapshot_seconds", "configuration, encode a snapshot", "s", 1),
)
_REQUEST_SERIES = (
    ("rank_seconds", "list and rank the targets of a chat", "s", 1),
    ("token_seconds", "sign and verify a chat token", "s", 1),
    ("token_bytes", "chat token at the caller", "B", 1),
)
_LIST_SERIES = (
    ("answer_bytes", "instance list, one answer", "B", 1),
    ("decode_seconds", "instance list, decode one answer", "s", 1),
)
_EVIDENCE_SERIES = (
    ("item_bytes", "evidence, one item", "B", 1),
    ("total_seconds", "evidence, sum one move", "s", 1),
    ("state_bytes", "evidence, held for one move", "B", 1),
)
_FLEET_SERIES = (
    ("core_share", "idle instance, processor time", "core", 1),
    ("resident_bytes", "idle instance, resident memory", "B", 1),
    ("peer_bytes", "between instances, encrypted, both ways", "B/s", 1),
    ("list_bytes", "instance list, both ways", "B/s", 1),
    ("log_bytes", "log without changes, both ways", "B/s", 1),
    ("probe_bytes", "load reports, both ways", "B/s", 1),
    ("change_seconds", "change until applied everywhere, wall time", "s", 1),
)


class Measured(msgspec.Struct, frozen=True):
    """Hold a series and its line."""

    series: Series
    fit: Fit


class Today(msgspec.Struct, frozen=True):
    """Hold the cost at the present size: in one process, and of real processes."""

    protocol: PeerCost
    idle: FleetCost


class Results(msgspec.Struct, frozen=True):
    """Hold everything that one run measured; ``today`` is the present size."""

    seed: int
    load_before: str
    load_after: str
    cores: int
    seconds: float
    today: Today
    measured: dict[str, Measured]


def collect(seed: int) -> tuple[dict[str, Measured], Today]:
    """Measure all series; return them by name, and figures of today's size."""
    found: dict[str, Measured] = {}
    for part in (_collect_state(), _collect_counts(), _collect_processes(seed)):
        for series in part:
            found[series.name] = Measured(series, fit_series(series))
    protocol = measure_peers(TODAY_INSTANCES, TODAY_TARGETS)
    idle = asyncio.run(measure_fleet(TODAY_INSTANCES, seed, TODAY_TARGETS))
    return found, Today(protocol, idle)


def _collect_state() -> list[Series]:
    parts: tuple[tuple[str, Callable[[int], Any], Sequence[Any]], ...] = (
        ("peers", measure_peers, _PEER_SERIES),
        ("view", measure_view_change, _VIEW_SERIES),
        ("config", measure_config, _CONFIG_SERIES),
        ("request", measure_request, _REQUEST_SERIES),
        ("list", measure_list, _LIST_SERIES),
        ("evidence", measure_evidence, _EVIDENCE_SERIES),
    )
    found = []
    for prefix, measure_one, fields in parts:
        costs = [(float(n), measure_one(n)) for n in STATE_SIZES]
        found += _make_series(prefix, fields, costs, SIZE.instances, _IN_PROCESS)
    return found


def _collect_counts() -> list[Series]:
    claims = [(float(n), measure_claims(n)) for n in _BOOKING_SIZES]
    metrics = [(float(n), measure_metrics(n)) for n in _TEAM_SIZES]
    found = [
        _series(
            "claims.record_bytes",
            "claims, records",
            "B",
            "bookings",
            [(n, n * cost.record_bytes) for n, cost in claims],
            _BOOKINGS,
        ),
        _series(
            "claims.apply_seconds",
            "claims, decode and apply",
            "s",
            "bookings",
            [(n, n * cost.apply_seconds) for n, cost in claims],
            _BOOKINGS,
        ),
        _series(
            "claims.state_bytes",
            "claims, ledger",
            "B",
            "bookings",
            [(n, n * cost.entry_bytes) for n, cost in claims],
            _BOOKINGS,
        ),
    ]
    titles = ("metrics, time series", "metrics, one answer", "metrics, held state")
    names = ("metrics.series", "metrics.answer_bytes", "metrics.state_bytes")
    for place, (name, title) in enumerate(zip(names, titles, strict=True)):
        points = [(n, float(values[place])) for n, values in metrics]
        unit = "" if place == 0 else "B"
        found.append(_series(name, title, unit, "teams", points, float(SIZE.teams)))
    return found


def _collect_processes(seed: int) -> list[Series]:
    costs: list[tuple[float, FleetCost]] = []
    for count in PROCESS_SIZES:
        costs.append((float(count), asyncio.run(measure_fleet(count, seed))))
    found = _make_series("fleet", _FLEET_SERIES, costs, SIZE.cell_instances, _PROCESSES)
    return found + asyncio.run(_collect_relay(seed))


async def _collect_relay(seed: int) -> list[Series]:
    cores, memory = [], []
    async with (
        measure.start_bench(seed) as bench,
        measure.start_instance(bench) as fleet,
    ):
        instance = fleet.instances[0]
        for streams in STREAM_SIZES:
            phase = await measure.run_phase(
                bench, [instance.address], streams, instance.pid
            )
            usage = phase.chunk_usage
            assert usage is not None
            rate = phase.chunks / WINDOW_SECONDS
            cores.append((rate, usage.cpu_seconds / WINDOW_SECONDS))
            memory.append((float(streams), float(usage.resident_bytes)))
    streams_at_peak = SIZE.chunks_an_instance * GAP_MS / 1000
    return [
        _series(
            "relay.core_share",
            "relayed chunks, processor time",
            "core",
            "chunks/s",
            cores,
            SIZE.chunks_an_instance,
            _PROCESSES,
        ),
        _series(
            "relay.resident_bytes",
            "relaying instance, resident memory",
            "B",
            "streams",
            memory,
            streams_at_peak,
            _PROCESSES,
        ),
    ]


def _make_series(
    prefix: str,
    fields: Sequence[tuple[str, str, str, int]],
    costs: Sequence[tuple[float, Any]],
    at: float,
    source: str,
) -> list[Series]:
    found = []
    for field, title, unit, power in fields:
        points = [(x, float(getattr(cost, field))) for x, cost in costs]
        name = f"{prefix}.{field}"
        found.append(
            Series(
                name=name,
                title=title,
                unit=unit,
                x_name="instances",
                points=points,
                at=at,
                source=source,
                power=power,
                limit=_find_limit(name, unit),
            )
        )
    return found


def _series(
    name: str,
    title: str,
    unit: str,
    x_name: str,
    points: list[tuple[float, float]],
    at: float,
    source: str = _IN_PROCESS,
) -> Series:
    return Series(name, title, unit, x_name, points, at, source)


def _find_limit(name: str, unit: str) -> float | None:
    """Return the limit that the whole quantity has to stay under, if it has one."""
    if name == "config.declare_seconds":
        return LIMITS.core_share / _HEARTBEATS_A_SECOND
    if name == "list.answer_bytes":
        return float(LIMITS.bytes_a_second)
    if name == "fleet.change_seconds":
        return LIMITS.change_seconds
    if name in ("peers.state_bytes", "config.state_bytes", "fleet.resident_bytes"):
        return float(LIMITS.memory_bytes)
    if unit == "core":
        return LIMITS.core_share
    return float(LIMITS.bytes_a_second) if unit == "B/s" else None
