"""Records of a topic that need not be applied, as newer ones replace them."""

from collections.abc import Callable, Sequence
from typing import Protocol

from carobladder.fleet import ConfigurationRecord, KeyedRecord, OperatorRecord
from carobladder.platform.documents import (
    RouteMemory,
    decode_operator_record,
    peek_configuration_version,
)
from carobladder.platform.names import CONFIGURATION_KEY

__all__ = ["ConfigurationSelector", "RecordSelector"]


class RecordSelector(Protocol):
    """Rule which records of a topic replace others."""

    def find_superseded(self, records: Sequence[KeyedRecord]) -> frozenset[int]:
        """Return the offsets of the records that later ones of these replace."""

    def may_skip_to(self, newest: Sequence[KeyedRecord]) -> bool:
        """Return whether the newest records of all keys replace all earlier ones."""


class ConfigurationSelector:
    """Selects the one configuration of a range that is in force after it.

    Configurations that are malformed, withdrawn or of a lower version replace no other
    one, so the outcome is that of applying all records in order. Records of other keys
    are never left out. ``find_version`` returns the version in force.
    """

    def __init__(self, find_version: Callable[[], int]) -> None:
        self._find_version = find_version
        self._last: tuple[bytes, OperatorRecord] | None = None
        self._routes = RouteMemory()

    def decode(self, record: KeyedRecord) -> OperatorRecord:
        """Decode a record; the same configuration is decoded once in a row."""
        if record.key != CONFIGURATION_KEY or record.value is None:
            return decode_operator_record(record)
        if self._last is None or self._last[0] != record.value:
            self._last = record.value, decode_operator_record(record, self._routes)
        return self._last[1]

    def find_superseded(self, records: Sequence[KeyedRecord]) -> frozenset[int]:
        """Return the offsets of the configurations before the newest valid one."""
        versions = [
            (version, record.offset, record)
            for record in records
            if (version := peek_configuration_version(record)) is not None
        ]
        for _, offset, record in sorted(versions, key=_get_order, reverse=True):
            if isinstance(self.decode(record), ConfigurationRecord):
                return frozenset(
                    other.offset
                    for other in records
                    if other.key == CONFIGURATION_KEY and other.offset < offset
                )
        return frozenset()

    def may_skip_to(self, newest: Sequence[KeyedRecord]) -> bool:
        """Return whether the configuration among them is valid and not outdated.

        Otherwise an earlier one that only the whole history contains may be in force.
        """
        for record in newest:
            if record.key == CONFIGURATION_KEY:
                decoded = self.decode(record)
                return (
                    isinstance(decoded, ConfigurationRecord)
                    and decoded.configuration.version >= self._find_version()
                )
        return False


def _get_order(item: tuple[int, int, KeyedRecord]) -> tuple[int, int]:
    return item[:2]
