"""Decision whether a request is sent to a service under overload or refused."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from carobladder.limits.usage import AdmissionRecord

__all__ = [
    "AdmissionRequest",
    "RefusalReason",
    "ServiceAdmission",
    "TargetPlaces",
    "count_free_slots",
]

# A service is under pressure for this time after one of its targets has refused.
_PRESSURE_SECONDS = 2.0
# A target's load at its last refusal says how many requests it takes, for this time.
_LIMIT_EXPIRY_SECONDS = 10.0
# Weight of the newest answer in the mean time that a request uses a slot for.
_SMOOTHING_FACTOR = 0.1
# Without a known limit, a target takes requests until the expected wait for a slot is
# this part of the time that callers allow. At 1.0 nearly all answers would come too
# late.
_MAX_PATIENCE_FRACTION = 0.5
# Decay of the longest time that callers allow, with each request.
_PATIENCE_DECAY = 0.99
# The least urgent requests are refused from this far below the full queues of targets.
# More leaves slots idle in short waves.
_LEVEL_RANGE = 0.7
# Share of refused requests from which the whole range is used. With less, an overload
# is so short or slight that the queues of targets absorb most of it.
_FULL_RANGE_REFUSED_SHARE = 0.5
# A target counts as full from this part of its queue on, as loads are known late. One
# without a queue is full when all of its slots are in use.
_FULL_FRACTION = 0.9
# No request is refused while this part of the slots is free.
_FREE_FRACTION = 0.5


class RefusalReason(StrEnum):
    """Reason for which a request is refused; the values are labels of a metric."""

    DEADLINE = "no answer before the deadline"
    PRIORITY = "more urgent requests"
    SHARE = "share of the team"


@dataclass(frozen=True, slots=True)
class TargetPlaces:
    """Usable target: its estimated load from all instances, and its slots."""

    target_id: str
    load: float
    slots: float


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """Request to decide about; ``remaining_seconds`` is the time to its deadline."""

    priority: int
    team: str
    remaining_seconds: float


class ServiceAdmission:
    """Admission to the targets of one service, as one instance sees them.

    Instances do not reserve places: the loads of targets, which all instances know with
    a delay, bring their decisions together. Times are in monotonic seconds.
    """

    def __init__(self, record: AdmissionRecord) -> None:
        self._record = record
        # Load of each target at its last refusal, and the time of that.
        self._limits: dict[str, tuple[float, float]] = {}
        self._shed_at = float("-inf")
        self._seconds_per_slot: float | None = None
        self._patience_seconds = 0.0

    def note_shed(self, target_id: str, load: float | None, now: float) -> None:
        """Record a target that refused a request without running it.

        ``load`` is None if the target did not state it.
        """
        self._shed_at = now
        if load is not None:
            self._limits[target_id] = (load, now)

    def note_answer(self, load: float, slots: float, seconds: float) -> None:
        """Record the time of an answer by a target that had this load."""
        sample = seconds / max(1.0, load / slots)
        if self._seconds_per_slot is None:
            self._seconds_per_slot = sample
        self._seconds_per_slot += _SMOOTHING_FACTOR * (sample - self._seconds_per_slot)

    def compute_refused_share(self, now: float) -> float:
        """Return the share of the recent requests that were refused."""
        return self._record.compute_refused_share(now)

    def note_refused(self, priority: int, now: float) -> None:
        """Count a request that targets or this instance refused."""
        self._record.note_refused(priority, now)

    def decide(
        self, request: AdmissionRequest, places: Sequence[TargetPlaces], now: float
    ) -> RefusalReason | None:
        """Count a request and return why it is refused, None if it may be sent.

        ``places`` are the usable targets whose load is known.
        """
        self._record.note_offered(request.priority, request.team, now)
        self._patience_seconds = max(
            request.remaining_seconds, _PATIENCE_DECAY * self._patience_seconds
        )
        reason = self._find_reason(request, places, now)
        if reason is None:
            self._record.note_admitted(request.priority, request.team, now)
        else:
            self._record.note_refused(request.priority, now)
        return reason

    def has_shed(self, now: float) -> bool:
        """Return whether a target has refused a request lately."""
        return now - self._shed_at < _PRESSURE_SECONDS

    def is_pressed(self, places: Sequence[TargetPlaces], now: float) -> bool:
        """Return whether a target has refused lately or has no free slot."""
        return self.has_shed(now) or any(place.load >= place.slots for place in places)

    def is_full(self, place: TargetPlaces, now: float) -> bool:
        """Return whether a target would probably refuse a request."""
        limit = self._find_shed_limit(place, now)
        if limit is None:
            return False
        queued = place.slots + _FULL_FRACTION * (limit - place.slots)
        return place.load > queued - 0.5

    def compute_fill(self, places: Sequence[TargetPlaces], now: float) -> float:
        """Return the mean fraction of the targets' queues that is in use.

        It is 0.0 where all slots but no more are in use, and negative below that.
        Targets of unknown limits count as 0.0.
        """
        fills = []
        for place in places:
            limit = self._find_limit(place, now)
            fills.append(0.0 if limit is None else _compute_fill(place, limit))
        return sum(fills) / len(fills) if fills else 0.0

    def predict_wait(self, places: Sequence[TargetPlaces]) -> float:
        """Return the expected seconds until a slot is free at any target, 0 if unknown.

        The time of the answer itself is left out, as requests differ in it.
        """
        if self._seconds_per_slot is None or not places:
            return 0.0
        turns = min((place.load + 1.0) / place.slots for place in places)
        return max(0.0, turns - 1.0) * self._seconds_per_slot

    def _find_reason(
        self, request: AdmissionRequest, places: Sequence[TargetPlaces], now: float
    ) -> RefusalReason | None:
        if not self.is_pressed(places, now) or _has_free_slots(places):
            return None
        if self.predict_wait(places) > request.remaining_seconds:
            return RefusalReason.DEADLINE
        record, priority, team = self._record, request.priority, request.team
        urgency = record.compute_urgency(priority, team, now)
        if not urgency or record.is_starved(priority, now):
            return None
        if self.compute_fill(places, now) < 1.0 - self._compute_range(now) * urgency:
            return None
        if record.is_above_share(priority, team, now):
            return RefusalReason.SHARE
        return RefusalReason.PRIORITY

    def _compute_range(self, now: float) -> float:
        """Return how far below full queues the least urgent requests are refused."""
        share = self._record.compute_refused_share(now) / _FULL_RANGE_REFUSED_SHARE
        return _LEVEL_RANGE * min(1.0, share)

    def _find_limit(self, place: TargetPlaces, now: float) -> float | None:
        """Return the load up to which a target should get requests, None if unknown."""
        limits = []
        shed_limit = self._find_shed_limit(place, now)
        if shed_limit is not None:
            limits.append(shed_limit)
        if self._seconds_per_slot:
            seconds = _MAX_PATIENCE_FRACTION * self._patience_seconds
            limits.append(place.slots * (1.0 + seconds / self._seconds_per_slot))
        return min(limits, default=None)

    def _find_shed_limit(self, place: TargetPlaces, now: float) -> float | None:
        limit, noted_at = self._limits.get(place.target_id, (0.0, float("-inf")))
        if now - noted_at > _LIMIT_EXPIRY_SECONDS:
            self._limits.pop(place.target_id, None)
            return None
        return max(limit, place.slots)


def _compute_fill(place: TargetPlaces, limit: float) -> float:
    """Return the fraction of the queue of a target that is in use."""
    return (place.load - place.slots) / max(1.0, limit - place.slots)


def count_free_slots(places: Sequence[TargetPlaces]) -> float:
    """Return the free slots of targets by their estimated loads."""
    return sum(max(0.0, place.slots - place.load) for place in places)


def _has_free_slots(places: Sequence[TargetPlaces]) -> bool:
    """Return whether half of the slots are free, whatever single targets queue."""
    slots = sum(place.slots for place in places)
    return count_free_slots(places) >= _FREE_FRACTION * slots
