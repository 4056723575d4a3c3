"""One attempt of a call and what it tells of its target."""

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
    """Hold the answer of one attempt until closed.

    ``on_end`` is called once with it and with whether the answer broke off.
    """

    answer: AnswerStream
    target: FleetTarget
    facts: AnswerMetadata
    sent_at: float
    clock: Clock
    on_end: Callable[["OpenCall", bool], None]
    first_byte_seconds: float | None = None
    _open: bool = field(default=True)

    def note_first_byte(self) -> None:
        """Record how long the target took to its first byte."""
        now = self.clock.monotonic()
        self.first_byte_seconds = now - self.sent_at
        self.target.health.note_first_byte(self.first_byte_seconds, now)

    def close(self, *, failed: bool = False) -> None:
        """Close the answer and take the call off the target; later calls do nothing."""
        self.answer.close()
        if not self._open:
            return
        self._open = False
        health = self.target.health
        health.in_flight -= 1
        self.on_end(self, failed)
        if failed:
            suspect_target(self.target, "its answer broke off", self.clock.monotonic())
        elif self.first_byte_seconds is not None:
            if health.failures:
                emit(TargetTrusted(self.target.target_id, health.failures))
            health.note_answer(self.answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR)


def suspect_target(target: FleetTarget, why: str, now: float) -> None:
    """Leave a target alone for a pause and log the reason."""
    health = target.health
    health.note_failure(now)
    pause_seconds = round(health.paused_until - now, 2)
    emit(TargetSuspected(target.target_id, health.failures, pause_seconds, why))
