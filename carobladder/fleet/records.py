"""Records, group assignments and client interfaces of the platform's store."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

__all__ = [
    "ConditionalAppend",
    "GroupAssignment",
    "GroupStore",
    "KeyedPage",
    "KeyedRecord",
    "RecordRun",
    "TopicReader",
    "TopicWriter",
]


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """Record of a keyed topic; ``value`` is None if it deletes the key."""

    offset: int
    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class KeyedPage:
    """Records of a keyed topic in order, and the offset after them.

    ``end`` is the offset after the last record that the topic had at the time of the
    read; it is higher than ``next_offset`` if the answer was too short for all. ``era``
    rises each time that the store was restored from a copy, which gives offsets out
    again; it is None if the store has no eras. ``transfer_seconds`` is the time from
    the first byte of the answer to the last.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    end: int
    era: int | None = None
    transfer_seconds: float = 0.0

    @property
    def size(self) -> int:
        """Bytes of the values."""
        return sum(len(record.value or b"") for record in self.records)


@dataclass(frozen=True, slots=True)
class ConditionalAppend:
    """Outcome of an append to a topic on the condition that it ends at an offset.

    ``era`` is that of the store, None if it has no eras.
    """

    accepted: bool
    era: int | None


@dataclass(frozen=True, slots=True)
class RecordRun:
    """All records of a keyed topic from ``first`` to before ``next_offset``.

    Unreadable records, and those that later ones of the run supersede, are left out,
    although the range includes their offsets.
    """

    first: int
    next_offset: int
    records: tuple[KeyedRecord, ...]

    def truncate(self, offset: int) -> "RecordRun | None":
        """Return the part before an offset, or None if that has no records.

        It ends before the first offset without a record, since that record may have
        been superseded by one from ``offset`` on.
        """
        kept: list[KeyedRecord] = []
        for record in self.records:
            if record.offset >= offset or record.offset != self.first + len(kept):
                break
            kept.append(record)
        if not kept:
            return None
        return RecordRun(self.first, self.first + len(kept), tuple(kept))


@dataclass(frozen=True, slots=True)
class GroupAssignment:
    """Partitions that a group has assigned to a member, as (topic, index) pairs.

    ``era`` is that of the store, None if it has no eras.
    """

    generation: int
    parts: tuple[tuple[str, int], ...]
    era: int | None = None


class TopicReader(Protocol):
    """Reader of one topic; raises LogUnavailableError or OffsetDroppedError."""

    async def read_records(self, first: int, wait_seconds: float) -> KeyedPage:
        """Return the records from an offset on, waiting if there are none yet."""

    async def read_newest(self) -> KeyedPage:
        """Return the newest record of each key and the offset to continue from."""


class TopicWriter(Protocol):
    """Writer of one topic."""

    async def write(self, key: str, value: bytes) -> None:
        """Write a value of a key; raises LogUnavailableError."""

    async def write_at(
        self, expected_end: int, records: Iterable[tuple[str, bytes]]
    ) -> bool:
        """Append all records or none; return whether the topic ended as expected."""


class GroupStore(Protocol):
    """Group membership that divides partitions among the members."""

    async def join_group(
        self,
        group: str,
        member: str,
        topics: tuple[str, ...],
        lease_seconds: float,
        generation: int,
    ) -> GroupAssignment:
        """Join a group or renew a membership; raises LogUnavailableError."""

    async def leave_group(self, group: str, member: str) -> None:
        """Release the member's partitions; raises LogUnavailableError."""
