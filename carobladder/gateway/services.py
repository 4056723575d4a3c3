"""Calls to plain services, including calls that may run at most once."""

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from carobladder.exceptions import (
    CallerError,
    ConnectionBrokenError,
    DeadlineExceededError,
    IdempotencyKeyError,
    NotReadyError,
    UnknownOutcomeError,
    UnknownPathError,
)
from carobladder.gateway.attempts import (
    CallSession,
    TargetCall,
    TargetCaller,
)
from carobladder.gateway.ports import (
    Answer,
    Bookings,
    Directory,
    Ranking,
    Request,
    Responder,
    ServiceAnswer,
    ServiceRoute,
    Team,
)
from carobladder.gateway.requests import authenticate, read_deadline, read_request_class
from carobladder.headers import Headers
from carobladder.targets import RequestClass, TargetState

__all__ = ["OUTCOME_PATH", "ServiceHandler", "ServiceOptions"]

OUTCOME_PATH = "/v1/outcomes/"
_HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# The team's key must not reach a service, and the other headers are meant for the
# gateway or are replaced by it.
_DROPPED_REQUEST_HEADERS = frozenset(
    {
        "authorization",
        "content-length",
        "expect",
        "host",
        "x-chat-id",
        "x-chat-token",
        "x-deadline-ms",
        "x-request-class",
        "x-request-id",
    }
)
_DROPPED_ANSWER_HEADERS = frozenset({"content-length", "date", "x-request-id"})


@dataclass(frozen=True, slots=True)
class ServiceOptions:
    """Settings of plain services."""

    default_deadline_seconds: float = 60.0
    first_byte_seconds: float = 20.0


