"""Sharing and storing of the quarantine of prompt parts."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Iterable

from carobladder.clock import Clock
from carobladder.eras import EraMonitor, is_owner
from carobladder.exceptions import LogUnavailableError
from carobladder.fleet import KeyedRecord, PeerDirectory, TopicWriter
from carobladder.quarantine import HoldReport, PartQuarantine, QuarantineNews
from carobladder.telemetry import QuarantineNotStored, emit

__all__ = ["QuarantineKeeper", "QuarantineSharing"]

# Answers that break off together are reported together.
_REPORT_DELAY_SECONDS = 0.01
_KEY_PREFIX = "quarantine/"
_RETRY_DELAY_SECONDS = 1.0
# Ended quarantines whose records a copy of the store may still have.
_MAX_ENDED = 64


class QuarantineSharing:
    """News about the quarantine from this instance to others, and from them."""

    def __init__(self, quarantine: PartQuarantine, clock: Clock) -> None:
        self._quarantine = quarantine
        self._clock = clock
        self._spread: Callable[[QuarantineNews], None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        quarantine.on_news = self._schedule

    def set_sender(self, spread: Callable[[QuarantineNews], None]) -> None:
        """Set the function that sends news to other instances."""
        self._spread = spread

    def take(self, news: QuarantineNews) -> None:
        """Apply the news of another instance and pass on what is new."""
        self._quarantine.take(news, self._clock.boottime())

    def take_holds(self, holds: Iterable[HoldReport]) -> None:
        """Apply the quarantines in the periodic message of another instance."""
        self._quarantine.take_holds(holds, self._clock.boottime())

    def collect_holds(self) -> list[HoldReport]:
        """Return the quarantines for the periodic messages."""
        return self._quarantine.collect_holds(self._clock.boottime())

    def stop(self) -> None:
        """Send nothing more."""
        self._spread = None
        if self._timer is not None:
            self._timer.cancel()

    def _schedule(self) -> None:
        if self._timer is None and self._spread is not None:
            self._timer = asyncio.get_running_loop().call_later(
                _REPORT_DELAY_SECONDS, self._report
            )

    def _report(self) -> None:
        self._timer = None
        news = self._quarantine.collect_news(self._clock.boottime())
        if news is not None and self._spread is not None:
            self._spread(news)
            self._schedule()


class QuarantineKeeper:
    """Records of the quarantine in the platform's store, which outlive all instances.

    A record contains no time, since clocks of instances may differ: a part is held
    after a start as if its newest trial had just failed.
    """

    def __init__(
        self,
        quarantine: PartQuarantine,
        topic: TopicWriter,
        peers: PeerDirectory,
        clock: Clock,
        eras: EraMonitor | None = None,
    ) -> None:
        (eras or EraMonitor()).add_listener(self._handle_restored_store)
        self._quarantine = quarantine
        self._topic = topic
        self._peers = peers
        self._clock = clock
        self._changed: set[int] = set()
        # Levels in the records of the store.
        self._stored: dict[int, int] = {}
        self._ended: OrderedDict[int, None] = OrderedDict()
        # Parts whose records are not known since the store was restored.
        self._doubted: set[int] = set()
        self._wake_up = asyncio.Event()
        quarantine.on_change = self._note_change

    def apply_record(self, record: KeyedRecord) -> bool:
        """Apply a record of the store; return whether it is one of the quarantine."""
        if not record.key.startswith(_KEY_PREFIX):
            return False
        part = _parse_number(record.key.removeprefix(_KEY_PREFIX), 16)
        if part is None:
            return True
        level = _parse_number((record.value or b"").decode("utf-8", "replace"), 10)
        self._note_stored(part, level)
        if level is None:
            self._quarantine.forget(part)
        else:
            self._quarantine.restore(part, level, self._clock.boottime())
        return True

    async def run(self) -> None:
        """Write the changes of the quarantine until cancelled."""
        while True:
            await self._wake_up.wait()
            self._wake_up.clear()
            while self._changed:
                await self._write(self._changed.pop())

    def _handle_restored_store(self) -> None:
        """Write all records and their ends again, as the store may have lost some."""
        parts = {*self._stored, *self._ended, *self._quarantine.list_held()}
        self._stored.clear()
        self._doubted |= parts
        self._changed |= parts
        self._wake_up.set()

    def _note_stored(self, part: int, level: int | None) -> None:
        self._doubted.discard(part)
        if level is not None:
            self._stored[part] = level
            self._ended.pop(part, None)
            return
        self._stored.pop(part, None)
        self._ended[part] = None
        if len(self._ended) > _MAX_ENDED:
            self._ended.popitem(last=False)

    def _note_change(self, part: int) -> None:
        self._changed.add(part)
        self._wake_up.set()

    async def _write(self, part: int) -> None:
        level = self._quarantine.find_level(part)
        is_known = part not in self._doubted and level == self._stored.get(part)
        if is_known or not is_owner(self._peers, part << 32):
            return
        value = b"" if level is None else str(level).encode()
        try:
            await self._topic.write(f"{_KEY_PREFIX}{part:08x}", value)
            self._note_stored(part, level)
        except LogUnavailableError as error:
            emit(QuarantineNotStored(f"{part:08x}", str(error)))
            self._note_change(part)
            await self._clock.sleep(_RETRY_DELAY_SECONDS)


def _parse_number(text: str, base: int) -> int | None:
    try:
        return int(text, base)
    except ValueError:
        return None
