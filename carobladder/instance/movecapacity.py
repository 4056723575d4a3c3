"""Capacity of data centres as the driver of a move sees it."""

from collections.abc import Iterable, Sequence

from carobladder.clock import Clock
from carobladder.instance.movetargets import TargetSurvey
from carobladder.moves.datacentres import PoolCapacity, check_remaining_capacity
from carobladder.moves.switches import TargetView
from carobladder.resources import Catalog, DataCentreSpec, TargetSpec
from carobladder.resources.directory import is_out_of_service

__all__ = ["CapacitySurvey"]


class CapacitySurvey:
    """Compare the slots of data centres with the present load."""

    def __init__(self, catalog: Catalog, survey: TargetSurvey, clock: Clock) -> None:
        self._catalog = catalog
        self._survey = survey
        self._clock = clock

    def bears_leave(self, data_centre: str) -> bool:
        """Tell whether the other data centres can bear the present load."""
        now = self._clock.now()
        closed = {
            resource.name
            for resource in self._catalog.list_kind("data-centre")
            if isinstance(resource.spec, DataCentreSpec)
            and is_out_of_service(resource.spec, now)
        }
        capacities = [
            PoolCapacity(spec.pool, spec.data_centre, spec.slots, view.load)
            for view, spec in self._list_serving()
        ]
        return check_remaining_capacity(
            capacities, frozenset({*closed, data_centre})
        ).feasible

    def find_bearable_share(
        self, data_centre: str, ready: Sequence[TargetView]
    ) -> float:
        """Return the part of its usual work that a data centre can bear now.

        The usual work is the present load of each pool, spread over all slots. The
        pool that can bear the least counts.
        """
        slots: dict[str, int] = {}
        load: dict[str, int] = {}
        here: dict[str, int] = {}
        for view, spec in self._list_serving():
            slots[spec.pool] = slots.get(spec.pool, 0) + spec.slots
            load[spec.pool] = load.get(spec.pool, 0) + view.load
            if spec.data_centre == data_centre:
                here[spec.pool] = here.get(spec.pool, 0) + spec.slots
        bearable: dict[str, int] = {}
        for view in ready:
            bearable[view.pool] = bearable.get(view.pool, 0) + view.bearable
        shares = [
            bearable.get(pool, 0) / max(1.0, load[pool] * own / slots[pool])
            for pool, own in here.items()
        ]
        return min(1.0, *shares) if shares else 0.0

    def _list_serving(self) -> Iterable[tuple[TargetView, TargetSpec]]:
        for target in self._survey.list_all():
            spec = target.spec
            if isinstance(spec, TargetSpec) and not spec.leaving:
                yield self._survey.join(target, None), spec
