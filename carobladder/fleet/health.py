"""Health of a target as one instance observes it."""

from dataclasses import dataclass
from enum import StrEnum

from carobladder.fleet.exchanges import TargetLoad

__all__ = ["Condition", "TargetHealth"]

_MIN_PAUSE_SECONDS = 0.5
_MAX_PAUSE_SECONDS = 4.0
_SMOOTHING_FACTOR = 0.15
# A load report is ignored after this time.
_LOAD_EXPIRY_SECONDS = 2.5
_INITIAL_LATENCY_SECONDS = 0.1
# A silence of a target with requests, and the time after it in which the target may
# still answer those that waited.
_SILENCE_SECONDS = 0.5
_RESUME_SECONDS = 0.4
# An overloaded target gets no requests and thus sends no load reports while its load
# falls. The part that no instance has reported is assumed to decay after this time.
_LOAD_HOLD_SECONDS = 0.2
_LOAD_HALF_LIFE_SECONDS = 0.5


# Failure reports of other instances decay with this half-life. Beyond the threshold
# they override responses that arrived meanwhile, as a target may fail only some of its
# requests.
_REPORT_HALF_LIFE_SECONDS = 2.0
_REPORT_OVERRIDE_THRESHOLD = 1.5
# Time for which a reported target is avoided: the first time, and if it is reported
# again within the window after that.
_AVOIDANCE_SECONDS = (4.0, 8.0)
_REPEAT_WINDOW_SECONDS = 12.0


class Condition(StrEnum):
    """State of a target's circuit breaker: closed, open or half-open."""

    SOUND = "sound"
    SUSPECT = "suspect"
    TRIAL = "trial"


