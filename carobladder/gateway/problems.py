"""Errors as callers receive them."""

import math
import random

import msgspec

from carobladder.exceptions import CallerError, MethodNotAllowedError
from carobladder.gateway.ports import Answer

__all__ = ["describe_problem", "encode_problem"]

_DEFAULT_RETRY_SECONDS = 1.0
_RETRY_STATUSES = frozenset({429, 503})
_JSON = ("Content-Type", "application/json")


class _Error(msgspec.Struct):
    code: str
    message: str
    remedy: str
    outcome: str


class _Problem(msgspec.Struct):
    error: _Error


def encode_problem(error: CallerError) -> bytes:
    """Return the JSON body of an error, on one line."""
    return msgspec.json.encode(
        _Problem(_Error(error.code, error.message, error.remedy, error.outcome))
    )


def describe_problem(error: CallerError, generator: random.Random) -> Answer:
    """Return the answer of an error.

    The retry time is spread by up to its double, so that callers which are refused
    together do not return together.
    """
    headers = [_JSON]
    seconds = error.retry_after_seconds
    if seconds is None and error.status in _RETRY_STATUSES:
        seconds = _DEFAULT_RETRY_SECONDS
    if seconds is not None:
        spread_seconds = seconds * (1.0 + generator.random())
        headers.append(("Retry-After", str(max(1, math.ceil(spread_seconds)))))
        # Finer than whole seconds; common model clients prefer it.
        headers.append(("Retry-After-Ms", str(max(1, round(spread_seconds * 1000)))))
    if isinstance(error, MethodNotAllowedError):
        headers.append(("Allow", error.allowed))
    return Answer(error.status, tuple(headers), encode_problem(error))
