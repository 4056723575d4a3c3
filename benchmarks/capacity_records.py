"""Needs of the roles that work with the log, and of failures."""

import inspect

from benchmarks.capacity_needs import Figures, Need
from benchmarks.capacity_size import LIMITS, SIZE
from benchmarks.slopes_collect import Results
from carobladder.moves import Driver

__all__ = ["list_claims", "list_configuration", "list_event_needs", "list_mover"]

_DAY_SECONDS = 86_400
_HEARTBEATS_A_SECOND = 4
_LEDGER_SECONDS = 3600  # keys are kept for twice the claim window of 30 minutes
_LINGER_SECONDS = 0.02
_RECORDS_A_BOOKING = 2
_CONFIG_POLL_SECONDS = 1
_CLAIMS_POLL_SECONDS = 5
_EVIDENCE_ITEMS = 8  # two versions, four classes, one route
_RENEWALS_A_LEASE = 2
_CHANGED_ONLY = "declare only after a change or at a window (not built)"
_KEY_RANGES = "claims batched by key range (not built)"


def list_configuration(figures: Figures) -> list[Need]:
    """Return the needs of the reader and the writer of the configuration."""
    rate = SIZE.changes_a_day / _DAY_SECONDS
    change_seconds = figures.full("config.apply_seconds")
    change_seconds += figures.full("config.index_seconds")
    polls = 1 / _CONFIG_POLL_SECONDS + 1 / _CLAIMS_POLL_SECONDS
    reads = SIZE.instances * (polls + rate)
    reader, writer = "configuration reader", "configuration writer"
    return [
        Need(
            reader,
            "state",
            figures.full("config.state_bytes"),
            "B",
            float(LIMITS.memory_bytes),
            series="config.state_bytes",
        ),
        Need(
            reader,
            f"{SIZE.changes_a_day} changes a day: processor time",
            rate * change_seconds,
            "core",
            LIMITS.core_share,
            series="config.index_seconds",
        ),
        Need(
            reader,
            f"{SIZE.changes_a_day} changes a day: bytes received",
            rate * figures.full("config.record_bytes"),
            "B/s",
            float(LIMITS.bytes_a_second),
            series="config.record_bytes",
        ),
        Need(
            reader,
            "targets declared again with each heartbeat",
            _HEARTBEATS_A_SECOND * figures.full("config.declare_seconds"),
            "core",
            LIMITS.core_share,
            _HEARTBEATS_A_SECOND * figures.cell("config.declare_seconds"),
            "config.declare_seconds",
            _CHANGED_ONLY,
        ),
        Need(
            reader,
            "snapshot at the start of an instance",
            figures.full("config.snapshot_bytes"),
            "B",
            series="config.snapshot_bytes",
            mechanism="snapshots in the log, or from a peer",
        ),
        Need(
            writer,
            "appends of changes to the log",
            rate,
            "1/s",
            float(LIMITS.log_appends_a_second),
        ),
        Need(writer, "reads of the log by all instances, both streams", reads, "1/s"),
        Need(
            writer,
            "time until in force everywhere",
            figures.line("fleet.change_seconds", SIZE.instances),
            "s",
            LIMITS.change_seconds,
            figures.cell("fleet.change_seconds"),
            "fleet.change_seconds",
        ),
    ]


