"""Task that writes claim records to the log in batches."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from carobladder.bookings.claims import ClaimRecord, encode_record
from carobladder.clock import Clock
from carobladder.exceptions import LogUnavailableError
from carobladder.telemetry import log_event

__all__ = ["CLAIMS_STREAM", "ClaimAppender", "ClaimWriter"]

CLAIMS_STREAM = "claims"

_MAX_BATCH_RECORDS = 500
_MAX_PENDING_RECORDS = 10_000
_RETRY_DELAY_SECONDS = 0.5


class ClaimAppender(Protocol):
    """Write access to the streams of the platform's log."""

    async def append(self, stream: str, records: Sequence[bytes]) -> int:
        """Append the records and return the offset of the first one.

        Raises LogUnavailableError.
        """


@dataclass(slots=True)
class _PendingRecord:
    data: bytes
    offset_future: asyncio.Future[int]
    retried: bool


class ClaimWriter:
    """Writer of the claims stream.

    Records that arrive within ``linger_seconds`` share one append, so that the
    instance stays within its part of the log's append rate.
    """

    def __init__(self, log: ClaimAppender, clock: Clock, linger_seconds: float) -> None:
        self._log = log
        self._clock = clock
        self._linger_seconds = linger_seconds
        self._queue: asyncio.Queue[_PendingRecord] = asyncio.Queue(_MAX_PENDING_RECORDS)

    async def append(self, record: ClaimRecord) -> int:
        """Append one record and return its offset.

        Raises LogUnavailableError, whose ``may_have_taken_effect`` says whether the
        record may be in the log.
        """
        pending = self._enqueue(record, retried=False)
        return await pending.offset_future

    def append_in_background(self, record: ClaimRecord) -> None:
        """Append one record in the background, with retries while the log is down.

        Raises LogUnavailableError if too many records wait for the log.
        """
        pending = self._enqueue(record, retried=True)
        pending.offset_future.add_done_callback(_discard_result)

    def _enqueue(self, record: ClaimRecord, retried: bool) -> _PendingRecord:
        future: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        pending = _PendingRecord(encode_record(record), future, retried)
        try:
            self._queue.put_nowait(pending)
        except asyncio.QueueFull:
            raise LogUnavailableError(
                "too many claim records wait for the log; retry later"
            ) from None
        return pending

    async def run(self) -> None:
        """Write batches until cancelled."""
        while True:
            batch = await self._collect_batch()
            await self._write_batch(batch)

    async def flush(self) -> None:
        """Wait until all records queued so far are written or dropped."""
        await self._queue.join()

    async def _collect_batch(self) -> list[_PendingRecord]:
        batch = [await self._queue.get()]
        if self._linger_seconds:
            await self._clock.sleep(self._linger_seconds)
        while not self._queue.empty() and len(batch) < _MAX_BATCH_RECORDS:
            batch.append(self._queue.get_nowait())
        return batch

    async def _write_batch(self, batch: list[_PendingRecord]) -> None:
        try:
            first = await self._log.append(CLAIMS_STREAM, [item.data for item in batch])
        except LogUnavailableError as error:
            await self._handle_failure(batch, error)
            return
        for offset, item in enumerate(batch, start=first):
            _set_outcome(item, offset)
            self._queue.task_done()

    async def _handle_failure(
        self, batch: list[_PendingRecord], error: LogUnavailableError
    ) -> None:
        """Fail the records that a caller waits for and queue the others again.

        The others are completions and withdrawals. These may be appended twice, as
        the ledger ignores the second one.
        """
        log_event("claim append failed", records=len(batch), error=str(error))
        for item in batch:
            if not item.retried:
                _set_outcome(item, error)
        to_retry = [item for item in batch if item.retried]
        if to_retry:
            await self._clock.sleep(_RETRY_DELAY_SECONDS)
        for item in to_retry:
            if not self._queue.full():
                self._queue.put_nowait(item)
        for _ in batch:
            self._queue.task_done()


def _set_outcome(item: _PendingRecord, result: int | LogUnavailableError) -> None:
    if item.offset_future.done():
        return
    if isinstance(result, LogUnavailableError):
        item.offset_future.set_exception(result)
    else:
        item.offset_future.set_result(result)


def _discard_result(future: asyncio.Future[int]) -> None:
    if not future.cancelled():
        future.exception()
