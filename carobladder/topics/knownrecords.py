"""Records of a topic that an instance knows."""

from collections.abc import Sequence

from carobladder.clock import Clock
from carobladder.eras import RecordApplier
from carobladder.fleet import (
    Freshness,
    KeyedPage,
    KeyedRecord,
    RecordRun,
    TopicState,
)
from carobladder.telemetry import TopicAdvanced, emit
from carobladder.topics.lags import PeerLag
from carobladder.topics.readpauses import LARGE_READ_BYTES
from carobladder.topics.runs import RunHistory
from carobladder.topics.superseding import RecordSelector

__all__ = ["STORE_SOURCE", "KnownRecords"]

# Source of records in the log.
STORE_SOURCE = "store"

_MS_PER_SECOND = 1000
# Large records are likely to follow each other for this time. Later, a few missing
# records are likely to be small, and the newest of all keys take more bytes.
_STORM_SECONDS = 5.0
# A single missing record is read as it is, in three quarters of the bytes.
_MIN_SKIPPED_RECORDS = 2


class KnownRecords:
    """Records up to ``next_offset``, and those that other instances know beyond it.

    ``next_offset`` is None until all keys have been read, also if they are read again.
    Offsets are those of ``era``, which is None if the store names none. Records that
    ``selector`` finds superseded are neither applied nor kept for others.
    """

    def __init__(
        self,
        topic: str,
        applier: RecordApplier,
        clock: Clock,
        selector: RecordSelector | None = None,
    ) -> None:
        self.applier = applier
        self.next_offset: int | None = None
        self.era: int | None = None
        self._topic = topic
        self._clock = clock
        self._selector = selector
        self._large_at = float("-inf")
        # Records that came last time; the next read may bring as many.
        self._last_step = 0
        self._history = RunHistory(selector)
        self._lag = PeerLag()

    @property
    def reported_end(self) -> int:
        """Newest end of the topic that another instance has told of."""
        return self._lag.end

    @property
    def expects_large(self) -> bool:
        """Whether the next records are likely to be large, as the last ones were."""
        return self._clock.boottime() - self._large_at < _STORM_SECONDS

    def reset(self) -> None:
        """Know no records any more, as all keys are read again."""
        self.next_offset = None
        self._lag.reset()
        self._history.clear()

    def is_behind(self, end: int) -> bool:
        """Return whether records before the offset ``end`` are missing here."""
        return self.next_offset is not None and self._lag.is_behind(
            self.next_offset, end
        )

    def note_reported_end(self, end: int) -> bool:
        """Record an end that is missing here; return whether it is the first such."""
        return self._lag.note_end(end, self._clock.boottime())

    def reject_reported_end(self, end: int) -> None:
        """Ignore an end that the store has not reached."""
        self._lag.reject(end, self._clock.boottime())
        self._lag.update(self.next_offset)

    def find_catch_up_time(self, delay_seconds: float) -> float:
        """Return when missing records are read that no other instance has sent."""
        return self._lag.find_due_time(delay_seconds)

    def build_state(self, freshness: Freshness) -> TopicState | None:
        """Return how far the topic is known now, or None if nothing is proved yet."""
        if self.next_offset is None or not freshness.synced:
            return None
        age_seconds = max(0.0, freshness.age(self._clock.boottime()))
        # Rounded up: too low an age would claim newer knowledge than this instance has.
        return TopicState(self.next_offset, int(age_seconds * _MS_PER_SECOND) + 1)

    def collect_run(self, first: int, max_answer_bytes: int) -> RecordRun | None:
        """Return the records from an offset on, as many as fit in one answer."""
        if self.next_offset is None or first >= self.next_offset:
            return None
        return self._history.collect(first, self.next_offset, max_answer_bytes)

    def apply_run(self, run: RecordRun, source: str, synced_at: float) -> None:
        """Apply the part of a run that is not known yet.

        Its records are newer than ``synced_at``, the time of the last proof.
        """
        assert self.next_offset is not None
        age_seconds = self._clock.boottime() - synced_at
        first = self.next_offset
        records = tuple(record for record in run.records if record.offset >= first)
        self.next_offset = run.next_offset
        self._last_step = run.next_offset - first
        self._extend_history(RecordRun(first, run.next_offset, records))
        superseded = self._find_superseded(records)
        applied = [self._apply(record, superseded) for record in records]
        self._log_advance(source, records, age_seconds, applied, superseded)

    def prefers_newest(self, *, is_reader: bool, is_overdue: bool) -> bool:
        """Return whether the newest of all keys take fewer bytes than what is missing.

        A reader, of which others learn what is missing, expects as many records as came
        last time. If the proof is overdue, several are expected unless the last read
        has brought none.

        While lost records may be written again to a restored store, each is needed.
        """
        if self._selector is None or self.next_offset is None:
            return False
        if not self.expects_large or self.applier.is_restoring:
            return False
        missing = self._lag.end - self.next_offset if self._is_lagging() else 0
        if is_overdue and self._last_step:
            return True
        expected = self._last_step if is_reader else 0
        return max(missing, expected) >= _MIN_SKIPPED_RECORDS

    def apply_newest(self, page: KeyedPage, source: str, synced_at: float) -> bool:
        """Apply the newest records of all keys in place of all missing ones.

        Return False, without a change, if they may not replace the missing ones.
        """
        first = self.next_offset
        self._last_step = 0
        if self._selector is None or first is None or page.next_offset <= first:
            return False
        if self.applier.is_restoring or not self._selector.may_skip_to(page.records):
            return False
        age_seconds = self._clock.boottime() - synced_at
        missing = (r for r in page.records if first <= r.offset < page.next_offset)
        records = tuple(sorted(missing, key=lambda record: record.offset))
        self.next_offset = page.next_offset
        self._last_step = page.next_offset - first
        if self.applier.apply_snapshot(page.records):
            # The offsets of removals are unknown, so others cannot be told of them.
            self._history.clear()
        else:
            self._extend_history(RecordRun(first, page.next_offset, records))
        self._log_advance(source, records, age_seconds, [True] * len(records))
        return True

    def _is_lagging(self) -> bool:
        return self.is_behind(self.reported_end)

    def _extend_history(self, run: RecordRun) -> None:
        self._history.append(run, keeps_all=self.applier.is_restoring)
        self._lag.update(run.next_offset)
        if any(len(r.value or b"") >= LARGE_READ_BYTES for r in run.records):
            self._large_at = self._clock.boottime()

    def _find_superseded(self, records: Sequence[KeyedRecord]) -> frozenset[int]:
        if self._selector is None or self.applier.is_restoring or len(records) < 2:
            return frozenset()
        return self._selector.find_superseded(records)

    def _apply(self, record: KeyedRecord, superseded: frozenset[int]) -> bool:
        """Apply a record unless it is superseded; return whether it was news."""
        if record.offset in superseded:
            self.applier.note_superseded(record)
            return True
        return self.applier.apply(record)

    def _log_advance(
        self,
        source: str,
        records: Sequence[KeyedRecord],
        age_seconds: float,
        applied: Sequence[bool],
        superseded: frozenset[int] = frozenset(),
    ) -> None:
        assert self.next_offset is not None
        emit(
            TopicAdvanced(
                topic=self._topic,
                source=source,
                next_offset=self.next_offset,
                records=len(records),
                age_seconds=round(age_seconds, 2),
                era=self.era,
                passed_over=applied.count(False),
                superseded=len(superseded),
            )
        )
