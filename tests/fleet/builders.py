"""Builders of targets and of the objects that instances share about them."""

import random

from carobladder.clock import SystemClock
from carobladder.entry.exchange import SharedState
from carobladder.entry.prompts import PromptDirectory
from carobladder.entry.quarantine import QuarantineSharing
from carobladder.fleet import (
    FailureGossip,
    FleetTarget,
    InFlightGossip,
    LoadGossip,
    PeerDirectory,
    RateGossip,
    TargetEntry,
    TargetTable,
)
from carobladder.quarantine import PartQuarantine
from carobladder.routing import Service

ENGINES = Service("engine", cold_per_second=18.0, batch_slots=128)


def build_entry(target_id: str = "i-1", **changes: object) -> TargetEntry:
    """Return the entry of a warm, ready engine."""
    values: dict = {
        "service": "engine",
        "address": f"10.0.0.{target_id.removeprefix('i-')}:80",
        "data_centre": "dc-1",
        "version": "v1",
        "slots": 128,
        "draining": False,
        "cold_seconds": 0.0,
        "started_ms": 1,
    }
    return TargetEntry(target_id=target_id, **{**values, **changes})


def fill_table(count: int, **changes: object) -> tuple[TargetTable, list[FleetTarget]]:
    """Return a table of ``count`` engines, and the engines."""
    table = TargetTable()
    targets = [
        table.apply(build_entry(f"i-{index}", **changes), 0.0)
        for index in range(1, count + 1)
    ]
    return table, targets


def build_prompt_directory(
    table: TargetTable, peers: PeerDirectory | None = None
) -> PromptDirectory:
    """Return the prompt directory of an instance, by default without peers."""
    clock = SystemClock()
    peers = peers or PeerDirectory("front-1", "127.0.0.1:1", clock)
    return PromptDirectory(table, peers, clock, random.Random(1))


def build_shared_knowledge(
    table: TargetTable, peers: PeerDirectory | None = None
) -> SharedState:
    """Return the knowledge that an instance with this table shares with others."""
    return SharedState(
        LoadGossip(table),
        build_prompt_directory(table, peers),
        FailureGossip(table, random.Random(1)),
        InFlightGossip(table),
        QuarantineSharing(PartQuarantine(lambda key: False), SystemClock()),
        RateGossip(table, SystemClock()),
    )
