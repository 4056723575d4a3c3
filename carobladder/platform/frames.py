"""Binary format of records and pages in the platform's store."""

import struct
from dataclasses import dataclass

from carobladder.fleet.records import KeyedRecord

__all__ = ["LogPage", "decode_keyed", "decode_page", "encode_keyed", "frame_records"]

_LENGTH_PREFIX = struct.Struct(">I")
_PAGE_HEADER = struct.Struct(">QQ")


def frame_records(records: list[bytes]) -> bytes:
    """Concatenate the records, each preceded by its length."""
    return b"".join(_LENGTH_PREFIX.pack(len(record)) + record for record in records)


def encode_keyed(key: str, value: bytes) -> bytes:
    """Encode a record of a keyed topic; an empty value deletes the key."""
    key_bytes = key.encode()
    return bytes([len(key_bytes)]) + key_bytes + value


@dataclass(frozen=True, slots=True)
class LogPage:
    """Records, the end offset of their partition and the oldest retained offset.

    ``era`` is that of the store, None if it names none. ``transfer_seconds`` is the
    time from the first byte of the answer to the last.
    """

    end: int
    oldest: int
    records: list[bytes]
    era: int | None = None
    transfer_seconds: float = 0.0


def decode_page(
    data: bytes, era: int | None = None, transfer_seconds: float = 0.0
) -> LogPage:
    """Decode the body of a response to a read.

    Raises ValueError if the body ends inside the header or a record.
    """
    try:
        end, oldest = _PAGE_HEADER.unpack_from(data)
        records = _split_records(data, _PAGE_HEADER.size)
        return LogPage(end, oldest, records, era, transfer_seconds)
    except struct.error as error:
        raise ValueError(f"response of the store is truncated: {error}") from None


def decode_keyed(offset: int, record: bytes) -> KeyedRecord | None:
    """Decode a record of a keyed topic; return None if it is malformed."""
    if not record or len(record) <= record[0]:
        return None
    key_size = record[0]
    key = record[1 : key_size + 1].decode("utf-8", "replace")
    value = record[key_size + 1 :]
    return KeyedRecord(offset, key, value or None)


def _split_records(data: bytes, position: int) -> list[bytes]:
    records = []
    while position < len(data):
        (length,) = _LENGTH_PREFIX.unpack_from(data, position)
        position += _LENGTH_PREFIX.size
        if position + length > len(data):
            raise ValueError("response of the store ends inside a record")
        records.append(data[position : position + length])
        position += length
    return records
