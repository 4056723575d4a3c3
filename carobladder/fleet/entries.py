"""What targets and operators state through the store, as typed records."""

from dataclasses import dataclass

from carobladder.routing import Configuration

__all__ = [
    "ConfigurationStated",
    "DataCentreEmptied",
    "OperatorRecord",
    "RecordUnreadable",
    "RolloutOrdered",
    "TargetEntry",
]


@dataclass(frozen=True, slots=True)
class TargetEntry:
    """Describe one run of a target as it registered itself.

    ``cold_seconds`` is how long it stays cold, counted from when it was stated.
    ``born_ms`` is the Unix time of its start; a restart under the same id changes it.
    """

    target_id: str
    service: str
    address: str
    data_centre: str
    version: str
    slots: int
    draining: bool
    cold_seconds: float
    born_ms: int


@dataclass(frozen=True, slots=True)
class ConfigurationStated:
    """State the newest configuration."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class DataCentreEmptied:
    """State whether a data centre must receive no requests."""

    data_centre: str
    emptied: bool


@dataclass(frozen=True, slots=True)
class RolloutOrdered:
    """Order the traffic of a service to be moved to targets of a version.

    ``order_id`` is the place of the order in the log of orders. A withdrawn order has
    no version.
    """

    service: str
    version: str
    duration_seconds: float
    order_id: int
    withdrawn: bool = False


@dataclass(frozen=True, slots=True)
class RecordUnreadable:
    """Name a record that cannot be used and say why."""

    key: str
    reason: str


OperatorRecord = (
    ConfigurationStated | DataCentreEmptied | RolloutOrdered | RecordUnreadable
)
