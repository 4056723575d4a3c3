"""Open responses and their effect on the recorded health of a target."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from http import HTTPStatus

from carobladder.clients.answers import AnswerStream
from carobladder.clock import Clock
from carobladder.fleet import AnswerMetadata, FleetTarget
from carobladder.forwarding.outcomes import SendOutcome
from carobladder.telemetry import TargetSuspected, TargetTrusted, emit

__all__ = ["AnswerProgress", "OpenCall", "suspect_target", "trust_target"]


# Gaps between the first events of a stream from which its pace is known.
_PACE_GAPS = 4
# A stream that has sent events for this long is not what ends its target.
_SOUND_SECONDS = 1.0


# Statuses that state that the request has not run and never will.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class AnswerProgress(StrEnum):
    """How much of the answer to an attempt has come from the target."""

    WAITING = "waiting"
    BEGUN = "begun"
    STREAMING = "streaming"


@dataclass(slots=True)
class OpenCall:
    """Response of one attempt, whose body may still be arriving.

    ``on_begun`` is called once the target is known to have begun to run the request: at
    the first byte of the answer to a plain call, or at the first event of a stream.
    ``sent_at`` and ``last_byte_at``, the time of the last byte that was noted, are in
    monotonic seconds. So is ``begun_at``, the time of the first byte of a response that
    was read before it was known whether it is used; 0 if it was not.
    """

    answer: AnswerStream
    target: FleetTarget
    facts: AnswerMetadata
    sent_at: float
    clock: Clock
    outcome: SendOutcome
    on_begun: Callable[[], None] = lambda: None
    first_byte_seconds: float | None = None
    begun_at: float = 0.0
    _is_open: bool = field(default=True)
    last_byte_at: float = field(default=0.0)
    _event_count: int = field(default=0)
    _first_event_at: float = field(default=0.0)

    def note_first_byte(self) -> None:
        """Record the time that the target took to send its first byte."""
        now = self.clock.monotonic()
        self.last_byte_at = now
        if self.first_byte_seconds is None and self._has_begun():
            self.on_begun()
        self.first_byte_seconds = (self.begun_at or now) - self.sent_at
        self.target.health.note_first_byte(self.first_byte_seconds, now)
        if not self.facts.not_run:
            self.outcome.note_first_byte(
                self.first_byte_seconds, failed=self._is_server_error()
            )

    def note_event(self) -> None:
        """Record that an event of the response arrived."""
        now = self.clock.monotonic()
        self.last_byte_at = now
        self.target.health.note_byte(now)
        self._event_count += 1
        if self._event_count == 1:
            self._first_event_at = now
        elif self._event_count == 1 + _PACE_GAPS:
            self.outcome.note_pace((now - self._first_event_at) / _PACE_GAPS)

    def has_gone_on(self) -> bool:
        """Return whether the stream has sent several events over some time."""
        if self._event_count <= _PACE_GAPS:
            return False
        return self.clock.monotonic() - self._first_event_at >= _SOUND_SECONDS

    def close(self, *, failed: bool = False) -> None:
        """Close the response and update the target's health; do nothing if closed."""
        self.answer.close()
        if not self._is_open:
            return
        self._is_open = False
        health = self.target.health
        health.in_flight -= 1
        self._record_end(failed)
        if failed:
            suspect_target(self.target, "its answer broke off", self.clock.monotonic())
        elif self.first_byte_seconds is not None:
            trust_target(self.target)
            health.note_answer(self._is_server_error())

    def abandon(self) -> None:
        """Close a response that lost to another one; it tells nothing of its target."""
        self.answer.close()
        if self._is_open:
            self._is_open = False
            self.target.health.in_flight -= 1

    def _record_end(self, failed: bool) -> None:
        seconds = self.clock.monotonic() - self.sent_at
        if self.facts.not_run:
            return
        if failed:
            self.outcome.note_break(seconds)
        elif self.first_byte_seconds is None:
            self.outcome.note_silence(seconds)

    def _has_begun(self) -> bool:
        """Return whether the answer shows that its target ran the request.

        An answer of a streaming route that is no stream has no event.
        """
        if self.facts.not_run or self.answer.status in _NOT_RUN_STATUSES:
            return False
        is_streaming = self.outcome.route.is_streaming
        return not is_streaming or self.answer.status == HTTPStatus.OK

    def _is_server_error(self) -> bool:
        return self.answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR


def suspect_target(target: FleetTarget, reason: str, now: float) -> None:
    """Exclude a target from selection for a pause and log the reason."""
    health = target.health
    health.note_failure(now)
    pause_seconds = round(health.paused_until - now, 2)
    emit(TargetSuspected(target.target_id, health.failures, pause_seconds, reason))


def trust_target(target: FleetTarget) -> None:
    """End the suspicion of a target that has answered and log it, if there is one."""
    if target.health.failures:
        emit(TargetTrusted(target.target_id, target.health.failures))
        target.health.end_suspicion()
