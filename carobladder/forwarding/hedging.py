"""Decision on a copy of a request whose answer is late."""

from collections.abc import Callable, Collection
from dataclasses import dataclass
from enum import StrEnum

from carobladder.clock import Clock
from carobladder.fleet import Condition, FleetTarget, TargetTable
from carobladder.forwarding.firstbytes import FirstByteTimes, RecentTimes
from carobladder.forwarding.sends import ForwardedCall
from carobladder.retries import RetryBudget

__all__ = ["LASTING_REASONS", "HedgePolicy", "WithholdReason", "list_unfit"]

# The quantile after which a request is late follows from the share of copies, within
# these limits: a lower one finds requests that are not late, a higher one is not known
# from 128 samples.
_MIN_QUANTILE = 0.9
_MAX_QUANTILE = 0.99
# A late request has waited for this multiple of the median at least. If all answers
# take about the same time, a copy would not come earlier than the first answer.
_MIN_LATENESS = 1.5
# An answer that the event loop could not read in time would look late. The same block
# makes other requests late shortly after it.
_BLOCKED_SECONDS = 0.03
_BLOCK_EFFECT_SECONDS = 0.1
# Weight of a request in the share of late ones, and the share above which the targets
# as a whole are slow. About 0.05 are late in steady operation; two or three late ones
# in a row exceed the limit.
_LATE_WEIGHT = 1.0 / 8.0
_MAX_LATE_SHARE = 0.25
# Time after a refusal by a target in which its service is short of capacity.
_REFUSAL_EFFECT_SECONDS = 1.0
# Fraction of the slots of a service that must be free.
_MIN_FREE_FRACTION = 0.25
_MAX_SERVICES = 4000


class WithholdReason(StrEnum):
    """Reasons to send no copy of a late request."""

    ANSWERING = "answering"
    BLOCKED = "event loop blocked"
    CONFIGURATION = "configuration"
    DEADLINE = "deadline"
    SLOW_SERVICE = "service slow"
    CAPACITY = "capacity"
    PROMPT_PART = "prompt part"
    NO_TARGET = "no target"
    BUDGET = "budget"


# Reasons that hold until the end of a request.
LASTING_REASONS = frozenset(
    {
        WithholdReason.ANSWERING,
        WithholdReason.CONFIGURATION,
        WithholdReason.DEADLINE,
        WithholdReason.PROMPT_PART,
    }
)


@dataclass(slots=True)
class _ServiceState:
    """Share of the late requests of a service, and the time of its newest refusal."""

    late_share: float = 0.0
    refused_at: float = float("-inf")


