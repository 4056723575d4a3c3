"""Pauses after failed reads of the store."""

import random
from dataclasses import dataclass

__all__ = ["BackoffBounds", "Pause", "ReadBackoff"]

_MAX_DOUBLINGS = 8
_JITTER = (0.5, 1.0)


@dataclass(frozen=True, slots=True)
class BackoffBounds:
    """First and longest pause in seconds."""

    first_seconds: float
    longest_seconds: float


@dataclass(frozen=True, slots=True)
class Pause:
    """Pause whose second part ends early if another instance can read."""

    fixed_seconds: float
    open_seconds: float


class ReadBackoff:
    """Pauses that double with each failed read in a row."""

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._failed_reads = 0
        self._second_attempts = 0

    @property
    def is_failing(self) -> bool:
        """Whether the last read failed."""
        return self._failed_reads > 0

    def note_second_attempt(self) -> None:
        """Count a second attempt like a failed read, unless one of the two succeeds."""
        self._second_attempts = 1

    def note_success(self) -> None:
        """Start anew with the shortest pause."""
        self._failed_reads = self._second_attempts = 0

    def note_failure(self, bounds: BackoffBounds) -> Pause:
        """Count a failed read and return the pause after it."""
        self._failed_reads += 1 + self._second_attempts
        self._second_attempts = 0
        doublings = min(self._failed_reads - 1, _MAX_DOUBLINGS)
        seconds = min(bounds.first_seconds * 2.0**doublings, bounds.longest_seconds)
        jitter = self._generator.uniform(*_JITTER)
        return Pause(
            bounds.first_seconds * jitter, (seconds - bounds.first_seconds) * jitter
        )
