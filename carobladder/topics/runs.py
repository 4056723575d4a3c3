"""Recent runs of records of a topic, for other instances."""

from collections import deque

from carobladder.fleet import KeyedRecord, RecordRun

__all__ = ["RunHistory"]

# Runs of records that are kept to answer other instances.
_MAX_RECENT_RUNS = 64


class RunHistory:
    """Newest runs of records, without gaps, from which other instances are answered."""

    def __init__(self) -> None:
        self._runs: deque[RecordRun] = deque(maxlen=_MAX_RECENT_RUNS)

    def append(self, run: RecordRun) -> None:
        """Add the run that follows the last one."""
        self._runs.append(run)

    def clear(self) -> None:
        """Drop all runs, since the next one does not follow them."""
        self._runs.clear()

    def collect(
        self, first: int, next_offset: int, max_answer_bytes: int
    ) -> RecordRun | None:
        """Return the records from an offset on, as many as fit in one answer."""
        if not self._runs or first < self._runs[0].first:
            return None
        records: list[KeyedRecord] = []
        size = 0
        for record in (record for run in self._runs for record in run.records):
            if record.offset < first:
                continue
            size += len(record.key) + len(record.value or b"")
            if size > max_answer_bytes:
                truncated = RecordRun(first, record.offset, tuple(records))
                return truncated if records else None
            records.append(record)
        return RecordRun(first, next_offset, tuple(records))
