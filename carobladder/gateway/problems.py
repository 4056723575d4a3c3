"""Encoding of errors as responses to callers."""

import math
import random

import msgspec

from carobladder.exceptions import CallerError, MethodNotAllowedError
from carobladder.gateway.ports import Answer

__all__ = ["build_error_answer", "encode_error"]

_DEFAULT_RETRY_SECONDS = 1.0
_RETRY_AFTER_STATUSES = frozenset({429, 503})
_JSON_HEADER = ("Content-Type", "application/json")


class _ErrorDetail(msgspec.Struct):
    code: str
    message: str
    remedy: str
    outcome: str


class _ErrorBody(msgspec.Struct):
    error: _ErrorDetail


def encode_error(error: CallerError) -> bytes:
    """Return the JSON body of an error on a single line."""
    return msgspec.json.encode(
        _ErrorBody(_ErrorDetail(error.code, error.message, error.remedy, error.outcome))
    )


def build_error_answer(error: CallerError, generator: random.Random) -> Answer:
    """Return the response for an error.

    The retry time is randomised between one and two times its value, so that callers
    that are refused at the same time do not retry at the same time.
    """
    headers = [_JSON_HEADER]
    seconds = error.retry_after_seconds
    if seconds is None and error.status in _RETRY_AFTER_STATUSES:
        seconds = _DEFAULT_RETRY_SECONDS
    if seconds is not None:
        spread_seconds = seconds * (1.0 + generator.random())
        headers.append(("Retry-After", str(max(1, math.ceil(spread_seconds)))))
        # More precise than Retry-After; common model clients prefer it.
        headers.append(("Retry-After-Ms", str(max(1, round(spread_seconds * 1000)))))
    if isinstance(error, MethodNotAllowedError):
        headers.append(("Allow", error.allowed))
    return Answer(error.status, tuple(headers), encode_error(error))
