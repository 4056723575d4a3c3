"""Metrics of the gateway's data path, by team and request class."""

from collections.abc import Callable

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)
from prometheus_client.exposition import CONTENT_TYPE_LATEST

from carobladder.targets import RequestClass
from carobladder.telemetry.builders import build_counter, build_histogram

__all__ = ["ConnectionMetrics", "GatewayMetrics"]

_MAX_TEAM_LABELS = 50
_OTHER_LABEL = "other"
_LATENCY_BUCKETS_SECONDS = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    0.72,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
    60.0,
)
_GAP_BUCKETS_SECONDS = (0.005, 0.01, 0.02, 0.031, 0.05, 0.1, 0.25, 1.0, 5.0)


class ConnectionMetrics:
    """Metrics of the connections of callers."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.open = Gauge(
            "carobladder_open_connections",
            "Open connections of callers",
            registry=registry,
        )
        self._ends = Counter(
            "carobladder_connection_ends",
            "Ended connections by reason and by progress of an unanswered request",
            ["reason", "progress"],
            registry=registry,
        )
        self._refusals = Counter(
            "carobladder_refused_connections",
            "Connections closed on acceptance, as no file descriptor was left",
            registry=registry,
        )

    def count_refusal(self) -> None:
        """Count a connection that was closed as no file descriptor was left."""
        self._refusals.inc()

    def count_end(self, reason: str, progress: str) -> None:
        """Count the end of a connection; ``progress`` is that of its last request."""
        self._ends.labels(reason, progress).inc()


class GatewayMetrics:
    """Gateway metrics of one instance, with a bounded number of label values.

    The first ``team_limit`` teams are labelled by name, in order of first use; all
    later ones share the label ``other``. The metrics of connections may belong to
    another registry.
    """

    def __init__(
        self,
        registry: CollectorRegistry | None = None,
        team_limit: int = _MAX_TEAM_LABELS,
        connection_registry: CollectorRegistry | None = None,
    ) -> None:
        self.registry = registry or CollectorRegistry()
        self._team_limit = team_limit
        self._team_labels: set[str] = set()
        self._create_histograms()
        self._create_counters()
        self.connections = ConnectionMetrics(connection_registry or self.registry)
        self.open_streams = Gauge(
            "carobladder_open_streams",
            "Streamed answers being relayed",
            registry=self.registry,
        )

    @property
    def content_type(self) -> str:
        """Content type of the output of ``render``."""
        return CONTENT_TYPE_LATEST

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def observe_request(
        self, team: str, request_class: RequestClass, seconds: float
    ) -> None:
        """Record the seconds from a request's first byte to the end of its response."""
        self._latency.labels(request_class.value).observe(seconds)
        self._team_latency.labels(self._get_team_label(team)).observe(seconds)

    def observe_first_token(
        self, team: str, request_class: RequestClass, seconds: float
    ) -> None:
        """Record the seconds from a request's first byte to its first token."""
        self._first_token.labels(request_class.value).observe(seconds)
        self._team_first_token.labels(self._get_team_label(team)).observe(seconds)

    def create_gap_observer(
        self, request_class: RequestClass
    ) -> Callable[[float], None]:
        """Return a function that records the seconds between relayed chunks.

        The caller gets it once per stream, which avoids a label lookup per chunk.
        """
        return self._gaps.labels(request_class.value).observe

    def count_answer(self, status: int) -> None:
        """Count a response by its status code."""
        self._answers.labels(str(status)).inc()

    def count_refusal(self, reason: str) -> None:
        """Count a request that the gateway answered with an error of its own."""
        self._refusals.labels(reason).inc()

    def count_decision(self, decision: str) -> None:
        """Count a placement decision by its kind."""
        self._decisions.labels(decision).inc()

    def count_retry(self, reason: str) -> None:
        """Count a retry by the reason for it."""
        self._retries.labels(reason).inc()

    def count_denied_retry(self, reason: str) -> None:
        """Count a failed attempt that was not retried, by reason."""
        self._denied_retries.labels(reason).inc()

    def count_broken_stream(self, reason: str) -> None:
        """Count a stream that ended in an error visible to the caller, by reason."""
        self._broken_streams.labels(reason).inc()

    def count_cancelled_stream(self) -> None:
        """Count a stream whose caller disconnected."""
        self._cancelled_streams.inc()

    def _create_histograms(self) -> None:
        self._latency = self._build_histogram(
            "request_seconds", "class", _LATENCY_BUCKETS_SECONDS
        )
        self._team_latency = self._build_histogram(
            "team_request_seconds", "team", _LATENCY_BUCKETS_SECONDS
        )
        self._first_token = self._build_histogram(
            "first_token_seconds", "class", _LATENCY_BUCKETS_SECONDS
        )
        self._team_first_token = self._build_histogram(
            "team_first_token_seconds", "team", _LATENCY_BUCKETS_SECONDS
        )
        self._gaps = self._build_histogram(
            "inter_token_seconds", "class", _GAP_BUCKETS_SECONDS
        )

    def _create_counters(self) -> None:
        self._answers = self._build_counter("answers", "status")
        self._refusals = self._build_counter("refusals", "reason")
        self._decisions = self._build_counter("placement_decisions", "decision")
        self._retries = self._build_counter("retries", "reason")
        self._denied_retries = self._build_counter("denied_retries", "reason")
        self._broken_streams = self._build_counter("broken_streams", "reason")
        self._cancelled_streams = Counter(
            "carobladder_cancelled_streams",
            "Streams cancelled because the caller went away",
            registry=self.registry,
        )

    def _build_histogram(
        self, name: str, label: str, buckets: tuple[float, ...]
    ) -> Histogram:
        return build_histogram(self.registry, name, label, buckets)

    def _build_counter(self, name: str, label: str) -> Counter:
        return build_counter(self.registry, name, label)

    def _get_team_label(self, team: str) -> str:
        if team in self._team_labels:
            return team
        if len(self._team_labels) >= self._team_limit:
            return _OTHER_LABEL
        self._team_labels.add(team)
        return team
