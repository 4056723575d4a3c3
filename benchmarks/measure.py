"""Measure what relaying through one instance adds, against asking engines directly.

Run as ``python -m benchmarks.measure``. Engines, load generators, platform and the
instance are processes of their own on the loopback address.
"""

import argparse
import asyncio
import contextlib
import json
import os
import signal
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Iterable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from pathlib import Path

import msgspec
from hdrh.histogram import HdrHistogram

from benchmarks.measure_load import LoadPlan, LoadResult, Span, create_histogram
from benchmarks.measure_report import (
    GAP_MS,
    WINDOW_SECONDS,
    Phase,
    compare,
    describe_target,
    print_comparison,
    print_helpers,
    print_parts,
    split_parts,
)
from benchmarks.process_usage import Usage, read_load_average, read_usage
from benchmarks.sampled_entry import SAMPLES_VARIABLE
from demo.deployments import DEPLOYMENT_V, Declaration, Pool, team_key
from demo.fleet import Fleet, FleetOptions
from demo.ports import PortPicker
from demo.processes import Child, ChildGroup

__all__ = ["CONCURRENCIES", "Bench", "run_phase", "start_bench", "start_instance"]

CONCURRENCIES = (1, 100, 600)
# Half of the requests of an instance at full size, beside the long streams.
PROBE_RATE = 40.0
TARGET_ADDED_MS = 2.0
TARGET_STREAMS = 100
_ENGINES = 4
_LOADERS = 4
_SETTLE_SECONDS = 0.6
_IDLE_SECONDS = 2.0
_STREAM_CHUNKS = 100_000
_SLOTS = 4000
_SAMPLED_ENTRY = (sys.executable, "-m", "benchmarks.sampled_entry", "serve")
_ROOT = Path(__file__).resolve().parent.parent


@dataclass(frozen=True, slots=True)
class Bench:
    """Hold the processes that a phase uses."""

    children: ChildGroup
    directory: Path
    engines: list[str]
    engine_pids: list[int]
    seed: int


async def run_phase(
    bench: Bench, addresses: Sequence[str], streams: int, instance_pid: int | None
) -> Phase:
    """Load the addresses with the given number of streams and measure."""
    loaders = min(streams, _LOADERS)
    now = time.monotonic()
    # A load generator needs about a second to start.
    ramp = Span(now + 1.2, now + 2.2 + streams / 400)
    chunk_start = ramp.end + _SETTLE_SECONDS
    chunk_window = Span(chunk_start, chunk_start + WINDOW_SECONDS)
    probe_start = chunk_window.end + _SETTLE_SECONDS / 2
    probe_window = Span(probe_start, probe_start + WINDOW_SECONDS)
    children, paths = [], []
    for index in range(loaders):
        path = bench.directory / f"load-{streams}-{index}-{now}.json"
        plan = LoadPlan(
            addresses=list(addresses),
            credential=team_key(DEPLOYMENT_V.team(0)),
            streams=streams // loaders + (index < streams % loaders),
            stream_chunks=_STREAM_CHUNKS,
            ramp=ramp,
            chunk_window=chunk_window,
            probe_window=probe_window,
            probe_rate=PROBE_RATE / loaders,
            seed=bench.seed * 1000 + streams + index,
            result_path=str(path),
        )
        children.append(await _start_loader(bench, index, plan))
        paths.append(path)
    pids = [child.pid for child in children]
    instance_pids = [] if instance_pid is None else [instance_pid]
    watched = [*pids, *bench.engine_pids, *instance_pids]
    chunk_usages = await _watch(watched, chunk_window)
    # Load generators end with this window.
    probe_usages = await _watch(instance_pids, probe_window)
    for child in children:
        await asyncio.wait_for(child.wait(), WINDOW_SECONDS + 15)
        if child.status:
            raise RuntimeError(f"load generator failed:\n{child.read_log_tail()}")
    results = [msgspec.json.decode(p.read_bytes(), type=LoadResult) for p in paths]
    return Phase(
        streams=streams,
        chunk_ns=_merge(result.chunk_ns for result in results),
        first_ns=_merge(result.first_ns for result in results),
        chunks=sum(result.chunks for result in results),
        probe_chunks=sum(result.probe_chunks for result in results),
        probes=sum(result.probes for result in results),
        failures=sum(result.failures for result in results),
        busiest_loader=_find_busiest(chunk_usages, pids),
        busiest_engine=_find_busiest(chunk_usages, bench.engine_pids),
        chunk_usage=chunk_usages.get(instance_pid or 0),
        probe_usage=probe_usages.get(instance_pid or 0),
    )


async def _start_loader(bench: Bench, index: int, plan: LoadPlan) -> Child:
    text = msgspec.json.encode(plan).decode()
    command = [sys.executable, "-m", "benchmarks.measure_load", text]
    return await bench.children.start(f"load-{index}", command, _environment())


async def _watch(pids: Sequence[int], window: Span) -> dict[int, Usage]:
    await asyncio.sleep(max(0.0, window.start - time.monotonic()))
    before = {pid: read_usage(pid) for pid in pids}
    await asyncio.sleep(max(0.0, window.end - time.monotonic()))
    return {pid: read_usage(pid).since(before[pid]) for pid in pids}


def _find_busiest(usages: dict[int, Usage], pids: Sequence[int]) -> float:
    return max(usages[pid].cpu_seconds for pid in pids) / WINDOW_SECONDS


def _merge(encoded: Iterable[str]) -> HdrHistogram:
    merged = create_histogram()
    for text in encoded:
        merged.add(HdrHistogram.decode(text))
    return merged


