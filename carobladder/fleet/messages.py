"""Authenticated messages between instances and their encoding as datagrams."""

import hashlib
import hmac
import zlib
from collections.abc import Callable, Mapping, Sequence

import msgspec

from carobladder.decoding import DECODE_ERRORS
from carobladder.fleet.deltas import Delta
from carobladder.fleet.failures import FailureReport
from carobladder.fleet.inflight import InFlightReport
from carobladder.fleet.loads import LoadReport, is_usable_report, shorten_reports
from carobladder.fleet.ratereports import RateReport
from carobladder.fleet.records import KeyedRecord, RecordRun
from carobladder.quarantine import HoldReport, QuarantineNews

__all__ = [
    "DutyNotice",
    "HolderQuery",
    "HolderReply",
    "PackedRun",
    "PeerMessage",
    "PeerReply",
    "PeerStatus",
    "TopicState",
    "UsageReceipt",
    "UsageReport",
    "decode_datagram",
    "encode_datagram",
    "pack_run",
    "unpack_run",
]

_PROTOCOL_VERSION = 3
_MAC_BYTES = 12
# Operator records are long and compress to about a tenth of their size.
_MIN_COMPRESSED_BYTES = 1024
_COMPRESSION_LEVEL = 1
# Limit on the decompressed size, so that a few bytes cannot exhaust the memory.
_MAX_PAYLOAD_BYTES = 1_048_576
_MAX_SENDER_BYTES = 255


class TopicState(msgspec.Struct, array_like=True, frozen=True):
    """Position up to which an instance has read a topic.

    All records before ``next_offset`` are known. They include every record that the
    store had accepted ``age_ms`` before the message was sent.
    """

    next_offset: int
    age_ms: int


class _PackedRecord(msgspec.Struct, array_like=True, frozen=True):
    """Record in wire form; ``delta`` replaces a long value.

    It is sent only to instances that name the bytes of long values that they accept.
    Others would take the record for a removal.
    """

    offset: int
    key: str
    value: bytes | None
    delta: Delta | None = None


class PackedRun(msgspec.Struct, array_like=True, frozen=True):
    """Contiguous run of records of a topic, in wire form."""

    first: int
    next_offset: int
    records: list[_PackedRecord]


class DutyNotice(msgspec.Struct, array_like=True, frozen=True):
    """Holder of the duties, empty if it has released them, and its token.

    ``recorded`` is the newest window whose counts are recorded, or -1.
    """

    token: int
    holder: str
    recorded: int


class PeerStatus(msgspec.Struct, array_like=True, frozen=True, tag="news"):
    """Periodic status of an instance: target loads and positions in the topics.

    ``ends`` are the offsets after the last known records of the followed topics, in
    their fixed order, or 0 if none is known. ``question`` is the number of a request
    for a ``PeerReply``, or 0 for none. ``failures`` reports unresponsive targets.
    ``in_flight`` is None in large fleets. ``holds`` are the parts of prompts in
    quarantine, for instances that have just started, and ``rates`` the rate limits that
    targets have named. ``duty`` is the newest known holder of the duties, None if
    none is known. ``ends`` are offsets of the ``era`` of the store, None if it is
    not known. The answer may carry long values as deltas of ``accepted_bytes`` in sum,
    from one of ``bases``, the digests of values that the sender has.
    """

    question: int
    is_reader: bool
    reports: list[LoadReport]
    ends: list[int]
    failures: list[FailureReport] = []
    in_flight: InFlightReport | None = None
    holds: list[HoldReport] = []
    rates: list[RateReport] = []
    era: int | None = None
    duty: DutyNotice | None = None
    accepted_bytes: int = 0
    bases: list[bytes] = []


class PeerReply(msgspec.Struct, array_like=True, frozen=True, tag="answer"):
    """Reply to the ``question`` of a ``PeerStatus`` with the state of each topic.

    ``runs`` contain the records after the requester's ``ends``, where available. Both
    are those of the ``era`` of the store, None if it is not known. ``version`` is that
    of the sender's configuration; a restored store may have an older one for a while.
    """

    question: int
    is_reader: bool
    states: list[TopicState | None]
    runs: list[PackedRun | None]
    era: int | None = None
    version: int = 0


class HolderQuery(msgspec.Struct, array_like=True, frozen=True, tag="ask"):
    """Registration of a target as holder of a prompt prefix, with an optional query.

    The message is sent to an instance that keeps the directory entry of the prefix.
    ``reader_tag`` is the tag of the target, which is about to process the prefix.
    Unless ``number`` is 0, the receiver sends a ``HolderReply`` with this number and
    the earlier holders.
    """

    number: int
    prefix: int
    reader_tag: int


class HolderReply(msgspec.Struct, array_like=True, frozen=True, tag="held"):
    """Tags of the targets that already held the prefix of a ``HolderQuery``."""

    number: int
    holder_tags: list[int]


class UsageReport(msgspec.Struct, array_like=True, frozen=True, tag="usage"):
    """Counts by window and team of a run of an instance, for the holder of the duties.

    A report without windows asks whether the holder is alive. ``time_ms`` is the
    sender's estimate of the Unix time.
    """

    run: int
    time_ms: int
    windows: dict[int, dict[str, int]]


