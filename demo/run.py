"""Run one deployment: traffic, a killed instance, and the verdict."""

import asyncio
import contextlib
import time
from dataclasses import dataclass, field

from demo.callers import Balancer, Caller
from demo.deployments import VERSION, Deployment
from demo.fleet import Fleet, FleetOptions
from demo.report import format_report
from demo.tally import RunTally
from demo.workload import Workload, WorkloadSize
from standins.client import fetch_json

__all__ = ["DemoOptions", "run_deployment"]

_SAMPLE_SECONDS = 0.2


@dataclass(frozen=True, slots=True)
class DemoOptions:
    """Choose the size of the run and when an instance is killed.

    The balancer and the list notice the killed instance ``notice_seconds`` later.
    Without ``kill_after_seconds`` no instance is killed. ``last_bookings`` are sent
    through that instance right before.
    """

    size: WorkloadSize | None = None
    kill_after_seconds: float | None = 5.0
    last_bookings: int = 20
    last_booking_gap_seconds: float = 0.004
    notice_seconds: float = 1.0
    seed: int = 1
    fleet: FleetOptions = field(default_factory=FleetOptions)


async def run_deployment(deployment: Deployment, options: DemoOptions) -> list[str]:
    """Run a deployment, print its table and return what failed."""
    started = time.monotonic()
    tally = RunTally()
    fleet = Fleet(deployment, options.fleet)
    async with fleet:
        print(
            f"deployment {deployment.title}: ready after "
            f"{time.monotonic() - started:.1f} s",
            flush=True,
        )
        await _run_traffic(fleet, options, tally)
        await _collect(fleet, tally)
    tally.failures += [f"{name} ignored SIGTERM" for name in fleet.stuck]
    seconds = time.monotonic() - started
    print(format_report(deployment.title, tally, seconds), flush=True)
    return tally.list_failures()


async def _run_traffic(fleet: Fleet, options: DemoOptions, tally: RunTally) -> None:
    balancer = Balancer([item.address for item in fleet.instances], options.seed)
    caller = Caller(balancer, tally, frozenset({VERSION}))
    size = options.size or WorkloadSize.for_engines(fleet.deployment.model.servers)
    workload = Workload(fleet.deployment, size, caller, options.seed)
    async with asyncio.TaskGroup() as group:
        sampling = group.create_task(_sample_load(fleet, tally))
        killing = group.create_task(_kill(fleet, balancer, workload, options))
        await workload.run()
        await killing
        sampling.cancel()
    fleet.check_processes()


async def _kill(
    fleet: Fleet, balancer: Balancer, workload: Workload, options: DemoOptions
) -> None:
    if options.kill_after_seconds is None:
        return
    victim = fleet.instances[-1]
    await asyncio.sleep(options.kill_after_seconds)
    # Bookings at every step, from before the claim to after the effect, are cut.
    count, gap = options.last_bookings, options.last_booking_gap_seconds
    bookings = workload.book_through(victim.address, count, gap)
    async with asyncio.TaskGroup() as group:
        group.create_task(bookings)
        await asyncio.sleep(count * gap)
        balancer.note_killed(victim.address)
        fleet.kill_instance(victim)
        await asyncio.sleep(options.notice_seconds)
        balancer.remove(victim.address)
        await fleet.unlist_instance(victim)


async def _sample_load(fleet: Fleet, tally: RunTally) -> None:
    while True:
        with contextlib.suppress(OSError):
            calls = (fetch_json("GET", address, "/stats") for address in fleet.engines)
            answers = await asyncio.gather(*calls)
            tally.load.add([answer.body["slots_in_flight"] for answer in answers])
        await asyncio.sleep(_SAMPLE_SECONDS)


async def _collect(fleet: Fleet, tally: RunTally) -> None:
    for address in fleet.services:
        answer = await fetch_json("GET", address, "/effects")
        tally.effects += answer.body["effects"]
    for address in fleet.engines:
        answer = await fetch_json("GET", address, "/stats")
        tally.cold_excess += answer.body["cold_excess"]
