"""Checks of a caller's request and its way to a target and back."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

from carobladder.clock import Clock
from carobladder.exceptions import (
    AnswerTimeoutError,
    BadCredentialsError,
    CallerError,
    KnowledgeOutdatedError,
    NotReadyError,
    UnknownPathError,
)
from carobladder.fleet import CallFacts, ExchangeCodec, Freshness
from carobladder.fleet.targets import FleetTarget
from carobladder.forwarding.calls import (
    CallSession,
    ForwardedCall,
    Forwarder,
    Headers,
)
from carobladder.gateway.ports import Answer, Request, Responder
from carobladder.gateway.problems import encode_problem
from carobladder.gateway.relay import (
    RelayTimes,
    StreamAttempt,
    StreamObserver,
    StreamRelay,
)
from carobladder.placement.keys import choose_version, hash_parts
from carobladder.retries import EventTracker
from carobladder.routing import Route, RouteTable, Service
from carobladder.telemetry import ForwardMetrics, log_event

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
_NOT_READY_RETRY_SECONDS = 0.3
# A caller waits at most this part of its time for a retry.
_RETRY_PART = 0.3
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

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer the request with a target's answer or with a refusal."""
        facts = self._codec.read_call(request.fields)
        call = None
        try:
            call = self._build_call(request, facts)
            await self._run(call, request, responder)
        except CallerError as error:
            self._metrics.count_refusal(error.code)
            self._log_end(request, facts, error.status, error)
            if not responder.started:
                await responder.send_answer(self._refuse(request, facts, error))
        if call is not None:
            seconds = self._clock.monotonic() - request.received
            self._metrics.observe_request(call.route.name, call.team, seconds)

    def _build_call(self, request: Request, facts: CallFacts) -> ForwardedCall:
        """Return the call; raises CallerError if the request is not allowed."""
        table = self._find_table()
        if table is None:
            raise NotReadyError("no configuration is known yet")
        path = request.target.partition("?")[0]
        route = table.find_route(facts.host, path)
        if route is None:
            raise self._doubt(UnknownPathError(f"no route for {path}"))
        team, priority = self._authenticate(table, route, facts)
        affinity = _find_affinity(facts)
        service = self._choose_service(table, route, affinity)
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
            affinity=affinity,
            limit_at=request.received + seconds,
        )

    def _authenticate(
        self, table: RouteTable, route: Route, facts: CallFacts
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
        self, table: RouteTable, route: Route, affinity: int | None
    ) -> Service:
        shares = {share.service: share.weight for share in route.services}
        total = sum(shares.values())
        name = route.services[0].service
        if len(shares) > 1 and total > 0:
            fractions = {key: weight / total for key, weight in shares.items()}
            key = self._generator.getrandbits(64) if affinity is None else affinity
            name = choose_version(key, fractions)
        service = table.find_service(name)
        if service is None:
            raise NotReadyError(f"service {name} is not declared")
        return service

    def _keep_fields(self, request: Request) -> Headers:
        named = request.headers.get("connection", "").lower().split(",")
        dropped = _CONNECTION_FIELDS.union(name.strip() for name in named) - {"host"}
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
        self._log_end(request, call.facts, answer.status, target=opened.target)
        await responder.send_answer(
            Answer(answer.status, _keep_answer_fields(answer.headers), body)
        )

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
            observe_first=self._metrics.first_event_observer(call.route.name),
            observe_gap=session.note_event,
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
            self._metrics.count_broken_stream(error.code)
        status = HTTPStatus.OK if error is None else error.status
        self._log_end(request, call.facts, status, error, target=relay.served_by)

    def _refuse(self, request: Request, facts: CallFacts, error: CallerError) -> Answer:
        headers = [
            ("Content-Type", "application/json"),
            *self._codec.write_answer(facts.request_id),
        ]
        if error.status in (
            HTTPStatus.SERVICE_UNAVAILABLE,
            HTTPStatus.TOO_MANY_REQUESTS,
        ):
            seconds = self._spread_retry(request, facts, error)
            headers.append(("Retry-After", f"{seconds:.3f}"))
        return Answer(error.status, tuple(headers), encode_problem(error))

    def _spread_retry(
        self, request: Request, facts: CallFacts, error: CallerError
    ) -> float:
        """Return when to come back, spread so that callers do not come together."""
        seconds = error.retry_after_seconds or _NOT_READY_RETRY_SECONDS
        seconds *= 1.0 + self._generator.random()
        if facts.time_left_seconds is not None:
            passed = self._clock.monotonic() - request.received
            left = max(0.0, facts.time_left_seconds - passed)
            seconds = min(seconds, left * _RETRY_PART)
        return seconds

    def _log_end(
        self,
        request: Request,
        facts: CallFacts,
        status: int,
        error: CallerError | None = None,
        target: FleetTarget | None = None,
    ) -> None:
        log_event(
            "request answered",
            request_id=facts.request_id,
            path=request.path,
            status=int(status),
            seconds=round(self._clock.monotonic() - request.received, 4),
            target=target.target_id if target else "",
            reason=error.message if error else "",
        )


def _find_affinity(facts: CallFacts) -> int | None:
    """Return the key of the longest prompt prefix that other requests share.

    The last part belongs to the request itself, so the part before it decides.
    """
    if not facts.prompt:
        return None
    shared = facts.prompt[:-1] or facts.prompt
    return hash_parts("prompt", shared[-1].part_id)


def _keep_answer_fields(headers: Headers) -> Headers:
    return tuple(field for field in headers if field[0] not in _CONNECTION_FIELDS)


def _stream_fields(opened: StreamAttempt[FleetTarget]) -> Headers:
    return _keep_answer_fields(opened.answer.headers)
