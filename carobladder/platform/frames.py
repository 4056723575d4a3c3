"""Binary framing of the records of the platform's store."""

import struct
from dataclasses import dataclass

from carobladder.fleet.records import KeyedRecord

__all__ = ["Page", "decode_keyed", "decode_page", "encode_keyed", "frame"]

_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")


def frame(records: list[bytes]) -> bytes:
    """Return the records, each behind its length."""
    return b"".join(_LENGTH.pack(len(record)) + record for record in records)


def encode_keyed(key: str, value: bytes) -> bytes:
    """Return a record of a keyed topic; an empty value drops the key."""
    name = key.encode()
    return bytes([len(name)]) + name + value


@dataclass(frozen=True, slots=True)
class Page:
    """Carry records, the end of their partition and the oldest retained offset."""

    end: int
    oldest: int
    records: list[bytes]


def decode_page(data: bytes) -> Page:
    """Return the page that an answer to a read carries.

    Raises ValueError if the bytes end inside a record.
    """
    try:
        end, oldest = _OFFSETS.unpack_from(data)
        return Page(end, oldest, _split(data, _OFFSETS.size))
    except struct.error as error:
        raise ValueError(f"answer of the store is cut: {error}") from None


def decode_keyed(offset: int, record: bytes) -> KeyedRecord | None:
    """Return the key and value of a record, or None if it is malformed."""
    if not record or len(record) <= record[0]:
        return None
    size = record[0]
    key = record[1 : size + 1].decode("utf-8", "replace")
    value = record[size + 1 :]
    return KeyedRecord(offset, key, value or None)


def _split(data: bytes, position: int) -> list[bytes]:
    records = []
    while position < len(data):
        (length,) = _LENGTH.unpack_from(data, position)
        position += _LENGTH.size
        if position + length > len(data):
            raise ValueError("answer of the store ends inside a record")
        records.append(data[position : position + length])
        position += length
    return records
