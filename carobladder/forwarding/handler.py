"""Checks of a caller's request and its way to a target and back."""

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from http import HTTPStatus

from carobladder.clock import Clock
from carobladder.exceptions import (
    AnswerTimeoutError,
    BadCredentialsError,
    CallerError,
    CallerGoneError,
    KnowledgeOutdatedError,
    NotReadyError,
    UnknownPathError,
)
from carobladder.fleet import CallMetadata, ExchangeCodec, Freshness, PromptPart
from carobladder.fleet.targets import FleetTarget
from carobladder.forwarding.calls import (
    CallSession,
    ForwardedCall,
    Forwarder,
)
from carobladder.forwarding.refusals import RefusalWriter
from carobladder.gateway.ports import Answer, Request, Responder
from carobladder.gateway.relay import (
    RelayTimes,
    StreamAttempt,
    StreamObserver,
    StreamRelay,
)
from carobladder.headers import Headers
from carobladder.placement.keys import choose_version, hash_parts
from carobladder.retries import EventTracker
from carobladder.routing import Route, RouteTable, Service
from carobladder.telemetry import (
    CallerLeft,
    ForwardMetrics,
    RequestAnswered,
    RequestRefused,
    StreamBroken,
    emit,
)

__all__ = ["FenceTimes", "ForwardHandler"]

