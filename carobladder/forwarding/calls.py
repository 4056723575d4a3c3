"""Attempts of one call on the targets of a service."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from http import HTTPStatus

from carobladder.clock import Clock
from carobladder.exceptions import (
    AnswerTimeoutError,
    CallerError,
    NoTargetError,
    TargetError,
    TargetFailedError,
    TargetRefusedError,
    TargetsBusyError,
    TargetsPausedError,
)
from carobladder.fleet import (
    FleetTarget,
    SelectionCriteria,
    TargetSelector,
)
from carobladder.forwarding.attempts import OpenCall
from carobladder.forwarding.sends import ForwardedCall, TargetSender
from carobladder.headers import Headers
from carobladder.retries import RetryBudget
from carobladder.telemetry import (
    AttemptFailed,
    ForwardMetrics,
    emit,
)

__all__ = ["CallSession", "Forwarder"]

# Further sends of a request that no target has run yet.
_MAX_UNRUN_SENDS = 3
_BUSY_RETRY_SECONDS = 0.25
_NO_TARGET_RETRY_SECONDS = 0.7
# Statuses by which a target promises that it has not run a request; without its own
# mark for that they must not reach the caller of a call that may run only once.
_PROMISES = frozenset({408, 421, 429, 503})


@dataclass(frozen=True, slots=True)
class Forwarder:
    """Hold what the calls of an instance share."""

    sender: TargetSender
    selector: TargetSelector
    clock: Clock
    find_budget: Callable[[str], RetryBudget]
    metrics: ForwardMetrics

    def start(self, call: ForwardedCall) -> "CallSession":
        """Begin a call; nothing is sent yet."""
        self.find_budget(call.service.name).record_request()
        return CallSession(self, call)


class CallSession:
    """Run the attempts of one call.

    ``runs`` counts the attempts that a target may have run; from the first of them
    on no error claims that the call did not run.
    """

    def __init__(self, forwarder: Forwarder, call: ForwardedCall) -> None:
        self.runs = 0
        self._forwarder = forwarder
        self._call = call
        self._sends = 0
        self._pending = False
        self._relayed_from: FleetTarget | None = None
        self._tried: set[str] = set()
        # Those of the tried targets that answered with a failure of their own.
        self._answered: set[str] = set()

    @property
    def may_have_run(self) -> bool:
        """Tell whether any target may have run the call or may still do so."""
        return self.runs > 0 or self._pending

    @property
    def remaining_seconds(self) -> float:
        """Return the time until the call must have its answer."""
        return max(0.0, self._call.limit_at - self._forwarder.clock.monotonic())

    async def open(self, extra_headers: Headers = ()) -> OpenCall:
        """Return the first answer that may reach the caller once its headers arrived.

        Raises CallerError when no further attempt is allowed.
        """
        while True:
            target = self._choose()
            try:
                opened = await self._send(target, extra_headers)
            except TargetError as error:
                self.runs += error.request_written
                self.note_failure(target, error)
                continue
            if opened.facts.not_run:
                opened.note_first_byte()
                opened.close()
                if opened.facts.misdirected:
                    target.note_misdirected()
                self.note_failure(target, _describe_refusal(opened))
                continue
            self.runs += 1
            if self._may_relay(opened):
                return opened

    async def fetch(self) -> tuple[OpenCall, bytes]:
        """Return the first whole answer; raises CallerError if there is none."""
        while True:
            opened = await self.open()
            opened.note_first_byte()
            try:
                body = await opened.answer.read_all(self.remaining_seconds)
            except TargetError as error:
                opened.close(failed=True)
                self.note_failure(opened.target, error)
                continue
            finally:
                opened.close()
            return opened, body

    def note_relayed(self, target: FleetTarget) -> None:
        """Note that the caller received a part of the answer."""
        self._relayed_from = target

    def note_event(self) -> None:
        """Note that an event of the relayed stream arrived."""
        if self._relayed_from is not None:
            now = self._forwarder.clock.monotonic()
            self._relayed_from.health.last_byte_at = now

    def note_failure(
        self, target: FleetTarget, error: TargetError, *, resumable: bool = False
    ) -> None:
        """Allow a further attempt, or raise the CallerError that ends the call."""
        self._tried.add(target.target_id)
        obstacle = self._find_obstacle(error.request_written, resumable)
        self._forwarder.metrics.count_attempt(obstacle or "sent again")
        emit(
            AttemptFailed(
                request_id=self._call.facts.request_id,
                target=target.target_id,
                sends=self._sends,
                written=error.request_written,
                why=str(error),
                decision=obstacle or "send again",
            )
        )
        if obstacle is not None:
            raise self._final_error(f"{error}; not sent again: {obstacle}")

    def _may_relay(self, opened: OpenCall) -> bool:
        """Tell whether the answer goes to the caller; else the call is sent again.

        Raises CallerError if neither is possible.
        """
        status = opened.answer.status
        untrue = status in _PROMISES
        if status < HTTPStatus.INTERNAL_SERVER_ERROR and not untrue:
            return True
        error = _describe_refusal(opened)
        if not untrue and self._find_obstacle(True, True, charge=False) is not None:
            return True
        opened.note_first_byte()
        opened.close()
        if not untrue:
            self._answered.add(opened.target.target_id)
        self.note_failure(opened.target, error, resumable=True)
        return False

    async def _send(self, target: FleetTarget, extra_headers: Headers) -> OpenCall:
        call, sender = self._call, self._forwarder.sender
        self._sends += 1
        wait_seconds = self.remaining_seconds
        if call.route.may_repeat and self.runs + 1 < call.route.attempts:
            wait_seconds = min(
                wait_seconds, sender.choose_first_byte_timeout(call, target)
            )
        try:
            opened = await sender.send(
                call, target, extra_headers, self._sends, wait_seconds, self._note_write
            )
        except TargetError:
            self._pending = False
            raise
        self._pending = False
        return opened

    def _note_write(self) -> bool:
        """Note that the request is about to be written."""
        self._pending = True
        return True

    def _find_obstacle(
        self, written: bool, resumable: bool, *, charge: bool = True
    ) -> str | None:
        """Return why the call must not be sent again, or None if it may be.

        With ``charge`` a permitted repeat is taken out of the retry budget.
        """
        call = self._call
        if self.remaining_seconds <= 0.0:
            return "its time is over"
        if self.runs and not call.route.may_repeat:
            return "it may have run"
        if self._relayed_from is not None and not resumable:
            return "the stream cannot be resumed"
        if self.runs >= call.route.attempts:
            return "its attempts are used up"
        if self._sends - self.runs > _MAX_UNRUN_SENDS:
            return "too many targets refused it"
        if not written or not charge:
            return None
        budget = self._forwarder.find_budget(call.service.name)
        if not budget.withdraw(self._forwarder.clock.monotonic()):
            return "the retry budget is used up"
        return None

    def _choose(self) -> FleetTarget:
        call = self._call
        wanted = SelectionCriteria(
            service=call.service,
            affinity=call.affinity,
            may_repeat=call.route.may_repeat,
            excluded=self._tried,
        )
        now = self._forwarder.clock.monotonic()
        selector = self._forwarder.selector
        target = selector.choose(wanted, now)
        if target is None and self._answered:
            # Nobody else is left; another answer of the same target may succeed.
            excluded = self._tried - self._answered
            target = selector.choose(replace(wanted, excluded=excluded), now)
        if target is None:
            raise self._final_error(f"no target of {call.service.name} is left")
        return target

    def _final_error(self, reason: str) -> CallerError:
        if self.may_have_run and self.remaining_seconds <= 0.0:
            return AnswerTimeoutError(f"no answer in time: {reason}")
        if self.may_have_run:
            return TargetFailedError(f"the call failed at its target: {reason}")
        message = f"the call was not run: {reason}"
        now = self._forwarder.clock.monotonic()
        pause = self._forwarder.selector.find_pause(self._call.service.name, now)
        if pause is not None:
            return TargetsPausedError(message, pause)
        if self._sends:
            return TargetsBusyError(message, _BUSY_RETRY_SECONDS)
        return NoTargetError(message, _NO_TARGET_RETRY_SECONDS)


def _describe_refusal(opened: OpenCall) -> TargetRefusedError:
    status = opened.answer.status
    return TargetRefusedError(status, f"the target answered {status}")
