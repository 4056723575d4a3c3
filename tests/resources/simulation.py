"""Schedules of several instances over one log, with an independent reference."""

import json
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

from hypothesis import strategies as st

from carobladder.clock import VirtualClock
from carobladder.exceptions import (
    LogUnavailableError,
    SnapshotError,
    WatchExpiredError,
)
from carobladder.resources import (
    ABSENT,
    Catalog,
    Change,
    ConfigReader,
    Cursor,
    EventType,
    ReaderOptions,
    WatchHistory,
    encode_record,
)
from tests.resources.fake_log import FakeLog, drive

INSTANCES = 3
NAMES = ("a", "b")
OPTIONS = ReaderOptions(
    poll_seconds=0,
    snapshot_seconds=900,
    snapshot_records=1000,
    snapshot_hold_seconds=0,
)

instances = st.integers(0, INSTANCES - 1)
changes = st.tuples(
    st.just("change"),
    instances,
    st.sampled_from(NAMES),
    st.sampled_from(("any", "any", "expect", "absent", "delete")),
    st.integers(0, 2),
)
reads = st.tuples(st.just("read"), instances)
repeats = st.tuples(st.just("repeat"), st.integers(0, 3))
faults = st.one_of(
    st.tuples(st.just("restart"), instances),
    st.tuples(st.just("outage"), st.booleans()),
    st.tuples(st.just("retain"), st.integers(0, 6)),
    st.tuples(st.just("wait"), st.just(1200)),
    st.tuples(st.just("keep"), instances),
    st.tuples(st.just("late"), instances),
    st.tuples(st.just("replace"), instances),
    st.tuples(st.just("replace"), instances),
)
watches = st.tuples(st.just("watch"), instances)
operations = st.one_of(changes, changes, reads, reads, repeats, faults, watches)
schedules = st.lists(operations, min_size=10, max_size=60)


def make_schedule(seed: int, length: int = 80) -> list[tuple[Any, ...]]:
    """Return a schedule of a seed, with more repeats and faults than usual."""
    draw = random.Random(seed)

    def pick() -> tuple[Any, ...]:
        number = draw.randrange(INSTANCES)
        mode = draw.choice(("any", "any", "expect", "absent", "delete"))
        change = ("change", number, draw.choice(NAMES), mode, draw.randrange(3))
        return draw.choice(
            (
                change,
                change,
                ("read", number),
                ("read", number),
                ("read", number),
                ("watch", number),
                ("repeat", draw.randrange(4)),
                draw.choice(
                    (
                        ("restart", number),
                        ("replace", number),
                        ("outage", draw.random() < 0.5),
                        ("retain", draw.randrange(7)),
                        ("wait", 1200),
                        ("keep", number),
                        ("late", number),
                    )
                ),
            )
        )

    return [pick() for _ in range(length)]


class Violation(AssertionError):  # noqa: N818 - a finding of a check
    """Report that a schedule broke a guarantee."""


@dataclass
class Variant:
    """Choose the classes under test; a broken variant replaces one of them."""

    catalog: Callable[[], Catalog] = Catalog
    reader: type[ConfigReader] = ConfigReader
    history: type[WatchHistory] = WatchHistory


class Reference:
    """Decide each record of the whole log by the rules of the design page."""

    def __init__(self) -> None:
        self.states: list[dict[str, tuple[int, float]]] = [{}]
        self.accepted: list[int] = []
        self._seen: set[str] = set()

    def extend(self, records: list[str]) -> None:
        """Decide the records that were not decided before."""
        for offset in range(len(self.states) - 1, len(records)):
            state = dict(self.states[-1])
            if self._decide(offset, json.loads(records[offset]), state):
                self.accepted.append(offset)
            self.states.append(state)

    def _decide(
        self, offset: int, record: dict[str, Any], state: dict[str, tuple[int, float]]
    ) -> bool:
        if record["type"] != "change" or record["change_id"] in self._seen:
            return False
        self._seen.add(record["change_id"])
        revision = state[record["name"]][0] if record["name"] in state else ABSENT
        if record["expected_revision"] not in (None, revision):
            return False
        if record["action"] == "delete":
            return state.pop(record["name"], None) is not None
        weight = record["spec"]["weight"]
        if record["name"] in state and state[record["name"]][1] == weight:
            return False
        state[record["name"]] = (offset, weight)
        return True


