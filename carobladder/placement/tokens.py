"""Signed tokens that callers return to have a chat served by the same target."""

import base64
import binascii
import hashlib
import hmac
from datetime import datetime, timedelta
from enum import StrEnum

import msgspec
from returns.result import Failure, Result, Success

__all__ = ["ChatToken", "TokenFault", "TokenSigner"]

_TOKEN_FORMAT = 1
_MAC_BYTES = 16
_MAX_TOKEN_CHARACTERS = 512
# Engines have usually evicted the context by then, so ranking by hash is better.
_MAX_AGE = timedelta(hours=1)
_CLOCK_TOLERANCE = timedelta(seconds=60)


class ChatToken(msgspec.Struct, array_like=True, frozen=True):
    """Record of the target that last served a chat.

    ``issued`` is in whole seconds of Unix time; ``context_tokens`` is the length
    of the prompt and response that the target may have cached.
    """

    target_id: str
    boot_id: str
    issued: int
    context_tokens: int


class TokenFault(StrEnum):
    """Reasons to reject a token; the chat is then placed by its hash."""

    MALFORMED = "malformed"
    BAD_SIGNATURE = "bad_signature"
    EXPIRED = "expired"


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(ChatToken)


class TokenSigner:
    """Signer and verifier of chat tokens with the secret shared by the fleet."""

    def __init__(self, secret: bytes) -> None:
        self._secret = secret

    def sign(self, token: ChatToken, team: str, model: str) -> str:
        """Return a token as text, signed for this team and model."""
        payload = bytes([_TOKEN_FORMAT]) + _encoder.encode(token)
        mac = self._compute_mac(payload, team, model)
        return base64.urlsafe_b64encode(mac + payload).rstrip(b"=").decode()

    def verify(
        self, text: str, team: str, model: str, now: datetime
    ) -> Result[ChatToken, TokenFault]:
        """Return the token if it is recent and signed for this team and model."""
        raw = _decode_text(text)
        if raw is None:
            return Failure(TokenFault.MALFORMED)
        mac, payload = raw[:_MAC_BYTES], raw[_MAC_BYTES:]
        if not hmac.compare_digest(mac, self._compute_mac(payload, team, model)):
            return Failure(TokenFault.BAD_SIGNATURE)
        if payload[0] != _TOKEN_FORMAT:
            return Failure(TokenFault.MALFORMED)
        try:
            token = _decoder.decode(payload[1:])
        except msgspec.DecodeError:
            return Failure(TokenFault.MALFORMED)
        age = now.timestamp() - token.issued
        if not -_CLOCK_TOLERANCE.total_seconds() <= age <= _MAX_AGE.total_seconds():
            return Failure(TokenFault.EXPIRED)
        return Success(token)

    def _compute_mac(self, payload: bytes, team: str, model: str) -> bytes:
        # The encoding stores field lengths, so different teams and models always give
        # different bytes.
        signed_fields = _encoder.encode([team, model, payload])
        return hmac.new(self._secret, signed_fields, hashlib.sha256).digest()[
            :_MAC_BYTES
        ]


def _decode_text(text: str) -> bytes | None:
    if len(text) > _MAX_TOKEN_CHARACTERS:
        return None
    try:
        raw = base64.b64decode(
            text.encode("ascii") + b"=" * (-len(text) % 4),
            altchars=b"-_",
            validate=True,
        )
    except (UnicodeEncodeError, binascii.Error):
        return None
    return raw if len(raw) > _MAC_BYTES else None
