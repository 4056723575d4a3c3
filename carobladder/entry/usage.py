"""Usage counts of this instance, sent to the holder of the duties."""

import random

from carobladder.clock import Clock
from carobladder.duties import FleetTime, UsageCounter
from carobladder.entry.dutysharing import DutySharing
from carobladder.fleet import DutyNotice, UsageReceipt, UsageReport
from carobladder.telemetry import ClockDiffersFromFleet, UsageCountsLost, emit

__all__ = ["UsageReporter"]

_MS_PER_SECOND = 1000
# Spreads the reports of a large fleet, so that the holder does not get all at once.
_SPREAD_SECONDS = 0.3
_REPEAT_SECONDS = 0.4
# A receipt that took longer says too little about the time.
_MAX_ROUND_TRIP_SECONDS = 0.15
_FLUSH_SECONDS = 0.6
_FLUSH_POLL_SECONDS = 0.05


class UsageReporter:
    """Sender of the counts of finished windows, until the holder acknowledges them.

    ``run`` tells the runs of this instance apart, whose counts are added.
    """

    def __init__(
        self,
        counter: UsageCounter,
        time: FleetTime,
        sharing: DutySharing,
        instance: str,
        run: int,
        clock: Clock,
        generator: random.Random,
    ) -> None:
        self._counter = counter
        self._time = time
        self._sharing = sharing
        self._instance = instance
        self._run = run
        self._clock = clock
        self._generator = generator
        self._token = -1
        self._next_at: dict[int, float] = {}
        self._sent: dict[int, dict[str, int]] = {}
        self._acknowledged: dict[int, dict[str, int]] = {}
        self._last_sent_at = float("-inf")
        counter.on_lost = lambda window: emit(UsageCountsLost(window))

    def take_notice(self, notice: DutyNotice) -> None:
        """Drop the counts that are recorded; send the others to a new holder."""
        self._counter.note_recorded(notice.recorded)
        if notice.token != self._token:
            self._token = notice.token
            self._acknowledged.clear()
            self._next_at.clear()

    def take_receipt(self, receipt: UsageReceipt) -> None:
        """Apply the holder's receipt."""
        if receipt.run != self._run or receipt.duty.token != self._token:
            return
        for window in receipt.windows:
            if window in self._sent:
                self._acknowledged[window] = self._sent[window]
        round_trip = self._clock.boottime() - self._last_sent_at
        if receipt.time_ms and round_trip <= _MAX_ROUND_TRIP_SECONDS:
            difference = receipt.time_ms / _MS_PER_SECOND - self._time.now()
            corrected = self._time.correct(difference)
            if corrected:
                emit(ClockDiffersFromFleet(round(corrected, 3)))

    def probe(self) -> None:
        """Ask the holder for a sign of life."""
        self._send({})

    def send_due(self, *, include_current: bool = False) -> bool:
        """Send the counts that are due; return whether all are acknowledged."""
        now = self._clock.boottime()
        finished = self._counter.list_finished(include_current=include_current)
        self._forget_others(finished)
        pending = {
            window: counts
            for window, counts in finished.items()
            if self._acknowledged.get(window) != counts
        }
        for window, counts in pending.items():
            delay = self._generator.uniform(0.0, _SPREAD_SECONDS)
            if include_current:
                delay = 0.0
            if now >= self._next_at.setdefault(window, now + delay):
                self._next_at[window] = now + _REPEAT_SECONDS
                self._sent[window] = dict(counts)
                self._send({window: counts})
        return not pending

    async def flush(self) -> None:
        """Send all counts before the end, also those of the current window."""
        deadline = self._clock.boottime() + _FLUSH_SECONDS
        self._next_at.clear()
        while self._find_holder() and not self.send_due(include_current=True):
            if self._clock.boottime() >= deadline:
                return
            await self._clock.sleep(_FLUSH_POLL_SECONDS)

    def _find_holder(self) -> str:
        """Return the name of another instance that is holder, or an empty string."""
        notice = self._sharing.notice
        if notice is None or notice.holder == self._instance:
            return ""
        return notice.holder

    def _send(self, windows: dict[int, dict[str, int]]) -> None:
        holder = self._find_holder()
        if not holder:
            return
        self._last_sent_at = self._clock.boottime()
        time_ms = round(self._time.now() * _MS_PER_SECOND)
        self._sharing.send(UsageReport(self._run, time_ms, windows), holder)

    def _forget_others(self, windows: dict[int, dict[str, int]]) -> None:
        for known in (self._next_at, self._sent, self._acknowledged):
            for window in [window for window in known if window not in windows]:
                del known[window]
