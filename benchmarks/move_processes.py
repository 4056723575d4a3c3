"""Measure moves of a fleet of processes under load, with short times.

Run as ``python -m benchmarks.move_processes``; the exit status is 1 if a target of
the design page is missed.
"""

import argparse
import asyncio
import os
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Any

from benchmarks.move_load import SteadyLoad
from benchmarks.move_races import RaceResult, run_race
from demo.deployments import DEPLOYMENT_S, DEPLOYMENT_V, Declaration, Deployment
from demo.fleet import Fleet, FleetOptions
from demo.processes import ChildGroup
from standins.client import fetch_json

_DEPLOYMENTS = {"v": DEPLOYMENT_V, "s": DEPLOYMENT_S}
_POLL_SECONDS = 0.2
_EXPOSED_SHARE_MAX = 0.01
_NEW_WORK_SECONDS = 3.0
_SETTLE_SECONDS = 3.0
_SESSIONS_PER_SECOND = 30.0
_STOP_SECONDS = 10.0
_FLEET = FleetOptions(
    engine_arguments=("--warm-tokens", "500", "--weights-bytes", "100000000")
)


@dataclass(frozen=True, slots=True)
class MoveCase:
    """Describe one version move and how its new version behaves."""

    title: str
    old: str
    new: str
    wanted: str
    rules: tuple[dict[str, Any], ...] = ()
    steps: tuple[float, ...] = (0.01, 0.05, 0.3, 0.95)
    limit_seconds: float = 75.0


GOOD = MoveCase("good", "v1", "v2", "finished")
FAILS = MoveCase(
    "fails at once",
    "v1",
    "v3",
    "taken-back",
    rules=({"kind": "refuse", "status": 500, "path": "/v1/", "version": "v3"},),
)
SLOWS = MoveCase(
    "slows down",
    "v1",
    "v2",
    "taken-back",
    rules=({"kind": "slow_tokens", "seconds": 0.08, "path": "/v1/", "version": "v2"},),
)


@dataclass(slots=True)
class MoveResult:
    """Hold what a version move did; times are in seconds."""

    title: str
    state: str = ""
    wanted: str = ""
    detail: str = ""
    seconds: float = 0.0
    on_time: bool = False
    detection_seconds: float | None = None
    exposed: int = 0
    requests: int = 0
    share: float = 0.0


@dataclass(slots=True)
class DataCentreResult:
    """Hold what a data centre's leave and return did."""

    state: str = ""
    empty_seconds: float = 0.0
    refill_seconds: float = 0.0
    late_work: int = 0
    service: dict[str, float] = field(default_factory=dict)
    reuse: dict[str, float] = field(default_factory=dict)


