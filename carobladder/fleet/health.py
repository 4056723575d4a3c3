"""What an instance has seen of one target, and whether to trust it."""

from dataclasses import dataclass
from enum import StrEnum

from carobladder.fleet.exchanges import TargetLoad

__all__ = ["Condition", "TargetHealth"]

_FIRST_PAUSE_SECONDS = 0.5
_LONGEST_PAUSE_SECONDS = 4.0
_AVERAGE_GAIN = 0.15
# A load report says little about a target after this time.
_REPORT_SECONDS = 2.5
_START_LATENCY_SECONDS = 0.1
# A target over the limit gets no requests, so nobody hears how its load falls. After
# a time without a report the requests of other instances are taken to end.
_STEADY_SECONDS = 0.2
_LOAD_HALF_LIFE_SECONDS = 0.5


# Warnings of other instances count for this half-life. So many of them outweigh answers
# that others got meanwhile, as a target may fail a part of its requests.
_WARNING_HALF_LIFE_SECONDS = 2.0
_OUTWEIGHING_WARNINGS = 1.5
# A target of which others warned is left alone for this long, longer the second time.
_DOUBT_SECONDS = (4.0, 8.0)
_DOUBT_MEMORY_SECONDS = 12.0


class Condition(StrEnum):
    """Say how far a target is trusted."""

    SOUND = "sound"
    SUSPECT = "suspect"
    TRIAL = "trial"


@dataclass(slots=True)
class TargetHealth:
    """Judge a target by the requests that were sent to it.

    After failures a target is left alone for a growing pause and is then on trial
    until an answer arrives. Times are monotonic seconds.
    """

    in_flight: int = 0
    first_byte_seconds: float = _START_LATENCY_SECONDS
    error_share: float = 0.0
    failures: int = 0
    paused_until: float = 0.0
    last_byte_at: float = float("-inf")
    reachable: bool = True
    _load: TargetLoad | None = None
    _load_at: float = 0.0
    _load_in_flight: int = 0
    _warnings: float = 0.0
    _warned_at: float = float("-inf")
    _doubted_at: float = float("-inf")
    _doubted_until: float = float("-inf")
    _doubt_is_firm: bool = False

    def judge(self, now: float) -> Condition:
        """Return how far the target is trusted."""
        if self.failures == 0:
            return Condition.SOUND
        return Condition.SUSPECT if now < self.paused_until else Condition.TRIAL

    def note_probe(self, reachable: bool, now: float) -> None:
        """Take the result of a connection check that followed failures."""
        if not reachable:
            self.note_failure(now)
        self.reachable = reachable

    def note_answer(self, failed: bool) -> None:
        """Take an answer of the target; ``failed`` marks its own failure."""
        self.failures = 0
        self.reachable = True
        sample = 1.0 if failed else 0.0
        self.error_share += _AVERAGE_GAIN * (sample - self.error_share)

    def note_first_byte(self, seconds: float, now: float) -> None:
        """Take the time from a request to the first byte of its answer."""
        self.last_byte_at = now
        self._note_life(now)
        self.first_byte_seconds += _AVERAGE_GAIN * (seconds - self.first_byte_seconds)

    def note_failure(self, now: float) -> None:
        """Take a connection that failed, broke or stayed silent.

        Requests under way fail together, so only the first failure outside of a
        pause starts one.
        """
        self.reachable = False
        if self.failures and now < self.paused_until:
            return
        self.failures += 1
        pause = _FIRST_PAUSE_SECONDS * 2.0 ** (self.failures - 1)
        self.paused_until = now + min(pause, _LONGEST_PAUSE_SECONDS)

    def is_doubted(self, now: float) -> bool:
        """Tell whether others warned of the target and no answer has come since."""
        return now < self._doubted_until

    def note_warning(self, silent_since: float, now: float) -> float:
        """Take that an instance has heard nothing of the target since this time.

        Return for how long the target is left alone: not at all if an answer is known
        that is newer, unless the warnings come too often for that.
        """
        passed = max(0.0, now - self._warned_at)
        self._warnings *= 0.5 ** (passed / _WARNING_HALF_LIFE_SECONDS)
        self._warnings += 1.0
        self._warned_at = now
        answered = max(self.last_byte_at, self._load_at if self._load else 0.0)
        is_contradicted = answered > silent_since
        if is_contradicted and self._warnings < _OUTWEIGHING_WARNINGS:
            return 0.0
        is_repeated = now - self._doubted_until < _DOUBT_MEMORY_SECONDS
        seconds = _DOUBT_SECONDS[is_repeated]
        self._doubted_at, self._doubted_until = now, now + seconds
        self._doubt_is_firm = is_contradicted
        return seconds

    def _note_life(self, answered_at: float) -> None:
        """End a doubt by an answer that came after it, unless others fail meanwhile."""
        if answered_at > self._doubted_at and not self._doubt_is_firm:
            self._doubted_until = self._doubted_at

    def note_load(self, load: TargetLoad, stated_at: float) -> None:
        """Take the load that the target stated, unless a newer one is known."""
        if self._load is not None and stated_at <= self._load_at:
            return
        self._load = load
        self._load_at = stated_at
        self._note_life(stated_at)
        self._load_in_flight = self.in_flight

    def read_stated_load(self, now: float) -> tuple[int, float] | None:
        """Return the newest stated load and its age in seconds, or None."""
        if self._load is None:
            return None
        return self._load.total, max(0.0, now - self._load_at)

    def estimate_load(self, now: float) -> float | None:
        """Return the requests that the target is likely to hold for all callers.

        Return None if the target has not stated its load recently.
        """
        load = self._load
        if load is None:
            return None
        age = now - self._load_at
        if age > _REPORT_SECONDS:
            return None
        others = max(0, load.total - self._load_in_flight)
        left = 0.5 ** (max(0.0, age - _STEADY_SECONDS) / _LOAD_HALF_LIFE_SECONDS)
        return self.in_flight + others * left
