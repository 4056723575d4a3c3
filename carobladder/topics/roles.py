"""Role of an instance in the reading of a topic."""

from collections.abc import Callable

from carobladder.clock import Clock
from carobladder.fleet import Freshness
from carobladder.topics.backoff import BackoffBounds
from carobladder.topics.paces import ReadPolicy

__all__ = ["ReadRole"]

# First and longest pause after a failed read, for readers and for other instances.
_READER_BACKOFF_BOUNDS = BackoffBounds(0.15, 0.6)
# Longer, since the readers report when the store is back.
_PASSIVE_BACKOFF_BOUNDS = BackoffBounds(1.0, 3.0)
# Fractions of the age at which this instance would read. From these on, it queries
# first one peer, then each peer that it sends an update to.
_ASK_ONE_FRACTION = 0.4
_ASK_ALL_FRACTION = 0.55


class ReadRole:
    """What the present role means for reads; ``is_reader`` tells which role it is.

    ``freshness`` tells up to which time all records are known.
    """

    def __init__(
        self,
        policy: ReadPolicy,
        is_reader: Callable[[], bool],
        freshness: Freshness,
        clock: Clock,
    ) -> None:
        self._policy = policy
        self.is_reader = is_reader
        self._freshness = freshness
        self._clock = clock

    def find_passive_age(self) -> float | None:
        """Return the age of the last proof at which this instance reads.

        It is None for an instance that reads on behalf of the fleet.
        """
        return None if self.is_reader() else self._policy.passive_age_seconds

    def find_backoff_bounds(self) -> BackoffBounds:
        """Return the first and the longest pause after a failed read."""
        if self.find_passive_age() is None or not self._freshness.synced:
            return _READER_BACKOFF_BOUNDS
        return _PASSIVE_BACKOFF_BOUNDS

    def count_peers_to_ask(self) -> int:
        """Return how many peers to query to avoid an own read."""
        policy = self._policy
        limit_seconds = (
            policy.reader_age_seconds
            if self.is_reader()
            else policy.passive_age_seconds
        )
        if limit_seconds is None:
            return 0
        age_fraction = self._freshness.age(self._clock.boottime()) / limit_seconds
        return (age_fraction > _ASK_ONE_FRACTION) + (age_fraction > _ASK_ALL_FRACTION)
