"""Events of a target's registration and estimated health."""

import logging
from dataclasses import dataclass
from typing import ClassVar

from carobladder.telemetry.events.base import Event

__all__ = [
    "PartQuarantined",
    "PartReleased",
    "PartTried",
    "QuarantineNotStored",
    "TargetAboveLoadBound",
    "TargetChanged",
    "TargetChecked",
    "TargetCrashed",
    "TargetDoubted",
    "TargetEntryUnreadable",
    "TargetGone",
    "TargetLeaving",
    "TargetLimited",
    "TargetPaused",
    "TargetRemovalDeferred",
    "TargetSeen",
    "TargetSuspected",
    "TargetTrusted",
    "TargetUnlimited",
]


@dataclass(frozen=True, slots=True)
class TargetSeen(Event):
    """A target, or a new run of it, registered."""

    target: str
    service: str
    address: str
    data_centre: str
    version: str
    draining: bool
    cold_seconds: float


@dataclass(frozen=True, slots=True)
class TargetChanged(Event):
    """A target changed its entry; fields that end in _before held until now."""

    target: str
    service: str
    draining: bool
    draining_before: bool
    cold_seconds: float
    cold_seconds_before: float


@dataclass(frozen=True, slots=True)
class TargetGone(Event):
    """A target gets no more requests because its entry is away."""

    target: str
    why: str


@dataclass(frozen=True, slots=True)
class TargetLeaving(Event):
    """A target said in an answer that it leaves; this run gets no more requests."""

    target: str
    request_id: str


@dataclass(frozen=True, slots=True)
class TargetLimited(Event):
    """A target named a limit of requests a second for all instances together.

    ``source`` is the id of the request whose answer names it, or "peer".
    """

    target: str
    source: str
    per_second: float

    limited: ClassVar[bool] = True


@dataclass(frozen=True, slots=True)
class TargetUnlimited(Event):
    """A target that had named a limit answered without one.

    ``source`` is the id of the request with this answer, or "peer".
    """

    target: str
    source: str

    limited: ClassVar[bool] = True


@dataclass(frozen=True, slots=True)
class TargetPaused(Event):
    """A target refused a request and asked for a pause; it gets none meanwhile."""

    target: str
    request_id: str
    pause_seconds: float

    limited: ClassVar[bool] = True


@dataclass(frozen=True, slots=True)
class TargetRemovalDeferred(Event):
    """The entry of a target is away, which may be due to an outage of the store.

    The target gets requests for ``seconds`` more unless its entry stays away.
    """

    target: str
    seconds: float


@dataclass(frozen=True, slots=True)
class TargetEntryUnreadable(Event):
    """An entry names no target to use; ``known`` tells whether one was in use."""

    target: str
    known: bool
    why: str

    level: ClassVar[int] = logging.WARNING


@dataclass(frozen=True, slots=True)
class TargetAboveLoadBound(Event):
    """A target answered with a load above the bound that was not expected.

    ``expected`` and ``stated`` are the other requests at the target when this one was
    sent, by the instance's estimate, and when the answer began; ``bound`` is the
    estimate of the load that the operators allow.
    """

    target: str
    request_id: str
    expected: float | None
    stated: int
    bound: float

    limited: ClassVar[bool] = True


@dataclass(frozen=True, slots=True)
class TargetSuspected(Event):
    """A target failed and is left alone for a pause."""

    target: str
    failures: int
    pause_seconds: float
    why: str


@dataclass(frozen=True, slots=True)
class TargetDoubted(Event):
    """An instance warned of a silent target, which is left alone for a time."""

    target: str
    seconds: float

    limited: ClassVar[bool] = True


@dataclass(frozen=True, slots=True)
class TargetTrusted(Event):
    """A target that was suspected has answered."""

    target: str
    failures_before: int


@dataclass(frozen=True, slots=True)
class TargetChecked(Event):
    """A connection to a suspected target was tried after its pause."""

    target: str
    reachable: bool

    limited: ClassVar[bool] = True


@dataclass(frozen=True, slots=True)
class TargetCrashed(Event):
    """A target ended while it answered requests.

    ``begun`` is the number of different parts in the prompts of requests whose answer
    had begun without an event, ``others`` that of the other requests which had not gone
    on for a while.
    """

    target: str
    begun: int
    others: int


@dataclass(frozen=True, slots=True)
class PartQuarantined(Event):
    """A part of prompts crashes targets; requests with it are refused.

    ``times`` counts the quarantines in a row; ``seconds`` is the time until one request
    is tried.
    """

    level: ClassVar[int] = logging.WARNING

    part: str
    times: int
    seconds: float


@dataclass(frozen=True, slots=True)
class PartTried(Event):
    """One request with a part in quarantine is sent, to see if it still crashes."""

    part: str


@dataclass(frozen=True, slots=True)
class PartReleased(Event):
    """Requests with a part that was in quarantine are sent again.

    A target has served one, or nobody has sent one for long.
    """

    part: str


@dataclass(frozen=True, slots=True)
class QuarantineNotStored(Event):
    """A record of the quarantine could not be written and is tried again."""

    part: str
    why: str
