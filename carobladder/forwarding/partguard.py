"""Quarantine of prompt parts as it applies to one call."""

from http import HTTPStatus

from carobladder.clock import Clock
from carobladder.exceptions import (
    AnswerOverdueError,
    ConnectionBrokenError,
    TargetError,
)
from carobladder.fleet import FleetTarget
from carobladder.forwarding.attempts import AnswerProgress, OpenCall
from carobladder.forwarding.crashwatch import CrashWatch
from carobladder.forwarding.sends import ForwardedCall
from carobladder.quarantine import QuarantineDecision, compute_part_tags

__all__ = ["PartGuard"]


class PartGuard:
    """Checks of a call's prompt parts, and what the call tells about them."""

    def __init__(self, call: ForwardedCall, crashes: CrashWatch, clock: Clock) -> None:
        self._crashes = crashes
        self._clock = clock
        # The last part of a prompt is its own, so other requests cannot have it.
        self._part_ids = tuple(part.part_id for part in call.facts.prompt[:-1])
        self._tags = compute_part_tags(call.service.name, self._part_ids)
        self._decision = QuarantineDecision()
        # Target that may have ended because it began to answer this call.
        self._ended_target: FleetTarget | None = None
        self._has_gone_on = False

    def find_held(self) -> tuple[str, float] | None:
        """Return a part in quarantine and the seconds until it may be tried, or None.

        The call may be sent if there is none; it is a trial if there was one.
        """
        if not self._tags or self._is_trial_allowed():
            return None
        self._decision = self._crashes.decide(self._tags)
        index = self._decision.held_index
        if index is None:
            return None
        return self._part_ids[index], self._decision.retry_seconds

    def may_write(self) -> bool:
        """Return whether the call may still be sent, now that it can be written."""
        return not self._crashes.is_held(self._tags) or self._is_trial_allowed()

    def may_repeat(self) -> bool:
        """Return whether a repeat is unlikely to crash another target."""
        if self._ended_target is None:
            return True
        if self._decision.is_trial:
            return False
        return self._crashes.may_repeat(self._tags, self._ended_target)

    def may_copy(self, target: FleetTarget) -> bool:
        """Return whether the call may run at a second target beside this one.

        A trial runs at one target, and a suspected part could end both of them.
        """
        if self._decision.is_trial or not self.may_write():
            return False
        return self._crashes.may_repeat(self._tags, target)

    def note_whole_answer(self, opened: OpenCall) -> None:
        """Record that the caller got the whole answer of a target."""
        if not self._tags or opened.answer.status >= HTTPStatus.MULTIPLE_CHOICES:
            return
        if opened.answer.ends_with_connection:
            self._crashes.note_unframed(opened.target, self._tags)
        else:
            self._crashes.note_sound(self._tags)

    def note_event(self, opened: OpenCall) -> None:
        """Record an event of a stream; one that goes on clears the parts."""
        if not self._has_gone_on and opened.has_gone_on():
            self._has_gone_on = True
            self._crashes.note_sound(self._tags)

    def note_failure(
        self, target: FleetTarget, error: TargetError, progress: AnswerProgress
    ) -> None:
        """Record a failed attempt and how much of its answer had come."""
        self._ended_target = None
        if not (self._tags and isinstance(error, ConnectionBrokenError)):
            return
        if isinstance(error, AnswerOverdueError) or not error.request_written:
            return
        if self._has_gone_on:
            return
        begun = progress is AnswerProgress.BEGUN or (
            progress is AnswerProgress.WAITING and error.answer_started
        )
        self._crashes.note_broken(target, self._tags, begun=begun)
        if begun:
            self._ended_target = target
        if self._decision.is_trial:
            self._crashes.note_failed_trial(self._tags)

    def _is_trial_allowed(self) -> bool:
        until = self._decision.trial_until
        return until is not None and self._clock.boottime() < until