@dataclass(slots=True)
class TargetHealth:
    """Health, latency and load of a target, from the requests that were sent to it.

    After a failure the target gets no requests for a pause that grows with each
    failure. It is then on trial until it responds. Times are monotonic seconds.
    ``peers_in_flight`` are the requests of other instances, None if none has reported
    any.
    """

    in_flight: int = 0
    peers_in_flight: int | None = None
    first_byte_seconds: float = _INITIAL_LATENCY_SECONDS
    error_share: float = 0.0
    failures: int = 0
    paused_until: float = 0.0
    last_byte_at: float = float("-inf")
    _busy_since: float = float("inf")
    _resumed_at: float = float("-inf")
    reachable: bool = True
    _load: TargetLoad | None = None
    _load_at: float = 0.0
    _unreported_load: int = 0
    _report_weight: float = 0.0
    _last_report_at: float = float("-inf")
    _avoided_from: float = float("-inf")
    _avoided_until: float = float("-inf")
    _overrides_answers: bool = False

    def classify(self, now: float) -> Condition:
        """Return the condition of the target at this time."""
        if self.failures == 0:
            return Condition.SOUND
        return Condition.SUSPECT if now < self.paused_until else Condition.TRIAL

    def is_failing(self, now: float) -> bool:
        """Return whether this or another instance has seen the target fail lately."""
        return self.failures > 0 or self.is_reported_failed(now)

    def note_probe(self, reachable: bool, now: float) -> None:
        """Record the result of a connection check after failures."""
        if not reachable:
            self.note_failure(now)
        self.reachable = reachable

    def note_answer(self, failed: bool) -> None:
        """Record a response; ``failed`` marks a failure of the target itself."""
        self.failures = 0
        self.reachable = True
        sample = 1.0 if failed else 0.0
        self.error_share += _SMOOTHING_FACTOR * (sample - self.error_share)

    def end_suspicion(self) -> None:
        """Trust the target again after an answer that had seemed to be missing."""
        self.failures = 0
        self.reachable = True

    def note_sent(self, now: float) -> None:
        """Count a request that is about to be sent to the target."""
        if not self.in_flight:
            self._busy_since = now
        self.in_flight += 1

    def note_byte(self, now: float) -> None:
        """Record that the target has sent a part of a response."""
        if now - max(self.last_byte_at, self._busy_since) > _SILENCE_SECONDS:
            self._resumed_at = now
        self.last_byte_at = now
        self._end_avoidance(now)

    def has_just_resumed(self, now: float) -> bool:
        """Return whether the target has ended a silence only just now.

        Targets that fell silent together go on at slightly different times.
        """
        return now - self._resumed_at < _RESUME_SECONDS

    def is_responsive(self, silent_since: float, now: float) -> bool:
        """Return whether nothing speaks for a silence of the target since a time.

        One that has no requests is responsive unless a connection to it has failed.
        """
        if self.has_just_resumed(now):
            return False
        if self.last_byte_at > silent_since:
            return True
        return not self.in_flight and self.reachable

    def note_first_byte(self, seconds: float, now: float) -> None:
        """Record the time from a request to the first byte of its response."""
        self.note_byte(now)
        self.first_byte_seconds += _SMOOTHING_FACTOR * (
            seconds - self.first_byte_seconds
        )

    def note_failure(self, now: float) -> None:
        """Record a connection that failed, broke or got no response in time.

        Requests in flight fail together, so failures during a pause do not extend it.
        """
        self.reachable = False
        if self.failures and now < self.paused_until:
            return
        self.failures += 1
        pause = _MIN_PAUSE_SECONDS * 2.0 ** (self.failures - 1)
        self.paused_until = now + min(pause, _MAX_PAUSE_SECONDS)

    def is_reported_failed(self, now: float) -> bool:
        """Return whether the target is avoided after reports of other instances."""
        return now < self._avoided_until

    def note_failure_report(self, silent_since: float, now: float) -> float:
        """Record another instance's report that the target is silent since this time.

        Returns the seconds for which the target is avoided: 0 if a newer response
        is known, unless the reports are frequent enough to override it.
        """
        elapsed = max(0.0, now - self._last_report_at)
        self._report_weight *= 0.5 ** (elapsed / _REPORT_HALF_LIFE_SECONDS)
        self._report_weight += 1.0
        self._last_report_at = now
        answered = max(self.last_byte_at, self._load_at if self._load else 0.0)
        has_newer_answer = answered > silent_since
        if has_newer_answer and self._report_weight < _REPORT_OVERRIDE_THRESHOLD:
            return 0.0
        is_repeated = now - self._avoided_until < _REPEAT_WINDOW_SECONDS
        seconds = _AVOIDANCE_SECONDS[is_repeated]
        self._avoided_from, self._avoided_until = now, now + seconds
        self._overrides_answers = has_newer_answer
        return seconds

    def _end_avoidance(self, answered_at: float) -> None:
        """End the avoidance after a newer response, unless reports override it."""
        if answered_at > self._avoided_from and not self._overrides_answers:
            self._avoided_until = self._avoided_from

    def note_load(self, load: TargetLoad, reported_at: float) -> None:
        """Record the load that the target reported, unless a newer one is known."""
        if self._load is not None and reported_at <= self._load_at:
            return
        self._load = load
        self._load_at = reported_at
        self._end_avoidance(reported_at)
        self._unreported_load = max(0, load.total - self._known_in_flight)

    def read_latest_load(self, now: float) -> tuple[int, float] | None:
        """Return the newest reported load and its age in seconds, or None."""
        if self._load is None:
            return None
        return self._load.total, max(0.0, now - self._load_at)

    def states_load_of(self, count: float, now: float) -> bool:
        """Return whether the target has lately stated at least this many requests."""
        load = self._load
        is_recent = now - self._load_at <= _LOAD_EXPIRY_SECONDS
        return load is not None and is_recent and load.total >= count > 0

    @property
    def _known_in_flight(self) -> int:
        """Requests of this instance and those that others have reported."""
        return self.in_flight + (self.peers_in_flight or 0)

    def estimate_load(self, now: float) -> float | None:
        """Return the estimated number of requests at the target, from all instances.

        Returns None if neither the target nor another instance has reported any
        recently.
        """
        age = now - self._load_at
        if self._load is None or age > _LOAD_EXPIRY_SECONDS:
            return None if self.peers_in_flight is None else self._known_in_flight
        remaining = 0.5 ** (
            max(0.0, age - _LOAD_HOLD_SECONDS) / _LOAD_HALF_LIFE_SECONDS
        )
        return self._known_in_flight + self._unreported_load * remaining
