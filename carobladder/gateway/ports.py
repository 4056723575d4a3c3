"""Data types and protocols shared between the gateway and the rest of the instance."""

from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from carobladder.exceptions import CallerError
from carobladder.headers import Headers
from carobladder.targets import (
    CLASS_PRIORITY,
    CLASS_WEIGHT,
    RequestClass,
    TargetState,
)

__all__ = [
    "Admission",
    "Answer",
    "Bookings",
    "ChatRequest",
    "ChatTurn",
    "Directory",
    "Handler",
    "HeadHandler",
    "Permit",
    "Placement",
    "Ranking",
    "Request",
    "Responder",
    "ServerEnd",
    "ServiceAnswer",
    "ServiceRoute",
    "SlotRequest",
    "TargetOutcome",
    "Team",
]


@dataclass(frozen=True, slots=True)
class Team:
    """Properties of a team that affect its requests.

    ``weight`` is the team's relative share of contended slots.
    """

    name: str
    weight: float = 1.0
    models: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class ServiceRoute:
    """Route from a path prefix to a plain service.

    ``repeatable`` is false for calls that may run at most once. ``lookup_path`` is the
    path of an outcome lookup, with the placeholder ``{key}`` for the idempotency key;
    it is empty if the service has none.
    """

    service: str
    path_prefix: str
    repeatable: bool
    lookup_path: str = ""


class Directory(Protocol):
    """Teams, routes and targets in the active configuration."""

    @property
    def ready(self) -> bool:
        """Whether a configuration is active."""

    def find_team(self, credential: str) -> Team | None:
        """Return the team of a credential, or None."""

    def find_route(self, team: Team, method: str, path: str) -> ServiceRoute | None:
        """Return the team's service route for a path, or None."""

    def find_service(self, service: str) -> ServiceRoute | None:
        """Return the route of the service with this name, or None."""

    def list_targets(self, pool: str) -> Sequence[TargetState]:
        """Return the targets of a model or service."""

    def version_shares(self, model: str) -> dict[str, float]:
        """Return the traffic share of each version of a model; they sum to 1."""


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """Request for slots on the first of the ranked targets with free slots.

    ``deadline`` is in monotonic seconds. The request waits up to ``sticky_seconds``
    for the first target before it uses the next ones, and up to ``near_seconds`` for
    one of the first ``near_count`` targets before it uses the rest.
    """

    team: Team
    request_class: RequestClass
    pool: str
    ranked: Sequence[str]
    deadline: float
    sticky_seconds: float = 0.0
    near_count: int = 1
    near_seconds: float = 0.0

    @property
    def priority(self) -> int:
        """Priority of the request's class; smaller numbers are served first."""
        return CLASS_PRIORITY[self.request_class]

    @property
    def weight(self) -> int:
        """Slots that the request needs."""
        return CLASS_WEIGHT[self.request_class]


class Permit(Protocol):
    """Slots of one target, reserved until they are released."""

    @property
    def target(self) -> TargetState:
        """Target that the slots belong to."""

    def is_valid(self) -> bool:
        """Return whether the lease that covers the slots has not expired."""

    def release(
        self, *, failed: bool = False, first_byte_seconds: float | None = None
    ) -> None:
        """Release the slots and record whether the target failed."""


class Admission(Protocol):
    """Admission control, which assigns requests to targets with free slots."""

    async def acquire(self, request: SlotRequest) -> Permit:
        """Return a permit, after waiting in the queue if necessary.

        Raises NoCapacityError with a retry time if the deadline cannot be met.
        """


@dataclass(frozen=True, slots=True)
class TargetOutcome:
    """Result and latencies of one request at one target.

    ``first_token_seconds`` is measured from the time at which the request was written
    to the target. ``gap_seconds`` is the mean time between the parts of the response.
    Both are None if they were not measured. ``prompt_tokens`` is an estimate.
    """

    target: TargetState
    pool: str
    route: str
    request_class: RequestClass
    failed: bool
    first_token_seconds: float | None = None
    gap_seconds: float | None = None
    prompt_tokens: int = 0


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """Complete response of a plain service."""

    status: int
    headers: Headers = field(default=())
    body: bytes = b""


