"""Capacity of data centres, computed for the driver of a move."""

from collections.abc import Iterable, Sequence

from carobladder.clock import Clock
from carobladder.instance.movetargets import TargetReader
from carobladder.moves.capacity import PoolCapacity, check_remaining_capacity
from carobladder.moves.switches import TargetView
from carobladder.resources import Catalog, DataCentreSpec, TargetSpec
from carobladder.resources.directory import is_out_of_service

__all__ = ["CapacityEstimator"]


class CapacityEstimator:
    """Estimator that compares the slots of data centres with the current load."""

    def __init__(
        self, catalog: Catalog, target_reader: TargetReader, clock: Clock
    ) -> None:
        self._catalog = catalog
        self._target_reader = target_reader
        self._clock = clock

    def can_leave(self, data_centre: str) -> bool:
        """Return whether the other data centres have capacity for the current load."""
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

    def find_admissible_share(
        self, data_centre: str, ready: Sequence[TargetView]
    ) -> float:
        """Return the fraction of its regular load that a data centre can serve now.

        The regular load is the current load of each pool, divided evenly over all
        slots. The result is the minimum over the pools.
        """
        slots: dict[str, int] = {}
        load: dict[str, int] = {}
        own_slots: dict[str, int] = {}
        for view, spec in self._list_serving():
            slots[spec.pool] = slots.get(spec.pool, 0) + spec.slots
            load[spec.pool] = load.get(spec.pool, 0) + view.load
            if spec.data_centre == data_centre:
                own_slots[spec.pool] = own_slots.get(spec.pool, 0) + spec.slots
        admissible: dict[str, int] = {}
        for view in ready:
            admissible[view.pool] = admissible.get(view.pool, 0) + view.bearable
        shares = [
            admissible.get(pool, 0) / max(1.0, load[pool] * count / slots[pool])
            for pool, count in own_slots.items()
        ]
        return min(1.0, *shares) if shares else 0.0

    def _list_serving(self) -> Iterable[tuple[TargetView, TargetSpec]]:
        for target in self._target_reader.list_all():
            spec = target.spec
            if isinstance(spec, TargetSpec) and not spec.leaving:
                yield self._target_reader.make_view(target, None), spec
