"""Loads of targets that instances tell each other."""

from collections.abc import Iterable

import msgspec

from carobladder.fleet.exchanges import TargetLoad
from carobladder.fleet.targets import TargetTable

__all__ = ["LoadMessage", "LoadReport", "LoadSharing", "decode_loads", "encode_loads"]

_PROTOCOL_VERSION = 1
# Older reports are not told on; a load changes within about a second.
_TELL_SECONDS = 1.5
_MAX_AGE_SECONDS = 5.0
_MAX_LOAD = 100_000
# With the longest interval between messages an instance sends 3.6 KB/s.
_MAX_REPORTS = 30


class LoadReport(msgspec.Struct, array_like=True, frozen=True):
    """State the requests that a target held, and how long ago it said so."""

    target_id: str
    load: int
    age_seconds: float


class LoadMessage(msgspec.Struct, array_like=True, frozen=True):
    """Carry reports from one instance to another."""

    version: int
    reports: list[LoadReport]


_decoder = msgspec.msgpack.Decoder(LoadMessage)


def encode_loads(reports: list[LoadReport]) -> bytes:
    """Return the message for other instances."""
    return msgspec.msgpack.encode(LoadMessage(_PROTOCOL_VERSION, reports))


def decode_loads(data: bytes) -> list[LoadReport]:
    """Return the usable reports of a message; raises ValueError for another one."""
    try:
        message = _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ValueError(f"not a message about loads: {error}") from None
    if message.version != _PROTOCOL_VERSION:
        raise ValueError(f"unknown version {message.version}")
    return [report for report in message.reports if _is_usable(report)]


class LoadSharing:
    """Collect the newest stated loads and take those of other instances.

    An answer of a target states its load to one instance only. With many instances
    each of them sends too little to a target to know its load in time.
    """

    def __init__(self, table: TargetTable) -> None:
        self._table = table

    def collect(self, now: float) -> list[LoadReport]:
        """Return the newest reports, whoever they came from."""
        reports = []
        for target in self._table.list_all():
            stated = target.health.read_stated_load(now)
            if stated is not None and stated[1] <= _TELL_SECONDS:
                reports.append(LoadReport(target.target_id, stated[0], stated[1]))
        reports.sort(key=lambda report: report.age_seconds)
        return reports[:_MAX_REPORTS]

    def take(self, reports: Iterable[LoadReport], now: float) -> None:
        """Use the reports that are newer than what is known."""
        for report in reports:
            target = self._table.find(report.target_id)
            if target is not None:
                load = TargetLoad(report.load, 0, target.entry.slots)
                target.health.note_load(load, now - report.age_seconds)


def _is_usable(report: LoadReport) -> bool:
    fresh = 0.0 <= report.age_seconds <= _MAX_AGE_SECONDS
    return fresh and 0 <= report.load <= _MAX_LOAD
