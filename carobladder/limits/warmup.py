"""Concurrency limit of a cold target, raised as its answers prove fast."""

import math

__all__ = ["DEFAULT_COLD_SLOTS", "Warmup"]

DEFAULT_COLD_SLOTS = 4
GROWTH_FACTOR = 1.25
ERROR_FACTOR = 0.5
SLOW_FACTOR = 2.0
GROWTH_INTERVAL_SECONDS = 1.0
# First-byte time of a warm target until one is measured; the service objective.
DEFAULT_FIRST_BYTE_SECONDS = 0.72
_MOVING_AVERAGE_GAIN = 0.1


class Warmup:
    """Concurrency limit of one target while it is cold and once it is warm.

    Limits are in slots. A cold target starts at its admissible load or at
    ``cold_slots``. Each interval of fast answers without errors raises the limit by
    ``GROWTH_FACTOR`` up to ``warm_slots``; each error report lowers it.
    """

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
        self._admissible_slots: int | None = None
        self._interval_end = now + GROWTH_INTERVAL_SECONDS
        self._interval_answers = 0
        self._interval_errors = 0
        self._interval_first_byte_seconds = 0.0

    @property
    def limit(self) -> int:
        """Return the slots that the whole fleet may have in flight at the target."""
        if not self.cold:
            return self.warm_slots
        limit = math.floor(self._limit)
        return (
            limit
            if self._admissible_slots is None
            else min(limit, self._admissible_slots)
        )

    def resume(self, boot_id: str, cold: bool, limit: int) -> None:
        """Continue from the state that the previous owner reported."""
        self.boot_id = boot_id
        self.cold = cold
        self._limit = float(limit) if cold else float(self.warm_slots)

    def observe(
        self, boot_id: str, cold: bool, admissible_slots: int | None, now: float
    ) -> None:
        """Apply a load report; ``admissible_slots`` may be None.

        A new boot id, or a report that the target is cold, starts a warm-up. While
        the target reports itself as cold, the limit stays within its admissible load.
        """
        restarted = bool(self.boot_id) and boot_id != self.boot_id
        self.boot_id = boot_id
        self._admissible_slots = admissible_slots if cold else None
        if restarted or (cold and not self.cold):
            self._start_warmup(admissible_slots if cold else None, now)

    def note_answers(
        self, answers: int, errors: int, first_byte_seconds: float
    ) -> None:
        """Count answers and errors; ``first_byte_seconds`` is a sum over answers."""
        self._interval_answers += answers
        self._interval_errors += errors
        self._interval_first_byte_seconds += first_byte_seconds
        if errors and self.cold:
            self._limit = max(1.0, self._limit * ERROR_FACTOR)

    def tick(self, now: float) -> None:
        """Adjust the limit at the end of each interval by the answers within it."""
        if now < self._interval_end:
            return
        self._interval_end = now + GROWTH_INTERVAL_SECONDS
        if self._interval_answers and not self._interval_errors:
            self._evaluate_latency(
                self._interval_first_byte_seconds / self._interval_answers
            )
        elif not self._interval_answers and not self._interval_errors:
            self._restore_start_limit()
        self._interval_answers = 0
        self._interval_errors = 0
        self._interval_first_byte_seconds = 0.0

    def _restore_start_limit(self) -> None:
        """Raise the limit towards its start value after an interval without answers.

        Errors can halve the limit below the weight of every waiting request. Without
        this, no request would run and no answer could raise the limit again.
        """
        if self.cold and self._limit < self._start_limit:
            self._limit = min(self._limit * GROWTH_FACTOR, self._start_limit)

    def _evaluate_latency(self, first_byte_seconds: float) -> None:
        """Raise a cold limit if the mean first-byte time is near that of a warm target.

        For a warm target, update the moving average that serves as the reference.
        """
        if not self.cold:
            difference = first_byte_seconds - self.warm_first_byte_seconds
            self.warm_first_byte_seconds += _MOVING_AVERAGE_GAIN * difference
            return
        if first_byte_seconds > SLOW_FACTOR * self.warm_first_byte_seconds:
            return
        # The fraction is kept: a limit below four slots, rounded down each time, would
        # never reach the next whole slot by growth of a quarter.
        self._limit = min(self._limit * GROWTH_FACTOR, float(self.warm_slots))
        if self._limit >= self.warm_slots and self._admissible_slots is None:
            self.cold = False

    def _start_warmup(self, admissible_slots: int | None, now: float) -> None:
        self.cold = True
        start = self.cold_slots if admissible_slots is None else admissible_slots
        self._start_limit = float(min(start, self.warm_slots))
        self._limit = self._start_limit
        self._interval_answers = 0
        self._interval_errors = 0
        self._interval_first_byte_seconds = 0.0
        self._interval_end = now + GROWTH_INTERVAL_SECONDS
