"""What instances tell each other: loads of targets and how far they have read."""

from collections.abc import Iterable

import msgspec

from carobladder.fleet.exchanges import TargetLoad
from carobladder.fleet.targets import TargetTable

__all__ = [
    "LoadReport",
    "LoadSharing",
    "PeerMessage",
    "decode_message",
    "encode_message",
]

_PROTOCOL_VERSION = 2
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


class PeerMessage(msgspec.Struct, array_like=True, frozen=True):
    """Carry from one instance to another what it knows.

    ``ends`` are the offsets after the last records that it has read of the followed
    topics, in their order; 0 if it has read none.
    """

    version: int
    reports: list[LoadReport]
    ends: list[int]


_decoder = msgspec.msgpack.Decoder(PeerMessage)


def encode_message(reports: list[LoadReport], ends: list[int]) -> bytes:
    """Return the message for other instances."""
    return msgspec.msgpack.encode(PeerMessage(_PROTOCOL_VERSION, reports, ends))


def decode_message(data: bytes) -> PeerMessage:
    """Return a message with its usable reports; raises ValueError for another one."""
    try:
        message = _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ValueError(f"not a message of an instance: {error}") from None
    if message.version != _PROTOCOL_VERSION:
        raise ValueError(f"unknown version {message.version}")
    reports = [report for report in message.reports if _is_usable(report)]
    return PeerMessage(message.version, reports, message.ends)


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
