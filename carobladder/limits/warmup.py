"""Limit of a target that is cold, grown by evidence."""

import math

__all__ = ["DEFAULT_COLD_SLOTS", "Warmup"]

DEFAULT_COLD_SLOTS = 4
GROWTH_FACTOR = 1.25
ERROR_FACTOR = 0.5
SLOW_FACTOR = 2.0
GROWTH_INTERVAL_SECONDS = 1.0
# First-token time of a warm target until one was measured; the service objective.
DEFAULT_FIRST_BYTE_SECONDS = 0.72
_AVERAGE_GAIN = 0.1


class Warmup:
    """Hold the concurrency limit of one target through cold start and warmth."""

    def __init__(
        self, warm_slots: int, cold_slots: int = DEFAULT_COLD_SLOTS, now: float = 0.0
    ) -> None:
        self.warm_slots = warm_slots
        self.cold_slots = min(cold_slots, warm_slots)
        self.boot_id = ""
        self.cold = False
        self.warm_first_byte_seconds = DEFAULT_FIRST_BYTE_SECONDS
        self._limit = float(warm_slots)
        self._start_limit = float(self.cold_slots)
        self._bearable: int | None = None
        self._interval_end = now + GROWTH_INTERVAL_SECONDS
        self._answers = 0
        self._errors = 0
        self._first_byte_total = 0.0

    @property
    def limit(self) -> int:
        """Return the weighted requests that the whole fleet may have in flight."""
        if not self.cold:
            return self.warm_slots
        limit = math.floor(self._limit)
        return limit if self._bearable is None else min(limit, self._bearable)

    def adopt(self, boot_id: str, cold: bool, limit: int) -> None:
        """Continue from what an earlier owner reported of this target."""
        self.boot_id = boot_id
        self.cold = cold
        self._limit = float(limit) if cold else float(self.warm_slots)

    def observe(
        self, boot_id: str, cold: bool, bearable: int | None, now: float
    ) -> None:
        """Take a load report; a new boot id or its own word turns a target cold.

        While the target calls itself cold, the limit stays within what it bears.
        """
        restarted = bool(self.boot_id) and boot_id != self.boot_id
        self.boot_id = boot_id
        self._bearable = bearable if cold else None
        if restarted or (cold and not self.cold):
            self._turn_cold(bearable if cold else None, now)

    def note_answers(
        self, answers: int, errors: int, first_byte_seconds: float
    ) -> None:
        """Count answers and errors; ``first_byte_seconds`` is a sum over answers."""
        self._answers += answers
        self._errors += errors
        self._first_byte_total += first_byte_seconds
        if errors and self.cold:
            self._limit = max(1.0, self._limit * ERROR_FACTOR)

    def tick(self, now: float) -> None:
        """Judge the evidence at the end of each interval."""
        if now < self._interval_end:
            return
        self._interval_end = now + GROWTH_INTERVAL_SECONDS
        if self._answers and not self._errors:
            self._judge(self._first_byte_total / self._answers)
        elif not self._answers and not self._errors:
            self._recover()
        self._answers = 0
        self._errors = 0
        self._first_byte_total = 0.0

    def _recover(self) -> None:
        """Grow back to the first limit of a cold start while nothing runs.

        Errors can halve the limit below the weight of every waiting request; then
        no answer could ever raise it again.
        """
        if self.cold and self._limit < self._start_limit:
            self._limit = min(self._limit * GROWTH_FACTOR, self._start_limit)

    def _judge(self, first_byte_seconds: float) -> None:
        if not self.cold:
            difference = first_byte_seconds - self.warm_first_byte_seconds
            self.warm_first_byte_seconds += _AVERAGE_GAIN * difference
            return
        if first_byte_seconds > SLOW_FACTOR * self.warm_first_byte_seconds:
            return
        # A limit under four slots would not reach the next whole slot by quarters
        # of its floor, so that the fraction is kept.
        self._limit = min(self._limit * GROWTH_FACTOR, float(self.warm_slots))
        if self._limit >= self.warm_slots and self._bearable is None:
            self.cold = False

    def _turn_cold(self, bearable: int | None, now: float) -> None:
        self.cold = True
        start = self.cold_slots if bearable is None else bearable
        self._start_limit = float(min(start, self.warm_slots))
        self._limit = self._start_limit
        self._answers = 0
        self._errors = 0
        self._first_byte_total = 0.0
        self._interval_end = now + GROWTH_INTERVAL_SECONDS
