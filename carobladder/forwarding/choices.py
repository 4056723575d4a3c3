"""Choice of the targets of one call, from those that it may still go to."""

from collections.abc import Collection

from carobladder.clock import Clock
from carobladder.fleet import FleetTarget, SelectionCriteria, TargetSelector
from carobladder.forwarding.sends import ForwardedCall

__all__ = ["TargetChoice"]


class TargetChoice:
    """Targets that a call has tried, and the choice of the next one."""

    def __init__(
        self, selector: TargetSelector, call: ForwardedCall, clock: Clock
    ) -> None:
        self._selector = selector
        self._call = call
        self._clock = clock
        self._tried_ids: set[str] = set()
        # Tried targets that sent an error response of their own or were silent.
        self._second_choice_ids: set[str] = set()
        # Targets that were as silent as the one that the call has left.
        self._silent_ids: set[str] = set()

    def note_tried(self, target: FleetTarget, *, may_succeed: bool = False) -> None:
        """Exclude a target; with ``may_succeed`` it is tried again if no other is left.

        A target that sent an error response, or was silent, may answer another attempt.
        """
        self._tried_ids.add(target.target_id)
        if may_succeed:
            self._second_choice_ids.add(target.target_id)

    def note_full(self, target_ids: Collection[str]) -> None:
        """Exclude targets that are known to be full, until the call ends."""
        self._tried_ids.update(target_ids)

    def has_full(self, max_slots: float) -> bool:
        """Return whether a target of the service states a load at its slots.

        No target has more than ``max_slots`` of them.
        """
        return self._selector.has_full(
            self._call.service.name, max_slots, self._clock.monotonic()
        )

    def list_candidates(self) -> list[FleetTarget]:
        """Return the targets that the call could be sent to now."""
        return self._selector.list_candidates(
            self._build_criteria(self._tried_ids), self._clock.monotonic()
        )

    def note_left(self, heard_since: float) -> None:
        """Pass over all targets in the next choice that are silent since a time."""
        self._silent_ids = self._selector.list_silent(
            self._call.service.name, heard_since, self._clock.monotonic()
        )

    def choose(self) -> FleetTarget | None:
        """Return the next target, or None; counts the request as sent to it."""
        silent_ids, self._silent_ids = self._silent_ids, set()
        target = None
        if silent_ids:
            target = self._choose_except(self._tried_ids | silent_ids)
        if target is None:
            target = self._choose_except(self._tried_ids)
        if target is None and self._second_choice_ids:
            target = self._choose_except(self._tried_ids - self._second_choice_ids)
        return target

    def choose_copy(self, unfit: Collection[str]) -> FleetTarget | None:
        """Return a target for a copy that is not unfit, or None; counts it as sent."""
        return self._choose_except(self._tried_ids.union(unfit))

    def has_alternative(self, target: FleetTarget | None, heard_since: float) -> bool:
        """Return whether another target can be chosen that seems to answer.

        None is taken for a target that has just ended its silence.
        """
        now = self._clock.monotonic()
        if target is not None and target.health.has_just_resumed(now):
            return False
        excluded = self._tried_ids | ({target.target_id} if target else set())
        return self._selector.has_responsive(
            self._build_criteria(excluded), heard_since, now
        )

    def is_overloaded(self) -> bool:
        """Return whether every target that could be chosen exceeds its load bound."""
        return self._selector.is_overloaded(
            self._build_criteria(self._tried_ids), self._clock.monotonic()
        )

    def find_rate_wait(self, before: int) -> float | None:
        """Return the seconds until a request behind others is admitted, or None."""
        return self._selector.find_rate_wait(
            self._build_criteria(self._tried_ids), before, self._clock.monotonic()
        )

    def _choose_except(self, excluded: Collection[str]) -> FleetTarget | None:
        return self._selector.choose(
            self._build_criteria(excluded), self._clock.monotonic()
        )

    def _build_criteria(self, excluded: Collection[str]) -> SelectionCriteria:
        call = self._call
        return SelectionCriteria(
            service=call.service,
            affinity=call.affinity,
            may_repeat=call.route.may_repeat,
            excluded=excluded,
            route=call.route,
        )
