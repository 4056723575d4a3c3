"""Records and memberships as the platform's store keeps them."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

__all__ = [
    "GroupShares",
    "GroupStore",
    "KeyedPage",
    "KeyedRecord",
    "RecordRun",
    "TopicReader",
    "TopicWriter",
]


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """Carry a record of a keyed topic; ``value`` is None if it drops the key."""

    offset: int
    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class KeyedPage:
    """Carry records of a keyed topic in order and the offset after them."""

    records: tuple[KeyedRecord, ...]
    next_offset: int


@dataclass(frozen=True, slots=True)
class RecordRun:
    """Carry all records of a keyed topic from ``first`` to before ``next_offset``.

    Records that cannot be read are left out; their offsets are covered nevertheless.
    """

    first: int
    next_offset: int
    records: tuple[KeyedRecord, ...]


@dataclass(frozen=True, slots=True)
class GroupShares:
    """Carry the partitions of a group's topics that a member holds."""

    generation: int
    parts: tuple[tuple[str, int], ...]


class TopicReader(Protocol):
    """Read one topic; raises LogUnavailableError or OffsetDroppedError."""

    async def read_records(self, first: int, wait_seconds: float) -> KeyedPage:
        """Return records from an offset on; waits if there are none yet."""

    async def read_newest(self) -> KeyedPage:
        """Return the newest record of each key and the offset to go on from."""


class TopicWriter(Protocol):
    """Write one topic."""

    async def write(self, key: str, value: bytes) -> None:
        """Write the newest value of a key; raises LogUnavailableError."""

    async def write_at(
        self, expected_end: int, records: Iterable[tuple[str, bytes]]
    ) -> bool:
        """Write values of keys, all or none; tell whether the topic ended there."""


class GroupStore(Protocol):
    """Divide partitions among the members of a group."""

    async def join_group(
        self,
        group: str,
        member: str,
        topics: tuple[str, ...],
        lease_seconds: float,
        generation: int,
    ) -> GroupShares:
        """Join a group or renew a membership; raises LogUnavailableError."""

    async def leave_group(self, group: str, member: str) -> None:
        """Give the member's partitions back; raises LogUnavailableError."""