class UsageReceipt(msgspec.Struct, array_like=True, frozen=True, tag="received"):
    """Answer of the holder of the duties to a ``UsageReport`` of a run.

    ``time_ms`` is the median of the instances' estimates of the Unix time, 0 if it is
    not known.
    """

    run: int
    windows: list[int]
    time_ms: int
    duty: DutyNotice


PeerMessage = (
    PeerStatus
    | PeerReply
    | HolderQuery
    | HolderReply
    | InFlightReport
    | QuarantineNews
    | UsageReport
    | UsageReceipt
)


class _Envelope(msgspec.Struct, array_like=True, frozen=True):
    version: int
    sender: str
    mac: bytes
    is_compressed: bool
    payload: bytes


_envelope_decoder = msgspec.msgpack.Decoder(_Envelope)
_message_decoder = msgspec.msgpack.Decoder(PeerMessage)


def encode_datagram(message: PeerMessage, sender: str, key: bytes) -> bytes:
    """Return the datagram of a message, authenticated with ``key``."""
    if isinstance(message, PeerStatus):
        wire_reports = shorten_reports(message.reports)
        message = msgspec.structs.replace(message, reports=wire_reports)
    payload = msgspec.msgpack.encode(message)
    is_compressed = len(payload) >= _MIN_COMPRESSED_BYTES
    if is_compressed:
        payload = zlib.compress(payload, _COMPRESSION_LEVEL)
    mac = _compute_mac(sender, payload, key)
    envelope = _Envelope(_PROTOCOL_VERSION, sender, mac, is_compressed, payload)
    return msgspec.msgpack.encode(envelope)


def decode_datagram(
    data: bytes, find_key: Callable[[str], bytes | None]
) -> tuple[str, PeerMessage]:
    """Return the sender and the message; implausible load reports are left out.

    Raises ValueError if the datagram is malformed, its sender is unknown or its
    authentication code does not match.
    """
    try:
        envelope = _envelope_decoder.decode(data)
    except DECODE_ERRORS as error:
        raise ValueError(f"malformed message: {error}") from None
    if envelope.version != _PROTOCOL_VERSION:
        raise ValueError(f"unsupported protocol version {envelope.version}")
    key = find_key(envelope.sender)
    if key is None:
        raise ValueError(f"unknown instance {envelope.sender}")
    mac = _compute_mac(envelope.sender, envelope.payload, key)
    if not hmac.compare_digest(mac, envelope.mac):
        raise ValueError(f"wrong authentication code for {envelope.sender}")
    payload = envelope.payload
    if envelope.is_compressed:
        payload = _decompress(payload)
    return envelope.sender, _decode_payload(payload)


def pack_run(
    run: RecordRun | None, deltas: Mapping[int, Delta] | None = None
) -> PackedRun | None:
    """Return the wire form of a run, in which deltas replace values at some offsets."""
    if run is None:
        return None
    records = [_pack_record(record, deltas or {}) for record in run.records]
    return PackedRun(run.first, run.next_offset, records)


def unpack_run(
    packed: PackedRun, apply_delta: Callable[[Delta], bytes] | None = None
) -> RecordRun:
    """Return a run of records from its wire form.

    ``apply_delta`` returns the value of a delta. Raises ValueError if a value cannot be
    restored.
    """
    records = tuple(_unpack_record(record, apply_delta) for record in packed.records)
    return RecordRun(packed.first, packed.next_offset, records)


def _pack_record(record: KeyedRecord, deltas: Mapping[int, Delta]) -> _PackedRecord:
    delta = deltas.get(record.offset)
    value = record.value if delta is None else None
    return _PackedRecord(record.offset, record.key, value, delta)


def _unpack_record(
    packed: _PackedRecord, apply_delta: Callable[[Delta], bytes] | None
) -> KeyedRecord:
    value = packed.value
    if packed.delta is not None:
        if apply_delta is None:
            raise ValueError("the run has deltas")
        value = apply_delta(packed.delta)
    return KeyedRecord(packed.offset, packed.key, value)


def _decompress(payload: bytes) -> bytes:
    try:
        return zlib.decompressobj().decompress(payload, _MAX_PAYLOAD_BYTES)
    except zlib.error as error:
        raise ValueError(f"cannot decompress the payload: {error}") from None


def _decode_payload(payload: bytes) -> PeerMessage:
    try:
        message = _message_decoder.decode(payload)
    except DECODE_ERRORS as error:
        raise ValueError(f"malformed message: {error}") from None
    if isinstance(message, PeerStatus):
        return msgspec.structs.replace(message, reports=_filter_usable(message.reports))
    return message


def _filter_usable(reports: Sequence[LoadReport]) -> list[LoadReport]:
    return [report for report in reports if is_usable_report(report)]


def _compute_mac(sender: str, payload: bytes, key: bytes) -> bytes:
    name = sender.encode()[:_MAX_SENDER_BYTES]
    digest = hashlib.blake2b(key=key, digest_size=_MAC_BYTES)
    digest.update(bytes([len(name)]) + name + payload)
    return digest.digest()
