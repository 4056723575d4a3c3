"""Retries of a call across the targets of a service."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

from carobladder.clock import Clock
from carobladder.exceptions import (
    AnswerOverdueError,
    AnswerTimeoutError,
    CallerError,
    MemoryExceededError,
    NoTargetError,
    PromptQuarantinedError,
    TargetError,
    TargetFailedError,
    TargetRefusedError,
    TargetsBusyError,
    TargetsLimitedError,
    TargetsPausedError,
)
from carobladder.fleet import (
    FleetTarget,
    TargetSelector,
)
from carobladder.forwarding.admission import AdmissionControl
from carobladder.forwarding.attempts import AnswerProgress, OpenCall
from carobladder.forwarding.choices import TargetChoice
from carobladder.forwarding.crashwatch import CrashWatch
from carobladder.forwarding.partguard import PartGuard
from carobladder.forwarding.sends import ForwardedCall, TargetSender
from carobladder.forwarding.waits import RateWaitTooLongError, TargetWait
from carobladder.headers import Headers
from carobladder.retries import RetryBudget
from carobladder.telemetry import (
    AnswerGivenUp,
    AttemptFailed,
    ForwardMetrics,
    emit,
)

__all__ = ["CallSession", "Forwarder"]

# Maximum number of further sends of a request that no target has run yet.
_MAX_SENDS_NOT_RUN = 3
_BUSY_RETRY_SECONDS = 0.25
_NO_TARGET_RETRY_SECONDS = 0.7
# Shortest time until a refused caller may return; others take what is free before.
_MIN_RETRY_SECONDS = 0.1
# Interval in which a request that waits for a silent target looks for another one.
_SILENCE_POLL_SECONDS = 0.1
# Limits the parts of a prompt in a log line.
_MAX_LOGGED_PARTS = 8
# Statuses that imply that the request was not run. Unless the target also states this
# in its own header, the request may have run, and the caller of a request that may run
# only once must not receive them.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@dataclass(frozen=True, slots=True)
class Forwarder:
    """Entry point for forwarded calls and the components that they share."""

    sender: TargetSender
    selector: TargetSelector
    clock: Clock
    find_budget: Callable[[str], RetryBudget]
    metrics: ForwardMetrics
    crashes: CrashWatch
    admission: AdmissionControl

    def start(self, call: ForwardedCall) -> "CallSession":
        """Return the session of a new call without sending anything yet."""
        self.find_budget(call.service.name).record_request()
        return CallSession(self, call)


class CallSession:
    """Retry loop of one call.

    ``possible_runs`` counts the attempts that a target may have run. Once it is above
    zero, no error states that the call was not run.
    """

    def __init__(self, forwarder: Forwarder, call: ForwardedCall) -> None:
        self.possible_runs = 0
        self._forwarder = forwarder
        self._call = call
        self._send_count = 0
        self._sent_at = 0.0
        self._outcome_pending = False
        self._target: FleetTarget | None = None
        self._relayed_from: FleetTarget | None = None
        self._opened: OpenCall | None = None
        self._choice = TargetChoice(forwarder.selector, call, forwarder.clock)
        self._wait = TargetWait(
            call, self._choice, forwarder.admission, forwarder.clock
        )
        # Whether another target can go on with what the caller has of the stream.
        self._is_resumable = False
        # Whether the retry that leaves a silent target has been withdrawn.
        self._has_retry = False
        self._guard = PartGuard(call, forwarder.crashes, forwarder.clock)

    @property
    def may_have_run(self) -> bool:
        """Whether any target may have run the call or may still run it."""
        return self.possible_runs > 0 or self._outcome_pending

    @property
    def remaining_seconds(self) -> float:
        """Time until the deadline of the call, in seconds; 0 once it has passed."""
        return max(0.0, self._call.deadline - self._forwarder.clock.monotonic())

    async def open(self, extra_headers: Headers = ()) -> OpenCall:
        """Send the call until a response may be relayed; return it with its headers.

        Raises CallerError when no further attempt is allowed.
        """
        if not self._send_count:
            await self._wait.wait_for_admission()
        while True:
            self._check_quarantine()
            await self._wait_for_rate()
            target = self._choose_target()
            try:
                opened = await self._send(target, extra_headers)
            except TargetError as error:
                self.possible_runs += error.request_written
                self.handle_failure(target, error, resumable=self._is_resumable)
                continue
            if opened.facts.not_run:
                opened.note_first_byte()
                opened.close()
                if opened.facts.misdirected:
                    target.note_misdirected()
                refusal = _build_refusal_error(opened)
                self._wait.note_refusal(opened)
                self.handle_failure(target, refusal, resumable=self._is_resumable)
                continue
            self.possible_runs += 1
            if self._accept_response(opened):
                self._opened = opened
                return opened

    async def fetch(self) -> tuple[OpenCall, bytes]:
        """Return the first complete response; raise CallerError if there is none."""
        while True:
            opened = await self.open()
            opened.note_first_byte()
            try:
                body = await opened.answer.read_all(self.remaining_seconds)
            except TargetError as error:
                opened.close(failed=True)
                self.handle_failure(opened.target, error)
                continue
            finally:
                opened.close()
            return opened, body

    def note_whole_answer(self) -> None:
        """Record that the caller got the whole answer of a target."""
        if self._opened is not None:
            self._guard.note_whole_answer(self._opened)
            self._wait.note_answer(self._opened)

    def note_relayed(self, target: FleetTarget) -> None:
        """Record that the caller received a part of the response from this target."""
        self._relayed_from = target

    def note_event(self) -> None:
        """Record that an event of the relayed stream arrived."""
        if self._opened is not None:
            self._opened.note_event()
            self._guard.note_event(self._opened)

    def extend_wait(self, resumable: bool) -> float:
        """Return the seconds to go on waiting for a silent target, or 0 to leave it.

        A silent target may be sound and go on, so it is left only for one that seems to
        answer. ``resumable`` tells whether another target can go on with a stream that
        the caller has a part of. The retry is withdrawn at once, as other requests
        decide the same before this one is sent again.
        """
        if not self._has_retry and self._may_go_on_elsewhere(resumable):
            budget = self._forwarder.find_budget(self._call.service.name)
            self._has_retry = budget.withdraw(self._forwarder.clock.monotonic())
        if not self._has_retry:
            return min(_SILENCE_POLL_SECONDS, self.remaining_seconds)
        self._choice.note_left(self._find_middle_of_silence())
        return 0.0

    def handle_failure(
        self, target: FleetTarget, error: TargetError, *, resumable: bool = False
    ) -> None:
        """Record a failed attempt; raise CallerError unless the call may be retried."""
        self._choice.note_tried(
            target, may_succeed=isinstance(error, AnswerOverdueError)
        )
        self._is_resumable = resumable
        progress = self._read_progress()
        self._guard.note_failure(target, error, progress)
        denial_reason = self._find_denial_reason(error.request_written, resumable)
        metrics = self._forwarder.metrics
        metrics.count_failed_attempt(denial_reason or "sent again")
        if error.request_written and not isinstance(error, TargetRefusedError):
            metrics.count_broken_answer(progress)
        if isinstance(error, MemoryExceededError):
            self._report_given_up(target, error)
        emit(
            AttemptFailed(
                request_id=self._call.facts.request_id,
                target=target.target_id,
                sends=self._send_count,
                written=error.request_written,
                progress=progress,
                parts=self._format_parts(),
                why=str(error),
                decision=denial_reason or "send again",
                silent_seconds=self._read_silence(),
                target_heard_seconds=self._read_age(target.health.last_byte_at),
            )
        )
        if denial_reason is not None:
            raise self._build_final_error(f"{error}; not sent again: {denial_reason}")

    def _report_given_up(self, target: FleetTarget, error: MemoryExceededError) -> None:
        self._forwarder.metrics.count_given_up_answer(self._call.service.name)
        emit(
            AnswerGivenUp(
                self._call.facts.request_id,
                target.target_id,
                error.held_bytes,
                error.used_bytes,
                error.limit_bytes,
            )
        )

    def _read_silence(self) -> float | None:
        """Return the seconds since the last byte of the newest answer, or its send."""
        return self._read_age(self._find_silence_start())

    def _find_silence_start(self) -> float:
        last_byte_at = self._opened.last_byte_at if self._opened else 0.0
        return max(self._sent_at, last_byte_at)

    def _read_age(self, at: float) -> float | None:
        """Return the seconds since a monotonic time, None for minus infinity."""
        seconds = self._forwarder.clock.monotonic() - at
        return round(seconds, 3) if math.isfinite(seconds) else None

    def _check_quarantine(self) -> None:
        """Raise CallerError if a part of the prompt is in quarantine."""
        held = self._guard.find_held()
        if held is None:
            return
        part_id, seconds = held
        reason = f"part {part_id} of the prompt crashes targets"
        if self.may_have_run:
            raise self._build_final_error(reason)
        raise PromptQuarantinedError(f"the call was not run: {reason}", seconds)

    def _read_progress(self) -> AnswerProgress:
        """Return how much of the answer to the newest send has come."""
        if self._opened is None:
            return AnswerProgress.WAITING
        if self._relayed_from is self._opened.target:
            return AnswerProgress.STREAMING
        return AnswerProgress.BEGUN

    def _format_parts(self) -> str:
        parts = self._call.facts.shared_parts[:_MAX_LOGGED_PARTS]
        return ",".join(part.part_id for part in parts)

    def _accept_response(self, opened: OpenCall) -> bool:
        """Return whether to relay the response; otherwise the call is retried.

        Raises CallerError if neither is possible.
        """
        status = opened.answer.status
        claims_not_run = status in _NOT_RUN_STATUSES
        if status < HTTPStatus.INTERNAL_SERVER_ERROR and not claims_not_run:
            return True
        error = _build_refusal_error(opened)
        if (
            not claims_not_run
            and self._find_denial_reason(True, True, use_budget=False) is not None
        ):
            return True
        opened.note_first_byte()
        opened.close()
        if not claims_not_run:
            self._choice.note_tried(opened.target, may_succeed=True)
        self.handle_failure(opened.target, error, resumable=True)
        return False

    async def _send(self, target: FleetTarget, extra_headers: Headers) -> OpenCall:
        call, sender = self._call, self._forwarder.sender
        self._target = target
        self._send_count += 1
        self._sent_at = self._forwarder.clock.monotonic()
        self._opened = None
        timeout_seconds = self.remaining_seconds
        if call.route.may_repeat and self.possible_runs + 1 < call.route.attempts:
            timeout_seconds = min(
                timeout_seconds, sender.compute_silence_timeout(call, target)
            )
        try:
            opened = await sender.send(
                call,
                target,
                extra_headers,
                self._send_count,
                timeout_seconds,
                self._mark_write_started,
                lambda: self.extend_wait(self._is_resumable),
            )
        except TargetError:
            self._outcome_pending = False
            raise
        self._outcome_pending = False
        return opened

    def _mark_write_started(self) -> bool:
        """Record that the request is about to be written, unless it must not be.

        Its time may have ended since it was chosen, if the process was paused.
        """
        has_time = self.remaining_seconds > 0.0
        self._outcome_pending = has_time and self._guard.may_write()
        return self._outcome_pending

    def _find_denial_reason(
        self, written: bool, resumable: bool, *, use_budget: bool = True
    ) -> str | None:
        """Return the reason why a retry is not permitted, or None if it is.

        A permitted retry is charged to the retry budget if ``use_budget`` is true and
        the request was written. The reasons are label values of a metric.
        """
        call = self._call
        runs = self.possible_runs + self._outcome_pending
        if self.remaining_seconds <= 0.0:
            return "its time is over"
        if runs and not call.route.may_repeat:
            return "it may have run"
        if self._relayed_from is not None and not resumable:
            return "the stream cannot be resumed"
        if runs >= call.route.attempts:
            return "its attempts are used up"
        is_refused = self._send_count - runs > _MAX_SENDS_NOT_RUN
        if is_refused or not self._wait.has_place:
            return "too many targets refused it"
        if not self._guard.may_repeat():
            return "a part of its prompt may crash targets"
        if not written or not use_budget:
            return None
        if self._has_retry:
            self._has_retry = False
            return None
        budget = self._forwarder.find_budget(call.service.name)
        if not budget.withdraw(self._forwarder.clock.monotonic()):
            return "the retry budget is used up"
        return None

    def _may_go_on_elsewhere(self, resumable: bool) -> bool:
        """Return whether a target that seems to answer may get the call as well."""
        if self._find_denial_reason(True, resumable, use_budget=False) is not None:
            return False
        if not self._guard.may_write():
            return False
        return self._choice.has_alternative(
            self._target, self._find_middle_of_silence()
        )

    def _find_middle_of_silence(self) -> float:
        """Return the time since which a target that seems to answer was heard.

        By the start, one that fell silent a little later would seem to answer.
        """
        now = self._forwarder.clock.monotonic()
        return (self._find_silence_start() + now) / 2

    async def _wait_for_rate(self) -> None:
        """Wait while the targets' rate limits admit no request; raise CallerError."""
        if not self._forwarder.selector.has_limited(self._call.service.name):
            return
        try:
            await self._wait.wait_for_rate()
        except RateWaitTooLongError as error:
            raise self._build_limited_error(error.seconds) from None

    def _build_limited_error(self, wait: float | None) -> CallerError:
        """Return the error of a call that the targets' rate limits do not admit.

        Another instance may admit it as soon as the limits admit any request.
        """
        reason = f"the targets of {self._call.service.name} limit their rate"
        if self.may_have_run:
            return self._build_final_error(reason)
        if wait is None:
            selector = self._forwarder.selector
            rate = selector.compute_limited_rate(self._call.service.name)
            wait = 1.0 / rate if rate else _NO_TARGET_RETRY_SECONDS
        return TargetsLimitedError(
            f"the call was not run: {reason}", max(wait, _MIN_RETRY_SECONDS)
        )

    def _choose_target(self) -> FleetTarget:
        target = self._choice.choose()
        if target is None:
            raise self._build_final_error(
                f"no target of {self._call.service.name} is available"
            )
        return target

    def _build_final_error(self, reason: str) -> CallerError:
        if self.may_have_run and self.remaining_seconds <= 0.0:
            return AnswerTimeoutError(f"no response before the deadline: {reason}")
        if self.may_have_run:
            return TargetFailedError(f"the call failed at its target: {reason}")
        message = f"the call was not run: {reason}"
        now = self._forwarder.clock.monotonic()
        pause = self._forwarder.selector.find_pause(self._call.service.name, now)
        if pause is not None:
            return TargetsPausedError(message, pause)
        if self._send_count:
            self._wait.note_busy()
            return TargetsBusyError(message, _BUSY_RETRY_SECONDS)
        return NoTargetError(message, _NO_TARGET_RETRY_SECONDS)


def _build_refusal_error(opened: OpenCall) -> TargetRefusedError:
    status = opened.answer.status
    return TargetRefusedError(status, f"the target answered {status}")
