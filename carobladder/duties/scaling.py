"""Orders of numbers of targets of a service in each data centre."""

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

from carobladder.duties.demand import Demand, DemandModel
from carobladder.routing import ServiceScaling

__all__ = ["ScaleOrder", "ScalingPlanner", "ServiceView"]

# Part of the slots that the demand may occupy. The KV cache of an engine can be full
# with 40 of 64 slots (0.625) taken by the longest prompts.
_UTILIZATION = 0.6
# Time after an order in which its targets must have registered, beyond the boot time.
_REGISTRATION_SECONDS = 5.0
_REFUSED_SECONDS = 30.0
# Loads of a new holder come from the gossip, which tells most of them in this time.
_FIRST_SAMPLES_SECONDS = 4.0
# Targets are stopped slowly, since the prompts of each are read again by others.
_DOWN_INTERVAL_SECONDS = 20.0
_MAX_DOWN_PART = 0.1
# Without a margin, the noise of the load caused an order every 20 s (simulation).
_DOWN_MARGIN = 1.15
# Bounds the orders of all data centres of a service together.
_MAX_ORDERS_PER_MINUTE = 12
_MINUTE_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class ServiceView:
    """Targets of a service as the holder knows them.

    ``registered`` are the numbers of targets that take requests, by data centre, and
    ``emptied`` the data centres that get none. ``load`` is the number of requests in
    flight, and ``slots`` those of one target. ``is_moving`` is true during a move to
    another version.
    """

    scaling: ServiceScaling
    registered: Mapping[str, int]
    emptied: frozenset[str]
    load: float
    slots: float
    is_moving: bool = False


@dataclass(frozen=True, slots=True)
class ScaleOrder:
    """Order of a number of targets in a data centre."""

    data_centre: str
    count: int
    count_before: int
    demand: Demand


@dataclass(slots=True)
class _Ordered:
    """Number that is ordered, and the time until which its targets may be booting."""

    count: int
    settles_at: float = float("-inf")


class ScalingPlanner:
    """Planner of the orders of one service; ``now`` is in seconds of boot time.

    It plans nothing before it has some samples. Orders name absolute numbers, so one
    that repeats the order of a former holder, whose targets are booting, is harmless.
    """

    def __init__(self) -> None:
        self._model = DemandModel()
        self._ordered: dict[str, _Ordered] = {}
        self._orders: deque[float] = deque()
        self._last_down_at = float("-inf")

    def note(self, view: ServiceView, now: float) -> None:
        """Record the load of the service and the data centres that have targets."""
        if view.load or view.registered:
            self._model.note(view.load, now)
        for centre, count in view.registered.items():
            ordered = self._ordered.setdefault(centre, _Ordered(count))
            # A former order is fulfilled, or other targets have come or gone.
            if now >= ordered.settles_at:
                ordered.count = count

    def plan(self, view: ServiceView, now: float) -> ScaleOrder | None:
        """Return the next order, or None."""
        scaling = view.scaling
        if not self._model.covers(_FIRST_SAMPLES_SECONDS):
            return None
        if view.slots <= 0 or not self._may_order(now):
            return None
        demand = self._model.predict(scaling.boot_seconds)
        return self._plan_increase(view, demand, now) or self._plan_decrease(
            view, demand, now
        )

    def note_accepted(self, order: ScaleOrder, view: ServiceView, now: float) -> None:
        """Record that the platform accepted an order."""
        settles_at = now + view.scaling.boot_seconds + _REGISTRATION_SECONDS
        self._ordered[order.data_centre] = _Ordered(order.count, settles_at)
        self._orders.append(now)
        if order.count < order.count_before:
            self._last_down_at = now

    def note_failed(self, order: ScaleOrder, now: float, *, is_refused: bool) -> None:
        """Record an order that was not accepted; a refused one waits for a while."""
        self._orders.append(now)
        if is_refused:
            settles_at = now + _REFUSED_SECONDS
            self._ordered[order.data_centre] = _Ordered(order.count_before, settles_at)

    def _may_order(self, now: float) -> bool:
        while self._orders and self._orders[0] <= now - _MINUTE_SECONDS:
            self._orders.popleft()
        return len(self._orders) < _MAX_ORDERS_PER_MINUTE

    def _list_open(self, view: ServiceView) -> dict[str, int]:
        """Return the ordered numbers of the data centres that get requests.

        One without any target is lost, and what is ordered there may never come.
        """
        return {
            centre: ordered.count
            for centre, ordered in sorted(self._ordered.items())
            if centre not in view.emptied and view.registered.get(centre)
        }

    def _plan_increase(
        self, view: ServiceView, demand: Demand, now: float
    ) -> ScaleOrder | None:
        """Return an order of more targets, first where the fewest are."""
        counts = self._list_open(view)
        wanted = {
            centre: max(count, view.scaling.min_count)
            for centre, count in counts.items()
        }
        needed = _count_targets(demand.predicted, view.slots)
        while sum(wanted.values()) < needed:
            centre = min(wanted, key=lambda name: wanted[name], default=None)
            if centre is None or wanted[centre] >= view.scaling.max_count:
                break
            wanted[centre] += 1
        for centre, count in wanted.items():
            is_settled = now >= self._ordered[centre].settles_at
            if count > counts[centre] and is_settled:
                return ScaleOrder(centre, count, counts[centre], demand)
        return None

    def _plan_decrease(
        self, view: ServiceView, demand: Demand, now: float
    ) -> ScaleOrder | None:
        """Return an order of a few targets less where the most are.

        A move needs targets of both versions, and an emptied data centre may be opened
        again or others may be emptied in turn, so nothing is stopped meanwhile.
        """
        if view.is_moving or view.emptied or not self._model.has_whole_memory:
            return None
        if now < self._last_down_at + _DOWN_INTERVAL_SECONDS:
            return None
        counts = self._list_open(view)
        if any(now < self._ordered[centre].settles_at for centre in counts):
            return None
        needed = _count_targets(demand.lasting * _DOWN_MARGIN, view.slots)
        surplus = sum(counts.values()) - needed
        centre = max(counts, key=lambda name: counts[name], default=None)
        if centre is None or surplus <= 0:
            return None
        count = counts[centre]
        step = min(surplus, max(1, math.floor(count * _MAX_DOWN_PART)))
        step = min(step, count - view.scaling.min_count)
        return ScaleOrder(centre, count - step, count, demand) if step > 0 else None


def _count_targets(demand: float, slots: float) -> int:
    """Return the number of targets that a demand occupies to the set utilization."""
    return math.ceil(demand / (slots * _UTILIZATION))
