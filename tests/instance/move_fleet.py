"""Fleet of move drivers that share a fake log and fake engines, in virtual time."""

import json
from dataclasses import dataclass, field
from typing import Any

from carobladder.clients.engines import EngineClient
from carobladder.clients.ports import HttpAnswer
from carobladder.clock import VirtualClock
from carobladder.exceptions import LogUnavailableError
from carobladder.instance.evidence import EvidenceCollector
from carobladder.instance.movedriver import FleetView, MoveDriver
from carobladder.instance.movemonitor import MoveMonitor
from carobladder.instance.movetargets import TargetReader
from carobladder.resources import (
    Catalog,
    Change,
    ConfigReader,
    MoveProgress,
    ReaderOptions,
    WatchHistory,
    encode_record,
)
from tests.resources.fake_log import FakeLog, drive
from tests.support.virtual import settle

STEP_SECONDS = 0.5
LOAD_SECONDS = 2.0
FAILURE_TIMEOUT_SECONDS = 1.5
OPTIONS = ReaderOptions(poll_seconds=0, snapshot_seconds=1e9, snapshot_records=10**9)


@dataclass
class FakeEngine:
    """State of one engine."""

    checks_fencing: bool
    version: str = "v1"
    loading: str = ""
    ready_at: float = 0.0
    max_fencing: int = -1
    running: int = 0
    orders: list[tuple[int, str, str]] = field(default_factory=list)


class FakeEngines:
    """HTTP client that simulates the interface of the engines.

    ``stale_orders`` lists the executed orders of drivers whose lease was replaced, as
    pairs of an engine's index and a fencing number.
    """

    def __init__(self, clock: VirtualClock, log: FakeLog, checks: list[bool]) -> None:
        self._clock = clock
        self._log = log
        self.all = [FakeEngine(check) for check in checks]
        self.stale_orders: list[tuple[int, int]] = []

    async def fetch(
        self, method, address, path, *, headers=(), body=b"", timeout_seconds
    ):
        """Respond to a request for a load report or to an order."""
        number = int(address.rpartition(":")[2]) - 1
        engine = self.all[number]
        if engine.loading and self._clock.monotonic() >= engine.ready_at:
            engine.version, engine.loading = engine.loading, ""
        if path == "/load":
            report = {
                "boot_id": engine.version,
                "ready": not engine.loading,
                "version": engine.version,
                "running": engine.running,
                "bearable": 32,
            }
            return HttpAnswer(200, (), json.dumps(report).encode())
        return self._handle_order(number, engine, json.loads(body))

    def _handle_order(
        self, number: int, engine: FakeEngine, order: dict[str, Any]
    ) -> HttpAnswer:
        fencing = order["fencing"]
        if engine.checks_fencing and fencing < engine.max_fencing:
            return HttpAnswer(409, (), b"{}")
        engine.max_fencing = max(engine.max_fencing, fencing)
        if fencing != self._newest_lease():
            self.stale_orders.append((number, fencing))
        engine.orders.append((fencing, order["action"], order["version"]))
        if order["action"] == "load" and order["version"] != engine.version:
            engine.loading = order["version"]
            engine.ready_at = self._clock.monotonic() + LOAD_SECONDS
        return HttpAnswer(202, (), b"{}")

    def _newest_lease(self) -> int:
        """Return the newest accepted lease, by the rule of the design document."""
        newest = -1
        for offset, text in enumerate(self._log.history):
            record = json.loads(text)
            if record["type"] == "move-lease" and record["expected_offset"] == newest:
                newest = offset
        return newest


class FleetMember:
    """Components of one instance that monitor and drive moves."""

    def __init__(
        self,
        fleet: "MoveFleet",
        name: str,
        driver_class: type[MoveDriver],
        catalog: type[Catalog],
    ) -> None:
        self.name = name
        self.crashed = False
        self.paused = False
        self.unreachable_since: float | None = None
        self.read_at: float | None = None
        self.catalog = catalog()
        log, clock = fleet.log.client, fleet.clock
        self.reader = ConfigReader(
            log, self.catalog, WatchHistory(), clock, options=OPTIONS, seed=0
        )
        self.evidence = EvidenceCollector(name, 1)
        self.monitor = MoveMonitor(
            self.catalog, self.evidence, lambda items: None, clock
        )
        engines = EngineClient(fleet.engines)
        self.driver = driver_class(
            FleetView(name, fleet.list_live, lambda: self.read_at),
            self.catalog,
            log,
            self.monitor,
            TargetReader(self.catalog, engines, lambda target: 0),
            engines,
            clock,
        )
        self._clock = clock

    def read(self) -> None:
        """Read the log to its end, as the reader task does."""
        try:
            before = -2
            while not self.catalog.loaded or before != self.catalog.applied_offset:
                before = self.catalog.applied_offset
                drive(self.reader.step())
            self.read_at = self._clock.monotonic()
        except LogUnavailableError:
            pass