class Bookings(Protocol):
    """Calls with an idempotency key, each of which runs at most once."""

    async def run_once(
        self,
        team: Team,
        route: ServiceRoute,
        key: str,
        call: Callable[[], Awaitable[ServiceAnswer]],
        fingerprint: str = "",
    ) -> ServiceAnswer:
        """Return the single response for the key.

        ``fingerprint`` identifies the request, so that a key that is reused with
        another request is refused instead of receiving the first request's response.
        ``call`` raises TargetError, whose ``request_written`` is true if the service
        may have received the request. Raises IdempotencyKeyError for a key that is
        not accepted, NotReadyError if the call did not run, OutcomeUnknownError
        otherwise.
        """

    async def find_outcome(self, team: Team, key: str) -> ServiceAnswer | None:
        """Return the response for a key, or None if no call used the key.

        Raises OutcomeUnknownError if a call was claimed and neither the log nor the
        service has its response.
        """


@dataclass(frozen=True, slots=True)
class ChatTurn:
    """Text and role of one message of a prompt."""

    role: str
    text: str


@dataclass(frozen=True, slots=True)
class ChatRequest:
    """Properties of a chat completion that affect its placement.

    ``chat_id`` and ``chat_token`` are empty if the caller sent none. The token has not
    been verified.
    """

    team: Team
    model: str
    request_class: RequestClass
    turns: tuple[ChatTurn, ...]
    chat_id: str = ""
    chat_token: str = ""


@dataclass(frozen=True, slots=True)
class Ranking:
    """Target ids, best first.

    A request waits up to ``sticky_seconds`` for the first target before it uses the
    next ones, and up to ``near_seconds`` for one of the first ``near_count`` targets
    before it uses the rest.
    """

    ranked: Sequence[str]
    sticky_seconds: float = 0.0
    near_count: int = 1
    near_seconds: float = 0.0


class Placement(Protocol):
    """Choice of targets for chats; signed tokens keep a chat at its target."""

    def rank(
        self,
        chat: ChatRequest,
        targets: Sequence[TargetState],
        shares: Mapping[str, float],
    ) -> Ranking:
        """Rank the usable targets of the chat's version."""

    def issue_token(
        self, chat: ChatRequest, target: TargetState, context_tokens: int
    ) -> str:
        """Return a signed token that names the target that served the chat.

        ``context_tokens`` is an estimate if the response is a stream, because the token
        is sent before the length of the response is known.
        """


@dataclass(frozen=True, slots=True)
class ServerEnd:
    """Known end of a server that drains, in monotonic seconds.

    From ``at`` on it sends no response. Until ``notice_ends_at`` callers are sent to it
    that have not been told.
    """

    at: float
    notice_ends_at: float


@dataclass(frozen=True, slots=True)
class Request:
    """Parsed request.

    The names in ``headers`` are lower case, and the values of a repeated header are
    joined by commas. ``fields`` contains the headers and ``target`` the path and query
    as they were received. ``received`` is in monotonic seconds. ``server_end`` is
    set while the server shuts down.
    """

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes
    request_id: str
    received: float
    fields: Headers = ()
    target: str = ""
    server_end: ServerEnd | None = None


@dataclass(frozen=True, slots=True)
class Answer:
    """Complete response to a caller, without framing headers."""

    status: int
    headers: Headers = ()
    body: bytes = b""


class Responder(Protocol):
    """Writer of the response to one request, either complete or as a stream.

    The handler is cancelled when the caller closes its connection, and when the server
    ends before the response; then ``ended`` is true, and it may still send an error.
    """

    @property
    def started(self) -> bool:
        """Whether any part of the response was sent."""

    @property
    def ended(self) -> bool:
        """Whether the server has ended, so that the time for a response is over."""

    async def send_answer(self, answer: Answer) -> None:
        """Send a complete response."""

    async def start_stream(self, status: int, headers: Headers) -> None:
        """Send the status and headers of a streamed response."""

    async def send_chunk(self, data: bytes) -> None:
        """Send a part of a streamed response and wait while the send buffer is full."""

    def write_chunk(self, data: bytes) -> bool:
        """Send a part of a streamed response; return False if the buffer is full."""

    async def drain(self) -> None:
        """Wait while the send buffer is full because the caller reads slowly."""

    async def end_stream(self) -> None:
        """Send the end of a streamed response.

        If the handler returns before the stream has ended, the connection is aborted,
        so that the caller detects the truncation.
        """


class Handler(Protocol):
    """Handler of the requests to some of the paths."""

    async def handle(self, request: Request, responder: Responder) -> None:
        """Respond to the request; a raised CallerError is sent as JSON."""


class HeadHandler(Protocol):
    """Handler that can refuse a request before its body is read.

    The body of the request is empty.
    """

    def check_head(self, request: Request) -> None:
        """Raise the CallerError that the head decides, whatever the body is."""

    async def refuse(
        self, request: Request, error: CallerError, responder: Responder
    ) -> None:
        """Log, count and send an error to a request without its body."""
