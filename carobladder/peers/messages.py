"""Messages between instances and their versioned codec."""

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
    "Report",
    "SnapshotAnswer",
    "SnapshotRequest",
    "decode_message",
    "encode_message",
]

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 64 * 1024


class Report(msgspec.Struct, array_like=True, frozen=True):
    """Report the slots of one target that a holder uses and wants.

    ``acked`` is the sequence number of the newest allowance applied. ``delegated``
    says that the message delegates the sender's share to the receiver. ``unit`` is
    the weight of the next request and ``requests`` the number in flight.
    ``kept`` is the number of slots up to which the sender goes on to use the
    acknowledged allowance; it gives the rest back with this message.
    ``answers``, ``errors`` and ``first_byte_ms`` are totals since the sender's
    start, so that a lost message loses nothing.
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
    """Count the outcomes of one arm of a move on one route for one class.

    ``arm`` is a version or a data centre. The counts are totals since the start of
    the sender's run ``run``, so lost, repeated and reordered items do no harm; of
    two items of a run the one with the greater ``sequence`` is newer.
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


class Heartbeat(msgspec.Struct, tag=1, array_like=True, frozen=True):
    """Tell a peer that the sender lives and which slots it uses and wants.

    ``echo`` is the newest sequence number received from the peer under
    ``echo_incarnation``; it bounds the time of sending on the peer's clock.
    ``confirmed`` says that no instance can have dropped the sender from its N;
    ``shares`` is the number of shares into which it divides a budget.
    """

    sender: str
    incarnation: int
    sequence: int
    listed: int
    view_hash: int
    config_offset: int
    delegating: bool
    reports: list[Report]
    evidence: list[EvidenceItem] = []
    echo: int = 0
    echo_incarnation: int = 0
    confirmed: bool = False
    leaving: bool = False
    shares: int = 0


class AllowanceItem(msgspec.Struct, array_like=True, frozen=True):
    """Grant a holder an absolute number of slots of one target.

    ``load`` is the weighted number of requests in flight of all holders and
    ``limit`` the greatest that the owner allows, both in slots. ``contended`` says
    that a holder waits, so that freed slots are to be reported at once.
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
    """Answer a heartbeat with the slots that its sender may use.

    ``answers`` is the heartbeat's sequence number under ``answers_incarnation``.
    """

    sender: str
    incarnation: int
    answers: int
    items: list[AllowanceItem]
    answers_incarnation: int = 0


class SnapshotRequest(msgspec.Struct, tag=3, array_like=True, frozen=True):
    """Ask a peer for its configuration from the given part on."""

    sender: str
    part: int


class SnapshotAnswer(msgspec.Struct, tag=4, array_like=True, frozen=True):
    """Carry one part of a peer's configuration."""

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
    """Return the message of a wire frame.

    Raises PeerMessageError for a frame that is too large, of another version
    or not decodable.
    """
    if len(frame) > MAX_MESSAGE_BYTES:
        raise PeerMessageError("peer message exceeds 64 KiB; lower the batch size")
    if not frame or frame[0] != PROTOCOL_VERSION:
        raise PeerMessageError("unknown peer protocol version; upgrade the instance")
    try:
        return _decoder.decode(frame[1:])
    except msgspec.DecodeError as error:
        raise PeerMessageError(f"undecodable peer message: {error}") from error
