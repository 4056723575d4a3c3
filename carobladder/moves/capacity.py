"""Capacity that remains while data centres are out of service."""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from carobladder.moves.records import MoveError

__all__ = ["CapacityCheck", "PoolCapacity", "check_remaining_capacity"]


@dataclass(frozen=True, slots=True)
class PoolCapacity:
    """Slots of one pool in one data centre and its peak load.

    Both are in weighted requests in flight.
    """

    pool: str
    data_centre: str
    slots: int
    peak_load: float


@dataclass(frozen=True, slots=True)
class CapacityCheck:
    """Result of checking whether the remaining data centres can serve the load.

    ``shortfalls`` maps each pool with too few slots to the number it lacks.
    """

    shortfalls: Mapping[str, int]

    @property
    def feasible(self) -> bool:
        """Whether every pool has enough slots."""
        return not self.shortfalls


def check_remaining_capacity(
    capacities: Sequence[PoolCapacity],
    leaving: frozenset[str],
    headroom: float = 0.2,
) -> CapacityCheck:
    """Check whether the load fits without the leaving data centres.

    ``headroom`` is the fraction of the remaining slots to keep free for an engine
    failure during the move and for uneven load; raises MoveError outside [0, 1).
    """
    if not 0 <= headroom < 1:
        raise MoveError("headroom must be at least 0 and below 1; use 0.2")
    shortfalls = {}
    for pool in sorted({capacity.pool for capacity in capacities}):
        in_pool = [capacity for capacity in capacities if capacity.pool == pool]
        load = sum(capacity.peak_load for capacity in in_pool)
        slots = sum(c.slots for c in in_pool if c.data_centre not in leaving)
        needed = math.ceil(load / (1 - headroom))
        if needed > slots:
            shortfalls[pool] = needed - slots
    return CapacityCheck(shortfalls)
