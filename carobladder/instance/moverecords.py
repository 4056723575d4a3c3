"""Appends of a driver's records, each under an id that makes it take effect once."""

from collections.abc import Callable

from carobladder.clients.log import Log
from carobladder.clock import Clock
from carobladder.exceptions import LogUnavailableError
from carobladder.resources import (
    CONFIG_STREAM,
    Catalog,
    ConfigRecord,
    encode_record,
)
from carobladder.telemetry import log_event

__all__ = ["RecordAppender"]


class RecordAppender:
    """Append records to the ``config`` stream and remember which are under way."""

    def __init__(
        self,
        catalog: Catalog,
        log: Log,
        clock: Clock,
        resend_seconds: float,
        refused_seconds: float,
    ) -> None:
        self._catalog = catalog
        self._log = log
        self._clock = clock
        self._resend_seconds = resend_seconds
        self._refused_seconds = refused_seconds
        self._appended: dict[str, float] = {}
        self._attempts: dict[str, int] = {}

    async def append_once(
        self, change_id: str, make: Callable[[str], ConfigRecord]
    ) -> None:
        """Append a record unless its outcome is known or its append is recent."""
        attempt = self._attempts.get(change_id, 0)
        numbered = f"{change_id}:{attempt}" if attempt else change_id
        outcome = self._catalog.find_outcome(numbered)
        now = self._clock.monotonic()
        sent = self._appended.get(numbered)
        if outcome is not None:
            # A refusal may depend on other resources, so it is tried again later.
            if not outcome.accepted and now - (sent or 0) > self._refused_seconds:
                log_event("move_record_refused", change=numbered, error=outcome.reason)
                self._attempts[change_id] = attempt + 1
            return
        if sent is not None and now - sent < self._resend_seconds:
            return
        self._appended[numbered] = now
        await self.append(make(numbered))

    async def append(self, record: ConfigRecord) -> None:
        """Append a record; a failure is logged, since its turn comes again."""
        try:
            await self._log.append(CONFIG_STREAM, [encode_record(record)])
        except LogUnavailableError as error:
            log_event("move_append_failed", error=error)

    def forget_old(self) -> None:
        """Drop the times of appends that no rule looks at any more."""
        oldest = self._clock.monotonic() - 10 * self._refused_seconds
        for change_id in [c for c, at in self._appended.items() if at < oldest]:
            del self._appended[change_id]