class MoveBench:
    """Run the moves of one deployment one after the other."""

    def __init__(self, fleet: Fleet, load: SteadyLoad) -> None:
        self._fleet = fleet
        self._load = load

    async def call(
        self, method: str, path: str, body: Any = None, instance: int = 0
    ) -> Any:
        """Call the operators' interface of an instance; return the body."""
        headers = {"Authorization": f"Bearer {self._fleet.admin_key}"}
        address = self._fleet.instances[instance].address
        answer = await fetch_json(method, address, f"/admin/v1{path}", body, headers)
        return answer.body

    async def set_faults(self, rules: Sequence[dict[str, Any]]) -> None:
        """Replace the fault rules of all engines."""
        await asyncio.gather(
            *(
                fetch_json("POST", address, "/faults", {"rules": list(rules)})
                for address in self._fleet.engines
            )
        )

    async def count_fired(self) -> int:
        """Return how often the first rule fired on all engines."""
        answers = await asyncio.gather(
            *(fetch_json("GET", address, "/faults") for address in self._fleet.engines)
        )
        return sum(
            rule["fired"] for answer in answers for rule in answer.body["rules"][:1]
        )

    async def prepare(self) -> None:
        """Declare the versions that the moves use."""
        model = self._fleet.deployment.model.name
        spec = {"versions": ["v1", "v2", "v3"], "shares": {"v1": 1.0}}
        await self._fleet.declare(Declaration("model", model, spec))

    async def run_version(self, case: MoveCase) -> MoveResult:
        """Run one version move and wait until it has ended."""
        await self.set_faults(case.rules)
        name = case.title.replace(" ", "-")
        started, now = time.monotonic(), datetime.now(UTC)
        finish_by = now + timedelta(seconds=case.limit_seconds)
        spec = {
            "model": self._fleet.deployment.model.name,
            "from": case.old,
            "to": case.new,
            "finish_by": finish_by.isoformat(),
            "steps": case.steps,
            "step_seconds": 3.0,
            "step_requests": 5,
            "bake_seconds": 6.0,
        }
        await self._fleet.declare(Declaration("version-move", name, spec))
        result = MoveResult(case.title, wanted=case.wanted)
        await self._follow(name, case, started, result)
        result.seconds = time.monotonic() - started
        result.on_time = datetime.now(UTC) <= finish_by
        result.requests = self._load.count_requests(started, time.monotonic())
        if case.rules and "kind" in case.rules[0]:
            result.exposed = await self._count_exposed(case, started)
        await self.set_faults(())
        return result

    async def _count_exposed(self, case: MoveCase, started: float) -> int:
        if case.rules[0]["kind"] == "refuse":
            return await self.count_fired()
        samples = self._load.list_samples(started, time.monotonic())
        return sum(sample.version == case.new for sample in samples)

    async def _follow(
        self, name: str, case: MoveCase, started: float, result: MoveResult
    ) -> None:
        harm_at: float | None = None
        limit = started + case.limit_seconds + 15
        while time.monotonic() < limit:
            move = await self.call("GET", f"/version-move/{name}")
            status = move["status"]
            state = status["state"]
            now = time.monotonic()
            if harm_at is None and case.rules and await self.count_fired():
                harm_at = now
            if state not in ("taking-back", "taken-back"):
                result.share = _find_share(state, status, case)
            elif result.detection_seconds is None and harm_at is not None:
                result.detection_seconds = now - harm_at
            result.state, result.detail = state, status["detail"]
            if state in ("finished", "taken-back"):
                return
            await asyncio.sleep(_POLL_SECONDS)

    async def wait_targets(self, version: str, seconds: float = 30.0) -> bool:
        """Wait until all engines serve a version again."""
        limit = time.monotonic() + seconds
        while time.monotonic() < limit:
            targets = await self.call("GET", "/target")
            model = self._fleet.deployment.model.name
            specs = [i["spec"] for i in targets["items"] if i["spec"]["pool"] == model]
            if all(s["version"] == version and not s["leaving"] for s in specs):
                return True
            await asyncio.sleep(_POLL_SECONDS)
        return False

    async def run_data_centre(self, data_centre: str) -> DataCentreResult:
        """Let a data centre leave and return under load."""
        result = DataCentreResult()
        before = time.monotonic()
        await asyncio.sleep(_SETTLE_SECONDS)
        left = time.monotonic()
        await self._declare_data_centre(data_centre, "leave")
        watch = asyncio.create_task(self._count_late_work(data_centre, left))
        await self._wait_state(f"{data_centre}-leave", "empty", 40.0)
        result.empty_seconds = time.monotonic() - left
        await asyncio.sleep(_SETTLE_SECONDS)
        result.late_work = await watch
        returned = time.monotonic()
        await self._declare_data_centre(data_centre, "return")
        result.state = await self._wait_state(f"{data_centre}-return", "refilled", 60.0)
        refilled = time.monotonic()
        result.refill_seconds = refilled - returned
        await asyncio.sleep(_SETTLE_SECONDS)
        end = time.monotonic() - 1.0
        for part, start, stop in (
            ("before", before, left),
            ("out", left, returned),
            ("returning", returned, refilled),
            ("after", refilled, end),
        ):
            result.service[part] = self._load.service_share(start, stop)
            result.reuse[part] = self._load.reuse(start, stop)
        return result

    async def _declare_data_centre(self, data_centre: str, direction: str) -> None:
        spec = {
            "data_centre": data_centre,
            "direction": direction,
            "finish_by": (datetime.now(UTC) + timedelta(minutes=5)).isoformat(),
            "refill_steps": [0.2, 0.6, 1.0],
            "step_seconds": 2.0,
        }
        name = f"{data_centre}-{direction}"
        await self._fleet.declare(Declaration("data-centre-move", name, spec))

    async def _wait_state(self, name: str, state: str, seconds: float) -> str:
        limit = time.monotonic() + seconds
        found = ""
        while time.monotonic() < limit and found != state:
            move = await self.call("GET", f"/data-centre-move/{name}")
            found = move["status"]["state"]
            await asyncio.sleep(_POLL_SECONDS)
        return found

    async def _count_late_work(self, data_centre: str, left: float) -> int:
        """Return the requests that arrive from 3 s after the leave on."""
        deployment = self._fleet.deployment
        addresses = [
            address
            for index, address in enumerate(self._fleet.engines)
            if deployment.data_centre(index) == data_centre
        ]
        await asyncio.sleep(max(0.0, left + _NEW_WORK_SECONDS - time.monotonic()))
        first = await self._sum_requests(addresses)
        await asyncio.sleep(_SETTLE_SECONDS)
        return await self._sum_requests(addresses) - first

    async def _sum_requests(self, addresses: Sequence[str]) -> int:
        answers = await asyncio.gather(
            *(fetch_json("GET", address, "/stats") for address in addresses)
        )
        return sum(answer.body["requests"] for answer in answers)


