"""What instances tell each other, and how they know who said it."""

import hashlib
import hmac
import zlib
from collections.abc import Callable, Sequence

import msgspec

from carobladder.fleet.failures import FailureReport
from carobladder.fleet.loads import LoadReport, is_usable_report
from carobladder.fleet.records import KeyedRecord, RecordRun

__all__ = [
    "HoldersAnswer",
    "HoldersQuestion",
    "PeerAnswer",
    "PeerMessage",
    "PeerNews",
    "TopicState",
    "open_message",
    "pack_run",
    "seal_message",
    "unpack_run",
]

_PROTOCOL_VERSION = 3
_CODE_BYTES = 12
# Records of operators are long and shrink to about a tenth.
_SMALLEST_PACKED_BYTES = 1024
_COMPRESSION_LEVEL = 1
# Of a message that was packed, so that a few bytes cannot take all memory.
_MAX_PAYLOAD_BYTES = 1_048_576
_MAX_SENDER_BYTES = 255


class TopicState(msgspec.Struct, array_like=True, frozen=True):
    """State how far a topic is known.

    All records before ``next_offset`` are known, and all that the store had accepted
    ``age_ms`` before the statement are among them.
    """

    next_offset: int
    age_ms: int


class _PackedRecord(msgspec.Struct, array_like=True, frozen=True):
    offset: int
    key: str
    value: bytes | None


class PackedRun(msgspec.Struct, array_like=True, frozen=True):
    """Carry a gapless run of records of a topic."""

    first: int
    next_offset: int
    records: list[_PackedRecord]


class PeerNews(msgspec.Struct, array_like=True, frozen=True, tag="news"):
    """Carry loads and how far the sender has read the followed topics.

    ``ends`` are the offsets after the last known records of the topics in their order,
    0 if none is known. ``question`` asks for an answer with that number unless 0.
    ``failures`` warn of silent targets.
    """

    question: int
    is_reader: bool
    reports: list[LoadReport]
    ends: list[int]
    failures: list[FailureReport] = []


class PeerAnswer(msgspec.Struct, array_like=True, frozen=True, tag="answer"):
    """Answer a question with what is known now of each topic.

    ``runs`` carry the records after the asker's ends, as far as they are at hand.
    """

    question: int
    is_reader: bool
    states: list[TopicState | None]
    runs: list[PackedRun | None]


class HoldersQuestion(msgspec.Struct, array_like=True, frozen=True, tag="ask"):
    """Tell a home of a prompt that a target is about to read a prefix of it.

    Asks for an answer with that number unless 0. Targets are named by their tags.
    """

    number: int
    prefix: int
    reader_tag: int


class HoldersAnswer(msgspec.Struct, array_like=True, frozen=True, tag="held"):
    """Name the targets that kept the prefix of a question before."""

    number: int
    holder_tags: list[int]


PeerMessage = PeerNews | PeerAnswer | HoldersQuestion | HoldersAnswer


class _Envelope(msgspec.Struct, array_like=True, frozen=True):
    version: int
    sender: str
    code: bytes
    is_packed: bool
    payload: bytes


_envelopes = msgspec.msgpack.Decoder(_Envelope)
_messages = msgspec.msgpack.Decoder(PeerMessage)


def seal_message(message: PeerMessage, sender: str, key: bytes) -> bytes:
    """Return the datagram of a message, with a code that only ``key`` can make."""
    payload = msgspec.msgpack.encode(message)
    is_packed = len(payload) >= _SMALLEST_PACKED_BYTES
    if is_packed:
        payload = zlib.compress(payload, _COMPRESSION_LEVEL)
    code = _authenticate(sender, payload, key)
    envelope = _Envelope(_PROTOCOL_VERSION, sender, code, is_packed, payload)
    return msgspec.msgpack.encode(envelope)


def open_message(
    data: bytes, find_key: Callable[[str], bytes | None]
) -> tuple[str, PeerMessage]:
    """Return the sender and the message; unusable reports are left out.

    Raises ValueError for other bytes and for a message whose sender is not known or
    did not send it.
    """
    try:
        envelope = _envelopes.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ValueError(f"not a message of an instance: {error}") from None
    if envelope.version != _PROTOCOL_VERSION:
        raise ValueError(f"unknown version {envelope.version}")
    key = find_key(envelope.sender)
    if key is None:
        raise ValueError(f"unknown instance {envelope.sender}")
    code = _authenticate(envelope.sender, envelope.payload, key)
    if not hmac.compare_digest(code, envelope.code):
        raise ValueError(f"not sent by {envelope.sender}")
    payload = envelope.payload
    if envelope.is_packed:
        payload = _unpack(payload)
    return envelope.sender, _decode_payload(payload)


def pack_run(run: RecordRun | None) -> PackedRun | None:
    """Return the wire form of a run of records."""
    if run is None:
        return None
    records = [_PackedRecord(r.offset, r.key, r.value) for r in run.records]
    return PackedRun(run.first, run.next_offset, records)


def unpack_run(packed: PackedRun) -> RecordRun:
    """Return the run of records of its wire form."""
    records = tuple(KeyedRecord(r.offset, r.key, r.value) for r in packed.records)
    return RecordRun(packed.first, packed.next_offset, records)


def _unpack(payload: bytes) -> bytes:
    try:
        return zlib.decompressobj().decompress(payload, _MAX_PAYLOAD_BYTES)
    except zlib.error as error:
        raise ValueError(f"cannot be unpacked: {error}") from None


def _decode_payload(payload: bytes) -> PeerMessage:
    try:
        message = _messages.decode(payload)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ValueError(f"not a message of an instance: {error}") from None
    if isinstance(message, PeerNews):
        return msgspec.structs.replace(message, reports=_keep_usable(message.reports))
    return message


def _keep_usable(reports: Sequence[LoadReport]) -> list[LoadReport]:
    return [report for report in reports if is_usable_report(report)]


def _authenticate(sender: str, payload: bytes, key: bytes) -> bytes:
    name = sender.encode()[:_MAX_SENDER_BYTES]
    digest = hashlib.blake2b(key=key, digest_size=_CODE_BYTES)
    digest.update(bytes([len(name)]) + name + payload)
    return digest.digest()
