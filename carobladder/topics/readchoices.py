"""Choice of when and how missing records are read, on wide and narrow links."""

from carobladder.clock import Clock
from carobladder.fleet import Freshness
from carobladder.topics.fetching import TopicFetcher
from carobladder.topics.knownrecords import KnownRecords
from carobladder.topics.paces import ReadPolicy
from carobladder.topics.readpauses import LargeReadPause

__all__ = ["ReadChoice"]

# An own read of large records on a narrow link takes longer than several questions to
# others. The age of the last proof bounds the wait.
_SLOW_CATCH_UP_FACTOR = 3.0


class ReadChoice:
    """Choice for the next read of a topic; ``progress`` is the time of the last one."""

    def __init__(
        self,
        policy: ReadPolicy,
        records: KnownRecords,
        progress: Freshness,
        fetcher: TopicFetcher,
        pause: LargeReadPause,
        clock: Clock,
    ) -> None:
        self._policy = policy
        self._records = records
        self._progress = progress
        self._fetcher = fetcher
        self._pause = pause
        self._clock = clock

    @property
    def expects_slow(self) -> bool:
        """Whether the next records are likely to take long on this link."""
        return self._records.expects_large and self._pause.is_slow

    def prefers_newest(self, *, is_reader: bool) -> bool:
        """Return whether to read the newest of all keys instead of what is missing."""
        age_seconds = self._progress.age(self._clock.boottime())
        limit_seconds = self._policy.reader_age_seconds
        is_overdue = limit_seconds is not None and age_seconds > limit_seconds
        return self._records.prefers_newest(
            is_reader=is_reader, is_overdue=is_overdue and self._pause.is_slow
        )

    def find_catch_up_delay(self) -> float:
        """Return how long records that others know may be missing before a read."""
        factor = _SLOW_CATCH_UP_FACTOR if self.expects_slow else 1.0
        return self._policy.catch_up_delay_seconds * factor

    def find_transfer_time(self) -> float:
        """Return the time for a large answer to the waiting read to arrive.

        A second read beside it would delay both.
        """
        policy = self._policy
        if not self._records.expects_large or policy.passive_age_seconds is None:
            return 0.0
        longest_seconds = policy.passive_age_seconds - (policy.reader_age_seconds or 0)
        return min(self._fetcher.transfer_seconds, longest_seconds)
