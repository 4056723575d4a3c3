"""Interfaces that the gateway consumes from the rest of the instance."""

from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from carobladder.headers import Headers
from carobladder.targets import RequestClass, TargetState

__all__ = [
    "Admission",
    "Answer",
    "Bookings",
    "ChatRequest",
    "ChatTurn",
    "Directory",
    "Handler",
    "Permit",
    "Placement",
    "Ranking",
    "Request",
    "Responder",
    "ServiceAnswer",
    "ServiceRoute",
    "SlotRequest",
    "TargetOutcome",
    "Team",
]


@dataclass(frozen=True, slots=True)
class Team:
    """Describe a team as far as requests need it.

    ``weight`` is the team's relative share of contended slots.
    """

    name: str
    weight: float = 1.0
    models: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class ServiceRoute:
    """Describe a path prefix of a plain service.

    ``repeatable`` is false for calls that may run at most once.
    ``lookup_path`` has ``{key}`` for the idempotency key, or is empty.
    """

    service: str
    path_prefix: str
    repeatable: bool
    lookup_path: str = ""


class Directory(Protocol):
    """Look up teams, models and targets in the configuration in force."""

    @property
    def ready(self) -> bool:
        """Tell whether a configuration is in force."""

    def find_team(self, credential: str) -> Team | None:
        """Return the team of a credential, or None."""

    def find_route(self, team: Team, method: str, path: str) -> ServiceRoute | None:
        """Return the service route of the team for a path, or None."""

    def find_service(self, service: str) -> ServiceRoute | None:
        """Return the route of a service by its name, or None."""

    def list_targets(self, pool: str) -> Sequence[TargetState]:
        """Return the targets of a model or service."""

    def version_shares(self, model: str) -> dict[str, float]:
        """Return the share of each version of a model; the shares sum to 1."""


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """Ask for slots on the first of the ranked targets that can take them.

    ``deadline`` is in monotonic seconds. ``sticky_seconds`` is how long waiting
    for the first target beats going to the next one, ``near_seconds`` how long
    waiting for one of the first ``near_count`` beats going further.
    """

    team: Team
    request_class: RequestClass
    pool: str
    ranked: Sequence[str]
    deadline: float
    sticky_seconds: float = 0.0
    near_count: int = 1
    near_seconds: float = 0.0


class Permit(Protocol):
    """Hold slots of one target until released."""

    @property
    def target(self) -> TargetState:
        """Return the target that the slots belong to."""

    def is_valid(self) -> bool:
        """Tell whether the lease behind the slots still runs."""

    def release(
        self, *, failed: bool = False, first_byte_seconds: float | None = None
    ) -> None:
        """Give the slots back and report how the target did."""


class Admission(Protocol):
    """Decide which target takes a request now."""

    async def acquire(self, request: SlotRequest) -> Permit:
        """Return a permit, waiting in the queue if needed.

        Raises NoCapacityError with a retry time if the deadline cannot be met.
        """


@dataclass(frozen=True, slots=True)
class TargetOutcome:
    """Describe how one target did with one request.

    ``first_token_seconds`` counts from when the request was written to the target,
    ``gap_seconds`` is the mean time between the parts of the answer; both are None
    if they were not measured. ``prompt_tokens`` is an estimate.
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
    """Carry the whole answer of a plain service."""

    status: int
    headers: Headers = field(default=())
    body: bytes = b""


class Bookings(Protocol):
    """Run calls that must not repeat at most once."""

    async def run_once(
        self,
        team: Team,
        route: ServiceRoute,
        key: str,
        call: Callable[[], Awaitable[ServiceAnswer]],
        fingerprint: str = "",
    ) -> ServiceAnswer:
        """Return the one answer of the key.

        ``fingerprint`` stands for the request, so that a key that comes again with
        another request is refused instead of answered with the first one's answer.
        ``call`` raises TargetError; its ``request_written`` tells whether the
        service may have seen the request. Raises IdempotencyKeyError,
        NotReadyError for a call that did not run, OutcomeUnknownError otherwise.
        """

    async def find_outcome(self, team: Team, key: str) -> ServiceAnswer | None:
        """Return the answer of a key, or None if no call was made with it.

        Raises OutcomeUnknownError if a call was claimed and neither the log nor
        the service tells its answer.
        """


@dataclass(frozen=True, slots=True)
class ChatTurn:
    """Carry one message of a prompt as text."""

    role: str
    text: str


@dataclass(frozen=True, slots=True)
class ChatRequest:
    """Describe a chat completion as far as its placement needs it.

    ``chat_id`` and ``chat_token`` are empty if the caller sent none; the token is
    not verified yet.
    """

    team: Team
    model: str
    request_class: RequestClass
    turns: tuple[ChatTurn, ...]
    chat_id: str = ""
    chat_token: str = ""


@dataclass(frozen=True, slots=True)
class Ranking:
    """Give target ids, best first.

    ``sticky_seconds`` is how long waiting for the first is worth it,
    ``near_seconds`` the same for one of the first ``near_count``.
    """

    ranked: Sequence[str]
    sticky_seconds: float = 0.0
    near_count: int = 1
    near_seconds: float = 0.0


class Placement(Protocol):
    """Choose targets for chats and remember the choice in a token."""

    def rank(
        self,
        chat: ChatRequest,
        targets: Sequence[TargetState],
        shares: Mapping[str, float],
    ) -> Ranking:
        """Return the usable targets of the chat's version, best first."""

    def issue_token(
        self, chat: ChatRequest, target: TargetState, context_tokens: int
    ) -> str:
        """Return the signed token that names the target which served the chat.

        ``context_tokens`` is an estimate when the answer is a stream, because the
        token is sent before the answer's length is known.
        """


@dataclass(frozen=True, slots=True)
class Request:
    """Carry one parsed request; header names are lower case.

    Headers that were sent several times are joined by a comma. ``fields`` holds the
    headers and ``target`` path and query as they were sent. ``received`` is in
    monotonic seconds.
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


@dataclass(frozen=True, slots=True)
class Answer:
    """Carry a whole answer to a caller, without its framing headers."""

    status: int
    headers: Headers = ()
    body: bytes = b""


class Responder(Protocol):
    """Answer one request, either as a whole or as a stream.

    The handler is cancelled when the caller closes its connection.
    """

    @property
    def started(self) -> bool:
        """Tell whether any part of the answer was sent."""

    async def send_answer(self, answer: Answer) -> None:
        """Send a whole answer."""

    async def start_stream(self, status: int, headers: Headers) -> None:
        """Send the status and headers of a streamed answer."""

    async def send_chunk(self, data: bytes) -> None:
        """Send a part of a streamed answer; waits while the caller is slow."""

    def write_chunk(self, data: bytes) -> bool:
        """Send a part of a streamed answer; return False if the caller is slow."""

    async def drain(self) -> None:
        """Wait while the caller is slow."""

    async def end_stream(self) -> None:
        """Mark a streamed answer as whole.

        A stream that is not ended before the handler returns is cut visibly.
        """


class Handler(Protocol):
    """Answer the requests of a part of the paths."""

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer the request through the responder; a CallerError is sent as JSON."""
