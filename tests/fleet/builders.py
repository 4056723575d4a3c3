"""Targets for tests of the fleet."""

import random

from carobladder.entry.exchange import SharedKnowledge
from carobladder.fleet import (
    FailureSharing,
    FleetTarget,
    LoadSharing,
    PromptSharing,
    PromptWarmth,
    TargetEntry,
    TargetTable,
)
from carobladder.routing import Service

ENGINES = Service("engine", cold_per_second=18.0, batch_slots=128)


def build_entry(target_id: str = "i-1", **changes: object) -> TargetEntry:
    """Return an entry of a warm, ready engine."""
    values: dict = {
        "service": "engine",
        "address": f"10.0.0.{target_id.removeprefix('i-')}:80",
        "data_centre": "dc-1",
        "version": "v1",
        "slots": 128,
        "draining": False,
        "cold_seconds": 0.0,
        "born_ms": 1,
    }
    return TargetEntry(target_id=target_id, **{**values, **changes})


def fill_table(count: int, **changes: object) -> tuple[TargetTable, list[FleetTarget]]:
    """Return a table with engines and the engines."""
    table = TargetTable()
    targets = [
        table.apply(build_entry(f"i-{index}", **changes), 0.0)
        for index in range(1, count + 1)
    ]
    return table, targets


def build_shared(table: TargetTable) -> SharedKnowledge:
    """Return what an instance with this table tells others."""
    return SharedKnowledge(
        LoadSharing(table),
        PromptSharing(table, PromptWarmth(table)),
        FailureSharing(table, random.Random(1)),
    )