class Instance:
    """Run one catalog, its reader and its watches."""

    def __init__(self, simulation: "Simulation", variant: Variant) -> None:
        self.catalog = variant.catalog()
        self.history = variant.history()
        self.highest = ABSENT
        self.reader = variant.reader(
            simulation.log.client,
            self.catalog,
            self.history,
            simulation.clock,
            peer_snapshot=simulation.ask_peers,
            options=OPTIONS,
            seed=0,
        )

    def read(self) -> None:
        """Read once, as the reader's task does between two waits."""
        try:
            drive(self.reader.step())
        except (LogUnavailableError, SnapshotError):
            drive(self.reader._load_from_peer())


@dataclass
class Watcher:
    """Keep what an operator saw, across disconnects."""

    cursor: Cursor = field(default_factory=lambda: Cursor(ABSENT, ABSENT))
    start: Cursor = field(default_factory=lambda: Cursor(ABSENT, ABSENT))
    accepted: list[int] = field(default_factory=list)
    in_force: list[int] = field(default_factory=list)


class Simulation:
    """Run a schedule and check every guarantee after each operation."""

    def __init__(self, variant: Variant) -> None:
        self.variant = variant
        self.log = FakeLog()
        self.clock = VirtualClock()
        self.reference = Reference()
        self.submitted: list[bytes] = []
        self.kept: list[bytes] = []
        self.watcher = Watcher()
        self.frontier = ABSENT
        self.instances = [Instance(self, variant) for _ in range(INSTANCES)]

    async def ask_peers(self) -> list[bytes]:
        """Return the snapshot of the first instance that has one."""
        for instance in self.instances:
            if instance.catalog.loaded:
                return instance.reader.encode_snapshot()
        return []

    def run(self, schedule: list[tuple[Any, ...]]) -> None:
        """Run the operations, then let all instances catch up."""
        for name, *arguments in schedule:
            getattr(self, f"do_{name}")(*arguments)
            self.check()
        self.settle()

    def do_change(self, number: int, name: str, mode: str, lost: int) -> None:
        """Append a change that was prepared on an instance's present state."""
        current = self.instances[number].catalog.get("team", name)
        revision = current.revision if current else ABSENT
        expected = {"any": None, "absent": ABSENT}.get(mode, revision)
        serial = len(self.submitted)
        record = Change(
            change_id=f"change-{serial}",
            who="operator",
            at=self.clock.now().timestamp(),
            action="delete" if mode == "delete" else "put",
            kind="team",
            name=name,
            spec=None if mode == "delete" else {"weight": 1 + serial % 5},
            expected_revision=expected,
        )
        self.submitted.append(encode_record(record))
        self.log.lose_answers = lost
        self._submit(self.submitted[-1])

    def do_repeat(self, back: int) -> None:
        """Append an earlier change again, as after a late answer."""
        if back < len(self.submitted):
            self._submit(self.submitted[-1 - back])

    def _submit(self, record: bytes) -> None:
        try:
            drive(self.log.client.append("config", [record]))
        except LogUnavailableError as error:
            if error.may_have_taken_effect:
                self._submit(record)

    def do_read(self, number: int) -> None:
        """Let an instance read once; the others are paused meanwhile."""
        instance = self.instances[number]
        known_before = instance.catalog.loaded
        instance.read()
        empty = instance.catalog.loaded and instance.catalog.applied_offset < 0
        if empty and not known_before and self.log.oldest > 0:
            raise Violation(f"instance {number} took a shortened log as empty")

    def do_restart(self, number: int) -> None:
        """Replace an instance by one without state."""
        self.instances[number] = Instance(self, self.variant)

    def do_replace(self, number: int) -> None:
        """Restart an instance that loads its configuration from a peer."""
        records = drive(self.ask_peers())
        self.do_restart(number)
        if records:
            self.instances[number].reader.load_snapshot(records)

    def do_outage(self, down: bool) -> None:
        """Start or end an outage of the log."""
        self.log.outage = down

    def do_retain(self, count: int) -> None:
        """Drop all but the newest records."""
        self.log.oldest = max(self.log.oldest, len(self.log.history) - count)

    def do_wait(self, seconds: int) -> None:
        """Let time pass, so that a snapshot may become due."""
        self.clock.advance(timedelta(seconds=seconds).total_seconds())

    def do_keep(self, number: int) -> None:
        """Let an instance answer a peer; the answer is delivered late."""
        self.kept = self.instances[number].reader.encode_snapshot()

    def do_late(self, number: int) -> None:
        """Deliver the late answer to an instance."""
        if self.kept:
            self.instances[number].reader.load_snapshot(self.kept)

    def do_watch(self, number: int) -> None:
        """Resume the operator's watch at an instance and read its events."""
        instance = self.instances[number]
        if not instance.catalog.loaded:
            return
        instance.history.update_instances(self.applied())
        try:
            watch = instance.history.open(self.watcher.cursor)
            events = watch.poll()
        except WatchExpiredError:
            offset = max(instance.catalog.applied_offset, self.watcher.cursor.accepted)
            cursor = Cursor(offset, offset)
            self.watcher = Watcher(cursor, cursor)
            return
        for event in events:
            seen = (
                self.watcher.accepted
                if event.type is EventType.ACCEPTED
                else self.watcher.in_force
            )
            seen.append(event.change.revision)
        self.watcher.cursor = watch.cursor
        # A client that disconnects keeps the cursor of the last event only.
        if events:
            self.watcher.cursor = events[-1].cursor

    def applied(self) -> dict[str, int]:
        """Return the applied offset of each instance."""
        return {
            str(number): instance.catalog.applied_offset
            for number, instance in enumerate(self.instances)
        }

    def check(self) -> None:
        """Raise Violation if any guarantee does not hold now."""
        self.reference.extend(self.log.history)
        self.frontier = max(self.frontier, min(self.applied().values()))
        for number, instance in enumerate(self.instances):
            self._check_instance(number, instance)
        self._check_watch()

    def _check_instance(self, number: int, instance: Instance) -> None:
        offset = instance.catalog.applied_offset
        if offset < instance.highest:
            raise Violation(f"instance {number} went back to {offset}")
        instance.highest = offset
        found = {
            resource.name: (resource.revision, resource.spec.weight)
            for resource in instance.catalog.list_kind("team")
        }
        if found != self.reference.states[offset + 1]:
            raise Violation(f"instance {number} differs at {offset}: {found}")

    def _check_watch(self) -> None:
        watcher = self.watcher
        expected = self._expect(watcher.start.accepted, watcher.cursor.accepted)
        if watcher.accepted != expected:
            raise Violation(f"accepted {watcher.accepted}, expected {expected}")
        expected = self._expect(watcher.start.in_force, watcher.cursor.in_force)
        if watcher.in_force != expected:
            raise Violation(f"in force {watcher.in_force}, expected {expected}")
        if watcher.in_force and watcher.in_force[-1] > self.frontier:
            raise Violation("told in force before all instances applied it")

    def _expect(self, after: int, through: int) -> list[int]:
        return [o for o in self.reference.accepted if after < o <= through]

    def settle(self) -> None:
        """End the outage and require that everyone reaches the log's end."""
        self.do_outage(False)
        recoverable = self._is_recoverable()
        quiet_rounds = 0
        while quiet_rounds < 3:
            before = (self.applied(), len(self.log.history))
            for number in range(INSTANCES):
                self.do_read(number)
            self.check()
            moved = before != (self.applied(), len(self.log.history))
            quiet_rounds = 0 if moved else quiet_rounds + 1
        applied = set(self.applied().values())
        if recoverable and applied != {len(self.log.history) - 1}:
            raise Violation(f"instances stay at {applied}")
        if recoverable:
            self.do_watch(0)
            self.check()

    def _is_recoverable(self) -> bool:
        """Tell whether log and instances together still hold every record.

        Records that retention drops before any instance read them are lost.
        """
        needed = self.log.oldest - 1
        if needed < 0:
            return True
        held = [i.catalog.applied_offset for i in self.instances if i.catalog.loaded]
        for text in self.log.history[self.log.oldest :]:
            record = json.loads(text)
            if record["type"] == "snapshot":
                held.append(record["through_offset"])
        return any(offset >= needed for offset in held)
