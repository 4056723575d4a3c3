"""Events of an instance's life cycle, settings, store reads and partition share."""

import logging
from dataclasses import dataclass
from typing import ClassVar

from carobladder.telemetry.events.base import Event

__all__ = [
    "Draining",
    "FenceClosed",
    "FenceOpened",
    "InstanceNotAnnounced",
    "InstanceStarted",
    "InstanceStopped",
    "ListenerClosed",
    "PeerRunRejected",
    "RecordNotApplied",
    "SettingsNotReloaded",
    "SettingsReloaded",
    "ShareChanged",
    "ShareNotRenewed",
    "StoreEraChanged",
    "StoreHistoryDropped",
    "StoreKeysSettled",
    "StoreLost",
    "StoreReadRepeated",
    "StoreRegained",
    "TopicAdvanced",
]


@dataclass(frozen=True, slots=True)
class InstanceStarted(Event):
    """The instance listens; it is not ready before it has read the store.

    ``start_seconds`` is the time since the start of the process.
    """

    listen: str
    data_centre: str
    defaulted_settings: str
    start_seconds: float


@dataclass(frozen=True, slots=True)
class Draining(Event):
    """An end signal arrived; callers are sent elsewhere.

    ``limit_seconds`` is the time until the last response is sent.
    """

    notice_seconds: float
    limit_seconds: float


@dataclass(frozen=True, slots=True)
class InstanceStopped(Event):
    """The instance ends; ``finished`` tells whether all answers were completed."""

    finished: bool


@dataclass(frozen=True, slots=True)
class ListenerClosed(Event):
    """The instance accepts no more connections of callers.

    ``accepted`` is the number of connections that waited in the accept queue then.
    """

    accepted: int


@dataclass(frozen=True, slots=True)
class InstanceNotAnnounced(Event):
    """Others do not learn this instance's address yet; loads are not exchanged."""

    why: str

    limited: ClassVar[bool] = True


@dataclass(frozen=True, slots=True)
class SettingsReloaded(Event):
    """The settings file was read again; some settings wait for a restart."""

    changed: str
    after_restart: str


@dataclass(frozen=True, slots=True)
class SettingsNotReloaded(Event):
    """The settings file is wrong; the settings before stay in force."""

    why: str

    level: ClassVar[int] = logging.WARNING


@dataclass(frozen=True, slots=True)
class StoreLost(Event):
    """A read of a topic failed; what is known ages from now on."""

    topic: str
    age_seconds: float
    why: str

    level: ClassVar[int] = logging.WARNING


@dataclass(frozen=True, slots=True)
class StoreReadRepeated(Event):
    """A read that was due had no answer and is made a second time at once."""

    topic: str
    why: str

    limited: ClassVar[bool] = True


@dataclass(frozen=True, slots=True)
class StoreRegained(Event):
    """A topic can be read again, by this instance or by another one that said so.

    The store served nobody, as far as known, for ``away_seconds`` before.
    """

    topic: str
    away_seconds: float
    source: str


@dataclass(frozen=True, slots=True)
class TopicAdvanced(Event):
    """Records of a topic were applied; the oldest is at most ``age_seconds`` old.

    ``source`` is "store" for an own read and "peer" for what another instance sent.
    ``era`` is that of the store, and ``passed_over`` the number of the records that
    were not applied, since newer ones of their keys were known. ``superseded`` is the
    number of those that were left out, since later ones of them replace them.
    """

    topic: str
    source: str
    next_offset: int
    records: int
    age_seconds: float
    era: int | None = None
    passed_over: int = 0
    superseded: int = 0


@dataclass(frozen=True, slots=True)
class PeerRunRejected(Event):
    """Records of another instance were dropped, as a long value cannot be restored.

    ``first`` is the offset from which on they are asked for again or read.
    """

    first: int
    why: str

    level: ClassVar[int] = logging.WARNING


@dataclass(frozen=True, slots=True)
class RecordNotApplied(Event):
    """A record of a topic caused an error and is passed over; a defect to report."""

    topic: str
    key: str
    why: str

    level: ClassVar[int] = logging.ERROR


@dataclass(frozen=True, slots=True)
class StoreHistoryDropped(Event):
    """The store dropped records that were not read; all keys are read anew."""

    topic: str
    oldest_offset: int


@dataclass(frozen=True, slots=True)
class StoreEraChanged(Event):
    """The store was restored from a copy, so offsets of a topic count from it anew.

    ``next_offset`` is the end that was known before.
    """

    topic: str
    era: int
    era_before: int
    next_offset: int | None

    level: ClassVar[int] = logging.WARNING


@dataclass(frozen=True, slots=True)
class StoreKeysSettled(Event):
    """What a restored store has of a topic is in force, written again or not.

    ``changes`` is the number of keys that were not written again.
    """

    topic: str
    changes: int


@dataclass(frozen=True, slots=True)
class FenceClosed(Event):
    """The store was not read for too long; requests with a key are refused."""

    age_seconds: float

    level: ClassVar[int] = logging.WARNING


@dataclass(frozen=True, slots=True)
class FenceOpened(Event):
    """The store was read again; requests with a key are accepted."""

    closed_seconds: float


@dataclass(frozen=True, slots=True)
class ShareChanged(Event):
    """The store gave this instance another part of the fleet's sums."""

    held: int
    held_before: int
    total: int
    generation: int


@dataclass(frozen=True, slots=True)
class ShareNotRenewed(Event):
    """The membership was not renewed; the part held last stays in use."""

    held: int
    why: str

    limited: ClassVar[bool] = True