class ServiceHandler:
    """Handler that forwards requests to the service of their path."""

    def __init__(
        self,
        directory: Directory,
        bookings: Bookings,
        caller: TargetCaller,
        options: ServiceOptions,
        generator: random.Random,
    ) -> None:
        self._directory = directory
        self._bookings = bookings
        self._caller = caller
        self._options = options
        self._generator = generator
        self._running: set[asyncio.Task[ServiceAnswer]] = set()

    async def handle(self, request: Request, responder: Responder) -> None:
        """Respond with the result of a service call, or the outcome of a key."""
        team = authenticate(request, self._directory)
        if request.method == "GET" and request.path.startswith(OUTCOME_PATH):
            answer = await self._fetch_outcome(team, request)
            await responder.send_answer(_to_answer(answer))
            return
        route = self._directory.find_route(team, request.method, request.path)
        if route is None:
            raise UnknownPathError(f"no service declares {request.path}")
        default = RequestClass.SHORT if route.repeatable else RequestClass.BOOKING
        request_class = read_request_class(request, default)
        call = self._build_call(request, team, route, request_class)
        if route.repeatable:
            answer = await self._fetch(self._caller.start(call))
        else:
            answer = await self._start_booking(request, team, route, call)
        await responder.send_answer(_to_answer(answer))
        seconds = self._caller.clock.monotonic() - request.received
        self._caller.metrics.observe_request(team.name, request_class, seconds)

    async def finish_bookings(self) -> None:
        """Wait for the bookings that are still running after their callers left."""
        while self._running:
            await asyncio.wait(self._running)

    def _build_call(
        self,
        request: Request,
        team: Team,
        route: ServiceRoute,
        request_class: RequestClass,
    ) -> TargetCall:
        options = self._options
        deadline = read_deadline(request, options.default_deadline_seconds)
        if self._caller.clock.monotonic() >= deadline:
            raise DeadlineExceededError("the deadline passed before the call was sent")
        # If a booking is aborted early, its outcome is unknown.
        first_byte_seconds = (
            options.first_byte_seconds
            if route.repeatable
            else max(options.first_byte_seconds, deadline - request.received)
        )
        query = f"?{request.query}" if request.query else ""
        return TargetCall(
            team=team,
            request_class=request_class,
            pool=route.service,
            list_targets=lambda: self._directory.list_targets(route.service),
            rank=self._rank_targets,
            method=request.method,
            path=request.path + query,
            headers=_filter_request_headers(request),
            body=request.body,
            request_id=request.request_id,
            deadline=deadline,
            first_byte_seconds=first_byte_seconds,
            repeatable=route.repeatable,
        )

    def _rank_targets(
        self, targets: Sequence[TargetState], version: str | None
    ) -> Ranking:
        """Return the usable targets in random order, as services have no cache."""
        usable = [t.target_id for t in targets if t.ready and not t.leaving]
        self._generator.shuffle(usable)
        return Ranking(usable)

    async def _start_booking(
        self, request: Request, team: Team, route: ServiceRoute, call: TargetCall
    ) -> ServiceAnswer:
        key = request.headers.get("idempotency-key", "").strip()
        if not key:
            raise IdempotencyKeyError(
                "this call may run at most once and needs an Idempotency-Key header"
            )
        task = asyncio.create_task(self._run_booking(request, team, route, call, key))
        self._running.add(task)
        task.add_done_callback(self._discard_booking)
        # A caller that disconnects does not cancel the booking, because the outcome of
        # an aborted call is unknown.
        return await asyncio.shield(task)

    def _discard_booking(self, task: asyncio.Task[ServiceAnswer]) -> None:
        self._running.discard(task)
        if not task.cancelled():
            # Marks the error as retrieved even if the caller has disconnected.
            task.exception()

    async def _run_booking(
        self,
        request: Request,
        team: Team,
        route: ServiceRoute,
        call: TargetCall,
        key: str,
    ) -> ServiceAnswer:
        refusal: CallerError | None = None

        async def run() -> ServiceAnswer:
            nonlocal refusal
            session = self._caller.start(call)
            try:
                return await self._fetch(session)
            except CallerError as error:
                if not session.may_have_run:
                    refusal = error
                raise ConnectionBrokenError(
                    error.message, request_written=session.may_have_run
                ) from error

        try:
            return await self._bookings.run_once(
                team, route, key, run, fingerprint=_compute_fingerprint(request)
            )
        except NotReadyError:
            # The original error has the status and the retry time.
            if refusal is not None:
                raise refusal from None
            raise

    async def _fetch(self, session: CallSession) -> ServiceAnswer:
        answer = await session.fetch()
        return ServiceAnswer(
            answer.status, _filter_answer_headers(answer.headers), answer.body
        )

    async def _fetch_outcome(self, team: Team, request: Request) -> ServiceAnswer:
        key = request.path.removeprefix(OUTCOME_PATH)
        answer = await self._bookings.find_outcome(team, key)
        if answer is None:
            raise UnknownOutcomeError(f"no outcome of key {key!r} is recorded")
        return answer


def _to_answer(answer: ServiceAnswer) -> Answer:
    return Answer(answer.status, answer.headers, answer.body)


def _compute_fingerprint(request: Request) -> str:
    """Return a hash that distinguishes requests with the same key."""
    digest = xxhash.xxh3_128()
    for part in (request.method, request.path, request.query):
        digest.update(part.encode("latin-1"))
        digest.update(b"\0")
    digest.update(request.body)
    return digest.hexdigest()


def _filter_request_headers(request: Request) -> Headers:
    dropped = (
        _HOP_BY_HOP_HEADERS
        | _DROPPED_REQUEST_HEADERS
        | _parse_connection_options(request.headers.get("connection", ""))
    )
    kept = [(n, v) for n, v in request.headers.items() if n not in dropped]
    return (*kept, ("X-Request-Id", request.request_id))


def _filter_answer_headers(headers: Headers) -> Headers:
    connection = ",".join(value for name, value in headers if name == "connection")
    dropped = (
        _HOP_BY_HOP_HEADERS
        | _DROPPED_ANSWER_HEADERS
        | _parse_connection_options(connection)
    )
    return tuple((name, value) for name, value in headers if name not in dropped)


def _parse_connection_options(value: str) -> frozenset[str]:
    return frozenset(name.strip().lower() for name in value.split(","))
