"""Record the traces of both deployments: ``python -m tests.faults.record_traces``.

Whole instances run in this process over the stand-ins, under the demonstration's
declarations and workload.
"""

import argparse
import asyncio
import sys
from pathlib import Path
from unittest import mock

from carobladder.clock import SystemClock
from carobladder.instance.runtime import Instance
from carobladder.replay import Bounds, TracePlayer, TraceRecorder, write_lines
from carobladder.replay.comparison import outcomes_path
from carobladder.settings.definition import InstanceSettings
from demo.callers import Balancer, Caller
from demo.deployments import (
    DEPLOYMENT_S,
    DEPLOYMENT_V,
    VERSION,
    Deployment,
    declare_resources,
)
from demo.tally import RunTally
from demo.workload import Workload, WorkloadSize
from standins.client import fetch_json
from standins.engine import EngineApp, EngineOptions
from standins.service import ServiceApp, ServiceOptions
from tests.instance import cluster

TRACES = Path(__file__).resolve().parents[2] / "traces"
INSTANCES = 3
# The repository keeps traces below this size.
MAX_TRACE_BYTES = 500_000
SIZE = WorkloadSize(2.2, 6, 8, 9, 7, 9)


class RecordedFleet(cluster.LocalFleet):
    """Run a deployment's stand-ins and instances."""

    def __init__(self, deployment: Deployment) -> None:
        super().__init__(
            INSTANCES,
            deployment.model.servers,
            heartbeat_seconds="0.25",
            lease_seconds="1.5",
            probe_seconds="0.5",
        )
        self._deployment = deployment
        options = ServiceOptions(
            bookings_path=deployment.bookings_path, stock_path=deployment.stock_path
        )
        self.service = ServiceApp(options)

    async def add_engine(self) -> None:
        """Start a warm engine of the deployment's model."""
        options = EngineOptions(
            model=self._deployment.model.name, version=VERSION, warm_tokens=0
        )
        engine = EngineApp(options)
        self.engines.append(engine)
        self.engine_addresses.append(await self._enter(engine))

    async def _declare(self) -> None:
        while not self.instances[0]._configuration.catalog.loaded:
            await asyncio.sleep(0.05)
        services = [self.service_address] * self._deployment.bookings.servers
        groups = declare_resources(self._deployment, self.engine_addresses, services)
        for item in (item for group in groups for item in group):
            await self.put(item.kind, item.name, item.spec)

    async def wait_ready(self) -> None:
        """Wait until every instance is ready."""
        async with asyncio.timeout(cluster.TEST_TIMEOUT_SECONDS):
            for number in range(len(self.instances)):
                path = "/readyz"
                while True:
                    answer = await fetch_json("GET", self.address(number), path)
                    if answer.status == 200:
                        break
                    await asyncio.sleep(0.05)
        await asyncio.sleep(0.3)


def make_instance(recorder: TraceRecorder):
    """Return a constructor of instances that are recorded from the start."""

    def build(settings: InstanceSettings, clock: SystemClock) -> Instance:
        instance = Instance(settings, clock)
        name = settings.instance_id
        secret = settings.token_secret.get_secret_value()
        fleet, path = instance._fleet, instance._path
        recorder.attach_coordinator(fleet.coordinator, secret)
        recorder.attach_chats(name, path.chats._placement, fleet.admission, clock)
        runner = path.services._bookings
        recorder.attach_bookings(name, path.claims_reader.ledger, runner)
        return instance

    return build


async def record(deployment: Deployment, seed: int) -> tuple[TraceRecorder, RunTally]:
    """Run the workload once and return what was recorded."""
    recorder = TraceRecorder()
    tally = RunTally()
    with mock.patch.object(cluster, "Instance", make_instance(recorder)):
        async with RecordedFleet(deployment) as fleet:
            addresses = [fleet.address(number) for number in range(INSTANCES)]
            caller = Caller(Balancer(addresses, seed), tally, frozenset({VERSION}))
            await Workload(deployment, SIZE, caller, seed).run()
            events = len(recorder.events)
    # Draining is not part of the trace.
    del recorder.events[events:]
    recorder.outcomes = [o for o in recorder.outcomes if o.line <= events]
    return recorder, tally


def write(deployment: Deployment, recorder: TraceRecorder, directory: Path) -> Path:
    """Write the trace and its outcomes; return the trace's path."""
    counts = TracePlayer()
    for event in recorder.events:
        counts.play(event)
    summary = counts.summary
    bounds = Bounds(
        requests=summary.requests,
        refused=summary.refused,
        with_token=summary.with_token,
        reused=summary.reused,
        bookings=len(summary.sends),
    )
    path = directory / f"{deployment.name}.jsonl"
    write_lines(path, recorder.events)
    write_lines(outcomes_path(path), [bounds, *recorder.outcomes])
    return path


def main() -> int:
    """Record both deployments."""
    parser = argparse.ArgumentParser(prog="python -m tests.faults.record_traces")
    parser.add_argument("--directory", type=Path, default=TRACES)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    status = 0
    for deployment in (DEPLOYMENT_V, DEPLOYMENT_S):
        recorder, tally = asyncio.run(record(deployment, arguments.seed))
        path = write(deployment, recorder, arguments.directory)
        size = path.stat().st_size
        print(f"{path.name}: {len(recorder.events)} events, {size} bytes")
        print("\n".join(tally.failures))
        status |= int(size > MAX_TRACE_BYTES or bool(tally.failures))
    return status


if __name__ == "__main__":
    sys.exit(main())
