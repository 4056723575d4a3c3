"""Hypothesis-driven schedules of instances, operators and faults of the log."""

import unittest

from hypothesis import HealthCheck, given, settings

from carobladder.resources import (
    Catalog,
    Change,
    ConfigReader,
    Cursor,
    WatchHistory,
    join_snapshot,
)
from carobladder.resources.snapshots import SnapshotError
from tests.resources.simulation import (
    Simulation,
    Variant,
    Violation,
    make_schedule,
    schedules,
)

OPTIONS = settings(
    max_examples=400,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
SEEDS = range(300)


class RepeatingCatalog(Catalog):
    """Apply a change again when its id comes again."""

    def apply(self, offset, record):
        self.state.audit.clear()
        return super().apply(offset, record)


class UnconditionalCatalog(Catalog):
    """Ignore the expected revision while applying."""

    def _validate(self, change):
        fields = {name: getattr(change, name) for name in change.__struct_fields__}
        return super()._validate(Change(**{**fields, "expected_revision": None}))


class RevertingCatalog(Catalog):
    """Load a snapshot that is older than the present state."""

    def load(self, state):
        self._state.applied_offset = -1
        return super().load(state)


class GapCatalog(Catalog):
    """Apply a record although earlier ones are missing."""

    def apply(self, offset, record):
        self._state.applied_offset = max(self._state.applied_offset, offset - 1)
        return super().apply(offset, record)


class GapReader(ConfigReader):
    """Take what retention left of the log as the whole configuration."""

    async def _scan_from(self, start):
        try:
            await super()._scan_from(start)
        except SnapshotError:
            self._catalog.mark_loaded()


class ForgetfulReader(ConfigReader):
    """Load snapshots without the ids of the changes they summarise."""

    def _load_parts(self, parts):
        state = join_snapshot(parts)
        state.audit.clear()
        if not self._catalog.load(state):
            return False
        self._history.restart(state.applied_offset)
        return True


class SilentReader(ConfigReader):
    """Never append a snapshot."""

    def _is_snapshot_due(self, batch):
        return False


class DoublingHistory(WatchHistory):
    """Deliver the event at the cursor again."""

    def between(self, after, through):
        return super().between(after - 1, through)


class LosingHistory(WatchHistory):
    """Resume a watch although the events in between are forgotten."""

    def check(self, cursor):
        return None


class HastyHistory(WatchHistory):
    """Tell that a change is in force when the first instance has it."""

    def update_instances(self, applied):
        super().update_instances({"any": max(applied.values())})


class SingleCursorHistory(WatchHistory):
    """Resume both kinds of events from the accepted offset."""

    def open(self, cursor, accept=None):
        return super().open(Cursor(cursor.accepted, cursor.accepted), accept)


BROKEN = (
    Variant(catalog=RepeatingCatalog),
    Variant(catalog=UnconditionalCatalog),
    Variant(catalog=RevertingCatalog),
    Variant(catalog=GapCatalog, reader=GapReader),
    Variant(reader=GapReader),
    Variant(reader=ForgetfulReader),
    Variant(reader=SilentReader),
    Variant(history=DoublingHistory),
    Variant(history=LosingHistory),
    Variant(history=HastyHistory),
    Variant(history=SingleCursorHistory),
)


def violates(schedule, variant: Variant) -> bool:
    """Tell whether the checks notice the variant in this schedule."""
    try:
        Simulation(variant).run(schedule)
    except Violation:
        return True
    return False


class ScheduleTest(unittest.TestCase):
    """Guard against instances that disagree, revert, or miss or double events."""

    @OPTIONS
    @given(schedules)
    def test_every_schedule_keeps_the_guarantees(self, schedule):
        Simulation(Variant()).run(schedule)

    def test_seeded_schedules_keep_the_guarantees(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                Simulation(Variant()).run(make_schedule(seed))

    def test_the_same_seeds_find_each_broken_variant(self):
        for variant in BROKEN:
            with self.subTest(variant=variant):
                found = any(violates(make_schedule(seed), variant) for seed in SEEDS)
                self.assertTrue(found)
