"""Watches of accepted changes and of the time when they are in force."""

import asyncio
from bisect import bisect_right
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Any

import msgspec

from carobladder.exceptions import MalformedRequestError, WatchExpiredError
from carobladder.resources.catalog import AuditEntry, Catalog
from carobladder.resources.models import (
    DataCentreMoveSpec,
    Resource,
    Spec,
    VersionMoveSpec,
)
from carobladder.resources.records import ABSENT

__all__ = [
    "HISTORY_EVENTS",
    "ChangeEvent",
    "Cursor",
    "EventType",
    "Frontier",
    "Watch",
    "WatchEvent",
    "WatchHistory",
    "describe_change",
]

# Changes that an instance keeps for watches that resume.
HISTORY_EVENTS = 4096


class EventType(StrEnum):
    """Name what a watch tells about a change."""

    ACCEPTED = "accepted"
    IN_FORCE = "in_force"


@dataclass(frozen=True, slots=True)
class Cursor:
    """Mark how far a watch is: all events up to both offsets were delivered.

    Two offsets are needed because different instances may deliver later accepted
    events before or after an earlier in-force event.
    """

    accepted: int
    in_force: int

    @classmethod
    def parse(cls, text: str) -> "Cursor":
        """Return the cursor of "REVISION" or "ACCEPTED:IN_FORCE".

        Raises MalformedRequestError.
        """
        first, separator, second = text.partition(":")
        try:
            return cls(int(first), int(second if separator else first))
        except ValueError:
            raise MalformedRequestError(
                f"cursor {text!r} is neither a revision nor a cursor of an event"
            ) from None

    def __str__(self) -> str:
        return f"{self.accepted}:{self.in_force}"


@dataclass(frozen=True, slots=True)
class ChangeEvent:
    """Describe an accepted change; ``spec`` is None after a delete.

    A step of a move has the progress of the move as ``spec``, and the resource
    that the step changed as ``effect_kind``, ``effect_name``, ``effect_spec``.
    """

    revision: int
    change_id: str
    who: str
    at: float
    action: str
    kind: str
    name: str
    spec: dict[str, Any] | None = None
    effect_kind: str = ""
    effect_name: str = ""
    effect_spec: dict[str, Any] | None = None


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """Carry one event of a watch and the cursor to resume after it."""

    type: EventType
    change: ChangeEvent
    cursor: Cursor


EventFilter = Callable[[ChangeEvent], bool]


class Frontier:
    """Track up to which offset the configuration is in force everywhere."""

    def __init__(self) -> None:
        self._offset = ABSENT
        self._applied: dict[str, int] = {}

    @property
    def offset(self) -> int:
        """Return the greatest offset that all listed instances had applied."""
        return self._offset

    def update(self, applied: Mapping[str, int]) -> bool:
        """Take the applied offset of each listed instance; tell if any differs.

        An instance that has not reported yet is listed with ABSENT.
        """
        changed = dict(applied) != self._applied
        self._applied = dict(applied)
        if applied:
            self._offset = max(self._offset, min(applied.values()))
        return changed

    def waiting_for(self, offset: int) -> tuple[str, ...]:
        """Return the listed instances that have not applied the offset."""
        if offset <= self._offset:
            return ()
        return tuple(
            sorted(name for name, known in self._applied.items() if known < offset)
        )


def _get_revision(event: ChangeEvent) -> int:
    return event.revision


