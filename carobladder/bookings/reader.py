"""Task that reads the ``claims`` stream and maintains the ledger."""

import asyncio
from collections.abc import Sequence
from datetime import timedelta
from typing import Protocol

from carobladder.bookings.claims import decode_record
from carobladder.bookings.ledger import ClaimLedger
from carobladder.bookings.writer import CLAIMS_STREAM
from carobladder.clock import Clock
from carobladder.exceptions import LogUnavailableError, OffsetDroppedError
from carobladder.telemetry import log_event

__all__ = ["ClaimReader", "LogBatch", "LogReader", "LogRecord"]

_LONG_POLL_SECONDS = 5.0
_RETRY_DELAY_SECONDS = 0.25


class LogRecord(Protocol):
    """Record of a log stream."""

    @property
    def offset(self) -> int:
        """Return the position of the record in the stream."""

    @property
    def data(self) -> bytes:
        """Return the record as it was appended."""


class LogBatch(Protocol):
    """Records returned by one read."""

    @property
    def records(self) -> Sequence[LogRecord]:
        """Return the records in offset order."""

    @property
    def next_offset(self) -> int:
        """Return the offset at which the next read starts."""


class LogReader(Protocol):
    """Read access to the streams of the platform's log."""

    async def read(self, stream: str, offset: int, wait_seconds: float) -> LogBatch:
        """Return the records from an offset on, waiting for the first of them.

        Waits for at most ``wait_seconds``. Raises LogUnavailableError, or
        OffsetDroppedError if the log no longer retains the offset.
        """


class ClaimReader:
    """Reader of the claims stream and owner of the ledger.

    ``caught_up`` is true once a read has returned no further records.
    """

    def __init__(self, log: LogReader, clock: Clock, window: timedelta) -> None:
        self._log = log
        self._clock = clock
        self._window = window
        self._changed = asyncio.Event()
        self.ledger = ClaimLedger()
        self.caught_up = False

    async def run(self) -> None:
        """Read the stream until cancelled."""
        while True:
            try:
                await self._read_once()
            except OffsetDroppedError as error:
                self.ledger.skip_to(error.oldest_offset)
            except LogUnavailableError as error:
                log_event("claims stream not readable", error=str(error))
                await self._clock.sleep(_RETRY_DELAY_SECONDS)

    async def wait_for_change(self) -> None:
        """Wait until the reader has applied further records."""
        await self._changed.wait()

    async def _read_once(self) -> None:
        wait_seconds = _LONG_POLL_SECONDS if self.caught_up else 0.0
        batch = await self._log.read(
            CLAIMS_STREAM, self.ledger.next_offset, wait_seconds
        )
        for record in batch.records:
            self.ledger.apply(record.offset, decode_record(record.data))
        self.caught_up = self.caught_up or not batch.records
        self._drop_old_claims()
        self._notify_waiters()

    def _drop_old_claims(self) -> None:
        # Twice the window, as keys may be ahead of this instance's clock.
        oldest = self._clock.now() - 2 * self._window
        self.ledger.drop_claimed_before(int(oldest.timestamp() * 1000))

    def _notify_waiters(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
