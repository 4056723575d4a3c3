"""Attempts of one call on the targets of a service."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

from carobladder.clients.http import AnswerStream, HttpClient
from carobladder.clock import Clock
from carobladder.exceptions import (
    AnswerTimeoutError,
    CallerError,
    ConnectionBrokenError,
    NoTargetError,
    TargetError,
    TargetFailedError,
    TargetRefusedError,
    TargetsBusyError,
)
from carobladder.fleet import (
    AnswerFacts,
    AnswerTallies,
    CallFacts,
    ExchangeCodec,
    FleetTarget,
    PromptWarmth,
    Selection,
    TargetSelector,
)
from carobladder.forwarding.attempts import OpenCall, suspect_target
from carobladder.retries import RetryBudget
from carobladder.routing import Route, Service
from carobladder.telemetry import (
    AnswerOfOtherRequestDropped,
    AttemptFailed,
    ForwardMetrics,
    RequestPlaced,
    emit,
)

__all__ = ["CallSession", "ForwardedCall", "Forwarder"]

Headers = tuple[tuple[str, str], ...]

# A target that has not begun to answer after this multiple of its usual time, and at
# least the floor, is likely to be dark.
_PATIENCE_FACTOR = 4.0
_PATIENCE_FLOOR_SECONDS = 0.4
# An engine that reads several long prompts at once sends nothing for as long.
_PROMPT_PATIENCE_SECONDS = 1.0
# Further sends of a request that no target has run yet.
_MAX_UNRUN_SENDS = 3
_BUSY_RETRY_SECONDS = 0.25
_NO_TARGET_RETRY_SECONDS = 0.7
# Statuses by which a target promises that it has not run a request; without its own
# mark for that they must not reach the caller of a call that may run only once.
_PROMISES = frozenset({408, 421, 429, 503})


@dataclass(frozen=True, slots=True)
class ForwardedCall:
    """Describe a call independently of the target that runs it.

    ``prefixes`` are the keys of the prompt's shared prefixes, the longest first.
    ``limit_at`` is the monotonic time at which the call must have its answer.
    ``version`` of the configuration and its age are those that the checks rested on.
    """

    route: Route
    service: Service
    facts: CallFacts
    team: str
    priority: int
    method: str
    target: str
    fields: Headers
    body: bytes
    prefixes: tuple[int, ...]
    limit_at: float
    version: int
    records_age_seconds: float

    @property
    def affinity(self) -> int | None:
        """Return the key that ranks the targets, or None without a prompt."""
        return self.prefixes[0] if self.prefixes else None


@dataclass(frozen=True, slots=True)
class Forwarder:
    """Hold what the calls of an instance share."""

    client: HttpClient
    codec: ExchangeCodec
    selector: TargetSelector
    warmth: PromptWarmth
    tallies: AnswerTallies
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
                suspect_target(target, str(error), self._forwarder.clock.monotonic())
                self.runs += error.request_written
                self.note_failure(target, error)
                continue
            if opened.facts.not_run:
                opened.note_first_byte()
                opened.close()
                if opened.answer.status == HTTPStatus.MISDIRECTED_REQUEST:
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

    def note_event(self, seconds: float) -> None:
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
        self.note_failure(opened.target, error, resumable=True)
        return False

    async def _send(self, target: FleetTarget, extra_headers: Headers) -> OpenCall:
        forwarder, call = self._forwarder, self._call
        sent_at = forwarder.clock.monotonic()
        loop = asyncio.get_running_loop()
        self._sends += 1
        target.health.in_flight += 1
        patience = self._patience(target)
        alarm = loop.call_later(patience, self._note_silence, target, sent_at)
        wait_seconds = self.remaining_seconds
        if call.route.may_repeat and self.runs + 1 < call.route.attempts:
            wait_seconds = min(wait_seconds, patience)
        try:
            answer = await forwarder.client.open(
                call.method,
                target.entry.address,
                call.target,
                headers=self._build_fields(target, extra_headers),
                body=call.body,
                timeout_seconds=wait_seconds,
                may_repeat=False,
                confirm=self._note_write,
            )
            facts = await self._match_answer(target, answer, loop.time() + wait_seconds)
        except TargetError as error:
            self._pending = False
            target.health.in_flight -= 1
            seconds = forwarder.clock.monotonic() - sent_at
            if error.request_written and seconds >= patience:
                self._tally(target, seconds, failed=False)
            raise
        except BaseException:
            target.health.in_flight -= 1
            raise
        finally:
            alarm.cancel()
        self._pending = False
        self._note_facts(target, facts)
        return OpenCall(
            answer, target, facts, sent_at, forwarder.clock, self._tally_answer
        )

    def _tally_answer(self, opened: OpenCall, broken: bool) -> None:
        seconds = opened.first_byte_seconds
        if opened.facts.not_run or seconds is None:
            return
        failed = broken or opened.answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        self._tally(opened.target, seconds, failed=failed)

    def _tally(self, target: FleetTarget, seconds: float, *, failed: bool) -> None:
        """Count an answer, or its absence, for the comparison of versions."""
        self._forwarder.tallies.note_answer(
            target,
            self._call.route,
            failed=failed,
            first_byte_seconds=seconds,
            now=self._forwarder.clock.monotonic(),
        )

    def _note_write(self) -> bool:
        """Note that the request is about to be written."""
        self._pending = True
        return True

    async def _match_answer(
        self, target: FleetTarget, answer: AnswerStream, limit_at: float
    ) -> AnswerFacts:
        """Return the facts of the answer that belongs to this request."""
        codec, request_id = self._forwarder.codec, self._call.facts.request_id
        facts = codec.read_answer(answer.status, answer.headers)
        while facts.request_id and facts.request_id != request_id:
            emit(
                AnswerOfOtherRequestDropped(
                    request_id, facts.request_id, target.target_id
                )
            )
            await answer.skip_to_next(limit_at)
            facts = codec.read_answer(answer.status, answer.headers)
        if answer.status < HTTPStatus.MULTIPLE_CHOICES and not (
            facts.signed and facts.request_id
        ):
            answer.close()
            raise ConnectionBrokenError(
                "the target's answer lacks its signature; it was dropped",
                request_written=True,
            )
        return facts

    def _note_facts(self, target: FleetTarget, facts: AnswerFacts) -> None:
        now = self._forwarder.clock.monotonic()
        if facts.load is not None:
            target.health.note_load(facts.load, now)
        if facts.cold_seconds is not None:
            target.note_cold(facts.cold_seconds, now)

    def _note_silence(self, target: FleetTarget, sent_at: float) -> None:
        """Suspect a target that has sent nothing at all since this request."""
        if target.health.last_byte_at < sent_at:
            why = "it sent no byte for the time that is usual"
            suspect_target(target, why, self._forwarder.clock.monotonic())

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
        wanted = Selection(
            service=call.service,
            affinity=call.affinity,
            may_repeat=call.route.may_repeat,
            excluded=self._tried,
        )
        now = self._forwarder.clock.monotonic()
        target = self._forwarder.selector.choose(wanted, now)
        if target is None:
            raise self._final_error(f"no target of {call.service.name} is left")
        return target

    def _build_fields(self, target: FleetTarget, extra_headers: Headers) -> Headers:
        replaced = {name.lower() for name, _ in extra_headers}
        kept = [field for field in self._call.fields if field[0] not in replaced]
        source = self._find_prompt_source(target)
        self._log_placement(target, source)
        own = self._forwarder.codec.write_call(
            target.target_id,
            self.remaining_seconds,
            self._call.team,
            self._call.priority,
            source,
        )
        return (*kept, *own, *extra_headers)

    def _log_placement(self, target: FleetTarget, source: str) -> None:
        call = self._call
        now = self._forwarder.clock.monotonic()
        emit(
            RequestPlaced(
                request_id=call.facts.request_id,
                route=call.route.name,
                team=call.team,
                service=call.service.name,
                target=target.target_id,
                sends=self._sends,
                left_seconds=round(self.remaining_seconds, 3),
                load=target.health.estimate_load(now),
                cold=target.is_cold(now),
                prompt_source=source,
                version=call.version,
                records_age_seconds=round(call.records_age_seconds, 2),
            )
        )

    def _find_prompt_source(self, target: FleetTarget) -> str:
        """Return the address to copy the shared prompt from, or nothing."""
        prefixes = self._call.prefixes
        warmth, now = self._forwarder.warmth, self._forwarder.clock.monotonic()
        source = warmth.find_source(prefixes, target, now)
        warmth.note_sent(prefixes, target)
        return source.entry.address if source else ""

    def _patience(self, target: FleetTarget) -> float:
        usual = target.health.first_byte_seconds * _PATIENCE_FACTOR
        reads_prompt = self._call.affinity is not None
        floor = _PROMPT_PATIENCE_SECONDS if reads_prompt else _PATIENCE_FLOOR_SECONDS
        return max(floor, usual)

    def _final_error(self, reason: str) -> CallerError:
        if self.may_have_run and self.remaining_seconds <= 0.0:
            return AnswerTimeoutError(f"no answer in time: {reason}")
        if self.may_have_run:
            return TargetFailedError(f"the call failed at its target: {reason}")
        message = f"the call was not run: {reason}"
        if self._sends:
            return TargetsBusyError(message, _BUSY_RETRY_SECONDS)
        return NoTargetError(message, _NO_TARGET_RETRY_SECONDS)


def _describe_refusal(opened: OpenCall) -> TargetRefusedError:
    status = opened.answer.status
    return TargetRefusedError(status, f"the target answered {status}")
