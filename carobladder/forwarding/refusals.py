"""Answers that the instance gives itself, with the time to come back."""

import random
from dataclasses import dataclass
from http import HTTPStatus

from carobladder.exceptions import CallerError, TargetsPausedError
from carobladder.fleet import CallMetadata
from carobladder.gateway.ports import Answer
from carobladder.gateway.problems import encode_problem
from carobladder.headers import Headers

__all__ = ["Refusal", "RefusalWriter"]

_DEFAULT_RETRY_SECONDS = 0.3
# A caller waits at most this part of its remaining time for a retry.
_RETRY_PART = 0.3
_PROMISES = frozenset({HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS})


@dataclass(frozen=True, slots=True)
class Refusal:
    """Carry the answer to a refused request and when the caller may come back."""

    answer: Answer
    retry_seconds: float | None


class RefusalWriter:
    """Turn errors into answers whose retry times do not coincide."""

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator

    def write(
        self,
        error: CallerError,
        facts: CallMetadata,
        passed_seconds: float,
        fields: Headers,
    ) -> Refusal:
        """Return the refusal; ``passed_seconds`` is the age of the request."""
        headers = [("Content-Type", "application/json"), *fields]
        retry_seconds = None
        if error.status in _PROMISES:
            retry_seconds = self._spread(error, facts, passed_seconds)
            headers.append(("Retry-After", f"{retry_seconds:.3f}"))
        answer = Answer(error.status, tuple(headers), encode_problem(error))
        return Refusal(answer, retry_seconds)

    def _spread(
        self, error: CallerError, facts: CallMetadata, passed_seconds: float
    ) -> float:
        seconds = error.retry_after_seconds or _DEFAULT_RETRY_SECONDS
        seconds *= 1.0 + self._generator.random()
        if facts.time_left_seconds is None or isinstance(error, TargetsPausedError):
            return seconds
        left_seconds = max(0.0, facts.time_left_seconds - passed_seconds)
        return min(seconds, left_seconds * _RETRY_PART)
