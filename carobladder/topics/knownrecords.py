"""Records of a topic that an instance knows."""

from carobladder.clock import Clock
from carobladder.eras import RecordApplier
from carobladder.fleet import Freshness, RecordRun, TopicState
from carobladder.telemetry import TopicAdvanced, emit
from carobladder.topics.lags import PeerLag
from carobladder.topics.runs import RunHistory

__all__ = ["KnownRecords"]

_MS_PER_SECOND = 1000


class KnownRecords:
    """Records up to ``next_offset``, and those that other instances know beyond it.

    ``next_offset`` is None until all keys have been read, also if they are read again.
    Offsets are those of ``era``, which is None if the store names none.
    """

    def __init__(self, topic: str, applier: RecordApplier, clock: Clock) -> None:
        self.applier = applier
        self.next_offset: int | None = None
        self.era: int | None = None
        self._topic = topic
        self._clock = clock
        self._history = RunHistory()
        self._lag = PeerLag()

    @property
    def reported_end(self) -> int:
        """Newest end of the topic that another instance has told of."""
        return self._lag.end

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
        self._history.append(RecordRun(first, run.next_offset, records))
        self._lag.update(run.next_offset)
        applied = [self.applier.apply(record) for record in records]
        emit(
            TopicAdvanced(
                topic=self._topic,
                source=source,
                next_offset=run.next_offset,
                records=len(records),
                age_seconds=round(age_seconds, 2),
                era=self.era,
                passed_over=applied.count(False),
            )
        )
