"""Error responses of the instance itself, with a retry delay."""

import random
from dataclasses import dataclass
from http import HTTPStatus

from carobladder.exceptions import (
    CallerError,
    PromptQuarantinedError,
    TargetsPausedError,
)
from carobladder.fleet import CallMetadata
from carobladder.gateway.ports import Answer
from carobladder.gateway.problems import encode_error
from carobladder.headers import Headers

__all__ = ["Refusal", "RefusalWriter"]

_DEFAULT_RETRY_SECONDS = 0.3
# Upper bound of the retry delay, as a fraction of the caller's remaining time.
_MAX_RETRY_FRACTION = 0.3
# Errors whose time is known; an earlier retry would be refused too.
_KNOWN_TIME_ERRORS = (PromptQuarantinedError, TargetsPausedError)
_RETRYABLE_STATUSES = frozenset(
    {HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS}
)


@dataclass(frozen=True, slots=True)
class Refusal:
    """Error response to a refused request and the delay before a retry, if any."""

    answer: Answer
    retry_seconds: float | None


class RefusalWriter:
    """Converter from errors to responses with randomised retry delays.

    The delays differ so that refused callers do not all retry at the same time.
    """

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator

    def write(
        self,
        error: CallerError,
        facts: CallMetadata,
        elapsed_seconds: float,
        extra_headers: Headers,
    ) -> Refusal:
        """Return the refusal; ``elapsed_seconds`` is the time since the request."""
        headers = [("Content-Type", "application/json"), *extra_headers]
        retry_seconds = None
        if error.status in _RETRYABLE_STATUSES:
            retry_seconds = self._choose_retry_delay(error, facts, elapsed_seconds)
            headers.append(("Retry-After", f"{retry_seconds:.3f}"))
        answer = Answer(error.status, tuple(headers), encode_error(error))
        return Refusal(answer, retry_seconds)

    def _choose_retry_delay(
        self, error: CallerError, facts: CallMetadata, elapsed_seconds: float
    ) -> float:
        seconds = error.retry_after_seconds or _DEFAULT_RETRY_SECONDS
        seconds *= 1.0 + self._generator.random()
        if facts.time_left_seconds is None or isinstance(error, _KNOWN_TIME_ERRORS):
            return seconds
        remaining_seconds = max(0.0, facts.time_left_seconds - elapsed_seconds)
        return min(seconds, remaining_seconds * _MAX_RETRY_FRACTION)
