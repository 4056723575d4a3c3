"""Fakes of the protocols that the gateway uses, and a gateway under test."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from carobladder.clients.http import HttpClient
from carobladder.clients.ports import HttpAnswer
from carobladder.clock import SystemClock
from carobladder.exceptions import (
    CallerError,
    NotReadyError,
    OutcomeUnknownError,
    TargetError,
)
from carobladder.gateway.attempts import TargetCaller
from carobladder.gateway.chats import ChatHandler, ChatOptions
from carobladder.gateway.ports import (
    Answer,
    ChatRequest,
    Ranking,
    Request,
    Responder,
    ServiceAnswer,
    ServiceRoute,
    SlotRequest,
    Team,
)
from carobladder.gateway.relay import RelayTimeouts
from carobladder.gateway.requests import RequestLimits
from carobladder.gateway.router import Router
from carobladder.gateway.server import GatewayServer
from carobladder.gateway.services import ServiceHandler, ServiceOptions
from carobladder.retries import RetryBudget
from carobladder.targets import TargetState
from carobladder.telemetry import GatewayMetrics

MODEL = "quoter"
KEY = "team-key"
BOOKING_KEY = "0190b3a4-0000-7000-8000-000000000000"
TEST_TIMEOUT_SECONDS = 30.0
CHAT = {"model": MODEL, "messages": [{"role": "user", "content": "price?"}]}


@dataclass
class FakeDirectory:
    """Directory with one team, one model and two services."""

    addresses: list[str] = field(default_factory=list)
    versions: list[str] = field(default_factory=list)
    ready: bool = True

    def find_team(self, credential: str) -> Team | None:
        """Return the team if the credential is its key."""
        return (
            Team("valdivieso", models=frozenset({MODEL})) if credential == KEY else None
        )

    def find_route(self, team: Team, method: str, path: str) -> ServiceRoute | None:
        """Return the route for bookings or stock, or None."""
        if path.startswith("/bookings"):
            return ServiceRoute("orders", "/bookings", repeatable=False)
        if path.startswith("/stock"):
            return ServiceRoute("orders", "/stock", repeatable=True)
        return None

    def list_targets(self, pool: str) -> Sequence[TargetState]:
        """Return one target for each address, in order."""
        versions = self.versions or ["v1"] * len(self.addresses)
        return [
            TargetState(f"t{number}", pool, version, "dc-1", address, boot_id="b1")
            for number, (address, version) in enumerate(
                zip(self.addresses, versions, strict=True)
            )
        ]

    def version_shares(self, model: str) -> dict[str, float]:
        """Return all traffic for one version."""
        return {"v1": 1.0}


class FakePlacement:
    """Placement that ranks targets in their given order."""

    def __init__(self) -> None:
        self.chats: list[ChatRequest] = []
        self.shares: list[Mapping[str, float]] = []

    def rank(self, chat, targets, shares) -> Ranking:
        """Return the targets in their given order."""
        self.chats.append(chat)
        self.shares.append(shares)
        return Ranking([target.target_id for target in targets])

    def issue_token(self, chat, target, context_tokens) -> str:
        """Return a token with the target id and the number of tokens."""
        return f"{target.target_id}:{context_tokens}"


@dataclass
class FakePermit:
    """Permit that records its releases; ``validity`` lists the results of checks."""

    target: TargetState
    validity: list[bool] = field(default_factory=list)
    releases: list[bool] = field(default_factory=list)
    released: asyncio.Event = field(default_factory=asyncio.Event)

    def is_valid(self) -> bool:
        """Return the next result, or true if none is left."""
        return self.validity.pop(0) if self.validity else True

    def release(self, *, failed=False, first_byte_seconds=None) -> None:
        """Record the release."""
        self.releases.append(failed)
        self.released.set()


class FakeAdmission:
    """Admission that selects the first ranked target or raises a queued refusal."""

    def __init__(self, directory: FakeDirectory) -> None:
        self._directory = directory
        self.permits: list[FakePermit] = []
        self.refusals: list[CallerError | None] = []
        self.validity: list[bool] = []
        self.granted = asyncio.Event()

    async def acquire(self, request: SlotRequest) -> FakePermit:
        """Return a permit for the first ranked target."""
        refusal = self.refusals.pop(0) if self.refusals else None
        if refusal is not None:
            raise refusal
        targets = self._directory.list_targets(request.pool)
        target = next(t for t in targets if t.target_id == request.ranked[0])
        validity = [self.validity.pop(0)] if self.validity else []
        self.permits.append(FakePermit(target, validity))
        self.granted.set()
        return self.permits[-1]


class FakeBookings:
    """Bookings that make the call of each key once and store its response."""

    def __init__(self) -> None:
        self.answers: dict[str, ServiceAnswer] = {}

    async def run_once(
        self,
        team: Team,
        route: ServiceRoute,
        key: str,
        call: Callable[[], Awaitable[ServiceAnswer]],
        fingerprint: str = "",
    ) -> ServiceAnswer:
        """Return the stored response for the key, or make the call and store it."""
        if key not in self.answers:
            try:
                self.answers[key] = await call()
            except TargetError as error:
                if error.request_written:
                    raise OutcomeUnknownError("lost") from error
                raise NotReadyError("not sent") from error
        return self.answers[key]

    async def find_outcome(self, team: Team, key: str) -> ServiceAnswer | None:
        """Return the stored response, or None."""
        return self.answers.get(key)


class EchoAdmin:
    """Handler that echoes the body, streams two chunks or fails, by path."""

    async def handle(self, request: Request, responder: Responder) -> None:
        """Respond to the request."""
        if request.path.endswith("/watch"):
            await responder.start_stream(200, (("Content-Type", "text/plain"),))
            await responder.send_chunk(b"first")
            await responder.send_chunk(b"second")
            await responder.end_stream()
            return
        if request.path.endswith("/fault"):
            raise RuntimeError("secret detail")
        await responder.send_answer(Answer(201, (), request.body))


class Gateway:
    """Gateway on a free port that uses fakes."""

    def __init__(self, *addresses: str, **limits: float) -> None:
        self.directory = FakeDirectory(list(addresses))
        self.admission = FakeAdmission(self.directory)
        self.placement = FakePlacement()
        self.bookings = FakeBookings()
        self.metrics = GatewayMetrics()
        self.ready = True
        self.timeouts = RelayTimeouts()
        self._limits = RequestLimits(**limits)
        self._clock = SystemClock()
        self.client = HttpClient(self._clock)
        self.caller = HttpClient(self._clock)

    async def __aenter__(self) -> "Gateway":
        """Start the server."""
        budget = RetryBudget(0.1, self._clock.monotonic())
        caller = TargetCaller(
            self.client, self.admission, budget, self._clock, self.metrics
        )
        generator = random.Random(7)
        chat_options = ChatOptions(timeouts=self.timeouts)
        chats = ChatHandler(self.directory, self.placement, caller, chat_options)
        self.services = ServiceHandler(
            self.directory, self.bookings, caller, ServiceOptions(), generator
        )
        router = Router(
            chats=chats,
            services=self.services,
            admin=EchoAdmin(),
            metrics=self.metrics,
            is_ready=lambda: self.ready,
        )
        self.server = GatewayServer(
            router, self._limits, self._clock, self.metrics, generator
        )
        await self.server.start("127.0.0.1:0")
        self.address = f"127.0.0.1:{self.server.port}"
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop the server."""
        self.caller.close()
        await self.server.close()
        self.client.close()

    async def call(
        self, method: str, path: str, body: bytes = b"", key: str = KEY, **headers: str
    ) -> HttpAnswer:
        """Return the gateway's response; underscores in header names become hyphens."""
        fields = [(name.replace("_", "-"), value) for name, value in headers.items()]
        if key:
            fields.append(("Authorization", f"Bearer {key}"))
        return await self.caller.fetch(
            method,
            self.address,
            path,
            headers=tuple(fields),
            body=body,
            timeout_seconds=TEST_TIMEOUT_SECONDS,
        )

    async def chat(self, *, stream: bool = False, key: str = KEY, **headers: str):
        """Return the response to a completion request."""
        body = msgspec.json.encode({**CHAT, "stream": stream})
        return await self.call("POST", "/v1/chat/completions", body, key, **headers)

    def count(self, name: str, **labels: str) -> float:
        """Return the value of a counter."""
        value = self.metrics.registry.get_sample_value(f"carobladder_{name}", labels)
        return value or 0.0


def read_error(answer: HttpAnswer) -> dict[str, str]:
    """Return the error in a response."""
    return msgspec.json.decode(answer.body)["error"]
