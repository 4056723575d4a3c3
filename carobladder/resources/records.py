"""Versioned records of the ``config`` stream."""

from typing import Any, Literal

import msgspec

from carobladder.exceptions import RecordVersionError

__all__ = [
    "ABSENT",
    "CONFIG_STREAM",
    "RECORD_VERSION",
    "Change",
    "ConfigRecord",
    "MoveLease",
    "MoveStep",
    "SnapshotPart",
    "decode_record",
    "encode_record",
]

CONFIG_STREAM = "config"
RECORD_VERSION = 1

# Expected revision of a resource that must not exist; 0 is a valid offset.
ABSENT = -1


class Change(msgspec.Struct, tag="change", tag_field="type", frozen=True):
    """Record who changes what and when.

    ``at`` is in UTC seconds since 1970. ``expected_revision`` is None for an
    unconditional change and ABSENT if the resource must not exist.
    """

    change_id: str
    who: str
    at: float
    action: Literal["put", "delete"]
    kind: str
    name: str
    spec: dict[str, Any] | None = None
    expected_revision: int | None = None
    v: int = RECORD_VERSION


class MoveStep(msgspec.Struct, tag="move-step", tag_field="type", frozen=True):
    """Record a step of a move; ``state`` is its phase.

    ``expected_revision`` is the progress revision of the move that the driver
    has seen. What the phase puts into force, the shares of a model or the state of
    a data centre, follows from the move, so the record does not repeat it.
    """

    change_id: str
    who: str
    at: float
    kind: str
    name: str
    expected_revision: int
    state: str
    step: int = 0
    detail: str = ""
    v: int = RECORD_VERSION


class MoveLease(msgspec.Struct, tag="move-lease", tag_field="type", frozen=True):
    """Claim or renew the right to drive a move.

    ``expected_offset`` is the offset of the lease before, ABSENT if there is none.
    The offset of an accepted record is the fencing number of its holder.
    """

    change_id: str
    who: str
    at: float
    kind: str
    name: str
    expected_offset: int
    lease_seconds: float
    v: int = RECORD_VERSION


class SnapshotPart(msgspec.Struct, tag="snapshot", tag_field="type", frozen=True):
    """Carry one part of the configuration as of an offset.

    ``at`` is when the snapshot was taken, in UTC seconds since 1970.
    """

    snapshot_id: str
    through_offset: int
    part: int
    parts: int
    at: float
    data: str
    v: int = RECORD_VERSION


ConfigRecord = Change | MoveStep | MoveLease | SnapshotPart


class _Envelope(msgspec.Struct):
    v: int = RECORD_VERSION


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(ConfigRecord)
_envelope_decoder = msgspec.json.Decoder(_Envelope)


def encode_record(record: ConfigRecord) -> bytes:
    """Return the JSON text of a record."""
    return _encoder.encode(record)


def decode_record(data: bytes) -> ConfigRecord | None:
    """Return the record, or None for data that is no record.

    Raises RecordVersionError for a newer version: skipping it would let this
    instance disagree with those that understand it.
    """
    try:
        version = _envelope_decoder.decode(data).v
    except msgspec.DecodeError:
        return None
    if version > RECORD_VERSION:
        raise RecordVersionError(
            f"configuration record of version {version}; upgrade this instance"
        )
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError:
        return None