def _environment() -> dict[str, str]:
    return {**os.environ, "PYTHONPATH": str(_ROOT)}


@asynccontextmanager
async def start_bench(seed: int) -> AsyncIterator[Bench]:
    """Start the engines; end them and all load generators at the end."""
    with tempfile.TemporaryDirectory("-measure") as name:
        directory = Path(name)
        children = ChildGroup(directory)
        ports = PortPicker()
        engines, pids = [], []
        try:
            for index in range(_ENGINES):
                address = ports.pick()
                command = [sys.executable, "-m", "benchmarks.measure_engine"]
                command += ["--listen", address, "--gap-ms", str(GAP_MS)]
                child = await children.start(f"engine-{index}", command, _environment())
                engines.append(address)
                pids.append(child.pid)
            await _wait_listening(engines)
            yield Bench(children, directory, engines, pids, seed)
        finally:
            await children.stop(5.0)


async def _wait_listening(addresses: Sequence[str]) -> None:
    for address in addresses:
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(20):
            while True:
                with contextlib.suppress(OSError):
                    _, writer = await asyncio.open_connection(host, int(port))
                    writer.close()
                    break
                await asyncio.sleep(0.05)


@asynccontextmanager
async def start_instance(
    bench: Bench, command: tuple[str, ...] | None = None
) -> AsyncIterator[Fleet]:
    """Start one instance with its platform and declare the engines."""
    deployment = replace(
        DEPLOYMENT_V,
        instances=1,
        teams=1,
        large_teams=1,
        model=Pool("quotes", 0),
        bookings=Pool("reservations", 0),
    )
    options = FleetOptions()
    if command is not None:
        options = replace(options, entry_command=command)
    async with Fleet(deployment, options) as fleet:
        for index, address in enumerate(bench.engines):
            spec = {
                "pool": "quotes",
                "version": "v1",
                "data_centre": "dc-1",
                "address": address,
                "slots": _SLOTS,
                "cold_slots": _SLOTS,
            }
            await fleet.declare(Declaration("target", f"engine-{index + 1}", spec))
        # Leases of an earlier incarnation lapse before an owner hands out slots.
        await asyncio.sleep(5.0)
        yield fleet


async def measure_all(seed: int) -> tuple[list[tuple[Phase, Phase]], float]:
    """Return the direct and relayed phases, and the idle share of a core."""
    phases = []
    async with start_bench(seed) as bench, start_instance(bench) as fleet:
        instance = fleet.instances[0]
        now = time.monotonic()
        usages = await _watch([instance.pid], Span(now, now + _IDLE_SECONDS))
        idle = usages[instance.pid].cpu_seconds / _IDLE_SECONDS
        for streams in CONCURRENCIES:
            direct = await run_phase(bench, bench.engines, streams, None)
            relayed = await run_phase(bench, [instance.address], streams, instance.pid)
            phases.append((direct, relayed))
    return phases, idle


async def sample_parts(seed: int, streams: int) -> dict[str, float]:
    """Return the share of each part in the processor time of relayed chunks.

    Kernel time is counted by the kernel; the sampler splits the rest. A sample
    inside a system call falls to the event loop, so kernel time is taken off it.
    """
    async with start_bench(seed) as bench:
        path = bench.directory / "samples.json"
        os.environ[SAMPLES_VARIABLE] = str(path)
        async with start_instance(bench, _SAMPLED_ENTRY) as fleet:
            instance = fleet.instances[0]
            task = asyncio.ensure_future(
                run_phase(bench, [instance.address], streams, instance.pid)
            )
            await asyncio.sleep(2.2 + streams / 400 + _SETTLE_SECONDS)
            os.kill(instance.pid, signal.SIGUSR1)
            await asyncio.sleep(WINDOW_SECONDS - 0.5)
            os.kill(instance.pid, signal.SIGUSR2)
            phase = await task
            counts = json.loads(path.read_text())
    assert phase.chunk_usage is not None
    return split_parts(counts, phase.chunk_usage)


async def run(seed: int, sampled_streams: int) -> int:
    """Measure, print and return the exit status."""
    print(f"seed {seed}, load average {read_load_average()}, {os.cpu_count()} cores")
    started = time.monotonic()
    phases, idle = await measure_all(seed)
    comparisons = [compare(direct, relayed, idle) for direct, relayed in phases]
    print_comparison(comparisons, idle)
    kept_up = print_helpers(phases)
    for item in comparisons:
        if item.streams == TARGET_STREAMS:
            value = item.chunk_p95_ms
            text = f"added a chunk at p95 with {item.streams} streams"
            met = value < TARGET_ADDED_MS
            bound = f"under {TARGET_ADDED_MS} ms"
            print(describe_target(text, value, met, bound, "{:.2f} ms"))
            value = item.request_p95_ms
            text = f"added a request at p95 with {item.streams} streams"
            met = value < TARGET_ADDED_MS
            print(describe_target(text, value, met, bound, "{:.2f} ms"))
    print_parts(await sample_parts(seed, sampled_streams), sampled_streams)
    seconds = time.monotonic() - started
    print(f"{seconds:.0f} s, load average {read_load_average()}")
    if not kept_up:
        print("a helper process or the instance did not keep up; run on a free machine")
    return 0 if kept_up else 1


def main() -> None:
    """Parse the options and measure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--sampled-streams", type=int, default=300)
    options = parser.parse_args()
    sys.exit(asyncio.run(run(options.seed, options.sampled_streams)))


if __name__ == "__main__":
    main()
