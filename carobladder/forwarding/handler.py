"""Validation of requests, and forwarding of requests and responses."""

import asyncio
import random
from collections.abc import Callable, Sequence
from http import HTTPStatus

from carobladder.clock import Clock
from carobladder.exceptions import (
    AnswerTimeoutError,
    BadCredentialsError,
    CallerError,
    CallerGoneError,
    NotReadyError,
    ShuttingDownError,
    TargetFailedError,
    UnknownPathError,
)
from carobladder.fleet import CallMetadata, ExchangeCodec, Freshness, PromptPart
from carobladder.fleet.targets import FleetTarget
from carobladder.forwarding.calls import (
    CallSession,
    ForwardedCall,
    Forwarder,
)
from carobladder.forwarding.durations import RouteDurations
from carobladder.forwarding.heads import (
    SHUTDOWN_RETRY_SECONDS,
    ConfigurationAgeLimits,
    HeadValidator,
)
from carobladder.forwarding.patience import compute_max_pause
from carobladder.forwarding.refusals import RefusalWriter
from carobladder.gateway.ports import Answer, Request, Responder
from carobladder.gateway.relay import (
    RelayTimeouts,
    StreamAttempt,
    StreamObserver,
    StreamRelay,
)
from carobladder.headers import Headers
from carobladder.memory import MemoryBudget
from carobladder.placement.keys import choose_version, hash_parts
from carobladder.retries import EventIdTracker
from carobladder.routing import Route, RouteTable, Service
from carobladder.telemetry import (
    CallerLeft,
    ForwardMetrics,
    RequestAnswered,
    RequestRefused,
    StreamBroken,
    emit,
)

__all__ = ["ForwardHandler"]

# Headers that apply to a single connection and are not forwarded.
_HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
    }
)
# Statuses of errors that state that the request was not run.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Errors that a request gets however long its body takes. Others may be over by then.
_LASTING_ERRORS = (UnknownPathError, BadCredentialsError, ShuttingDownError)


