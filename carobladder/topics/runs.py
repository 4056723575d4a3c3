"""Recent runs of records of a topic, for other instances."""

from collections import deque
from dataclasses import replace

from carobladder.fleet import KeyedRecord, RecordRun
from carobladder.topics.superseding import RecordSelector

__all__ = ["RunHistory"]

# Runs of records that are kept to answer other instances.
_MAX_RECENT_RUNS = 64


class RunHistory:
    """Newest runs of records, without gaps, from which other instances are answered.

    Records that ``selector`` finds superseded by later ones are dropped.
    """

    def __init__(self, selector: RecordSelector | None = None) -> None:
        self._runs: deque[RecordRun] = deque(maxlen=_MAX_RECENT_RUNS)
        self._selector = selector

    def append(self, run: RecordRun, *, keeps_all: bool = False) -> None:
        """Add the run that follows the last one; drop what it supersedes."""
        self._runs.append(run)
        if self._selector is None or keeps_all or not run.records:
            return
        superseded = self._selector.find_superseded(self._list_records())
        if superseded:
            runs = [_leave_out(run, superseded) for run in self._runs]
            self._runs = deque(runs, maxlen=_MAX_RECENT_RUNS)

    def clear(self) -> None:
        """Drop all runs, since the next one does not follow them."""
        self._runs.clear()

    def collect(
        self, first: int, next_offset: int, max_answer_bytes: int
    ) -> RecordRun | None:
        """Return the records from an offset on, as many as fit in one answer."""
        if not self._runs or first < self._runs[0].first:
            return None
        records = tuple(r for r in self._list_records() if r.offset >= first)
        run = RecordRun(first, next_offset, records)
        size = 0
        for record in records:
            size += len(record.key) + len(record.value or b"")
            if size > max_answer_bytes:
                return run.truncate(record.offset)
        return run

    def _list_records(self) -> list[KeyedRecord]:
        return [record for run in self._runs for record in run.records]


def _leave_out(run: RecordRun, superseded: frozenset[int]) -> RecordRun:
    """Return a run of the same range without some of its records."""
    if superseded.isdisjoint(record.offset for record in run.records):
        return run
    kept = tuple(r for r in run.records if r.offset not in superseded)
    return replace(run, records=kept)