def _find_share(state: str, status: dict[str, Any], case: MoveCase) -> float:
    if state in ("stepping", "baking"):
        return case.steps[status["step"]]
    return 1.0 if state == "finished" else 0.0


@dataclass(slots=True)
class Report:
    """Hold the results of one deployment."""

    deployment: Deployment
    moves: list[MoveResult] = field(default_factory=list)
    data_centre: DataCentreResult | None = None
    race: RaceResult | None = None
    failures: list[str] = field(default_factory=list)
    seconds: float = 0.0

    def list_missed(self) -> list[str]:
        """Return the targets that were missed."""
        missed = list(self.failures)
        for move in self.moves:
            if move.state != move.wanted or not move.on_time:
                missed.append(f"{move.title}: {move.state}, on time {move.on_time}")
            share = move.exposed / max(1, move.requests)
            if move.title == FAILS.title and share >= _EXPOSED_SHARE_MAX:
                missed.append(f"{move.title}: {share:.2%} of the requests exposed")
        if self.data_centre is not None:
            if self.data_centre.state != "refilled":
                missed.append(f"data centre move ended {self.data_centre.state}")
            if self.data_centre.late_work:
                missed.append(f"new work after 3 s: {self.data_centre.late_work}")
        if self.race is not None:
            missed += self.race.list_missed()
        return [f"{self.deployment.name}: {text}" for text in missed]


async def run_deployment(deployment: Deployment, parts: Sequence[str]) -> Report:
    """Run all parts on a fleet of the deployment's own."""
    report = Report(deployment)
    started = time.monotonic()
    async with Fleet(deployment, _FLEET) as fleet:
        addresses = [item.address for item in fleet.instances]
        load = SteadyLoad(deployment, addresses, _SESSIONS_PER_SECOND)
        bench = MoveBench(fleet, load)
        await bench.prepare()
        async with asyncio.TaskGroup() as group:
            group.create_task(load.run())
            await asyncio.sleep(_SETTLE_SECONDS)
            try:
                await _run_parts(bench, fleet, report, parts)
            finally:
                load.stop()
        fleet.check_processes()
        report.failures += load.tally.list_failures()
    report.failures += [f"{name} ignored SIGTERM" for name in fleet.stuck]
    report.seconds = time.monotonic() - started
    return report