class ForwardHandler:
    """Handler that validates requests and forwards them to targets."""

    def __init__(
        self,
        forwarder: Forwarder,
        codec: ExchangeCodec,
        clock: Clock,
        find_table: Callable[[], RouteTable | None],
        freshness: Freshness,
        age_limits: ConfigurationAgeLimits,
        generator: random.Random,
        metrics: ForwardMetrics,
        memory: MemoryBudget,
    ) -> None:
        self._metrics = metrics
        self._memory = memory
        self._forwarder = forwarder
        self._codec = codec
        self._clock = clock
        self._find_table = find_table
        self._freshness = freshness
        self._generator = generator
        self._refusals = RefusalWriter(generator)
        self._durations = RouteDurations(clock)
        self._heads = HeadValidator(
            clock, find_table, freshness, age_limits, self._durations
        )

    async def handle(self, request: Request, responder: Responder) -> None:
        """Send the response of a target, or a refusal, to the caller."""
        facts = self._codec.read_call(request.fields)
        call = None
        answer = None
        was_refused = False
        try:
            call = self._build_call(request, facts)
            with self._durations.track(call.route.name, request.received):
                answer = await self._forward(call, request, responder)
        except CallerError as error:
            was_refused = error.status in _NOT_RUN_STATUSES
            await self._refuse(request, facts, error, responder)
        except (asyncio.CancelledError, CallerGoneError):
            seconds = self._clock.monotonic() - request.received
            route = call.route.name if call else ""
            if call is not None:
                self._durations.note(route, seconds, has_ended=False)
            emit(CallerLeft(facts.request_id, route, round(seconds, 4)))
            raise
        if call is not None:
            seconds = self._clock.monotonic() - request.received
            self._metrics.observe_request(call.route.name, call.team, seconds)
            # A refusal says nothing of the time that a request takes.
            if not was_refused:
                self._durations.note(call.route.name, seconds)
        if answer is not None:
            # The request is answered, however long its caller takes to read.
            await responder.send_answer(answer)

    def check_head(self, request: Request) -> None:
        """Raise the CallerError that the head decides, whatever the body is."""
        try:
            self._heads.validate(request, self._codec.read_call(request.fields))
        except _LASTING_ERRORS:
            raise
        except CallerError:
            return

    async def refuse(
        self, request: Request, error: CallerError, responder: Responder
    ) -> None:
        """Log, count and send an error to a request without its body."""
        facts = self._codec.read_call(request.fields)
        await self._refuse(request, facts, error, responder)

    def _build_call(self, request: Request, facts: CallMetadata) -> ForwardedCall:
        """Return the call, or raise CallerError if the request is not allowed."""
        head = self._heads.validate(request, facts)
        shared_parts = facts.shared_parts
        prefix_keys = _compute_prefix_keys(shared_parts)
        return ForwardedCall(
            route=head.route,
            service=self._choose_service(head.table, head.route, prefix_keys),
            facts=facts,
            team=head.team,
            priority=head.priority,
            method=request.method,
            request_target=request.target,
            headers=self._filter_request_headers(request),
            body=request.body,
            prefix_keys=prefix_keys,
            last_part_tokens=tuple(part.tokens for part in reversed(shared_parts)),
            deadline=head.deadline,
            configuration_version=head.table.configuration.version,
            configuration_age_seconds=self._freshness.age(self._clock.boottime()),
        )

    def _choose_service(
        self, table: RouteTable, route: Route, prefix_keys: tuple[int, ...]
    ) -> Service:
        weights: dict[str, float] = {}
        for share in route.services:
            if share.weight > 0:
                name = share.service
                weights[name] = weights.get(name, 0.0) + share.weight
        if not weights:
            raise NotReadyError("no service of the route has a weight above 0")
        name = next(iter(weights))
        if len(weights) > 1:
            total = sum(weights.values())
            fractions = {key: weight / total for key, weight in weights.items()}
            key = prefix_keys[0] if prefix_keys else self._generator.getrandbits(64)
            name = choose_version(key, fractions)
        service = table.find_service(name)
        if service is None:
            raise NotReadyError(f"service {name} is not declared")
        return service

    def _filter_request_headers(self, request: Request) -> Headers:
        listed = request.headers.get("connection", "").lower().split(",")
        connection_options = {name.strip() for name in listed}
        connection_options -= {
            name for name in connection_options if self._codec.is_end_to_end(name)
        }
        excluded = _HOP_BY_HOP_HEADERS | connection_options
        return tuple(
            (name, value)
            for name, value in request.fields
            if name not in excluded and self._codec.keep_field(name)
        )

    async def _forward(
        self, call: ForwardedCall, request: Request, responder: Responder
    ) -> Answer | None:
        """Return the answer to send, or None after a stream."""
        session = self._forwarder.start(call)
        if not session.remaining_seconds:
            # The timeout below would end only after a send on a kept connection.
            raise NotReadyError("the deadline has passed before the request was sent")
        try:
            async with asyncio.timeout(max(0.0, session.remaining_seconds)):
                if not call.route.is_streaming:
                    return await self._fetch_answer(call, session, request)
                await self._forward_stream(call, session, request, responder)
                return None
        except TimeoutError:
            if not session.may_have_run:
                raise NotReadyError(
                    "no target accepted the request before its deadline"
                ) from None
            raise AnswerTimeoutError(
                "no complete response before the deadline"
            ) from None
        except asyncio.CancelledError:
            if not responder.ended or responder.started:
                raise
            _clear_cancellation()
            raise self._build_end_error(session) from None

    def _build_end_error(self, session: CallSession) -> CallerError:
        """Return the error of a call without a response at the end of the instance."""
        reason = "the instance ended before the response"
        if session.may_have_run:
            return TargetFailedError(reason)
        return ShuttingDownError(reason, SHUTDOWN_RETRY_SECONDS)

    async def _fetch_answer(
        self, call: ForwardedCall, session: CallSession, request: Request
    ) -> Answer:
        opened, body = await session.fetch()
        answer = opened.answer
        session.note_whole_answer()
        self._log_response(call, request, answer.status, opened.target.target_id)
        return Answer(answer.status, _drop_hop_by_hop_headers(answer.headers), body)

    def _build_gap_observer(
        self, call: ForwardedCall, session: CallSession
    ) -> Callable[[float], None]:
        observe = self._metrics.create_pause_observer(call.route.name, call.team)

        def observe_gap(seconds: float) -> None:
            session.note_event()
            observe(seconds)

        return observe_gap

    async def _forward_stream(
        self,
        call: ForwardedCall,
        session: CallSession,
        request: Request,
        responder: Responder,
    ) -> None:
        resumable = call.route.may_repeat
        remaining_seconds = session.remaining_seconds
        timeouts = RelayTimeouts(
            first_byte_seconds=remaining_seconds,
            stream_gap_seconds=compute_max_pause(call.route)
            if resumable
            else remaining_seconds,
        )
        observer = StreamObserver(
            monotonic=self._clock.monotonic,
            received=request.received,
            observe_first=self._metrics.create_first_event_observer(
                call.route.name, call.team
            ),
            observe_gap=self._build_gap_observer(call, session),
        )
        relay: StreamRelay[FleetTarget] = StreamRelay(
            session,
            responder,
            timeouts,
            observer,
            _select_stream_headers,
            EventIdTracker(self._memory),
            sends_error_event=False,
            extend_wait=session.extend_wait,
        )
        error = await relay.run()
        if error is not None:
            self._log_broken_stream(call, request, error)
        elif relay.served_by is not None:
            session.note_whole_answer()
            served_by = relay.served_by.target_id
            self._log_response(call, request, HTTPStatus.OK, served_by)

    def _log_broken_stream(
        self, call: ForwardedCall, request: Request, error: CallerError
    ) -> None:
        self._metrics.count_broken_stream(error.code)
        seconds = round(self._clock.monotonic() - request.received, 4)
        emit(
            StreamBroken(
                call.facts.request_id,
                call.route.name,
                error.code,
                error.message,
                seconds,
            )
        )

    async def _refuse(
        self,
        request: Request,
        facts: CallMetadata,
        error: CallerError,
        responder: Responder,
    ) -> None:
        """Log the error and send it unless the response has already started.

        A response that has started is cut off by closing the connection.
        """
        self._metrics.count_refusal(error.code)
        elapsed_seconds = self._clock.monotonic() - request.received
        self._metrics.observe_refusal_time(error.code, elapsed_seconds)
        fields = self._codec.write_answer(facts.request_id)
        refusal = self._refusals.write(error, facts, elapsed_seconds, fields)
        table = self._find_table()
        age_seconds = self._freshness.age(self._clock.boottime())
        emit(
            RequestRefused(
                request_id=facts.request_id,
                path=request.path,
                status=error.status,
                cause=error.code,
                why=error.message,
                seconds=round(elapsed_seconds, 4),
                retry_seconds=refusal.retry_seconds,
                version=table.configuration.version if table else None,
                records_age_seconds=round(age_seconds, 2) if table else None,
            )
        )
        if not responder.started:
            await responder.send_answer(refusal.answer)

    def _log_response(
        self, call: ForwardedCall, request: Request, status: int, target: str
    ) -> None:
        seconds = round(self._clock.monotonic() - request.received, 4)
        emit(
            RequestAnswered(
                call.facts.request_id, call.route.name, status, target, seconds
            )
        )


def _clear_cancellation() -> None:
    """Let the task of a request that was cancelled go on to its response."""
    task = asyncio.current_task()
    assert task is not None
    task.uncancel()


def _compute_prefix_keys(shared_parts: Sequence[PromptPart]) -> tuple[int, ...]:
    """Return the keys of the shared prefixes of a prompt, the longest first."""
    part_ids = [part.part_id for part in shared_parts]
    return tuple(
        hash_parts("prompt", *part_ids[:length])
        for length in range(len(part_ids), 0, -1)
    )


def _drop_hop_by_hop_headers(headers: Headers) -> Headers:
    return tuple(field for field in headers if field[0] not in _HOP_BY_HOP_HEADERS)


def _select_stream_headers(opened: StreamAttempt[FleetTarget]) -> Headers:
    return _drop_hop_by_hop_headers(opened.answer.headers)
