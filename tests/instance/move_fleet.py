"""Move drivers of several instances over one log and engines, in virtual time."""

import json
from dataclasses import dataclass, field
from typing import Any

from carobladder.clients.engines import EngineClient
from carobladder.clients.ports import HttpAnswer
from carobladder.clock import VirtualClock
from carobladder.exceptions import LogUnavailableError
from carobladder.instance.evidence import EvidenceCollector
from carobladder.instance.movedriver import FleetView, MoveDriver
from carobladder.instance.movetargets import TargetSurvey
from carobladder.instance.movewatch import MoveWatch
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
SILENCE_SECONDS = 1.5
OPTIONS = ReaderOptions(poll_seconds=0, snapshot_seconds=1e9, snapshot_records=10**9)


@dataclass
class Engine:
    """Hold the state of one engine."""

    checks: bool
    version: str = "v1"
    loading: str = ""
    ready_at: float = 0.0
    greatest: int = -1
    running: int = 0
    orders: list[tuple[int, str, str]] = field(default_factory=list)


class Engines:
    """Answer the engines' interface behind the HTTP client interface.

    ``late`` lists the obeyed orders of a driver whose lease was replaced.
    """

    def __init__(self, clock: VirtualClock, log: FakeLog, checks: list[bool]) -> None:
        self._clock = clock
        self._log = log
        self.all = [Engine(check) for check in checks]
        self.late: list[tuple[int, int]] = []

    async def fetch(
        self, method, address, path, *, headers=(), body=b"", timeout_seconds
    ):
        """Answer a load report or an order."""
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
        return self._obey(number, engine, json.loads(body))

    def _obey(self, number: int, engine: Engine, order: dict[str, Any]) -> HttpAnswer:
        fencing = order["fencing"]
        if engine.checks and fencing < engine.greatest:
            return HttpAnswer(409, (), b"{}")
        engine.greatest = max(engine.greatest, fencing)
        if fencing != self._newest_lease():
            self.late.append((number, fencing))
        engine.orders.append((fencing, order["action"], order["version"]))
        if order["action"] == "load" and order["version"] != engine.version:
            engine.loading = order["version"]
            engine.ready_at = self._clock.monotonic() + LOAD_SECONDS
        return HttpAnswer(202, (), b"{}")

    def _newest_lease(self) -> int:
        """Decide the leases of the log by the rule of the design page."""
        newest = -1
        for offset, text in enumerate(self._log.history):
            record = json.loads(text)
            if record["type"] == "move-lease" and record["expected_offset"] == newest:
                newest = offset
        return newest


class Member:
    """Run the move parts of one instance."""

    def __init__(
        self,
        fleet: "MoveFleet",
        name: str,
        rules: type[MoveDriver],
        catalog: type[Catalog],
    ) -> None:
        self.name = name
        self.dead = False
        self.paused = False
        self.silent_since: float | None = None
        self.read_at: float | None = None
        self.catalog = catalog()
        log, clock = fleet.log.client, fleet.clock
        self.reader = ConfigReader(
            log, self.catalog, WatchHistory(), clock, options=OPTIONS, seed=0
        )
        self.evidence = EvidenceCollector(name, 1)
        self.watch = MoveWatch(self.catalog, self.evidence, lambda items: None, clock)
        engines = EngineClient(fleet.engines)
        self.driver = rules(
            FleetView(name, fleet.list_live, lambda: self.read_at),
            self.catalog,
            log,
            self.watch,
            TargetSurvey(self.catalog, engines, lambda target: 0),
            engines,
            clock,
        )
        self._clock = clock

    def read(self) -> None:
        """Read the log to its end, as the reader's task does."""
        try:
            before = -2
            while not self.catalog.loaded or before != self.catalog.applied_offset:
                before = self.catalog.applied_offset
                drive(self.reader.step())
            self.read_at = self._clock.monotonic()
        except LogUnavailableError:
            pass


class MoveFleet:
    """Run instances step by step; some may be paused, dead or cut from the log."""

    def __init__(
        self,
        *,
        checks: list[bool] | None = None,
        rules: type[MoveDriver] = MoveDriver,
        catalog: type[Catalog] = Catalog,
    ) -> None:
        self.clock = VirtualClock()
        self.log = FakeLog()
        checks = checks or [True] * 4
        self.engines = Engines(self.clock, self.log, checks)
        self._changes = 0
        self._finish_by = 0.0
        self.members = [Member(self, f"i{n}", rules, catalog) for n in range(3)]
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
        self._changes += 1
        at = self.clock.now().timestamp()
        change = Change(f"op-{self._changes}", "op", at, "put", kind, name, spec)
        self.log.history.append(encode_record(change).decode())

    def declare(self, intent: str = "run", seconds: float = 300.0) -> None:
        """Declare the move, or change its intent."""
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
        """Return the instances that have not been silent for long."""
        now = self.clock.monotonic()
        return tuple(
            member.name
            for member in self.members
            if member.silent_since is None
            or now - member.silent_since < SILENCE_SECONDS
        )

    @property
    def owner(self) -> Member:
        """Return the instance that holds the newest lease."""
        driver = self.progress.driver
        return next(member for member in self.members if member.name == driver)

    @property
    def progress(self) -> MoveProgress:
        """Return the progress of the version move as a member that is up sees it."""
        up = next(m for m in self.members if not (m.dead or m.paused))
        found = up.catalog.get_progress("version-move", "mv")
        return found or MoveProgress()

    def list_leaving(self) -> list[str]:
        """Return the targets that the driver sees as leaving."""
        targets = self.owner.catalog.list_kind("target") if self._is_driven() else []
        return [t.name for t in targets if getattr(t.spec, "leaving", False)]

    def _is_driven(self) -> bool:
        catalog = self.members[0].catalog
        progress = catalog.get_progress("version-move", "mv")
        return progress is not None and bool(progress.driver)

    def pause(self, member: Member) -> None:
        """Stop a member without notice."""
        member.paused = True
        member.silent_since = self.clock.monotonic()

    def wake(self, member: Member) -> None:
        """Let a paused member go on from where it was, before it reads again."""
        member.paused = False
        member.silent_since = None
        member.watch.update()
        member.driver.tick()

    async def run(self, seconds: float, until: tuple[str, ...] = ()) -> str:
        """Let time pass; return the state of the move."""
        for _ in range(int(seconds / STEP_SECONDS)):
            for member in self.members:
                if member.paused:
                    continue
                member.read()
                member.watch.update()
                member.driver.tick()
            await settle()
            self.clock.advance(STEP_SECONDS)
            if until and self.progress.state in until:
                break
        return self.progress.state

    def count_unordered(self) -> int:
        """Return the accepted records that did not expect the change before.

        The whole log is decided here again, by the rule of the design page.
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
