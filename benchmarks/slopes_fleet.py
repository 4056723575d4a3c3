"""Idle control cost of real processes, by the number of instances."""

import asyncio
import json
import os
import signal
import statistics
import sys
import tempfile
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from benchmarks.capacity_size import SIZE
from benchmarks.counted_entry import DIRECTORY_VARIABLE, name_file
from benchmarks.measure import Bench, start_bench
from benchmarks.process_usage import read_usage
from demo.deployments import DEPLOYMENT_V, Declaration, Pool
from demo.fleet import EntryInstance, Fleet, FleetOptions
from standins.client import fetch_json

__all__ = ["FleetCost", "add_up", "measure_fleet"]

_ENTRY = (sys.executable, "-m", "benchmarks.counted_entry", "serve")
_SETTLE_SECONDS = 5.0
_WINDOW_SECONDS = 6.0
_CHANGES = 5
_WAIT_SECONDS = 5.0
_POLL_SECONDS = 0.01


@dataclass(frozen=True, slots=True)
class FleetCost:
    """State the mean cost of one instance without callers; bytes are a second.

    Bytes are sent and received together. ``change_seconds`` is the longest time
    until a change was applied by every instance.
    """

    targets: int
    core_share: float
    resident_bytes: float
    peer_bytes: float
    list_bytes: float
    log_bytes: float
    probe_bytes: float
    change_seconds: float


async def measure_fleet(
    instances: int, seed: int, targets: int | None = None
) -> FleetCost:
    """Start the instances with their part of the targets and measure them."""
    if targets is None:
        targets = SIZE.count_targets(instances)
    with tempfile.TemporaryDirectory("-slopes") as name:
        directory = Path(name)
        os.environ[DIRECTORY_VARIABLE] = name
        deployment = replace(
            DEPLOYMENT_V,
            instances=instances,
            teams=1,
            large_teams=1,
            model=Pool("quotes", 0),
            bookings=Pool("reservations", 0),
        )
        options = replace(FleetOptions(), entry_command=_ENTRY, start_seconds=60.0)
        async with start_bench(seed) as bench, Fleet(deployment, options) as fleet:
            await _declare(fleet, bench, targets)
            await asyncio.sleep(_SETTLE_SECONDS)
            cost = await _watch(fleet, bench, directory, targets)
            seconds = await _time_changes(fleet)
    return replace(cost, change_seconds=seconds)


async def _declare(fleet: Fleet, bench: Bench, targets: int) -> None:
    for index in range(targets):
        spec = {
            "pool": "quotes",
            "version": "v1",
            "data_centre": f"dc-{index % 3 + 1}",
            # Several targets share a stand-in, which only answers probes here.
            "address": bench.engines[index % len(bench.engines)],
            "slots": 100,
            "cold_slots": 8,
        }
        await fleet.declare(Declaration("target", f"engine-{index:04}", spec))


async def _watch(
    fleet: Fleet, bench: Bench, directory: Path, targets: int
) -> FleetCost:
    pids = [instance.pid for instance in fleet.instances]
    before_bytes = [await _read_bytes(pid, directory) for pid in pids]
    before = [read_usage(pid) for pid in pids]
    started = time.monotonic()
    await asyncio.sleep(_WINDOW_SECONDS)
    usages = [read_usage(p).since(b) for p, b in zip(pids, before, strict=True)]
    seconds = time.monotonic() - started
    after_bytes = [await _read_bytes(pid, directory) for pid in pids]
    peers = {instance.peer_address for instance in fleet.instances}
    rates: dict[str, float] = {}
    roles = {
        fleet.list_address: "list",
        fleet.log_address: "log",
        **dict.fromkeys(peers, "peer"),
        **dict.fromkeys(bench.engines, "probe"),
    }
    for old, new in zip(before_bytes, after_bytes, strict=True):
        for role, size in add_up(old, new, roles).items():
            rates[role] = rates.get(role, 0.0) + size / seconds / len(pids)
    return FleetCost(
        targets=targets,
        core_share=statistics.fmean(u.cpu_seconds for u in usages) / seconds,
        resident_bytes=statistics.fmean(u.resident_bytes for u in usages),
        peer_bytes=rates.get("peer", 0.0),
        list_bytes=rates.get("list", 0.0),
        log_bytes=rates.get("log", 0.0),
        probe_bytes=rates.get("probe", 0.0),
        change_seconds=0.0,
    )


async def _read_bytes(pid: int, directory: Path) -> list[dict[str, Any]]:
    path = name_file(directory, pid)
    path.unlink(missing_ok=True)
    os.kill(pid, signal.SIGUSR2)
    limit = time.monotonic() + _WAIT_SECONDS
    while not path.exists():
        if time.monotonic() > limit:
            raise TimeoutError(f"instance {pid} wrote no counts; is it overloaded?")
        await asyncio.sleep(_POLL_SECONDS)
    connections: list[dict[str, Any]] = json.loads(path.read_text())
    return connections


def add_up(
    before: Sequence[Mapping[str, Any]],
    after: Sequence[Mapping[str, Any]],
    roles: Mapping[str, str],
) -> dict[str, int]:
    """Return the growth by role; a connection closed meanwhile is not counted."""
    known = {(c["local"], c["remote"]): c for c in before}
    sums: dict[str, int] = {}
    for connection in after:
        role = roles.get(connection["remote"]) or roles.get(connection["local"])
        if role is None:
            continue
        size = connection["sent"] + connection["received"]
        old = known.get((connection["local"], connection["remote"]))
        if old is not None:
            size -= old["sent"] + old["received"]
        sums[role] = sums.get(role, 0) + size
    return sums


async def _time_changes(fleet: Fleet) -> float:
    longest = 0.0
    for number in range(_CHANGES):
        name = f"team-new-{number}"
        started = time.monotonic()
        await fleet.declare(Declaration("team", name, {"weight": 1.0}))
        waits = (_wait_applied(fleet, item, name) for item in fleet.instances)
        await asyncio.gather(*waits)
        longest = max(longest, time.monotonic() - started)
    return longest


async def _wait_applied(fleet: Fleet, instance: EntryInstance, name: str) -> None:
    headers = {"Authorization": f"Bearer {fleet.admin_key}"}
    path = f"/admin/v1/team/{name}"
    async with asyncio.timeout(60):
        while True:
            answer = await fetch_json("GET", instance.address, path, headers=headers)
            if answer.status == 200:
                return
            await asyncio.sleep(_POLL_SECONDS)
