"""Metrics of the forwarding of requests to declared routes."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

from carobladder.telemetry.builders import build_counter, build_histogram

__all__ = ["ForwardMetrics"]

_LABEL_LIMIT = 50
_OTHER = "other"
_SECONDS_BUCKETS = (0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)


class _BoundedLabels:
    """Keep the first names as labels and put all later ones under one."""

    def __init__(self, limit: int = _LABEL_LIMIT) -> None:
        self._limit = limit
        self._known: set[str] = set()

    def choose(self, name: str) -> str:
        """Return the label of a name."""
        if name not in self._known:
            if len(self._known) >= self._limit:
                return _OTHER
            self._known.add(name)
        return name


class ForwardMetrics:
    """Hold the metrics of one instance; label sets are bounded."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._routes = _BoundedLabels()
        self._teams = _BoundedLabels()
        self._route_seconds = self._histogram("request_seconds", "route")
        self._team_seconds = self._histogram("team_request_seconds", "team")
        self._first_event_seconds = self._histogram("first_event_seconds", "route")
        self._team_first_event_seconds = self._histogram(
            "team_first_event_seconds", "team"
        )
        self._pause_seconds = self._histogram("event_pause_seconds", "route")
        self._team_pause_seconds = self._histogram("team_event_pause_seconds", "team")
        self._refusals = self._counter("refusals", "reason")
        self._attempts = self._counter("failed_attempts", "decision")
        self._broken_streams = self._counter("broken_streams", "reason")

    @property
    def content_type(self) -> str:
        """Return the content type of ``render``."""
        return CONTENT_TYPE_LATEST

    def render(self) -> bytes:
        """Return all metrics in the exposition format."""
        return generate_latest(self.registry)

    def observe_request(self, route: str, team: str, seconds: float) -> None:
        """Record the time from a request's arrival to the end of its answer."""
        self._route_seconds.labels(self._routes.choose(route)).observe(seconds)
        self._team_seconds.labels(self._teams.choose(team)).observe(seconds)

    def first_event_observer(self, route: str, team: str) -> Callable[[float], None]:
        """Return the function that records the seconds to a stream's first event."""
        return self._observer(
            self._first_event_seconds, self._team_first_event_seconds, route, team
        )

    def pause_observer(self, route: str, team: str) -> Callable[[float], None]:
        """Return the function that records the seconds between a stream's events."""
        return self._observer(
            self._pause_seconds, self._team_pause_seconds, route, team
        )

    def _observer(
        self, by_route: Histogram, by_team: Histogram, route: str, team: str
    ) -> Callable[[float], None]:
        of_route = by_route.labels(self._routes.choose(route))
        of_team = by_team.labels(self._teams.choose(team))

        def observe(seconds: float) -> None:
            of_route.observe(seconds)
            of_team.observe(seconds)

        return observe

    def count_refusal(self, reason: str) -> None:
        """Count a request that ended in an answer of the instance itself."""
        self._refusals.labels(reason).inc()

    def count_attempt(self, decision: str) -> None:
        """Count a failed attempt by what was decided about it."""
        self._attempts.labels(decision).inc()

    def count_broken_stream(self, reason: str) -> None:
        """Count a stream that was cut."""
        self._broken_streams.labels(reason).inc()

    def add_gauge(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Show a value that is read when the metrics are fetched."""
        gauge = Gauge(f"carobladder_{name}", text, registry=self.registry)
        gauge.set_function(read)

    def _histogram(self, name: str, label: str) -> Histogram:
        return build_histogram(self.registry, name, label, _SECONDS_BUCKETS)

    def _counter(self, name: str, label: str) -> Counter:
        return build_counter(self.registry, name, label)