# Headers that concern one connection only.
_CONNECTION_FIELDS = frozenset(
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
_STREAM_GAP_SECONDS = 1.0
_DEFAULT_TIMEOUT_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class FenceTimes:
    """Bound the age of the configuration that a decision may rest on, in seconds.

    ``keys`` holds for requests that need a key, which may have been revoked since;
    ``refusals`` for telling a caller that a key or route does not exist.
    """

    keys: float
    refusals: float


class ForwardHandler:
    """Check a request, send it to a target and answer with the target's answer."""

    def __init__(
        self,
        forwarder: Forwarder,
        codec: ExchangeCodec,
        clock: Clock,
        find_table: Callable[[], RouteTable | None],
        freshness: Freshness,
        fence: FenceTimes,
        generator: random.Random,
        metrics: ForwardMetrics,
    ) -> None:
        self._metrics = metrics
        self._forwarder = forwarder
        self._codec = codec
        self._clock = clock
        self._find_table = find_table
        self._freshness = freshness
        self._fence = fence
        self._generator = generator
        self._refusals = RefusalWriter(generator)

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer the request with a target's answer or with a refusal."""
        facts = self._codec.read_call(request.fields)
        call = None
        try:
            call = self._build_call(request, facts)
            await self._run(call, request, responder)
        except CallerError as error:
            await self._refuse(request, facts, error, responder)
        except (asyncio.CancelledError, CallerGoneError):
            seconds = round(self._clock.monotonic() - request.received, 4)
            route = call.route.name if call else ""
            emit(CallerLeft(facts.request_id, route, seconds))
            raise
        if call is not None:
            seconds = self._clock.monotonic() - request.received
            self._metrics.observe_request(call.route.name, call.team, seconds)

    def _build_call(self, request: Request, facts: CallMetadata) -> ForwardedCall:
        """Return the call; raises CallerError if the request is not allowed."""
        table = self._find_table()
        if table is None:
            raise NotReadyError("no configuration is known yet")
        path = request.target.partition("?")[0]
        route = table.find_route(facts.host, path)
        if route is None:
            raise self._doubt(UnknownPathError(f"no route for {path}"))
        team, priority = self._authenticate(table, route, facts)
        shared = facts.shared_parts
        prefixes = _hash_prefixes(shared)
        service = self._choose_service(table, route, prefixes)
        time_left = facts.time_left_seconds
        seconds = route.timeout_seconds or _DEFAULT_TIMEOUT_SECONDS
        if time_left is not None:
            seconds = min(seconds, time_left)
        return ForwardedCall(
            route=route,
            service=service,
            facts=facts,
            team=team,
            priority=priority,
            method=request.method,
            target=request.target,
            fields=self._keep_fields(request),
            body=request.body,
            prefixes=prefixes,
            prefix_tokens=tuple(part.tokens for part in reversed(shared)),
            limit_at=request.received + seconds,
            version=table.configuration.version,
            records_age_seconds=self._freshness.age(self._clock.boottime()),
        )

    def _authenticate(
        self, table: RouteTable, route: Route, facts: CallMetadata
    ) -> tuple[str, int]:
        """Return the team's name and the priority of its request."""
        if route.public or not table.needs_keys:
            return "", route.priority
        now = self._clock.boottime()
        if not self._freshness.is_within(self._fence.keys, now):
            raise KnowledgeOutdatedError(
                "the store was not read recently; keys may be revoked"
            )
        team = table.find_team(facts.key or "")
        if team is None:
            raise self._doubt(BadCredentialsError("no team has this key"))
        priority = route.priority if team.priority is None else team.priority
        return team.name, priority

    def _doubt(self, error: CallerError) -> CallerError:
        """Return the error, or that nothing is known if knowledge may be outdated."""
        now = self._clock.boottime()
        if self._freshness.is_within(self._fence.refusals, now):
            return error
        return KnowledgeOutdatedError(
            f"{error.message}, but the store was not read recently"
        )

    def _choose_service(
        self, table: RouteTable, route: Route, prefixes: tuple[int, ...]
    ) -> Service:
        shares = {share.service: share.weight for share in route.services}
        total = sum(shares.values())
        name = route.services[0].service
        if len(shares) > 1 and total > 0:
            fractions = {key: weight / total for key, weight in shares.items()}
            key = prefixes[0] if prefixes else self._generator.getrandbits(64)
            name = choose_version(key, fractions)
        service = table.find_service(name)
        if service is None:
            raise NotReadyError(f"service {name} is not declared")
        return service

    def _keep_fields(self, request: Request) -> Headers:
        listed = request.headers.get("connection", "").lower().split(",")
        named = {name.strip() for name in listed}
        named -= {name for name in named if self._codec.is_end_to_end(name)}
        dropped = _CONNECTION_FIELDS | named
        return tuple(
            (name, value)
            for name, value in request.fields
            if name not in dropped and self._codec.keep_field(name)
        )

    async def _run(
        self, call: ForwardedCall, request: Request, responder: Responder
    ) -> None:
        session = self._forwarder.start(call)
        try:
            async with asyncio.timeout(max(0.0, session.remaining_seconds)):
                if call.route.streams:
                    await self._relay(call, session, request, responder)
                else:
                    await self._answer(call, session, request, responder)
        except TimeoutError:
            if not session.may_have_run:
                raise NotReadyError("no target took the request in time") from None
            raise AnswerTimeoutError("no whole answer in time") from None

    async def _answer(
        self,
        call: ForwardedCall,
        session: CallSession,
        request: Request,
        responder: Responder,
    ) -> None:
        opened, body = await session.fetch()
        answer = opened.answer
        self._log_answer(call, request, answer.status, opened.target.target_id)
        await responder.send_answer(
            Answer(answer.status, _keep_answer_fields(answer.headers), body)
        )

    def _observe_gaps(
        self, call: ForwardedCall, session: CallSession
    ) -> Callable[[float], None]:
        observe = self._metrics.pause_observer(call.route.name, call.team)

        def note_event(seconds: float) -> None:
            session.note_event()
            observe(seconds)

        return note_event

    async def _relay(
        self,
        call: ForwardedCall,
        session: CallSession,
        request: Request,
        responder: Responder,
    ) -> None:
        resumable = call.route.may_repeat
        limit_seconds = session.remaining_seconds
        times = RelayTimes(
            first_byte_seconds=limit_seconds,
            stream_gap_seconds=_STREAM_GAP_SECONDS if resumable else limit_seconds,
        )
        observer = StreamObserver(
            monotonic=self._clock.monotonic,
            received=request.received,
            observe_first=self._metrics.first_event_observer(
                call.route.name, call.team
            ),
            observe_gap=self._observe_gaps(call, session),
        )
        relay: StreamRelay[FleetTarget] = StreamRelay(
            session,
            responder,
            times,
            observer,
            _stream_fields,
            EventTracker(),
            shows_errors=False,
        )
        error = await relay.run()
        if error is not None:
            self._log_break(call, request, error)
        elif relay.served_by is not None:
            served_by = relay.served_by.target_id
            self._log_answer(call, request, HTTPStatus.OK, served_by)

    def _log_break(
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
        """Send the error; a stream that has begun is cut by the connection."""
        self._metrics.count_refusal(error.code)
        passed_seconds = self._clock.monotonic() - request.received
        fields = self._codec.write_answer(facts.request_id)
        refusal = self._refusals.write(error, facts, passed_seconds, fields)
        table = self._find_table()
        age_seconds = self._freshness.age(self._clock.boottime())
        emit(
            RequestRefused(
                request_id=facts.request_id,
                path=request.path,
                status=error.status,
                cause=error.code,
                why=error.message,
                seconds=round(passed_seconds, 4),
                retry_seconds=refusal.retry_seconds,
                version=table.configuration.version if table else None,
                records_age_seconds=round(age_seconds, 2) if table else None,
            )
        )
        if not responder.started:
            await responder.send_answer(refusal.answer)

    def _log_answer(
        self, call: ForwardedCall, request: Request, status: int, target: str
    ) -> None:
        seconds = round(self._clock.monotonic() - request.received, 4)
        emit(
            RequestAnswered(
                call.facts.request_id, call.route.name, status, target, seconds
            )
        )


def _hash_prefixes(shared: Sequence[PromptPart]) -> tuple[int, ...]:
    """Return the keys of a prompt's shared prefixes, the longest first."""
    names = [part.part_id for part in shared]
    return tuple(
        hash_parts("prompt", *names[:length]) for length in range(len(names), 0, -1)
    )


def _keep_answer_fields(headers: Headers) -> Headers:
    return tuple(field for field in headers if field[0] not in _CONNECTION_FIELDS)


def _stream_fields(opened: StreamAttempt[FleetTarget]) -> Headers:
    return _keep_answer_fields(opened.answer.headers)
