"""Events of the duties that one instance performs at a time."""

import logging
from dataclasses import dataclass
from typing import ClassVar

from carobladder.telemetry.events.base import Event

__all__ = [
    "ClockDiffersFromFleet",
    "DutiesReleased",
    "DutiesTaken",
    "DutyCallFailed",
    "DutyStoreFailed",
    "DutyTokenOutdated",
    "TargetsOrdered",
    "UsageCountsLost",
    "UsageReported",
    "UsageWindowGivenUp",
]


@dataclass(frozen=True, slots=True)
class DutiesTaken(Event):
    """This instance is the holder of the duties, and acts after ``waits_seconds``."""

    token: int
    holder_before: str
    waits_seconds: float


@dataclass(frozen=True, slots=True)
class DutiesReleased(Event):
    """This instance is no longer the holder of the duties."""

    token: int
    why: str


@dataclass(frozen=True, slots=True)
class DutyStoreFailed(Event):
    """The records of the duties were not read or written; it is tried again."""

    why: str

    limited: ClassVar[bool] = True
    level: ClassVar[int] = logging.WARNING


@dataclass(frozen=True, slots=True)
class DutyCallFailed(Event):
    """The platform's API did not accept a call; it is repeated while that is safe."""

    duty: str
    subject: str
    token: int
    outcome: str

    limited: ClassVar[bool] = True
    level: ClassVar[int] = logging.WARNING


@dataclass(frozen=True, slots=True)
class DutyTokenOutdated(Event):
    """The platform's API has seen a higher token; this one is not used again."""

    duty: str
    token: int

    level: ClassVar[int] = logging.WARNING


@dataclass(frozen=True, slots=True)
class UsageReported(Event):
    """The platform accepted the counts of a window."""

    window: int
    token: int
    teams: int
    requests: int
    instances: int
    after_end_seconds: float


@dataclass(frozen=True, slots=True)
class UsageWindowGivenUp(Event):
    """Too few instances sent the counts of a window in time; it is not reported."""

    window: int
    instances: int

    level: ClassVar[int] = logging.WARNING


@dataclass(frozen=True, slots=True)
class UsageCountsLost(Event):
    """No holder recorded a window while this instance had its counts."""

    window: int

    level: ClassVar[int] = logging.WARNING


@dataclass(frozen=True, slots=True)
class ClockDiffersFromFleet(Event):
    """The wall clock was stepped before the start; windows follow the fleet's time."""

    difference_seconds: float

    level: ClassVar[int] = logging.WARNING


@dataclass(frozen=True, slots=True)
class TargetsOrdered(Event):
    """The platform accepted another number of targets of a service."""

    service: str
    data_centre: str
    count: int
    count_before: int
    token: int
    load: float
    predicted_load: float
