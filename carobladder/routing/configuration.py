"""One version of the operator's configuration."""

from dataclasses import dataclass, field
from enum import StrEnum

__all__ = [
    "CallerLimits",
    "Configuration",
    "Route",
    "RouteKind",
    "Service",
    "ServiceWeight",
    "TeamKeys",
]


class RouteKind(StrEnum):
    """Tell what a route carries and what may be repeated on it."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class ServiceWeight:
    """Give a service a share of a route's requests."""

    service: str
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Route:
    """Describe the requests of a host under a path prefix.

    ``attempts`` is the number of targets that one request may run on.
    ``pause_seconds`` is the longest pause inside a stream that is still on time.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    services: tuple[ServiceWeight, ...]
    timeout_seconds: float
    objective_seconds: float
    priority: int = 0
    attempts: int = 1
    public: bool = False
    resumable: bool = False
    pause_seconds: float = 0.0

    @property
    def streams(self) -> bool:
        """Tell whether the answers are event streams."""
        return self.kind is RouteKind.STREAMING

    @property
    def may_repeat(self) -> bool:
        """Tell whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or (self.streams and self.resumable)


@dataclass(frozen=True, slots=True)
class Service:
    """Describe the targets of a service.

    ``cold_per_second`` is the rate of requests that a cold target bears, or 0.
    ``batch_slots`` is the number of requests that an engine runs at once, or 0.
    """

    name: str
    health_path: str = "/"
    max_connections: int = 0
    cold_per_second: float = 0.0
    batch_slots: int = 0
    memory_tokens: int = 0


@dataclass(frozen=True, slots=True)
class TeamKeys:
    """Name a team and the keys of its callers; ``priority`` 0 goes first."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bound what a caller may send and how long it may take or stay idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_seconds: float = 10.0
    idle_seconds: float = 75.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """Hold one version of routes, services, teams and limits.

    Without ``teams`` no request needs a key.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    teams: tuple[TeamKeys, ...] = ()
    limits: CallerLimits = field(default_factory=CallerLimits)
