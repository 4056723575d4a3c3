"""Records of the ``claims`` log stream."""

import msgspec

from carobladder.headers import Headers

__all__ = [
    "MAX_RECORDED_BODY_BYTES",
    "Claim",
    "ClaimRecord",
    "Completion",
    "Withdrawal",
    "decode_record",
    "encode_record",
]

# Larger answers are recorded without their body, to keep log records small.
MAX_RECORDED_BODY_BYTES = 32 * 1024


class Claim(msgspec.Struct, tag="claim", frozen=True):
    """Claim of an instance to make the only call of a key.

    ``service`` is the name of the called service, ``fingerprint`` a hash of the
    request, ``claimed_at_ms`` the Unix time in milliseconds.
    """

    team: str
    key: str
    claim_id: str
    instance: str
    service: str
    fingerprint: str
    claimed_at_ms: int


class Completion(msgspec.Struct, tag="done", frozen=True):
    """Answer of the service to the only call of a key."""

    team: str
    key: str
    claim_id: str
    status: int
    headers: Headers
    body: bytes
    body_omitted: bool = False


class Withdrawal(msgspec.Struct, tag="withdrawn", frozen=True):
    """End of a claim whose instance sent nothing and will not send."""

    team: str
    key: str
    claim_id: str


ClaimRecord = Claim | Completion | Withdrawal

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(ClaimRecord)


def encode_record(record: ClaimRecord) -> bytes:
    """Return a record as it is appended to the log."""
    return _encoder.encode(record)


def decode_record(data: bytes) -> ClaimRecord | None:
    """Return the record, or None if its type is unknown.

    A newer release may write types of records that this one must skip.
    """
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError:
        return None
