"""Retries of a call across the targets that admission control chooses."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from carobladder.clients.answers import AnswerStream
from carobladder.clients.http import HttpClient
from carobladder.clock import Clock
from carobladder.exceptions import (
    AnswerTimeoutError,
    CallerError,
    ConnectionBrokenError,
    DeadlineExceededError,
    NotReadyError,
    RequestWithheldError,
    TargetError,
    TargetFailedError,
    TargetRefusedError,
)
from carobladder.gateway.ports import (
    Admission,
    Permit,
    Ranking,
    SlotRequest,
    TargetOutcome,
    Team,
)
from carobladder.gateway.requests import is_other_request
from carobladder.headers import Headers
from carobladder.retries import (
    FailedAttempt,
    RetryBudget,
    RetryDecision,
    decide_retry,
)
from carobladder.targets import RequestClass, TargetState
from carobladder.telemetry import GatewayMetrics

__all__ = ["CallSession", "CompleteAnswer", "OpenCall", "TargetCall", "TargetCaller"]

# Time in which another target must be found to resume a broken stream.
_RESUME_TIMEOUT_SECONDS = 5.0
# The team's key is not forwarded to targets, so these statuses report a fault between
# the fleet and the target, not one of the caller.
_TARGET_FAULT_STATUSES = frozenset({401, 403, 407, 408, 429})


@dataclass(frozen=True, slots=True)
class TargetCall:
    """Properties of a call that do not depend on the target that runs it.

    ``list_targets`` and ``rank`` are called again for each attempt. ``rank`` also
    receives the version that must resume a broken stream, or None. ``deadline`` is in
    monotonic seconds. ``repeatable`` is false for calls that may run only once.
    ``route`` names the kind of call in the recorded outcomes.
    """

    team: Team
    request_class: RequestClass
    pool: str
    list_targets: Callable[[], Sequence[TargetState]]
    rank: Callable[[Sequence[TargetState], str | None], Ranking]
    method: str
    path: str
    headers: Headers
    body: bytes
    request_id: str
    deadline: float
    first_byte_seconds: float
    repeatable: bool = True
    route: str = ""


@dataclass(frozen=True, slots=True)
class CompleteAnswer:
    """Complete response and the target that sent it."""

    target: TargetState
    status: int
    headers: Headers
    body: bytes


def _ignore_boot_id(target_id: str, boot_id: str) -> None:
    """Ignore a boot id."""


def _ignore_outcome(outcome: TargetOutcome) -> None:
    """Ignore an outcome."""


@dataclass(frozen=True, slots=True)
class TargetCaller:
    """Entry point for calls to targets and the components that the calls share.

    ``note_boot`` receives the target id and the boot id of each response, which reveal
    a restart before the next load report does. ``note_outcome`` receives the outcomes
    of calls at their targets.
    """

    client: HttpClient
    admission: Admission
    budget: RetryBudget
    clock: Clock
    metrics: GatewayMetrics
    note_boot: Callable[[str, str], None] = _ignore_boot_id
    note_outcome: Callable[[TargetOutcome], None] = _ignore_outcome

    def start(self, call: TargetCall) -> "CallSession":
        """Return the session of a new call without sending anything yet."""
        self.budget.record_request()
        return CallSession(self, call)


class OpenCall:
    """Response of one attempt and the permit that it uses until closed."""

    def __init__(
        self, permit: Permit, answer: AnswerStream, clock: Clock, sent_at: float
    ) -> None:
        self.answer = answer
        self.target = _replace_boot_id(permit.target, answer)
        self._permit: Permit | None = permit
        self._clock = clock
        self._sent_at = sent_at
        self._first_byte_seconds: float | None = None

    @property
    def first_byte_seconds(self) -> float | None:
        """Time that the target took to send its first byte; None until known."""
        return self._first_byte_seconds

    def note_first_byte(self) -> None:
        """Record the time that the target took to send its first byte."""
        self._first_byte_seconds = self._clock.monotonic() - self._sent_at

    def close(self, *, failed: bool = False) -> None:
        """Close the response and release the permit; do nothing if closed."""
        self.answer.close()
        if self._permit is not None:
            permit, self._permit = self._permit, None
            permit.release(failed=failed, first_byte_seconds=self._first_byte_seconds)


class CallSession:
    """Retry loop of one call.

    ``may_have_run`` is true once a target may have received an attempt. From then on,
    no error states that the call was not run.
    """

    def __init__(self, caller: TargetCaller, call: TargetCall) -> None:
        self.may_have_run = False
        self._caller = caller
        self._call = call
        self._attempts = 0
        self._failed_targets: set[str] = set()
        self._version: str | None = None
        self._deadline: float | None = call.deadline

    @property
    def remaining_seconds(self) -> float:
        """Time until the deadline in seconds.

        Once a stream has started, the call has no deadline, and this is the timeout for
        the first byte of the target that resumes it.
        """
        if self._deadline is None:
            return self._call.first_byte_seconds
        return max(0.0, self._deadline - self._caller.clock.monotonic())

    async def open(self, extra_headers: Headers = ()) -> OpenCall:
        """Send the call until a response may be relayed; return it with its headers.

        Raises CallerError when no further attempt is allowed.
        """
        while True:
            permit = await self._acquire()
            sent_at = self._caller.clock.monotonic()
            try:
                answer = await self._send(permit, extra_headers)
            except RequestWithheldError:
                permit.release()
                # Yields to the task that renews permits.
                await asyncio.sleep(0)
                continue
            except TargetError as error:
                permit.release(failed=_is_target_fault(error))
                self.may_have_run = self.may_have_run or error.request_written
                self.handle_failure(permit.target, error)
                continue
            except BaseException:
                permit.release()
                raise
            self.may_have_run = True
            opened = OpenCall(permit, answer, self._caller.clock, sent_at)
            self._caller.note_boot(opened.target.target_id, opened.target.boot_id)
            return opened

    async def fetch(self) -> CompleteAnswer:
        """Return the first complete response; raise CallerError if there is none."""
        while True:
            opened = await self.open()
            try:
                opened.note_first_byte()
                body = await opened.answer.read_all(self.remaining_seconds)
                answer = opened.answer
                opened.close(failed=answer.status >= 500)
                return CompleteAnswer(
                    opened.target, answer.status, answer.headers, body
                )
            except TargetError as error:
                opened.close(failed=True)
                self.handle_failure(opened.target, error)
            finally:
                opened.close()

    def note_relayed(self, target: TargetState) -> None:
        """Record that the caller received a part of the response from this target.

        Another version would continue the response with other tokens, so only targets
        of the same version may resume it.
        """
        self._attempts = 1
        self._version = target.version
        self._deadline = None

    def handle_failure(
        self, target: TargetState, error: TargetError, *, resumable: bool = False
    ) -> None:
        """Record a failed attempt; raise CallerError unless the call may be retried."""
        self._failed_targets.add(target.target_id)
        if _is_target_fault(error):
            self.note_outcome(target, failed=True)
        relayed = self._version is not None
        failed = FailedAttempt(
            attempts=self._attempts,
            repeatable=self._call.repeatable,
            request_written=error.request_written,
            answer_relayed=relayed,
            resumable=resumable or not relayed,
            targets_left=len(self._list_candidates()),
            deadline=self._deadline,
        )
        now = self._caller.clock.monotonic()
        decision = decide_retry(failed, self._caller.budget, now)
        if decision is RetryDecision.RETRY:
            self._caller.metrics.count_retry(_classify_failure(error, relayed))
            return
        self._caller.metrics.count_denied_retry(decision.value)
        raise self._build_final_error(decision, str(error))

    def note_outcome(
        self,
        target: TargetState,
        *,
        failed: bool,
        first_token_seconds: float | None = None,
        gap_seconds: float | None = None,
        prompt_tokens: int = 0,
    ) -> None:
        """Publish the result of the call at a target."""
        call = self._call
        self._caller.note_outcome(
            TargetOutcome(
                target,
                call.pool,
                call.route,
                call.request_class,
                failed,
                first_token_seconds,
                gap_seconds,
                prompt_tokens,
            )
        )

    async def _acquire(self) -> Permit:
        call = self._call
        now = self._caller.clock.monotonic()
        deadline = self._deadline
        if deadline is None:
            deadline = now + _RESUME_TIMEOUT_SECONDS
        if now >= deadline:
            raise self._build_final_error(
                RetryDecision.DEADLINE, "the deadline has passed"
            )
        ranking = call.rank(self._list_candidates(), self._version)
        if not ranking.ranked:
            raise self._build_final_error(
                RetryDecision.NO_TARGET, f"no target of {call.pool} is ready"
            )
        slot_request = SlotRequest(
            team=call.team,
            request_class=call.request_class,
            pool=call.pool,
            ranked=ranking.ranked,
            deadline=deadline,
            sticky_seconds=ranking.sticky_seconds,
            near_count=ranking.near_count,
            near_seconds=ranking.near_seconds,
        )
        permit = await self._acquire_slot(slot_request)
        first = permit.target.target_id == ranking.ranked[0]
        decision = "first_choice" if first else "later_choice"
        self._caller.metrics.count_decision(decision)
        return permit

    async def _acquire_slot(self, slot_request: SlotRequest) -> Permit:
        try:
            return await self._caller.admission.acquire(slot_request)
        except CallerError as error:
            if not self.may_have_run:
                raise
            # An earlier attempt may have run, so the error must not state "not run".
            raise TargetFailedError(
                f"an attempt failed and no retry is possible: {error.message}",
                error.retry_after_seconds,
            ) from error

    async def _send(self, permit: Permit, extra_headers: Headers) -> AnswerStream:
        call = self._call
        self._attempts += 1
        try:
            answer = await self._caller.client.open(
                call.method,
                permit.target.address,
                call.path,
                headers=(*call.headers, *extra_headers),
                body=call.body,
                timeout_seconds=min(call.first_byte_seconds, self.remaining_seconds),
                may_repeat=call.repeatable,
                fresh=not call.repeatable,
                confirm=permit.is_valid,
            )
        except RequestWithheldError:
            self._attempts -= 1
            raise
        self._check_answer(answer)
        return answer

    def _check_answer(self, answer: AnswerStream) -> None:
        """Raise TargetError for a response that must not reach the caller."""
        for name, value in answer.headers:
            if name == "x-request-id" and is_other_request(
                value, self._call.request_id
            ):
                answer.close()
                raise ConnectionBrokenError(
                    "the target sent the response to another request",
                    request_written=True,
                )
        status = answer.status
        if self._call.repeatable and (
            status >= 500 or status in _TARGET_FAULT_STATUSES
        ):
            answer.close()
            raise TargetRefusedError(status, f"the target answered {status}")

    def _list_candidates(self) -> Sequence[TargetState]:
        targets = self._call.list_targets()
        if self._version is not None:
            targets = [t for t in targets if t.version == self._version]
        others = [t for t in targets if t.target_id not in self._failed_targets]
        if others or self._version is None:
            return others
        # A stream may be resumed by the target whose connection broke.
        return targets

    def _build_final_error(self, decision: RetryDecision, reason: str) -> CallerError:
        if decision is RetryDecision.DEADLINE:
            if self.may_have_run:
                return AnswerTimeoutError("no response arrived before the deadline")
            return DeadlineExceededError("the deadline passed before the call was sent")
        if self.may_have_run:
            return TargetFailedError(f"the call failed at its target: {reason}")
        return NotReadyError(f"the call was not sent to any target: {reason}")


def _replace_boot_id(target: TargetState, answer: AnswerStream) -> TargetState:
    for name, value in answer.headers:
        if name == "x-boot-id" and value != target.boot_id:
            return replace(target, boot_id=value)
    return target


def _is_target_fault(error: TargetError) -> bool:
    # A refusal such as 429 means that the target is busy, not that it has failed.
    return not isinstance(error, TargetRefusedError) or error.status >= 500


def _classify_failure(error: TargetError, relayed: bool) -> str:
    if relayed:
        return "stream_broken"
    if isinstance(error, TargetRefusedError):
        return "target_refused"
    return "no_answer" if error.request_written else "not_written"
