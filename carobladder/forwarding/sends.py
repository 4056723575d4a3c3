"""Sending of a call to one target, up to the headers of its response."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol

from carobladder.clients.answers import AnswerStream
from carobladder.clients.connection import DeadlineExtender
from carobladder.clients.http import HttpClient
from carobladder.clients.timeouts import LateTimer
from carobladder.clock import Clock
from carobladder.exceptions import (
    AnswerOverdueError,
    ConnectionBrokenError,
    RequestWithheldError,
    TargetError,
)
from carobladder.fleet import (
    AnswerMetadata,
    AnswerTallies,
    CallMetadata,
    CompletionPredictor,
    ExchangeCodec,
    FleetTarget,
    Freshness,
    RouteLatencies,
    TargetTable,
    log_rate_change,
)
from carobladder.forwarding.attempts import OpenCall, suspect_target, trust_target
from carobladder.forwarding.loadmonitor import ExpectedLoad, LoadMonitor
from carobladder.forwarding.outcomes import SendOutcome
from carobladder.headers import Headers
from carobladder.routing import Route, Service
from carobladder.telemetry import (
    AnswerOfOtherRequestDropped,
    RequestPlaced,
    TargetLeaving,
    TargetPaused,
    emit,
)

__all__ = ["ForwardedCall", "PromptSourceFinder", "TargetSender"]

# No silence timer is started for a request whose deadline is this close to the silence
# timeout or before it, since such a request ends without evidence about its target.
_DEADLINE_MARGIN_SECONDS = 0.1
# Errors that are no evidence of a fault of the target.
_NON_TARGET_ERRORS = (AnswerOverdueError, RequestWithheldError)


@dataclass(frozen=True, slots=True)
class ForwardedCall:
    """Validated request of a caller, independent of the target that will run it.

    ``prefix_keys`` are the keys of the prompt's shared prefixes, the longest first, and
    ``last_part_tokens`` the sizes in tokens of the parts that end these prefixes.
    ``deadline`` is the monotonic time at which the response must be complete.
    ``configuration_version`` and ``configuration_age_seconds`` are those of the
    configuration that the request was validated against.
    """

    route: Route
    service: Service
    facts: CallMetadata
    team: str
    priority: int
    method: str
    request_target: str
    headers: Headers
    body: bytes
    prefix_keys: tuple[int, ...]
    last_part_tokens: tuple[int, ...]
    deadline: float
    configuration_version: int
    configuration_age_seconds: float

    @property
    def affinity(self) -> int | None:
        """Key by which targets are ranked, or None without a prompt."""
        return self.prefix_keys[0] if self.prefix_keys else None


class PromptSourceFinder(Protocol):
    """Lookup of targets that have a prompt prefix in their cache."""

    async def find_source(
        self, prefixes: Sequence[int], sizes: Sequence[int], target: FleetTarget
    ) -> FleetTarget | None:
        """Return a target from which ``target`` can copy a cached prompt, or None.

        ``prefixes`` are the keys of the shared prefixes, the longest first, and
        ``sizes`` the numbers of tokens of the parts that end these prefixes.
        """


@dataclass(frozen=True, slots=True)
class TargetSender:
    """Sender of calls to targets, which updates the health of each target.

    ``report_silence`` is called with a target that has sent no byte since a request,
    and with the time at which that request was sent. ``report_sent`` is called when a
    request has been counted at its target, and ``report_rate_change`` when a target has
    begun or ended to limit its rate. ``targets_freshness`` is that of the
    registered ``targets``. ``note_begun`` is called with the team of a request that a
    target has begun to run.
    """

    client: HttpClient
    codec: ExchangeCodec
    prompts: PromptSourceFinder
    tallies: AnswerTallies
    times: RouteLatencies
    loads: LoadMonitor
    predictor: CompletionPredictor
    clock: Clock
    report_silence: Callable[[FleetTarget, float], None]
    report_sent: Callable[[], None]
    report_rate_change: Callable[[], None]
    targets: TargetTable
    targets_freshness: Freshness
    note_begun: Callable[[str], None] = lambda team: None

    async def send(
        self,
        call: ForwardedCall,
        target: FleetTarget,
        extra_headers: Headers,
        send_count: int,
        timeout_seconds: float,
        on_write: Callable[[], bool],
        extend_deadline: DeadlineExtender,
        is_superseded: Callable[[], bool] = lambda: False,
    ) -> OpenCall:
        """Send the call and return the response once its headers have arrived.

        ``send_count`` is the number of sends of the call, including this one.
        ``on_write`` is called just before the request is written; the request is
        withheld if it returns False. ``extend_deadline`` is called when no response has
        come in ``timeout_seconds``. ``is_superseded`` tells of a send that is cancelled
        whether another one has won. Raises TargetError if no response arrives.
        """
        sent_at = self.clock.monotonic()
        outcome = self._build_outcome(call, target, sent_at)
        loop = asyncio.get_running_loop()
        target.health.note_sent(sent_at)
        self.report_sent()
        silence_timeout = self.compute_silence_timeout(call, target)
        silence_timer = None
        if self._remaining_seconds(call) > silence_timeout + _DEADLINE_MARGIN_SECONDS:
            silence_timer = LateTimer(
                loop.time() + silence_timeout,
                lambda: self._handle_silence(outcome, sent_at),
            )
        try:
            source = await self._find_prompt_source(call, target)
            expected_load = self.loads.note_sent(target, self.clock.monotonic())
            self._log_placement(
                call, outcome, source, send_count, expected_load, sent_at
            )
            answer = await self.client.open(
                call.method,
                target.entry.address,
                call.request_target,
                headers=self._build_headers(call, target, extra_headers, source),
                body=call.body,
                timeout_seconds=timeout_seconds,
                may_repeat=False,
                confirm=lambda: (
                    self.targets.accepts(target, self.clock.monotonic()) and on_write()
                ),
                extend_deadline=extend_deadline,
            )
            deadline = loop.time() + timeout_seconds
            facts = await self._match_answer(
                call, target, answer, deadline, extend_deadline
            )
        except TargetError as error:
            if silence_timer is not None and isinstance(error, AnswerOverdueError):
                silence_timer.finish()
            target.health.in_flight -= 1
            seconds = self.clock.monotonic() - sent_at
            if error.request_written and seconds >= silence_timeout:
                outcome.note_silence(seconds)
            if seconds >= silence_timeout or not isinstance(error, _NON_TARGET_ERRORS):
                suspect_target(target, str(error), self.clock.monotonic())
            raise
        except BaseException:
            target.health.in_flight -= 1
            if not is_superseded():
                self._record_unanswered(call, target, sent_at)
                outcome.note_silence(self.clock.monotonic() - sent_at)
            raise
        finally:
            if silence_timer is not None:
                silence_timer.cancel()
        if outcome.is_suspect and not facts.not_run:
            trust_target(target)
        self._apply_facts(call, target, facts, expected_load)
        return OpenCall(
            answer,
            target,
            facts,
            sent_at,
            self.clock,
            outcome,
            lambda: self.note_begun(call.team),
        )

    def _build_outcome(
        self, call: ForwardedCall, target: FleetTarget, sent_at: float
    ) -> SendOutcome:
        """Return the outcome of a send that is not counted at its target yet."""
        predictor = self.predictor
        prediction = predictor.predict_seconds(target, call.route, sent_at)
        return SendOutcome(
            call.route,
            target,
            self.tallies,
            self.times,
            self.clock,
            predictor,
            prediction,
        )

    def compute_silence_timeout(
        self, call: ForwardedCall, target: FleetTarget
    ) -> float:
        """Return the seconds of silence after which a target has probably failed."""
        return self.times.choose_first_byte_timeout(
            call.route.name, target, reads_prompt=call.affinity is not None
        )

    async def _match_answer(
        self,
        call: ForwardedCall,
        target: FleetTarget,
        answer: AnswerStream,
        deadline: float,
        extend_deadline: DeadlineExtender,
    ) -> AnswerMetadata:
        """Return the facts of the response to this request; skip other responses.

        Raises ConnectionBrokenError for a successful response without a signature, and
        for a refusal that may be that of an earlier request on the connection.
        """
        codec, request_id = self.codec, call.facts.request_id
        facts = codec.read_answer(answer.status, answer.headers)
        while facts.request_id and facts.request_id != request_id:
            emit(
                AnswerOfOtherRequestDropped(
                    request_id, facts.request_id, target.target_id
                )
            )
            await answer.skip_to_next(deadline, extend_deadline)
            facts = codec.read_answer(answer.status, answer.headers)
        if facts.not_run and not facts.request_id and answer.on_kept_connection:
            answer.close()
            raise ConnectionBrokenError(
                "the refusal names no request and may be that of an earlier one",
                request_written=True,
            )
        if answer.status < HTTPStatus.MULTIPLE_CHOICES and not (
            facts.signed and facts.request_id
        ):
            answer.close()
            raise ConnectionBrokenError(
                "the target's response has no signature and was discarded",
                request_written=True,
            )
        return facts

    def _apply_facts(
        self,
        call: ForwardedCall,
        target: FleetTarget,
        facts: AnswerMetadata,
        expected_load: ExpectedLoad,
    ) -> None:
        if facts.misdirected:
            # The response came from another target at the same address.
            return
        now = self.clock.monotonic()
        request_id = call.facts.request_id
        if facts.leaving and target.note_leaving():
            emit(TargetLeaving(target.target_id, request_id))
        if facts.pause_seconds is not None:
            target.note_pause(facts.pause_seconds, now)
            pause_seconds = round(target.read_pause(now), 3)
            emit(TargetPaused(target.target_id, request_id, pause_seconds))
        self._apply_rate_limit(target, facts, request_id)
        if facts.has_malformed_load:
            self.loads.note_malformed(target)
        if facts.load is not None:
            target.note_load(facts.load, now)
            self.loads.note_stated(target, expected_load, facts.load, request_id, now)
        if facts.cold_seconds is not None:
            target.note_cold(facts.cold_seconds, now)

    def _apply_rate_limit(
        self, target: FleetTarget, facts: AnswerMetadata, request_id: str
    ) -> None:
        if facts.rate_limit is None and facts.not_run:
            # Only an answer to a request that ran shows that a limit has ended.
            return
        if target.note_rate_limit(facts.rate_limit, self.clock.boottime()):
            log_rate_change(target, request_id)
            self.report_rate_change()

    def _handle_silence(self, outcome: SendOutcome, sent_at: float) -> None:
        """Suspect and report a target that has sent no byte since this request."""
        outcome.note_silence(self.clock.monotonic() - sent_at)
        target = outcome.target
        if target.health.last_byte_at < sent_at:
            reason = "it sent no byte within the silence timeout"
            suspect_target(target, reason, self.clock.monotonic())
            outcome.is_suspect = True
            self.report_silence(target, sent_at)

    def _record_unanswered(
        self, call: ForwardedCall, target: FleetTarget, sent_at: float
    ) -> None:
        """Record a request that ended unanswered while its target sent other data."""
        if target.health.last_byte_at > sent_at:
            seconds = self.clock.monotonic() - sent_at
            self.times.note_unanswered(call.route.name, seconds)

    def _build_headers(
        self,
        call: ForwardedCall,
        target: FleetTarget,
        extra_headers: Headers,
        source: str,
    ) -> Headers:
        replaced = {name.lower() for name, _ in extra_headers}
        caller_headers = [
            header for header in call.headers if header[0] not in replaced
        ]
        fleet_headers = self.codec.write_call(
            target.target_id,
            self._remaining_seconds(call),
            call.team,
            call.priority,
            source,
        )
        return (*caller_headers, *fleet_headers, *extra_headers)

    def _log_placement(
        self,
        call: ForwardedCall,
        outcome: SendOutcome,
        source: str,
        send_count: int,
        expected_load: ExpectedLoad,
        sent_at: float,
    ) -> None:
        target, prediction = outcome.target, outcome.prediction
        latest_load = target.health.read_latest_load(sent_at)
        now = self.clock.monotonic()
        targets_age = self.targets_freshness.age(self.clock.boottime())
        emit(
            RequestPlaced(
                request_id=call.facts.request_id,
                route=call.route.name,
                team=call.team,
                service=call.service.name,
                target=target.target_id,
                sends=send_count,
                left_seconds=round(self._remaining_seconds(call), 3),
                load=_round_load(target.health.estimate_load(now)),
                load_bound=round(expected_load.bound, 1),
                cold=target.is_cold(now),
                prompt_source=source,
                version=call.configuration_version,
                records_age_seconds=round(call.configuration_age_seconds, 2),
                targets_age_seconds=round(targets_age, 2),
                rate_limit=target.rate_limit,
                predicted_seconds=round(prediction.seconds, 3),
                slowness=round(prediction.seconds / prediction.usual_seconds, 2),
                slowness_age_seconds=_round_age(target.slowness.read_age(sent_at)),
                load_age_seconds=_round_age(latest_load and latest_load[1]),
            )
        )

    async def _find_prompt_source(
        self, call: ForwardedCall, target: FleetTarget
    ) -> str:
        """Return the address to copy the shared prompt from, or an empty string."""
        source = await self.prompts.find_source(
            call.prefix_keys, call.last_part_tokens, target
        )
        return source.entry.address if source else ""

    def _remaining_seconds(self, call: ForwardedCall) -> float:
        return max(0.0, call.deadline - self.clock.monotonic())


def _round_age(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 2)


def _round_load(load: float | None) -> float | None:
    return None if load is None else round(load, 1)
