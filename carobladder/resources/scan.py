"""Search of the log for the newest snapshot and the records that follow it."""

from carobladder.resources.records import ConfigRecord, SnapshotPart
from carobladder.resources.snapshots import SnapshotCollector

__all__ = ["Scan"]


class Scan:
    """Keep the newest usable snapshot and the records after it.

    A snapshot is usable if every record after it was seen by the scan; retention
    may have dropped some of the records that an old snapshot needs.
    """

    def __init__(self, start: int) -> None:
        self._collector = SnapshotCollector()
        self.first_kept = start
        self.next_offset = start
        self.records: list[tuple[int, ConfigRecord | None]] = []
        self.snapshot: list[SnapshotPart] = []

    def add(self, offset: int, record: ConfigRecord | None) -> None:
        """Add the next record of the log."""
        self.next_offset = offset + 1
        self.records.append((offset, record))
        if isinstance(record, SnapshotPart):
            parts = self._collector.add(record)
            if parts is not None:
                self._use(parts)

    def _use(self, parts: list[SnapshotPart]) -> None:
        through = parts[0].through_offset
        if through + 1 < self.first_kept:
            return
        self.snapshot = parts
        self.first_kept = through + 1
        self.records = [item for item in self.records if item[0] > through]
