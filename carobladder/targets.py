"""Targets and request classes as the domain sees them."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["CLASS_PRIORITY", "CLASS_WEIGHT", "RequestClass", "TargetState"]


class RequestClass(StrEnum):
    """Name the kind of work that a request brings."""

    LONG = "long"
    QUICK = "quick"
    SHORT = "short"
    BOOKING = "booking"


# Share of a target's slots that one request in flight stands for, in slots.
CLASS_WEIGHT: dict[RequestClass, int] = {
    RequestClass.LONG: 4,
    RequestClass.QUICK: 2,
    RequestClass.SHORT: 1,
    RequestClass.BOOKING: 1,
}

# Smaller numbers are served first.
CLASS_PRIORITY: dict[RequestClass, int] = {
    RequestClass.BOOKING: 0,
    RequestClass.SHORT: 1,
    RequestClass.QUICK: 2,
    RequestClass.LONG: 3,
}


@dataclass(frozen=True, slots=True)
class TargetState:
    """Describe what an instance knows about one target.

    ``slots`` is the limit of weighted requests in flight when the target is warm.
    """

    target_id: str
    model: str
    version: str
    data_centre: str
    address: str
    boot_id: str = ""
    ready: bool = True
    leaving: bool = False
    cold: bool = False
    slots: int = 32
