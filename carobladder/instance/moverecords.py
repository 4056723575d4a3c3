"""Idempotent appends of a driver's records to the log."""

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
    """Appender to the ``config`` stream that tracks pending and refused records.

    Appending a record again is safe, because a change id takes effect at most once.
    Intervals are in seconds.
    """

    def __init__(
        self,
        catalog: Catalog,
        log: Log,
        clock: Clock,
        resend_seconds: float,
        refusal_retry_seconds: float,
    ) -> None:
        self._catalog = catalog
        self._log = log
        self._clock = clock
        self._resend_seconds = resend_seconds
        self._refusal_retry_seconds = refusal_retry_seconds
        self._append_times: dict[str, float] = {}
        self._attempts: dict[str, int] = {}

    async def append_once(
        self, change_id: str, make_record: Callable[[str], ConfigRecord]
    ) -> None:
        """Append a record unless its outcome is known or its last append is recent."""
        attempt = self._attempts.get(change_id, 0)
        attempt_id = f"{change_id}:{attempt}" if attempt else change_id
        outcome = self._catalog.find_outcome(attempt_id)
        now = self._clock.monotonic()
        sent = self._append_times.get(attempt_id)
        if outcome is not None:
            # A refusal may be due to other resources, so the change is retried later
            # under a new id.
            if not outcome.accepted and now - (sent or 0) > self._refusal_retry_seconds:
                log_event(
                    "move_record_refused", change=attempt_id, error=outcome.reason
                )
                self._attempts[change_id] = attempt + 1
            return
        if sent is not None and now - sent < self._resend_seconds:
            return
        self._append_times[attempt_id] = now
        await self.append(make_record(attempt_id))

    async def append(self, record: ConfigRecord) -> None:
        """Append a record; logs a failure, since the driver retries later."""
        try:
            await self._log.append(CONFIG_STREAM, [encode_record(record)])
        except LogUnavailableError as error:
            log_event("move_append_failed", error=error)

    def prune(self) -> None:
        """Remove the times of appends that are too old to delay another append."""
        oldest = self._clock.monotonic() - 10 * self._refusal_retry_seconds
        for change_id in [c for c, at in self._append_times.items() if at < oldest]:
            del self._append_times[change_id]