class MoveFleet:
    """Instances that run in fixed time steps and may be paused or lose the log."""

    def __init__(
        self,
        *,
        checks: list[bool] | None = None,
        driver_class: type[MoveDriver] = MoveDriver,
        catalog: type[Catalog] = Catalog,
    ) -> None:
        self.clock = VirtualClock()
        self.log = FakeLog()
        checks = checks or [True] * 4
        self.engines = FakeEngines(self.clock, self.log, checks)
        self._change_count = 0
        self._finish_by = 0.0
        self.members = [
            FleetMember(self, f"i{n}", driver_class, catalog) for n in range(3)
        ]
        versions = {"versions": ["v1", "v2"], "shares": {"v1": 1.0}}
        self.put("model", "m", versions)
        for number, check in enumerate(checks):
            target = {
                "pool": "m",
                "data_centre": f"dc-{number % 2}",
                "address": f"127.0.0.1:{number + 1}",
                "checks_fencing": check,
            }
            self.put("target", f"t{number}", target)

    def put(self, kind: str, name: str, spec: dict[str, Any]) -> None:
        """Append an operator's change."""
        self._change_count += 1
        at = self.clock.now().timestamp()
        change = Change(f"op-{self._change_count}", "op", at, "put", kind, name, spec)
        self.log.history.append(encode_record(change).decode())

    def declare(self, intent: str = "run", seconds: float = 300.0) -> None:
        """Declare the version move or change its intent."""
        if not self._finish_by:
            self._finish_by = self.clock.now().timestamp() + seconds
        spec = {
            "model": "m",
            "from": "v1",
            "to": "v2",
            "finish_by": self._finish_by,
            "steps": [0.01, 0.5],
            "step_seconds": 2.0,
            "step_requests": 0,
            "bake_seconds": 5.0,
            "intent": intent,
        }
        self.put("version-move", "mv", spec)

    def list_live(self) -> tuple[str, ...]:
        """Return the instances that are reachable or not yet detected as failed."""
        now = self.clock.monotonic()
        return tuple(
            member.name
            for member in self.members
            if member.unreachable_since is None
            or now - member.unreachable_since < FAILURE_TIMEOUT_SECONDS
        )

    @property
    def owner(self) -> FleetMember:
        """Return the instance that holds the newest lease."""
        driver = self.progress.driver
        return next(member for member in self.members if member.name == driver)

    @property
    def progress(self) -> MoveProgress:
        """Return the progress of the version move, as seen by a running member."""
        running = next(m for m in self.members if not (m.crashed or m.paused))
        found = running.catalog.get_progress("version-move", "mv")
        return found or MoveProgress()

    def list_leaving(self) -> list[str]:
        """Return the leaving targets, as seen by the instance that drives the move."""
        targets = self.owner.catalog.list_kind("target") if self._has_driver() else []
        return [t.name for t in targets if getattr(t.spec, "leaving", False)]

    def _has_driver(self) -> bool:
        catalog = self.members[0].catalog
        progress = catalog.get_progress("version-move", "mv")
        return progress is not None and bool(progress.driver)

    def pause(self, member: FleetMember) -> None:
        """Stop a member abruptly."""
        member.paused = True
        member.unreachable_since = self.clock.monotonic()

    def resume(self, member: FleetMember) -> None:
        """Resume a paused member, which acts once before it reads the log again."""
        member.paused = False
        member.unreachable_since = None
        member.monitor.update()
        member.driver.tick()

    async def run(self, seconds: float, until: tuple[str, ...] = ()) -> str:
        """Advance the time and return the state of the move.

        Stops early when the move reaches a state in ``until``.
        """
        for _ in range(int(seconds / STEP_SECONDS)):
            for member in self.members:
                if member.paused:
                    continue
                member.read()
                member.monitor.update()
                member.driver.tick()
            await settle()
            self.clock.advance(STEP_SECONDS)
            if until and self.progress.state in until:
                break
        return self.progress.state

    def count_out_of_order(self) -> int:
        """Count the accepted records that did not expect the preceding change.

        Re-evaluates the whole log by the rule of the design document.
        """
        revision: int | None = None
        seen: set[str] = set()
        allowed: set[int] = set()
        for offset, text in enumerate(self.log.history):
            record = json.loads(text)
            if record.get("name") != "mv" or record["type"] == "move-lease":
                continue
            expected = record["expected_revision"]
            if record["change_id"] in seen or expected not in (None, revision):
                continue
            seen.add(record["change_id"])
            revision = offset
            allowed.add(offset)
        audit = self.members[0].catalog.list_audit()
        accepted = {e.offset for e in audit if e.name == "mv" and e.changed}
        return len(accepted - allowed)