async def _run_parts(
    bench: MoveBench, fleet: Fleet, report: Report, parts: Sequence[str]
) -> None:
    async def run_version(case: MoveCase, final: str) -> None:
        report.moves.append(await bench.run_version(case))
        if not await bench.wait_targets(final):
            report.failures.append(f"{case.title}: targets not back at {final}")

    async def run_data_centre() -> None:
        report.data_centre = await bench.run_data_centre("dc-3")

    async def race() -> None:
        report.race = await run_race(fleet)

    runs: dict[str, Callable[[], Awaitable[None]]] = {
        "fails": lambda: run_version(FAILS, "v1"),
        "slows": lambda: run_version(SLOWS, "v1"),
        "data-centre": run_data_centre,
        "race": race,
        "good": lambda: run_version(GOOD, "v2"),
    }
    for name, run in runs.items():
        if name in parts:
            await run()


def print_report(report: Report) -> None:
    """Print the tables of one deployment."""
    print(f"\nDeployment {report.deployment.title}: {report.seconds:.0f} s")
    print(
        f"{'version':16}{'ended':>12}{'seconds':>9}{'detected s':>12}{'at share':>10}"
        f"{'exposed':>9}{'requests':>10}{'of all':>9}"
    )
    for move in report.moves:
        detected = move.detection_seconds
        print(
            f"{move.title:16}{move.state:>12}{move.seconds:9.1f}"
            f"{'-' if detected is None else f'{detected:.1f}':>12}"
            f"{move.share:10.1%}{move.exposed:9}{move.requests:10}"
            f"{move.exposed / max(1, move.requests):9.2%}  {move.detail}"
        )
    if report.data_centre is not None:
        _print_data_centre(report.data_centre)
    if report.race is not None:
        race = report.race
        print(
            f"operators' race: changes {race.changes}, refused {race.refused}, lost "
            f"answers {race.lost}, reverts {race.reverts}, doubled {race.doubled}, "
            f"ended {race.state}"
        )
    cut = sum("no whole answer" in text for text in report.failures)
    print(f"requests cut: {cut}")


def _print_data_centre(result: DataCentreResult) -> None:
    print(
        f"data centre: empty after {result.empty_seconds:.1f} s, refilled after "
        f"{result.refill_seconds:.1f} s, new work after 3 s {result.late_work}"
    )
    for part, share in result.service.items():
        print(f"  {part:10} in time {share:7.2%}  reuse {result.reuse[part]:6.1%}")


async def _run_side_by_side(names: Sequence[str], parts: Sequence[str]) -> int:
    """Run each deployment in a process of its own; return the worst exit status.

    Two fleets of one process would pick the same ports.
    """
    with tempfile.TemporaryDirectory("-moves") as directory:
        group = ChildGroup(Path(directory))
        try:
            children = []
            for name in names:
                command = [sys.executable, "-m", "benchmarks.move_processes"]
                command += ["--deployments", name, "--parts", *parts]
                children.append(await group.start(name, command, os.environ))
            for child in children:
                await child.wait()
                print((Path(directory) / f"{child.name}.log").read_text(), flush=True)
            return max(abs(child.status or 0) for child in children)
        finally:
            await group.stop(_STOP_SECONDS)


async def _run_one(name: str, parts: Sequence[str]) -> int:
    report = await run_deployment(_DEPLOYMENTS[name], parts)
    print_report(report)
    missed = report.list_missed()
    for text in missed:
        print(f"missed: {text}")
    print("moves: ok" if not missed else f"moves: {len(missed)} missed")
    return 1 if missed else 0


def main() -> int:
    """Run the deployments and print the tables; return 1 if a target is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    names = list(_DEPLOYMENTS)
    parts = ["fails", "slows", "data-centre", "race", "good"]
    parser.add_argument("--deployments", nargs="+", choices=names, default=names)
    parser.add_argument("--parts", nargs="+", choices=parts, default=parts)
    arguments = parser.parse_args()
    chosen = arguments.deployments
    if len(chosen) == 1:
        return asyncio.run(_run_one(chosen[0], arguments.parts))
    return asyncio.run(_run_side_by_side(chosen, arguments.parts))


if __name__ == "__main__":
    sys.exit(main())