def list_claims(figures: Figures) -> list[Need]:
    """Return the needs of the writer and the readers of claims."""
    appends = LIMITS.log_appends_a_second / _RECORDS_A_BOOKING
    record_bytes = figures.slope("claims.record_bytes")
    entry_bytes = figures.slope("claims.state_bytes")
    return [
        Need(
            "claims writer",
            "appends, if every instance fills its lingers",
            SIZE.instances / _LINGER_SECONDS,
            "1/s",
            float(LIMITS.log_appends_a_second),
            mechanism=_KEY_RANGES,
        ),
        Need(
            "claims writer",
            "bookings that the log bears, one record an append",
            appends,
            "1/s",
            mechanism=_KEY_RANGES,
        ),
        Need(
            "claims reader",
            "bookings that 4 KB/s bear",
            LIMITS.bytes_a_second / record_bytes,
            "1/s",
            series="claims.record_bytes",
            mechanism=_KEY_RANGES,
        ),
        Need(
            "claims reader",
            "bookings that 128 MB bear",
            LIMITS.memory_bytes / entry_bytes / _LEDGER_SECONDS,
            "1/s",
            series="claims.state_bytes",
            mechanism=_KEY_RANGES,
        ),
        Need(
            "claims reader",
            "bookings that 2.5% of a core bear",
            LIMITS.core_share / figures.slope("claims.apply_seconds"),
            "1/s",
            series="claims.apply_seconds",
            mechanism=_KEY_RANGES,
        ),
    ]


def list_mover(figures: Figures) -> list[Need]:
    """Return the needs of the driver of moves."""
    moves = SIZE.models + SIZE.data_centres
    lease_seconds = inspect.signature(Driver).parameters["lease_seconds"].default
    item_bytes = figures.full("evidence.item_bytes")
    bytes_a_peer = _EVIDENCE_ITEMS * item_bytes * _HEARTBEATS_A_SECOND
    sum_seconds = figures.full("evidence.total_seconds")
    return [
        Need(
            "mover",
            "driver of one move: evidence received",
            SIZE.instances * bytes_a_peer,
            "B/s",
            float(LIMITS.bytes_a_second),
            SIZE.cell_instances * bytes_a_peer,
            "evidence.item_bytes",
            "evidence summed in cells, less often (not built; not wired as yet)",
        ),
        Need(
            "mover",
            "driver of one move: processor time, summed once a second",
            sum_seconds,
            "core",
            LIMITS.core_share,
            figures.cell("evidence.total_seconds"),
            "evidence.total_seconds",
        ),
        Need(
            "mover",
            f"appends of leases for {moves} moves at once",
            moves * _RENEWALS_A_LEASE / lease_seconds,
            "1/s",
            float(LIMITS.log_appends_a_second),
        ),
        Need(
            "mover",
            f"state of {moves} moves at once on one driver",
            moves * figures.full("evidence.state_bytes"),
            "B",
            float(LIMITS.memory_bytes),
            moves * figures.cell("evidence.state_bytes"),
            "evidence.state_bytes",
            "moves have their drivers on different instances",
        ),
    ]


def list_event_needs(results: Results) -> list[Need]:
    """Return what failures and replacements cost one instance."""
    figures = Figures(results)
    daily = SIZE.failures_a_day + SIZE.restarts_a_day
    leave = figures.full("view.leave_seconds")
    join = figures.full("view.join_seconds")
    left = SIZE.data_centres - 1
    chunks = SIZE.chunks_an_instance * SIZE.data_centres / left
    return [
        Need(
            f"{daily} failures and replacements a day",
            "processor time for owners",
            daily * (leave + join) / _DAY_SECONDS,
            "core",
            LIMITS.core_share,
            series="view.leave_seconds",
        ),
        Need(
            f"{daily} failures and replacements a day",
            "targets that change their owner, each",
            SIZE.targets / SIZE.instances,
            "",
        ),
        Need(
            f"{daily} failures and replacements a day",
            "snapshots read by all new instances together",
            daily * figures.full("config.snapshot_bytes") / _DAY_SECONDS,
            "B/s",
            series="config.snapshot_bytes",
        ),
        Need(
            "a rack a week",
            "processor time of one change of owners",
            leave,
            "s",
            series="view.leave_seconds",
            mechanism="one pass over the targets, however many instances left",
        ),
        Need(
            "a data centre",
            "processor time of chunks on the rest",
            figures.line("relay.core_share", chunks),
            "core",
            1.0,
            series="relay.core_share",
        ),
        Need(
            "a data centre",
            "instances and targets lost together",
            (SIZE.instances + SIZE.targets) / SIZE.data_centres,
            "",
        ),
    ]
