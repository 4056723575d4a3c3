"""Retries of a call across the targets of a service."""

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

from carobladder.clients.connection import DeadlineExtender
from carobladder.clock import Clock
from carobladder.exceptions import (
    AnswerOverdueError,
    PromptQuarantinedError,
    TargetError,
    TargetRefusedError,
)
from carobladder.fleet import (
    FleetTarget,
    TargetSelector,
)
from carobladder.forwarding.admission import AdmissionControl
from carobladder.forwarding.attemptlog import AttemptLog
from carobladder.forwarding.attempts import AnswerProgress, OpenCall
from carobladder.forwarding.callerrors import CallerErrors
from carobladder.forwarding.choices import TargetChoice
from carobladder.forwarding.copies import CopyStarter
from carobladder.forwarding.crashwatch import CrashWatch
from carobladder.forwarding.hedging import HedgePolicy
from carobladder.forwarding.partguard import PartGuard
from carobladder.forwarding.race import NOT_RUN_STATUSES, SendRace
from carobladder.forwarding.sends import ForwardedCall, TargetSender
from carobladder.forwarding.tracking import SendTracker, TrackedSend
from carobladder.forwarding.waits import RateWaitTooLongError, TargetWait
from carobladder.headers import Headers
from carobladder.retries import RetryBudget
from carobladder.telemetry import ForwardMetrics

__all__ = ["CallSession", "Forwarder"]

# Maximum number of further sends of a request that no target has run yet.
_MAX_SENDS_NOT_RUN = 3
# Interval in which a request that waits for a silent target looks for another one.
_SILENCE_POLL_SECONDS = 0.1


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
    hedging: HedgePolicy | None = None

    def start(self, call: ForwardedCall) -> "CallSession":
        """Return the session of a new call without sending anything yet."""
        self.find_budget(call.service.name).record_request()
        return CallSession(self, call)


