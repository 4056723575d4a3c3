"""Open responses and their effect on the recorded health of a target."""

from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

from carobladder.clients.http import AnswerStream
from carobladder.clock import Clock
from carobladder.fleet import AnswerMetadata, FleetTarget
from carobladder.telemetry import TargetSuspected, TargetTrusted, emit

__all__ = ["OpenCall", "suspect_target"]


@dataclass(slots=True)
class OpenCall:
    """Response of one attempt, whose body may still be arriving.

    ``on_close`` is called once, with this object and whether the response ended
    prematurely. ``sent_at`` is in monotonic seconds.
    """

    answer: AnswerStream
    target: FleetTarget
    facts: AnswerMetadata
    sent_at: float
    clock: Clock
    on_close: Callable[["OpenCall", bool], None]
    first_byte_seconds: float | None = None
    _is_open: bool = field(default=True)

    def note_first_byte(self) -> None:
        """Record the time that the target took to send its first byte."""
        now = self.clock.monotonic()
        self.first_byte_seconds = now - self.sent_at
        self.target.health.note_first_byte(self.first_byte_seconds, now)

    def close(self, *, failed: bool = False) -> None:
        """Close the response and update the target's health; do nothing if closed."""
        self.answer.close()
        if not self._is_open:
            return
        self._is_open = False
        health = self.target.health
        health.in_flight -= 1
        self.on_close(self, failed)
        if failed:
            suspect_target(self.target, "its answer broke off", self.clock.monotonic())
        elif self.first_byte_seconds is not None:
            if health.failures:
                emit(TargetTrusted(self.target.target_id, health.failures))
            health.note_answer(self.answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR)


def suspect_target(target: FleetTarget, reason: str, now: float) -> None:
    """Exclude a target from selection for a pause and log the reason."""
    health = target.health
    health.note_failure(now)
    pause_seconds = round(health.paused_until - now, 2)
    emit(TargetSuspected(target.target_id, health.failures, pause_seconds, reason))
