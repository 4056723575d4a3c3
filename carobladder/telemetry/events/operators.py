"""Events of operators' changes: configuration, data centres and version moves."""

import logging
from dataclasses import dataclass
from typing import ClassVar

from carobladder.telemetry.events.base import Event

__all__ = [
    "ConfigurationIgnored",
    "ConfigurationInForce",
    "DataCentreClosed",
    "DataCentreOpened",
    "MoveEvidenceLost",
    "OperatorRecordUnreadable",
    "VersionFaultFound",
    "VersionMoveOrdered",
    "VersionMoveStepped",
    "VersionStepNotWritten",
]


@dataclass(frozen=True, slots=True)
class ConfigurationInForce(Event):
    """A version of the configuration replaced the one before.

    ``teams`` is None if requests need no key.
    """

    version: int
    before: int | None
    routes: int
    services: int
    teams: int | None
    keys_added: int
    keys_revoked: int


@dataclass(frozen=True, slots=True)
class ConfigurationIgnored(Event):
    """A version that is older than the one in force was not used."""

    version: int
    in_force: int


@dataclass(frozen=True, slots=True)
class DataCentreClosed(Event):
    """The targets of a data centre get no more requests."""

    data_centre: str


@dataclass(frozen=True, slots=True)
class DataCentreOpened(Event):
    """The targets of a data centre may get requests again."""

    data_centre: str


@dataclass(frozen=True, slots=True)
class VersionMoveOrdered(Event):
    """Operators want a service's requests moved to targets of a version, or no more."""

    service: str
    version: str
    seconds: float
    withdrawn: bool


@dataclass(frozen=True, slots=True)
class VersionMoveStepped(Event):
    """A version move stands otherwise than before, for all instances."""

    service: str
    version: str
    state: str
    state_before: str
    share: float
    share_before: float | None
    elapsed_seconds: float
    why: str


@dataclass(frozen=True, slots=True)
class VersionFaultFound(Event):
    """Answers of a new version are worse; this instance sends it nothing more."""

    service: str
    version: str
    share: float
    why: str

    level: ClassVar[int] = logging.WARNING


@dataclass(frozen=True, slots=True)
class VersionStepNotWritten(Event):
    """The next step of version moves was not stored; it is tried again."""

    services: str
    why: str

    limited: ClassVar[bool] = True
    level: ClassVar[int] = logging.WARNING


@dataclass(frozen=True, slots=True)
class MoveEvidenceLost(Event):
    """Evidence of a move was not stored, or another instance's is unreadable."""

    instance: str
    why: str

    limited: ClassVar[bool] = True
    level: ClassVar[int] = logging.WARNING


@dataclass(frozen=True, slots=True)
class OperatorRecordUnreadable(Event):
    """A record of the operator cannot be used; the one before stays in force."""

    key: str
    why: str

    level: ClassVar[int] = logging.WARNING