class CallSession:
    """Retry loop of one call.

    Once a target may have run the call, no error states that it was not run.
    """

    def __init__(self, forwarder: Forwarder, call: ForwardedCall) -> None:
        self._forwarder = forwarder
        self._call = call
        self._sends = SendTracker(forwarder.clock)
        self._relayed_from: FleetTarget | None = None
        self._choice = TargetChoice(forwarder.selector, call, forwarder.clock)
        self._wait = TargetWait(
            call, self._choice, forwarder.admission, forwarder.clock
        )
        # Whether another target can go on with what the caller has of the stream.
        self._is_resumable = False
        # Whether the retry that leaves a silent target has been withdrawn.
        self._has_retry = False
        self._guard = PartGuard(call, forwarder.crashes, forwarder.clock)
        self._copies: CopyStarter | None = None
        if forwarder.hedging is not None:
            self._copies = CopyStarter(
                call, forwarder.hedging, self._sends, self._choice, self._guard
            )
        self._log = AttemptLog(call, self._sends, forwarder.metrics)
        self._errors = CallerErrors(
            call,
            self._sends,
            forwarder.selector,
            forwarder.clock,
            self._wait.note_busy,
        )

    @property
    def may_have_run(self) -> bool:
        """Whether any target may have run the call or may still run it."""
        return self._sends.count_runs() > 0

    @property
    def remaining_seconds(self) -> float:
        """Time until the deadline of the call, in seconds; 0 once it has passed."""
        return max(0.0, self._call.deadline - self._forwarder.clock.monotonic())

    async def open(self, extra_headers: Headers = ()) -> OpenCall:
        """Send the call until a response may be relayed; return it with its headers.

        Raises CallerError when no further attempt is allowed.
        """
        if not self._sends.count:
            await self._wait.wait_for_admission()
        while True:
            self._check_quarantine()
            await self._wait_for_rate()
            send = self._sends.current = self._sends.begin(self._choose_target())
            try:
                opened = await self._send_or_race(send, extra_headers)
            except TargetError as error:
                send = self._sends.current
                self._sends.settle(send, may_have_run=error.request_written)
                self.handle_failure(send.target, error, resumable=self._is_resumable)
                continue
            send = self._sends.current
            self._sends.settle(send, may_have_run=not opened.facts.not_run)
            if opened.facts.not_run:
                refusal = self._close_refusal(opened)
                self._wait.note_refusal(opened)
                self.handle_failure(send.target, refusal, resumable=self._is_resumable)
            elif self._accept_response(opened):
                send.opened = opened
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
        if opened := self._find_opened():
            self._guard.note_whole_answer(opened)
            self._wait.note_answer(opened)

    def note_relayed(self, target: FleetTarget) -> None:
        """Record that the caller received a part of the response from this target."""
        self._relayed_from = target

    def note_event(self) -> None:
        """Record that an event of the relayed stream arrived."""
        if opened := self._find_opened():
            opened.note_event()
            self._guard.note_event(opened)

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
        send = self._sends.current
        self._is_resumable = resumable
        progress = self._note_failure(target, send, error)
        denial_reason = self._find_denial_reason(error.request_written, resumable)
        self._log.report(target, send, error, progress, denial_reason or "send again")
        if denial_reason is not None:
            reason = f"{error}; not sent again: {denial_reason}"
            raise self._errors.build_final(reason)

    def _note_failure(
        self, target: FleetTarget, send: TrackedSend | None, error: TargetError
    ) -> AnswerProgress:
        """Record a failed attempt; return how much of its answer had come."""
        self._choice.note_tried(
            target, may_succeed=isinstance(error, AnswerOverdueError)
        )
        progress = AnswerProgress.WAITING
        if send is not None:
            progress = send.read_progress(self._relayed_from)
        self._guard.note_failure(target, error, progress)
        return progress

    def _find_opened(self) -> OpenCall | None:
        send = self._sends.current
        return send.opened if send else None

    def _check_quarantine(self) -> None:
        """Raise CallerError if a part of the prompt is in quarantine."""
        held = self._guard.find_held()
        if held is None:
            return
        part_id, seconds = held
        reason = f"part {part_id} of the prompt crashes targets"
        if self.may_have_run:
            raise self._errors.build_final(reason)
        raise PromptQuarantinedError(f"the call was not run: {reason}", seconds)

    def _accept_response(self, opened: OpenCall) -> bool:
        """Return whether to relay the response; otherwise the call is retried.

        Raises CallerError if neither is possible.
        """
        status = opened.answer.status
        claims_not_run = status in NOT_RUN_STATUSES
        if status < HTTPStatus.INTERNAL_SERVER_ERROR and not claims_not_run:
            return True
        if (
            not claims_not_run
            and self._find_denial_reason(True, True, use_budget=False) is not None
        ):
            return True
        self.handle_failure(opened.target, self._close_refusal(opened), resumable=True)
        return False

    def _close_refusal(self, opened: OpenCall) -> TargetRefusedError:
        """Close an answer that is not relayed; return the error that it stands for."""
        opened.note_first_byte()
        opened.close()
        status = opened.answer.status
        if opened.facts.not_run and opened.facts.misdirected:
            opened.target.note_misdirected()
        if opened.facts.not_run and self._forwarder.hedging is not None:
            self._forwarder.hedging.note_refusal(self._call)
        if not opened.facts.not_run and status not in NOT_RUN_STATUSES:
            self._choice.note_tried(opened.target, may_succeed=True)
        return TargetRefusedError(status, f"the target answered {status}")

    async def _send_or_race(
        self, send: TrackedSend, extra_headers: Headers
    ) -> OpenCall:
        """Return the answer of the current send, which may be a copy of this one."""
        copies = self._copies
        if copies is None or not copies.may_start():
            return await self.run_send(
                send, lambda: self.extend_wait(self._is_resumable), extra_headers
            )
        metrics, clock = self._forwarder.metrics, self._forwarder.clock
        return await SendRace(self._call, self, copies, metrics, clock).run(send)

    async def run_send(
        self,
        send: TrackedSend,
        extend_deadline: DeadlineExtender,
        extra_headers: Headers = (),
    ) -> OpenCall:
        """Send the call to the target of a send; return its response with its headers.

        Raises TargetError if no response arrives.
        """
        call, sender = self._call, self._forwarder.sender
        timeout_seconds = self.remaining_seconds
        runs = self._sends.count_runs()
        if call.route.may_repeat and runs + 1 < call.route.attempts:
            timeout_seconds = min(
                timeout_seconds, sender.compute_silence_timeout(call, send.target)
            )
        return await sender.send(
            call,
            send.target,
            extra_headers,
            send.number,
            timeout_seconds,
            lambda: self._mark_write_started(send),
            extend_deadline,
            lambda: send.is_superseded,
        )

    def follow(self, send: TrackedSend) -> None:
        """Make this send the one whose answer is awaited or relayed."""
        self._sends.current = send

    def drop_send(self, send: TrackedSend, result: OpenCall | TargetError) -> None:
        """Record a send that failed or was refused while another one is under way."""
        if isinstance(result, TargetError):
            error: TargetError = result
            self._sends.settle(send, may_have_run=error.request_written)
        else:
            self._sends.settle(send, may_have_run=not result.facts.not_run)
            error = self._close_refusal(result)
        progress = self._note_failure(send.target, send, error)
        self._log.report(send.target, send, error, progress, "await the other send")

    def _mark_write_started(self, send: TrackedSend) -> bool:
        """Record that the request is about to be written, unless it must not be.

        Its time may have ended since it was chosen, if the process was paused.
        """
        has_time = self.remaining_seconds > 0.0
        send.is_pending = has_time and self._guard.may_write()
        return send.is_pending

    def _find_denial_reason(
        self, written: bool, resumable: bool, *, use_budget: bool = True
    ) -> str | None:
        """Return the reason why a retry is not permitted, or None if it is.

        A permitted retry is charged to the retry budget if ``use_budget`` is true and
        the request was written. The reasons are label values of a metric.
        """
        call = self._call
        runs = self._sends.count_runs()
        if self.remaining_seconds <= 0.0:
            return "its time is over"
        if runs and not call.route.may_repeat:
            return "it may have run"
        if self._relayed_from is not None and not resumable:
            return "the stream cannot be resumed"
        if runs >= call.route.attempts:
            return "its attempts are used up"
        is_refused = self._sends.count - runs > _MAX_SENDS_NOT_RUN
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
        target = self._sends.current.target if self._sends.current else None
        return self._choice.has_alternative(target, self._find_middle_of_silence())

    def _find_middle_of_silence(self) -> float:
        """Return the time since which a target that seems to answer was heard.

        By the start, one that fell silent a little later would seem to answer.
        """
        now = self._forwarder.clock.monotonic()
        return (self._sends.find_silence_start() + now) / 2

    async def _wait_for_rate(self) -> None:
        """Wait while the targets' rate limits admit no request; raise CallerError."""
        if not self._forwarder.selector.has_limited(self._call.service.name):
            return
        try:
            await self._wait.wait_for_rate()
        except RateWaitTooLongError as error:
            raise self._errors.build_limited(error.seconds) from None

    def _choose_target(self) -> FleetTarget:
        target = self._choice.choose()
        if target is None:
            raise self._errors.build_final(
                f"no target of {self._call.service.name} is available"
            )
        return target
