"""Data classes of one version of the operator's configuration."""

from dataclasses import dataclass, field
from enum import StrEnum

__all__ = [
    "CallerLimits",
    "Configuration",
    "Route",
    "RouteKind",
    "Service",
    "ServiceScaling",
    "ServiceWeight",
    "TeamKeys",
]


class RouteKind(StrEnum):
    """Kind of the requests of a route, which determines whether they may be retried."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class ServiceWeight:
    """Service of a route and its weight in the division of the requests."""

    service: str
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Route:
    """Rules for the requests to a host under a path prefix.

    ``attempts`` is the maximum number of targets on which one request may run.
    ``latency_objective_seconds`` and ``max_event_gap_seconds`` are the operator's
    objectives for the latency and for the gaps between the events of a stream.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    services: tuple[ServiceWeight, ...]
    timeout_seconds: float
    latency_objective_seconds: float
    priority: int = 0
    attempts: int = 1
    public: bool = False
    resumable: bool = False
    max_event_gap_seconds: float = 0.0

    @property
    def is_streaming(self) -> bool:
        """Whether the responses are event streams."""
        return self.kind is RouteKind.STREAMING

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or (self.is_streaming and self.resumable)


@dataclass(frozen=True, slots=True)
class ServiceScaling:
    """Limits on the number of targets in each data centre, and their time to boot."""

    min_count: int
    max_count: int
    boot_seconds: float


@dataclass(frozen=True, slots=True)
class Service:
    """Properties of the targets of a service.

    ``cold_per_second`` is the admissible rate of requests to a cold target, None if it
    is not limited.
    ``batch_slots`` is the number of requests that an engine runs at once, or 0.
    ``kv_cache_tokens`` is the capacity of an engine's KV cache in tokens, or 0.
    ``scaling`` is None if the number of targets is not the fleet's to choose.
    """

    name: str
    health_path: str = "/"
    max_connections: int = 0
    cold_per_second: float | None = None
    batch_slots: int = 0
    kv_cache_tokens: int = 0
    scaling: ServiceScaling | None = None


@dataclass(frozen=True, slots=True)
class TeamKeys:
    """Team, the API keys of its callers and its priority; 0 is the highest."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of a request, the time to send it and the idle time."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_seconds: float = 10.0
    idle_seconds: float = 75.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the routes, services, teams and limits.

    If ``teams`` is None, no request needs a key. If it is empty, no key is valid.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    teams: tuple[TeamKeys, ...] | None = None
    limits: CallerLimits = field(default_factory=CallerLimits)
