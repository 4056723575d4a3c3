"""Reading of the records that the store still retains of a topic."""

from carobladder.exceptions import LogUnavailableError, OffsetDroppedError
from carobladder.fleet import KeyedPage, KeyedRecord, TopicReader

__all__ = ["read_history"]


async def read_history(
    reader: TopicReader, end: int, era: int | None
) -> list[KeyedRecord]:
    """Return the retained records before the offset ``end``, the oldest first.

    The newest records of all keys tell nothing of a key that was removed. Raises
    LogUnavailableError, also if the store is in another era than ``era``.
    """
    records: list[KeyedRecord] = []
    first = 0
    while first < end:
        page = await _read_retained(reader, first)
        if page.era != era or page.next_offset <= first:
            raise LogUnavailableError("the store was restored during the read")
        records += page.records
        first = page.next_offset
    return records


async def _read_retained(reader: TopicReader, first: int) -> KeyedPage:
    """Return the records from an offset on, or from the oldest one retained."""
    try:
        return await reader.read_records(first, 0.0)
    except OffsetDroppedError as error:
        return await reader.read_records(error.oldest_offset, 0.0)
