"""Typed records that targets and operators publish through the store."""

from dataclasses import dataclass

from carobladder.routing import Configuration

__all__ = [
    "ConfigurationRecord",
    "DataCentreRecord",
    "OperatorRecord",
    "RolloutOrder",
    "TargetEntry",
    "UnreadableRecord",
]


@dataclass(frozen=True, slots=True)
class TargetEntry:
    """Registration of one run of a target.

    ``cold_seconds`` is the remaining time of its cold phase at the time of writing.
    ``started_ms`` is the Unix time at which the run started; a restart under the same
    id changes it.
    """

    target_id: str
    service: str
    address: str
    data_centre: str
    version: str
    slots: int
    draining: bool
    cold_seconds: float
    started_ms: int


@dataclass(frozen=True, slots=True)
class ConfigurationRecord:
    """Operator's record of the newest configuration."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class DataCentreRecord:
    """Operator's record that closes a data centre to requests or reopens it."""

    data_centre: str
    emptied: bool


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """Operator's order to move the traffic of a service to targets of a version.

    ``order_id`` is the offset of the order in the order log. A withdrawn order has an
    empty version.
    """

    service: str
    version: str
    duration_seconds: float
    order_id: int
    withdrawn: bool = False


@dataclass(frozen=True, slots=True)
class UnreadableRecord:
    """Record that could not be decoded, with the reason."""

    key: str
    reason: str


OperatorRecord = (
    ConfigurationRecord | DataCentreRecord | RolloutOrder | UnreadableRecord
)
