"""Mark in the platform's store of the newest era whose lost writes are back."""

import asyncio
import random
from functools import partial

from carobladder.clock import Clock
from carobladder.eras.monitor import EraMonitor
from carobladder.eras.ownedrecords import OwnedRecord, RecordSpec
from carobladder.fleet import KeyedRecord

__all__ = ["ERA_MARK", "EraMarkKeeper"]

# Its owners write it at once.
ERA_MARK = RecordSpec("settled-era", ring_key=0, retry_seconds=1.0)
# The others write it after this time in seconds unless they have read it before.
_OTHERS_DELAY_SECONDS = (15.0, 25.0)


class EraMarkKeeper:
    """Tells an instance that starts whether the era of the store is settled.

    Without the mark it can't tell a store that has just come back from a copy from one
    that lost nothing. A copy has the mark of an earlier era at most.
    """

    def __init__(
        self,
        eras: EraMonitor,
        record: OwnedRecord,
        clock: Clock,
        generator: random.Random,
    ) -> None:
        self._eras = eras
        self._record = record
        self._clock = clock
        self._generator = generator
        self._stored_era: int | None = None
        self._wake_up = asyncio.Event()
        eras.add_settled_listener(self._wake_up.set)

    def apply_record(self, record: KeyedRecord) -> bool:
        """Apply a record of the store; return whether it is the mark."""
        if record.key != self._record.key:
            return False
        text = (record.value or b"").decode("ascii", "replace")
        if text.isdecimal():
            self._stored_era = int(text)
            self._eras.note_settled(self._stored_era)
        return True

    async def run(self) -> None:
        """Write the mark of each era that is settled until cancelled."""
        while True:
            await self._wake_up.wait()
            self._wake_up.clear()
            if not self._record.is_own:
                delay_seconds = self._generator.uniform(*_OTHERS_DELAY_SECONDS)
                await self._clock.sleep(delay_seconds)
            era = self._eras.settled_era
            if era is not None:
                await self._record.write(str(era).encode(), partial(self._lacks, era))

    def _lacks(self, era: int) -> bool:
        """Return whether the store is in this era and has no mark of it."""
        is_stored = self._stored_era is not None and self._stored_era >= era
        return era == self._eras.era and not is_stored
