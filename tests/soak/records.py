"""What callers, targets and the operator saw in a run."""

from dataclasses import dataclass, field
from enum import StrEnum

__all__ = [
    "CONNECT_SECONDS",
    "CROSSING_SECONDS",
    "GRACE_SECONDS",
    "HOST",
    "ROUTES",
    "TENANT",
    "End",
    "Finding",
    "Record",
    "Route",
    "Run",
    "Sent",
    "Stall",
    "Start",
    "Termination",
    "build_answer",
]

HOST = "shop.example"
TENANT = "hule930"
GRACE_SECONDS = 8
# Callers wait this long for a connection.
CONNECT_SECONDS = 1.0
# A request may cross the close of its connection for this long.
CROSSING_SECONDS = 0.2


@dataclass(frozen=True, slots=True)
class Route:
    """Route of the operator; a configuration may extend, never shorten its timeout."""

    name: str
    kind: str
    services: tuple[str, ...]
    timeout_ms: int
    is_resumable: bool = False

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a series of events."""
        return self.kind == "streaming"

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind == "safe" or self.is_resumable


ROUTES = {
    route.name: route
    for route in (
        Route("look", "safe", ("shop", "depot"), 4000),
        Route("order", "unsafe", ("shop", "depot"), 4000),
        Route("brief", "unsafe", ("shop",), 400),
        Route("draft", "streaming", ("engine",), 12_000),
        Route("chat", "streaming", ("engine",), 6000, is_resumable=True),
    )
}


class End(StrEnum):
    """How a caller's request ended."""

    OPEN = "open"
    ANSWERED = "answered"
    CUT = "cut"
    LEFT = "left"
    GIVEN_UP = "given up"
    UNCONNECTED = "unconnected"
    REFUSED = "refused"


@dataclass(slots=True)
class Sent:
    """Request of a caller; times in seconds since the start of the run.

    ``sent`` is None unless all its bytes were written. ``reused`` tells whether the
    connection had served another request before.
    """

    request_id: str
    route: Route
    method: str
    path: str
    body: bytes
    instance: str
    deadline_ms: int
    began: float = 0.0
    sent: float | None = None
    ended: float = 0.0
    end: End = End.OPEN
    reused: bool = False
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    answer: bytes = b""

    @property
    def limit_seconds(self) -> float:
        """Time after which the instance may give the request up."""
        return min(self.deadline_ms, self.route.timeout_ms) / 1000

    @property
    def is_crossed(self) -> bool:
        """Whether the connection ended while the whole request was on its way."""
        return (
            self.end is End.CUT
            and self.sent is not None
            and self.ended - self.sent <= CROSSING_SECONDS
        )

    @property
    def elapsed(self) -> float:
        """Time from the first byte of the request to its end."""
        return self.ended - self.began


@dataclass(slots=True)
class Run:
    """Request that a target began to run.

    ``broke_off`` tells whether the target itself spoiled or cut the answer.
    """

    request_id: str
    receipt: str
    method: str
    path: str
    body: bytes
    tenant: str
    began: float
    answer: bytes
    key: str = ""
    status: int = 200
    broke_off: bool = False
    dropped: float | None = None


@dataclass(frozen=True, slots=True)
class Termination:
    """SIGTERM of an instance; ``listening`` tells whether callers could connect."""

    instance: str
    at: float
    listening: bool = True


@dataclass(slots=True)
class Start:
    """Start of an instance's process; ``ready`` is None if it was not ready."""

    instance: str
    began: float
    ready: float | None = None
    delay_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class Stall:
    """Time in which a busy machine gave a process no turn.

    The soak itself, with its callers and targets, has an empty name.
    """

    instance: str
    began: float
    ended: float


@dataclass(frozen=True, slots=True)
class Finding:
    """Rule that a run broke."""

    rule: str
    text: str


@dataclass(slots=True)
class Record:
    """All that was seen in a run.

    ``faults`` names processes that did not start or ended alone; ``stalls`` are the
    times in which a process got no turn.
    """

    sent: list[Sent] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    starts: list[Start] = field(default_factory=list)
    terminations: list[Termination] = field(default_factory=list)
    exits: list[tuple[str, float]] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    stalls: list[Stall] = field(default_factory=list)


def build_answer(route: Route, request_id: str, size: int) -> bytes:
    """Return the body of about ``size`` bytes that each target gives a request."""
    unit = f"{request_id}."
    if not route.is_stream:
        return (unit * (size // len(unit) + 1)).encode()
    count = 5 + size % 16
    events = [f"id: {number}\ndata: {unit}{number}\n\n" for number in range(count)]
    return "".join(events).encode()
