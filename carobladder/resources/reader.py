"""Task that keeps the catalog up to date with the log."""

import random
import uuid
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

from carobladder.clients.log import Batch, Log
from carobladder.clock import Clock
from carobladder.exceptions import (
    CarobladderError,
    LogUnavailableError,
    OffsetDroppedError,
    SnapshotError,
)
from carobladder.resources.catalog import Catalog
from carobladder.resources.records import (
    CONFIG_STREAM,
    Change,
    ConfigRecord,
    MoveStep,
    SnapshotPart,
    decode_record,
    encode_record,
)
from carobladder.resources.scan import Scan
from carobladder.resources.snapshots import (
    SnapshotCollector,
    join_snapshot,
    split_snapshot,
)
from carobladder.resources.watches import WatchHistory, describe_change
from carobladder.telemetry import log_event

__all__ = ["ConfigReader", "PeerSnapshot", "ReaderOptions"]

# Asks peers for the encoded snapshot parts of their configuration; empty if none.
PeerSnapshot = Callable[[], Awaitable[Sequence[bytes]]]


@dataclass(frozen=True, slots=True)
class ReaderOptions:
    """Set the reader's intervals, in seconds unless named otherwise.

    ``snapshot_seconds`` must be well below the log's retention: it leaves the
    rest of the retention for outages in which no snapshot can be appended.
    """

    poll_seconds: float = 10.0
    retry_seconds: float = 0.25
    longest_retry_seconds: float = 2.0
    snapshot_seconds: float = 900.0
    snapshot_records: int = 2000
    # Both spread the instances' snapshots, so that usually only one appends.
    snapshot_spread: float = 0.25
    snapshot_hold_seconds: float = 10.0


