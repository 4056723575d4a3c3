"""Submission of changes and resolution of their outcomes."""

import asyncio

from carobladder.clients.log import Log
from carobladder.clock import Clock
from carobladder.exceptions import (
    ChangeUnknownError,
    InvalidResourceError,
    LogUnavailableError,
    NotReadyError,
)
from carobladder.resources import (
    CONFIG_STREAM,
    MAX_PART_BYTES,
    AuditEntry,
    Catalog,
    Change,
    WatchHistory,
    encode_record,
)

__all__ = ["ChangeSubmitter"]

_RESOLVE_SECONDS = 10.0
_RETRY_SECONDS = 0.5


class ChangeSubmitter:
    """Append changes and wait until this instance has decided them."""

    def __init__(
        self,
        log: Log,
        catalog: Catalog,
        history: WatchHistory,
        clock: Clock,
        *,
        resolve_seconds: float = _RESOLVE_SECONDS,
        retry_seconds: float = _RETRY_SECONDS,
    ) -> None:
        self._log = log
        self._catalog = catalog
        self._history = history
        self._clock = clock
        self._resolve_seconds = resolve_seconds
        self._retry_seconds = retry_seconds

    async def submit(self, change: Change) -> AuditEntry:
        """Return how the change was decided.

        Raises NotReadyError if it certainly was not appended, ChangeUnknownError
        if the log stayed unreachable after an append that may have taken effect,
        InvalidResourceError if it is too large or its id belongs to another change.
        """
        record = encode_record(change)
        if len(record) > MAX_PART_BYTES:
            raise InvalidResourceError(
                f"{change.kind}/{change.name} has {len(record)} bytes, more than "
                f"{MAX_PART_BYTES}; declare several resources"
            )
        deadline = self._clock.monotonic() + self._resolve_seconds
        waiter = self._history.subscribe()
        try:
            entry = await self._resolve(change, deadline, waiter)
        finally:
            self._history.unsubscribe(waiter)
        _check_same_change(change, entry)
        return entry

    async def _resolve(
        self, change: Change, deadline: float, waiter: asyncio.Event
    ) -> AuditEntry:
        may_be_appended = self._catalog.find_outcome(change.change_id) is not None
        appended = may_be_appended
        while True:
            if not appended:
                appended, uncertain = await self._try_append(change, may_be_appended)
                may_be_appended |= uncertain
            entry = await self._wait_outcome(change, deadline, waiter, appended)
            if entry is not None:
                return entry
            if self._clock.monotonic() >= deadline:
                raise ChangeUnknownError(
                    f"change {change.change_id} may have been accepted; "
                    "the log does not answer"
                )

    async def _try_append(
        self, change: Change, may_be_appended: bool
    ) -> tuple[bool, bool]:
        """Return whether the record is appended, and whether it may be.

        A lost answer is followed by another append of the same record: the
        change id lets it take effect once, and the first append may come late.
        """
        try:
            await self._log.append(CONFIG_STREAM, [encode_record(change)])
        except LogUnavailableError as error:
            if not error.may_have_taken_effect and not may_be_appended:
                raise NotReadyError(
                    f"change {change.change_id} was not accepted: {error}",
                    retry_after_seconds=self._retry_seconds,
                ) from error
            return False, True
        return True, True

    async def _wait_outcome(
        self, change: Change, deadline: float, waiter: asyncio.Event, appended: bool
    ) -> AuditEntry | None:
        """Wait for the reader; until the next append if none was confirmed."""
        end = deadline
        if not appended:
            end = min(end, self._clock.monotonic() + self._retry_seconds)
        while True:
            waiter.clear()
            entry = self._catalog.find_outcome(change.change_id)
            remaining = end - self._clock.monotonic()
            if entry is not None or remaining <= 0:
                return entry
            await wait_or_sleep(waiter, self._clock, remaining)


async def wait_or_sleep(waiter: asyncio.Event, clock: Clock, seconds: float) -> None:
    """Return when the event is set or the time has passed."""
    tasks = [
        asyncio.ensure_future(waiter.wait()),
        asyncio.ensure_future(clock.sleep(seconds)),
    ]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()


def _check_same_change(change: Change, entry: AuditEntry) -> None:
    decided = (entry.action, entry.kind, entry.name)
    if decided != (change.action, change.kind, change.name):
        raise InvalidResourceError(
            f"change id {change.change_id} belongs to {entry.action} "
            f"{entry.kind}/{entry.name}"
        )
