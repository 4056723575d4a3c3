"""Proofs of how far the records of a topic are known."""

import asyncio

from carobladder.eras.monitor import EraMonitor
from carobladder.fleet import Freshness

__all__ = ["TopicProofs"]


class TopicProofs:
    """What own reads and other instances prove of the records of a topic.

    ``freshness`` tells up to which time all records are known, and ``progress`` up to
    which time the store was read. A store that was restored may lack records, so with
    ``needs_settled_era`` a read is a proof only if the era of its answer was known to
    be settled as the read was sent.
    """

    def __init__(self, eras: EraMonitor, needs_settled_era: bool) -> None:
        self.freshness = Freshness()
        self.progress = Freshness()
        self._eras = eras
        self._needs_settled_era = needs_settled_era
        self._first = asyncio.Event()

    async def wait_for_first(self) -> None:
        """Wait until all records up to some time were known for the first time."""
        await self._first.wait()

    def is_due(self, era: int | None) -> bool:
        """Return whether earlier reads were no proof, and one from now on is."""
        unproved = self.freshness.synced_at < self.progress.synced_at
        return unproved and self.is_settled(era)

    def is_settled(self, era: int | None) -> bool:
        """Return whether a read that is sent now, answered in this era, is a proof."""
        return not self._needs_settled_era or self._eras.is_settled(era)

    def note_read(self, at: float, era: int | None, settled_era: int | None) -> None:
        """Record an own read; ``settled_era`` was known to be settled before it."""
        self.progress.note_read(at)
        was_settled = settled_era is not None and era is not None and settled_era >= era
        if was_settled or era is None or not self._needs_settled_era:
            self.note_proof(at)

    def note_proof(self, at: float) -> None:
        """Record that all records up to a time are known."""
        self.progress.note_read(at)
        self.freshness.note_read(at)
        self._first.set()

    def settle(self, era: int | None) -> None:
        """Count the reads so far as proofs, as all that was lost is written again."""
        if not self._needs_settled_era:
            return
        self.note_proof(self.progress.synced_at)
        if era is not None:
            self._eras.note_settled(era)