class ConfigReader:
    """Read the ``config`` stream and apply it to the catalog."""

    def __init__(
        self,
        log: Log,
        catalog: Catalog,
        history: WatchHistory,
        clock: Clock,
        *,
        peer_snapshot: PeerSnapshot | None = None,
        options: ReaderOptions | None = None,
        seed: int | None = None,
    ) -> None:
        self._log = log
        self._catalog = catalog
        self._history = history
        self._clock = clock
        self._peer_snapshot = peer_snapshot
        self._options = options or ReaderOptions()
        self._random = random.Random(seed)
        self._collector = SnapshotCollector()
        self._snapshot_through = -1
        self._snapshot_at: float | None = None
        self._delay_factor = self._draw_delay_factor()
        self._hold_until: float | None = None
        self._retry_seconds = self._options.retry_seconds
        self.read_at: float | None = None

    @property
    def catalog(self) -> Catalog:
        """Return the catalog that this reader keeps up to date."""
        return self._catalog

    def set_peer_snapshot(self, peer_snapshot: PeerSnapshot) -> None:
        """Set how peers are asked for their configuration."""
        self._peer_snapshot = peer_snapshot

    async def run(self) -> None:
        """Read until cancelled; survive outages and dropped offsets."""
        while True:
            try:
                await self.step()
                self._retry_seconds = self._options.retry_seconds
            except CarobladderError as error:
                log_event("config_read_failed", error=error)
                await self._load_from_peer()
                await self._back_off()

    async def step(self) -> None:
        """Apply the next records, or find a snapshot if there is a gap.

        Raises LogUnavailableError, RecordVersionError or SnapshotError.
        """
        try:
            if self._catalog.loaded:
                await self._follow()
            else:
                await self._scan_from(0)
        except OffsetDroppedError as dropped:
            log_event("config_offset_dropped", oldest_offset=dropped.oldest_offset)
            await self._recover(dropped.oldest_offset)

    def encode_snapshot(self) -> list[bytes]:
        """Return the encoded parts of the present configuration, for a peer."""
        if not self._catalog.loaded:
            return []
        return [encode_record(part) for part in self._split()]

    def load_snapshot(self, records: Sequence[bytes]) -> bool:
        """Load encoded parts; return false if they are not newer.

        Raises SnapshotError or RecordVersionError.
        """
        decoded = [decode_record(record) for record in records]
        parts = [part for part in decoded if isinstance(part, SnapshotPart)]
        return self._load_parts(parts)

    async def _follow(self) -> None:
        batch = await self._log.read(
            CONFIG_STREAM, self._catalog.applied_offset + 1, self._options.poll_seconds
        )
        for record in batch.records:
            self._apply(record.offset, decode_record(record.data))
        self.read_at = self._clock.monotonic()
        if batch.next_offset == self._catalog.applied_offset + 1:
            await self._append_due_snapshot(batch)

    async def _recover(self, oldest_offset: int) -> None:
        """Scan again whenever retention overtakes the scan."""
        while True:
            try:
                return await self._scan_from(oldest_offset)
            except OffsetDroppedError as dropped:
                oldest_offset = dropped.oldest_offset

    async def _scan_from(self, start: int) -> None:
        """Read to the end of the log, then load what it holds.

        Raises SnapshotError if records are missing that no snapshot summarises.
        """
        scan = Scan(start)
        while True:
            batch = await self._log.read(CONFIG_STREAM, scan.next_offset, 0.0)
            for record in batch.records:
                scan.add(record.offset, decode_record(record.data))
            if not batch.records:
                break
        if scan.snapshot:
            self._load_parts(scan.snapshot)
        if scan.first_kept > self._catalog.applied_offset + 1:
            raise SnapshotError(
                f"log holds no snapshot for the records before {scan.first_kept}; "
                "start an instance that has the configuration"
            )
        for offset, item in scan.records:
            self._apply(offset, item)
        self._catalog.mark_loaded()

    def _load_parts(self, parts: Sequence[SnapshotPart]) -> bool:
        state = join_snapshot(parts)
        if not self._catalog.load(state):
            return False
        self._history.restart(state.applied_offset)
        log_event("config_snapshot_loaded", offset=state.applied_offset)
        return True

    def _apply(self, offset: int, record: ConfigRecord | None) -> None:
        if offset <= self._catalog.applied_offset:
            return
        entry = self._catalog.apply(offset, record)
        if isinstance(record, SnapshotPart):
            # Only a snapshot in the log postpones the next one; one from a peer
            # does not protect the records against retention.
            whole = self._collector.add(record)
            if whole:
                self._note_snapshot(whole[0])
        elif self._snapshot_at is None and isinstance(record, Change | MoveStep):
            self._snapshot_at = record.at
        event = None
        if entry is not None and entry.changed:
            event = describe_change(self._catalog, entry)
        self._history.advance(offset, event)

    def _note_snapshot(self, part: SnapshotPart) -> None:
        if part.through_offset <= self._snapshot_through:
            return
        self._snapshot_through = part.through_offset
        self._snapshot_at = part.at
        self._delay_factor = self._draw_delay_factor()

    async def _append_due_snapshot(self, batch: Batch) -> None:
        if not self._is_snapshot_due(batch):
            self._hold_until = None
            return
        if self._is_held():
            return
        try:
            for part in self._split():
                await self._log.append(CONFIG_STREAM, [encode_record(part)])
        except LogUnavailableError as error:
            # The next read backs off if the log is down.
            log_event("config_snapshot_failed", error=error)

    def _is_held(self) -> bool:
        """Tell whether another instance is still given time to append first."""
        now = self._clock.monotonic()
        if self._hold_until is None:
            hold_seconds = self._random.random() * self._options.snapshot_hold_seconds
            self._hold_until = now + hold_seconds
        return now < self._hold_until

    def _is_snapshot_due(self, batch: Batch) -> bool:
        applied = self._catalog.applied_offset
        if applied < 0:
            return False
        if batch.oldest_offset > self._snapshot_through + 1:
            return True
        count = applied - self._snapshot_through
        if count >= self._options.snapshot_records * self._delay_factor:
            return True
        if self._snapshot_at is None:
            return False
        age_seconds = self._clock.now().timestamp() - self._snapshot_at
        return age_seconds >= self._options.snapshot_seconds * self._delay_factor

    def _split(self) -> list[SnapshotPart]:
        return split_snapshot(
            self._catalog.state, uuid.uuid4().hex, self._clock.now().timestamp()
        )

    def _draw_delay_factor(self) -> float:
        return 1 + self._random.random() * self._options.snapshot_spread

    async def _load_from_peer(self) -> None:
        if self._catalog.loaded or self._peer_snapshot is None:
            return
        try:
            records = await self._peer_snapshot()
            if records:
                self.load_snapshot(records)
        except CarobladderError as error:
            log_event("peer_snapshot_failed", error=error)

    async def _back_off(self) -> None:
        # Half of the time is random, so that instances do not retry in step.
        share = 0.5 + self._random.random() / 2
        await self._clock.sleep(self._retry_seconds * share)
        longest = self._options.longest_retry_seconds
        self._retry_seconds = min(2 * self._retry_seconds, longest)
