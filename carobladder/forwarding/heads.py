"""Decisions on requests that depend on their heads alone."""

from collections.abc import Callable
from dataclasses import dataclass

from carobladder.clock import Clock
from carobladder.exceptions import (
    BadCredentialsError,
    CallerError,
    KnowledgeOutdatedError,
    NotReadyError,
    ShuttingDownError,
    UnknownPathError,
)
from carobladder.fleet import CallMetadata, Freshness
from carobladder.forwarding.durations import RouteDurations
from carobladder.gateway.ports import Request, ServerEnd
from carobladder.routing import Route, RouteTable

__all__ = [
    "SHUTDOWN_RETRY_SECONDS",
    "ConfigurationAgeLimits",
    "HeadValidator",
    "ValidHead",
]

# Other instances take a caller at once.
SHUTDOWN_RETRY_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class ConfigurationAgeLimits:
    """Maximum ages in seconds of the configuration that a decision may rely on.

    ``keys`` applies to requests that need a key, as the key may have been revoked
    since. ``refusals`` applies to errors that state that a key or route does not exist.
    """

    keys: float
    refusals: float


@dataclass(frozen=True, slots=True)
class ValidHead:
    """What the head of an allowed request selects.

    ``deadline`` is in monotonic seconds.
    """

    table: RouteTable
    route: Route
    team: str
    priority: int
    deadline: float


class HeadValidator:
    """Validator of routes, keys and deadlines of requests."""

    def __init__(
        self,
        clock: Clock,
        find_table: Callable[[], RouteTable | None],
        freshness: Freshness,
        age_limits: ConfigurationAgeLimits,
        durations: RouteDurations,
    ) -> None:
        self._clock = clock
        self._find_table = find_table
        self._freshness = freshness
        self._age_limits = age_limits
        self._durations = durations

    def validate(self, request: Request, facts: CallMetadata) -> ValidHead:
        """Return what the head selects, or raise CallerError if it is not allowed."""
        table = self._find_table()
        if table is None:
            raise NotReadyError("no configuration has been read yet")
        path = request.target.partition("?")[0]
        route = table.find_route(facts.host, path)
        if route is None:
            raise self._verify_denial(UnknownPathError(f"no route for {path}"))
        team, priority = self._authenticate(table, route, facts)
        if route.attempts <= 0:
            raise NotReadyError("the route permits no attempt")
        time_left = facts.time_left_seconds
        seconds = route.timeout_seconds
        if time_left is not None:
            seconds = min(seconds, time_left)
        deadline = request.received + seconds
        end = request.server_end
        if end is not None and deadline > end.at and not self._fits(route, end):
            raise ShuttingDownError("the instance shuts down", SHUTDOWN_RETRY_SECONDS)
        return ValidHead(table, route, team, priority, deadline)

    def _fits(self, route: Route, end: ServerEnd) -> bool:
        """Return whether a request probably ends before the server does.

        After the notice only the request's own limit counts: callers that come then
        may be sent elsewhere at no risk.
        """
        now = self._clock.monotonic()
        if now >= end.notice_ends_at:
            return False
        longest = self._durations.find_longest(route.name)
        return longest is not None and now + longest <= end.at

    def _authenticate(
        self, table: RouteTable, route: Route, facts: CallMetadata
    ) -> tuple[str, int]:
        """Return the name of the team and the priority of its request.

        Raises CallerError if the key is missing, unknown or cannot be checked.
        """
        if route.public or not table.needs_keys:
            return "", route.priority
        now = self._clock.boottime()
        if not self._freshness.is_within(self._age_limits.keys, now):
            raise KnowledgeOutdatedError(
                "the store was not read recently; keys may be revoked"
            )
        team = table.find_team(facts.key or "")
        if team is None:
            raise self._verify_denial(BadCredentialsError("no team has this key"))
        priority = route.priority if team.priority is None else team.priority
        return team.name, priority

    def _verify_denial(self, error: CallerError) -> CallerError:
        """Return the error, or another one if the configuration may be outdated."""
        now = self._clock.boottime()
        if self._freshness.is_within(self._age_limits.refusals, now):
            return error
        return KnowledgeOutdatedError(
            f"{error.message}, but the store was not read recently"
        )
