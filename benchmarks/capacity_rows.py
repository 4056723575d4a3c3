"""Needs of each role at the planned size, worked out from the measured series."""

from benchmarks.capacity_needs import Figures, Need
from benchmarks.capacity_records import list_claims, list_configuration, list_mover
from benchmarks.capacity_size import LIMITS, SIZE
from benchmarks.slopes_collect import Results

__all__ = ["list_needs"]

_LIST_POLLS_A_SECOND = 1
_CELLS = "cells of at most 16 instances (designed, not built)"
_FEWER = "reports of changes only and fewer heartbeats (not designed)"
_DIFF_LIST = "list answers by cell, or only changes (not designed)"


def list_needs(results: Results) -> list[Need]:
    """Return the needs of all roles in the order of the page."""
    figures = Figures(results)
    return [
        *_list_entry(figures),
        *_list_owner(figures),
        *_list_members(figures),
        *list_configuration(figures),
        *list_claims(figures),
        *list_mover(figures),
        *_list_metrics(figures),
    ]


def _list_entry(figures: Figures) -> list[Need]:
    rate = SIZE.requests_an_instance
    return [
        Need("entry, relayed", "chunks", SIZE.chunks_an_instance, "1/s"),
        Need("entry, relayed", "requests", rate, "1/s"),
        Need(
            "entry, relayed",
            "processor time of chunks",
            figures.full("relay.core_share"),
            "core",
            1.0,
            series="relay.core_share",
            mechanism="one process uses one core; the rest of it is for requests",
        ),
        Need(
            "entry, relayed",
            "resident memory, control included",
            figures.full("relay.resident_bytes"),
            "B",
            float(LIMITS.memory_bytes),
            series="relay.resident_bytes",
        ),
        Need(
            "entry, decisions",
            "processor time of ranking",
            rate * figures.full("request.rank_seconds"),
            "core",
            cell=rate * figures.cell("request.rank_seconds"),
            series="request.rank_seconds",
            mechanism="ranks the targets of one model only",
        ),
        Need(
            "entry, decisions",
            "processor time of chat tokens",
            rate * figures.full("request.token_seconds"),
            "core",
            series="request.token_seconds",
        ),
        Need(
            "entry, decisions",
            f"state for {SIZE.chats / 1e6:g} million chats",
            0.0,
            "B",
            float(LIMITS.memory_bytes),
            mechanism="the caller keeps the signed token",
        ),
        Need(
            "entry, decisions",
            "token at the caller, a chat",
            figures.full("request.token_bytes"),
            "B",
            series="request.token_bytes",
        ),
    ]


def _list_owner(figures: Figures) -> list[Need]:
    sent, received = "peers.bytes_sent", "peers.bytes_received"
    return [
        Need(
            "owner and holder",
            "processor time",
            figures.full("peers.core_share"),
            "core",
            LIMITS.core_share,
            figures.cell("peers.core_share"),
            "peers.core_share",
            _CELLS,
        ),
        Need(
            "owner and holder",
            "bytes sent and received, before encryption",
            figures.full(sent) + figures.full(received),
            "B/s",
            float(LIMITS.bytes_a_second),
            figures.cell(sent) + figures.cell(received),
            sent,
            f"{_CELLS}; {_FEWER}",
        ),
        Need(
            "owner and holder",
            "messages",
            figures.full("peers.messages"),
            "1/s",
            cell=figures.cell("peers.messages"),
            series="peers.messages",
        ),
        Need(
            "owner and holder",
            "state",
            figures.full("peers.state_bytes"),
            "B",
            float(LIMITS.memory_bytes),
            figures.cell("peers.state_bytes"),
            "peers.state_bytes",
            _CELLS,
        ),
        Need(
            "owner and holder",
            "load reports of owned targets",
            figures.full("fleet.probe_bytes"),
            "B/s",
            float(LIMITS.bytes_a_second),
            figures.cell("fleet.probe_bytes"),
            "fleet.probe_bytes",
            "each target is probed by its owner only; a longer probe interval",
        ),
        Need(
            "owner and holder",
            "idle processes: bytes between instances",
            figures.line("fleet.peer_bytes", SIZE.instances),
            "B/s",
            float(LIMITS.bytes_a_second),
            figures.cell("fleet.peer_bytes"),
            "fleet.peer_bytes",
            f"{_CELLS}; {_FEWER}",
        ),
        Need(
            "all roles",
            f"{SIZE.cell_instances} idle processes: processor time of each",
            figures.cell("fleet.core_share"),
            "core",
            LIMITS.core_share,
            series="fleet.core_share",
            mechanism=_FEWER,
        ),
        Need(
            "all roles",
            "idle processes: resident memory",
            figures.line("fleet.resident_bytes", SIZE.instances),
            "B",
            float(LIMITS.memory_bytes),
            figures.cell("fleet.resident_bytes"),
            "fleet.resident_bytes",
            _CELLS,
        ),
    ]


def _list_members(figures: Figures) -> list[Need]:
    polls = _LIST_POLLS_A_SECOND
    return [
        Need(
            "reader of the list",
            "bytes received",
            polls * figures.full("list.answer_bytes"),
            "B/s",
            float(LIMITS.bytes_a_second),
            polls * figures.cell("list.answer_bytes"),
            "list.answer_bytes",
            _DIFF_LIST,
        ),
        Need(
            "reader of the list",
            "processor time",
            polls * figures.full("list.decode_seconds"),
            "core",
            LIMITS.core_share,
            polls * figures.cell("list.decode_seconds"),
            "list.decode_seconds",
            _DIFF_LIST,
        ),
    ]


def _list_metrics(figures: Figures) -> list[Need]:
    return [
        Need(
            "metrics",
            f"state with {SIZE.teams} teams",
            figures.full("metrics.state_bytes"),
            "B",
            float(LIMITS.memory_bytes),
            series="metrics.state_bytes",
            mechanism="bounded label sets",
        ),
        Need(
            "metrics",
            "time series",
            figures.full("metrics.series"),
            "",
            series="metrics.series",
            mechanism="bounded label sets",
        ),
        Need(
            "metrics",
            "one scrape",
            figures.full("metrics.answer_bytes"),
            "B",
            series="metrics.answer_bytes",
        ),
    ]
