"""Plain services and the outcomes of their calls that must not repeat."""

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
from carobladder.gateway.requests import authenticate, read_class, read_deadline
from carobladder.headers import Headers
from carobladder.targets import RequestClass, TargetState

__all__ = ["OUTCOME_PATH", "ServiceHandler", "ServiceOptions"]

OUTCOME_PATH = "/v1/outcomes/"
_HOP_HEADERS = frozenset(
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
# The team's key and the fleet's own headers are of no use to a service.
_PRIVATE_HEADERS = frozenset(
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
_ANSWER_PRIVATE_HEADERS = frozenset({"content-length", "date", "x-request-id"})


@dataclass(frozen=True, slots=True)
class ServiceOptions:
    """Hold the settings of plain services."""

    default_deadline_seconds: float = 60.0
    first_byte_seconds: float = 20.0


class ServiceHandler:
    """Call the service that a path belongs to."""

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
        """Answer a path that a service declares, or the outcome of a key."""
        team = authenticate(request, self._directory)
        if request.method == "GET" and request.path.startswith(OUTCOME_PATH):
            answer = await self._find_outcome(team, request)
            await responder.send_answer(_to_answer(answer))
            return
        route = self._directory.find_route(team, request.method, request.path)
        if route is None:
            raise UnknownPathError(f"no service declares {request.path}")
        default = RequestClass.SHORT if route.repeatable else RequestClass.BOOKING
        request_class = read_class(request, default)
        call = self._build_call(request, team, route, request_class)
        if route.repeatable:
            answer = await self._fetch(self._caller.start(call))
        else:
            answer = await self._book(request, team, route, call)
        await responder.send_answer(_to_answer(answer))
        seconds = self._caller.clock.monotonic() - request.received
        self._caller.metrics.observe_request(team.name, request_class, seconds)

    async def finish(self) -> None:
        """Wait for the bookings whose caller went away."""
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
            raise DeadlineExceededError("the deadline passed before the start")
        # A booking that is cut early leaves its outcome in doubt.
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
            rank=self._rank,
            method=request.method,
            path=request.path + query,
            headers=_forward_headers(request),
            body=request.body,
            request_id=request.request_id,
            deadline=deadline,
            first_byte_seconds=first_byte_seconds,
            repeatable=route.repeatable,
        )

    def _rank(self, targets: Sequence[TargetState], version: str | None) -> Ranking:
        """Return the usable targets in random order; a service caches nothing."""
        usable = [t.target_id for t in targets if t.ready and not t.leaving]
        self._generator.shuffle(usable)
        return Ranking(usable)

    async def _book(
        self, request: Request, team: Team, route: ServiceRoute, call: TargetCall
    ) -> ServiceAnswer:
        key = request.headers.get("idempotency-key", "").strip()
        if not key:
            raise IdempotencyKeyError("this call must not repeat and needs a key")
        task = asyncio.create_task(self._run_booking(request, team, route, call, key))
        self._running.add(task)
        task.add_done_callback(self._forget)
        # A caller that goes away does not cancel the booking, because a cut call
        # would leave its outcome in doubt.
        return await asyncio.shield(task)

    def _forget(self, task: asyncio.Task[ServiceAnswer]) -> None:
        self._running.discard(task)
        if not task.cancelled():
            # Marks the error as seen when the caller has gone.
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
                if not session.written:
                    refusal = error
                raise ConnectionBrokenError(
                    error.message, request_written=session.written
                ) from error

        try:
            return await self._bookings.run_once(
                team, route, key, run, fingerprint=_fingerprint(request)
            )
        except NotReadyError:
            # The refusal knows the status and the retry time of "not run".
            if refusal is not None:
                raise refusal from None
            raise

    async def _fetch(self, session: CallSession) -> ServiceAnswer:
        answer = await session.fetch()
        return ServiceAnswer(answer.status, _relay_headers(answer.headers), answer.body)

    async def _find_outcome(self, team: Team, request: Request) -> ServiceAnswer:
        key = request.path.removeprefix(OUTCOME_PATH)
        answer = await self._bookings.find_outcome(team, key)
        if answer is None:
            raise UnknownOutcomeError(f"no outcome of key {key!r} is recorded")
        return answer


def _to_answer(answer: ServiceAnswer) -> Answer:
    return Answer(answer.status, answer.headers, answer.body)


def _fingerprint(request: Request) -> str:
    """Return a hash that tells another request with the same key apart."""
    digest = xxhash.xxh3_128()
    for part in (request.method, request.path, request.query):
        digest.update(part.encode("latin-1"))
        digest.update(b"\0")
    digest.update(request.body)
    return digest.hexdigest()


def _forward_headers(request: Request) -> Headers:
    dropped = (
        _HOP_HEADERS
        | _PRIVATE_HEADERS
        | _named_by_connection(request.headers.get("connection", ""))
    )
    kept = [(n, v) for n, v in request.headers.items() if n not in dropped]
    return (*kept, ("X-Request-Id", request.request_id))


def _relay_headers(headers: Headers) -> Headers:
    connection = ",".join(value for name, value in headers if name == "connection")
    dropped = _HOP_HEADERS | _ANSWER_PRIVATE_HEADERS | _named_by_connection(connection)
    return tuple((name, value) for name, value in headers if name not in dropped)


def _named_by_connection(value: str) -> frozenset[str]:
    return frozenset(name.strip().lower() for name in value.split(","))