class HedgePolicy:
    """Policy for copies of late requests, with the evidence that it rests on.

    ``share`` is the part of the requests of which copies may be sent; 0 sends none.
    ``allows_copies`` tells for which services. ``is_current`` tells whether a request
    that was validated against a version of the configuration would be accepted by this
    instance now. ``has_prompt`` tells whether a target has the shared prompt with a
    key in its cache.
    """

    def __init__(
        self,
        share: float,
        table: TargetTable,
        find_budget: Callable[[str], RetryBudget],
        is_current: Callable[[ForwardedCall], bool],
        clock: Clock,
        allows_copies: Callable[[str], bool] = lambda service: True,
        has_prompt: Callable[[int, FleetTarget], bool] = lambda prefix, target: True,
    ) -> None:
        self._has_prompt = has_prompt
        self._allows_copies = allows_copies
        self.share = share
        self._table = table
        self._find_budget = find_budget
        self._is_current = is_current
        self._clock = clock
        self._times = FirstByteTimes()
        self._services: dict[str, _ServiceState] = {}
        self._blocked_at = float("-inf")

    def is_eligible(self, call: ForwardedCall) -> bool:
        """Return whether a call may have a copy, as far as its route tells."""
        route = call.route
        if self.share <= 0.0 or not route.may_repeat or route.attempts < 2:
            return False
        return self._allows_copies(call.service.name)

    def find_delay(self, call: ForwardedCall) -> float | None:
        """Return the seconds after which a call is late, or None if that is unknown."""
        recent = self._find_times(call)
        if recent is None:
            return None
        return max(recent.quantile, _MIN_LATENESS * recent.median)

    def note_first_byte(self, call: ForwardedCall, seconds: float) -> None:
        """Record the time from the first send of a call to its first byte."""
        self._times.note(call.route.name, seconds, self._clock.monotonic())

    def note_lateness(self, call: ForwardedCall, *, is_late: bool) -> None:
        """Record whether a call with a known delay has passed it."""
        state = self._find_state(call)
        state.late_share += _LATE_WEIGHT * (is_late - state.late_share)

    def note_refusal(self, call: ForwardedCall) -> None:
        """Record that a target has refused a call that it did not run."""
        if self.share > 0.0:
            self._find_state(call).refused_at = self._clock.monotonic()

    def is_blocked(self, overrun_seconds: float) -> bool:
        """Return whether the event loop was blocked just before.

        ``overrun_seconds`` is the time by which a timer has run too late just now.
        """
        now = self._clock.monotonic()
        if overrun_seconds > _BLOCKED_SECONDS:
            self._blocked_at = now
        return now - self._blocked_at <= _BLOCK_EFFECT_SECONDS

    def find_reason(self, call: ForwardedCall) -> WithholdReason | None:
        """Return the reason to send no copy of a late call now, or None."""
        now = self._clock.monotonic()
        if not self.is_eligible(call) or not self._is_current(call):
            return WithholdReason.CONFIGURATION
        recent = self._find_times(call)
        if recent is None or call.deadline - now <= recent.median:
            return WithholdReason.DEADLINE
        state = self._find_state(call)
        if state.late_share > _MAX_LATE_SHARE:
            return WithholdReason.SLOW_SERVICE
        if now - state.refused_at <= _REFUSAL_EFFECT_SECONDS:
            return WithholdReason.CAPACITY
        if self._is_short_of_slots(call.service.name, now):
            return WithholdReason.CAPACITY
        if not self._find_budget(call.service.name).has_copy():
            return WithholdReason.BUDGET
        return None

    def list_unfit(
        self, call: ForwardedCall, first: FleetTarget, sent_at: float
    ) -> set[str]:
        """Return the ids of the targets that must not get the copy of a call.

        ``first`` is the target that the call was sent to at ``sent_at``. Reading a
        shared prompt again takes a target longer than most late answers, and delays the
        other requests there.
        """
        targets = self._table.list_registered(call.service.name)
        unfit = list_unfit(targets, first, sent_at, self._clock.monotonic())
        if call.affinity is not None:
            unfit |= {
                target.target_id
                for target in targets
                if not self._has_prompt(call.affinity, target)
            }
        return unfit

    def withdraw(self, call: ForwardedCall) -> bool:
        """Charge a copy to the retry budget; return whether it may be sent."""
        return self._find_budget(call.service.name).withdraw_copy()

    def _find_times(self, call: ForwardedCall) -> RecentTimes | None:
        quantile = min(max(1.0 - self.share, _MIN_QUANTILE), _MAX_QUANTILE)
        return self._times.find(call.route.name, quantile, self._clock.monotonic())

    def _find_state(self, call: ForwardedCall) -> _ServiceState:
        name = call.service.name
        if name not in self._services and len(self._services) >= _MAX_SERVICES:
            self._services.clear()
        return self._services.setdefault(name, _ServiceState())

    def _is_short_of_slots(self, service: str, now: float) -> bool:
        """Return whether too few slots of the available targets are free."""
        targets = [t for t in self._table.list_open(service) if t.is_available(now)]
        slots = sum(target.entry.slots for target in targets)
        load = sum(_estimate_load(target, now) for target in targets)
        return slots > 0 and slots - load < _MIN_FREE_FRACTION * slots


def list_unfit(
    targets: Collection[FleetTarget], first: FleetTarget, sent_at: float, now: float
) -> set[str]:
    """Return the ids of the targets that would probably not answer before the first.

    The load of the first one includes the request itself, so a target that has as many
    other requests is fit.
    """
    limit = _estimate_load(first, now)
    return {
        target.target_id
        for target in targets
        if target is first
        or not _is_sound(target, sent_at, now)
        or _estimate_load(target, now) >= min(limit, max(1, target.entry.slots))
    }


def _is_sound(target: FleetTarget, sent_at: float, now: float) -> bool:
    health = target.health
    return (
        target.is_available(now)
        and not target.is_cold(now)
        and target.rate_limit is None
        and health.classify(now) is Condition.SOUND
        and not health.is_reported_failed(now)
        and health.is_responsive(sent_at, now)
    )


def _estimate_load(target: FleetTarget, now: float) -> float:
    """Return the estimated requests at a target; at least those of this instance."""
    load = target.health.estimate_load(now)
    return float(target.health.in_flight) if load is None else load
