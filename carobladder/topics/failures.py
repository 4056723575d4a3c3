"""Failed reads of a topic, and the outages of the store that they are part of."""

from collections.abc import Callable

from carobladder.clock import Clock
from carobladder.exceptions import LogUnavailableError
from carobladder.fleet import Freshness
from carobladder.telemetry import StoreLost, StoreRegained, emit
from carobladder.topics.backoff import BackoffBounds, Pause, ReadBackoff
from carobladder.topics.outages import OutageMonitor

__all__ = ["ReadFailures"]


class ReadFailures:
    """Failed reads of a topic, each of which the store or the network may have caused.

    ``freshness`` tells up to which time all records are known. ``on_recovery`` is
    called with the length of an outage of the store in seconds.
    """

    def __init__(
        self,
        topic: str,
        clock: Clock,
        backoff: ReadBackoff,
        freshness: Freshness,
        expiry_seconds: float,
        on_recovery: Callable[[float], None],
    ) -> None:
        self._topic = topic
        self._clock = clock
        self._backoff = backoff
        self._freshness = freshness
        self._outages = OutageMonitor(expiry_seconds)
        self._on_recovery = on_recovery
        self._failed_at = 0.0

    def note_failure(self, error: LogUnavailableError, bounds: BackoffBounds) -> Pause:
        """Record a failed read and return the pause after it."""
        if not self._backoff.is_failing:
            age = self._freshness.age(self._clock.boottime())
            emit(StoreLost(self._topic, round(age, 2), str(error)))
        self._failed_at = self._clock.boottime()
        self._outages.note_failure(self._failed_at)
        return self._backoff.note_failure(bounds)

    def note_success(self, sent_at: float, source: str) -> None:
        """Record a read that was answered."""
        self._backoff.note_success()
        self.note_served(sent_at, source)

    def note_served(self, at: float, source: str) -> None:
        """Record that the store has answered this or another instance."""
        outage_seconds = self._outages.note_served(at)
        if outage_seconds is not None:
            emit(StoreRegained(self._topic, round(outage_seconds, 2), source))
            self._on_recovery(outage_seconds)

    def precede(self, proved_at: float) -> bool:
        """Return whether the last read failed, and earlier than a proof of others."""
        return self._backoff.is_failing and proved_at > self._failed_at

    def may_have_expired(self) -> bool:
        """Return whether records may expire in an outage that has not ended."""
        return self._outages.may_have_expired(self._clock.boottime())
