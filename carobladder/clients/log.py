"""Interface of the operators' append-only log."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

__all__ = ["Batch", "Log", "LogRecord"]


@dataclass(frozen=True, slots=True)
class LogRecord:
    """Record of a stream and its offset."""

    offset: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Batch:
    """Consecutive records, the offset after them and the oldest retained offset."""

    records: tuple[LogRecord, ...]
    next_offset: int
    oldest_offset: int


class Log(Protocol):
    """Append-only log of named streams of records."""

    async def append(self, stream: str, records: Sequence[bytes]) -> int:
        """Append records atomically and return the offset of the first.

        Raises LogUnavailableError; its ``may_have_taken_effect`` is false only
        if no byte was sent or the log itself refused the request.
        """

    async def read(self, stream: str, offset: int, wait_seconds: float = 0.0) -> Batch:
        """Return records from an offset on.

        If there is none, wait up to ``wait_seconds`` for the first.

        Raises OffsetDroppedError if the offset is no longer retained and
        LogUnavailableError if the log does not respond.
        """
