"""Messages between instances and their versioned encoding."""

import msgspec

from carobladder.exceptions import PeerMessageError

__all__ = [
    "MAX_MESSAGE_BYTES",
    "PROTOCOL_VERSION",
    "AllowanceItem",
    "Allowances",
    "EvidenceItem",
    "Heartbeat",
    "PeerMessage",
    "SlotReport",
    "SnapshotAnswer",
    "SnapshotRequest",
    "decode_message",
    "encode_message",
]

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 64 * 1024


class SlotReport(msgspec.Struct, array_like=True, frozen=True):
    """Slots of one target that a holder uses and needs.

    ``acked`` is the sequence number of the newest allowance applied. ``delegated``
    is true if the message delegates the sender's share to the receiver. ``unit`` is
    the weight of the next request and ``requests`` the number in flight. ``kept`` is
    the number of slots of the acknowledged allowance that the sender keeps; it
    returns the rest with this message. ``answers``, ``errors`` and ``first_byte_ms``
    are totals since the sender's start, so a lost message loses no counts.
    """

    target_id: str
    in_flight: int
    wanted: int
    acked: int
    delegated: bool = False
    unit: int = 1
    answers: int = 0
    errors: int = 0
    first_byte_ms: int = 0
    requests: int = 0
    kept: int = 0


class EvidenceItem(msgspec.Struct, array_like=True, frozen=True):
    """Outcome counts of one arm of a move on one route for one request class.

    ``arm`` is a version or a data centre. The counts are totals since the start of
    the sender's run ``run``, so lost, repeated and reordered items do no harm. Of
    two items of a run, the one with the greater ``sequence`` is newer.
    """

    move_id: str
    arm: str
    route: str
    request_class: str
    run: int
    sequence: int
    requests: int
    errors: int
    slow_first: int
    slow_gap: int


class AllowanceItem(msgspec.Struct, array_like=True, frozen=True):
    """Absolute number of slots of one target that a holder may use.

    ``load`` is the weighted number of requests in flight of all holders and
    ``limit`` the greatest that the owner allows, both in slots. ``contended`` is
    true while a holder waits for slots; freed slots must then be reported at once.
    """

    target_id: str
    slots: int
    sequence: int
    ready: bool
    cold: bool
    boot_id: str
    load: int
    limit: int
    contended: bool = False


class Allowances(msgspec.Struct, tag=2, array_like=True, frozen=True):
    """Answer to a heartbeat, with the slots that its sender may use.

    ``answers`` is the heartbeat's sequence number under ``answers_incarnation``.
    """

    sender: str
    incarnation: int
    answers: int
    items: list[AllowanceItem]
    answers_incarnation: int = 0


class Heartbeat(msgspec.Struct, tag=1, array_like=True, frozen=True):
    """Liveness signal that also reports which slots the sender uses and needs.

    ``echo`` is the newest sequence number received from the peer under
    ``echo_incarnation``; it gives the peer a lower bound, on its own clock, of the
    send time. ``listed`` is the number of instances that the sender counts, and
    ``shares`` the number of shares into which it divides a budget. ``confirmed`` is
    true if every other instance must still include the sender in its own count.
    ``answer`` answers the peer's last heartbeat if no request there waited for it.
    """

    sender: str
    incarnation: int
    sequence: int
    listed: int
    view_hash: int
    config_offset: int
    delegating: bool
    reports: list[SlotReport]
    evidence: list[EvidenceItem] = []
    echo: int = 0
    echo_incarnation: int = 0
    confirmed: bool = False
    leaving: bool = False
    shares: int = 0
    answer: Allowances | None = None


class SnapshotRequest(msgspec.Struct, tag=3, array_like=True, frozen=True):
    """Request for a peer's configuration, starting at the given part."""

    sender: str
    part: int


class SnapshotAnswer(msgspec.Struct, tag=4, array_like=True, frozen=True):
    """One part of a peer's configuration."""

    sender: str
    offset: int
    part: int
    parts: int
    data: bytes


PeerMessage = Heartbeat | Allowances | SnapshotRequest | SnapshotAnswer

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(PeerMessage)


def encode_message(message: PeerMessage) -> bytes:
    """Return the wire form: one version byte, then MessagePack."""
    return bytes([PROTOCOL_VERSION]) + _encoder.encode(message)


def decode_message(frame: bytes) -> PeerMessage:
    """Return the message in a wire frame.

    Raises PeerMessageError for a frame that is too large, has another protocol
    version or cannot be decoded.
    """
    if len(frame) > MAX_MESSAGE_BYTES:
        raise PeerMessageError("peer message exceeds 64 KiB; lower the batch size")
    if not frame or frame[0] != PROTOCOL_VERSION:
        raise PeerMessageError("unknown peer protocol version; upgrade the instance")
    try:
        return _decoder.decode(frame[1:])
    except msgspec.DecodeError as error:
        raise PeerMessageError(f"undecodable peer message: {error}") from error