class WatchHistory:
    """Keep the newest changes of an instance and wake its watches."""

    def __init__(self, limit: int = HISTORY_EVENTS) -> None:
        self._limit = limit
        self._events: list[ChangeEvent] = []
        self._start = ABSENT
        self._applied = ABSENT
        self._frontier = Frontier()
        self._waiters: set[asyncio.Event] = set()
        self._log_up = True

    @property
    def log_up(self) -> bool:
        """Tell whether the log answers; changes and moves hold while it does not."""
        return self._log_up

    def note_log(self, up: bool) -> None:
        """Take whether the log answers this instance."""
        if up != self._log_up:
            self._log_up = up
            self._wake()

    @property
    def applied(self) -> int:
        """Return the offset up to which changes are known."""
        return self._applied

    @property
    def in_force(self) -> int:
        """Return the in-force offset, never beyond what is applied here."""
        return min(self._frontier.offset, self._applied)

    def restart(self, offset: int) -> None:
        """Forget the history: changes up to the offset came from a snapshot."""
        self._events.clear()
        self._start = offset
        self._applied = offset
        self._wake()

    def advance(self, offset: int, event: ChangeEvent | None) -> None:
        """Add the outcome of the next offset; None if it changed nothing."""
        if offset <= self._applied:
            return
        self._applied = offset
        if event is not None:
            self._events.append(event)
        if len(self._events) > self._limit:
            self._start = self._events.pop(0).revision
        self._wake()

    def update_instances(self, applied: Mapping[str, int]) -> None:
        """Take the applied offset of each listed instance."""
        if self._frontier.update(applied):
            self._wake()

    def waiting_for(self, offset: int) -> tuple[str, ...]:
        """Return the instances that keep an offset from being in force."""
        return self._frontier.waiting_for(offset)

    def open(self, cursor: Cursor, accept: EventFilter | None = None) -> "Watch":
        """Return a watch of what follows the cursor.

        Raises WatchExpiredError if the history does not reach back that far.
        """
        self.check(cursor)
        return Watch(self, cursor, accept)

    def check(self, cursor: Cursor) -> None:
        """Raise WatchExpiredError if events after the cursor were forgotten."""
        oldest = min(cursor.accepted, cursor.in_force)
        if oldest < self._start:
            raise WatchExpiredError(
                f"revision {oldest} is older than the kept history "
                f"that follows revision {self._start}"
            )

    def between(self, after: int, through: int) -> list[ChangeEvent]:
        """Return the changes with after < revision <= through, in order."""
        first = bisect_right(self._events, after, key=_get_revision)
        last = bisect_right(self._events, through, key=_get_revision)
        return self._events[first:last]

    def subscribe(self) -> asyncio.Event:
        """Return an event that is set whenever a watch may have news."""
        waiter = asyncio.Event()
        self._waiters.add(waiter)
        return waiter

    def unsubscribe(self, waiter: asyncio.Event) -> None:
        """Stop setting an event."""
        self._waiters.discard(waiter)

    def _wake(self) -> None:
        for waiter in self._waiters:
            waiter.set()


class Watch:
    """Deliver each event after a cursor once, in order."""

    def __init__(
        self, history: WatchHistory, cursor: Cursor, accept: EventFilter | None
    ) -> None:
        self._history = history
        self._cursor = cursor
        self._accept = accept or (lambda event: True)

    @property
    def cursor(self) -> Cursor:
        """Return the cursor to resume after the delivered events."""
        return self._cursor

    def poll(self) -> list[WatchEvent]:
        """Return the events since the last call.

        Raises WatchExpiredError if this watch was too slow.
        """
        self._history.check(self._cursor)
        return [*self._poll_accepted(), *self._poll_in_force()]

    def waiting_for(self) -> tuple[str, ...]:
        """Return the instances that delay the next in-force event."""
        pending = self._history.between(self._cursor.in_force, self._cursor.accepted)
        for event in pending:
            if self._accept(event):
                return self._history.waiting_for(event.revision)
        return ()

    def _poll_accepted(self) -> list[WatchEvent]:
        through = self._history.applied
        found = []
        for event in self._history.between(self._cursor.accepted, through):
            self._cursor = Cursor(event.revision, self._cursor.in_force)
            if self._accept(event):
                found.append(WatchEvent(EventType.ACCEPTED, event, self._cursor))
        newest = max(self._cursor.accepted, through)
        self._cursor = Cursor(newest, self._cursor.in_force)
        return found

    def _poll_in_force(self) -> list[WatchEvent]:
        through = min(self._history.in_force, self._cursor.accepted)
        found = []
        for event in self._history.between(self._cursor.in_force, through):
            self._cursor = Cursor(self._cursor.accepted, event.revision)
            if self._accept(event):
                found.append(WatchEvent(EventType.IN_FORCE, event, self._cursor))
        newest = max(self._cursor.in_force, through)
        self._cursor = Cursor(self._cursor.accepted, newest)
        return found


def describe_change(catalog: Catalog, entry: AuditEntry) -> ChangeEvent:
    """Return the event of a change that the catalog has just accepted."""
    event = ChangeEvent(
        revision=entry.offset,
        change_id=entry.change_id,
        who=entry.who,
        at=entry.at,
        action=entry.action,
        kind=entry.kind,
        name=entry.name,
    )
    resource = catalog.get(entry.kind, entry.name)
    if resource is None:
        return event
    if resource.revision == entry.offset:
        return replace(event, spec=resource.spec.to_plain())
    return _add_step(catalog, event, resource.spec)


def _add_step(catalog: Catalog, event: ChangeEvent, move: Spec) -> ChangeEvent:
    """Add the progress of a move and the resource that the step changed."""
    progress = catalog.get_progress(event.kind, event.name)
    event = replace(event, spec=msgspec.to_builtins(progress))
    effect = _find_effect(catalog, move)
    if effect is None or effect.revision != event.revision:
        return event
    return replace(
        event,
        effect_kind=effect.kind,
        effect_name=effect.name,
        effect_spec=effect.spec.to_plain(),
    )


def _find_effect(catalog: Catalog, move: Spec) -> Resource | None:
    if isinstance(move, VersionMoveSpec):
        return catalog.get("model", move.model)
    if isinstance(move, DataCentreMoveSpec):
        return catalog.get("data-centre", move.data_centre)
    return None
