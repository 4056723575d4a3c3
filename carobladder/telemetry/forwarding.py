"""Metrics of requests forwarded to declared routes."""

from collections.abc import Callable, Mapping

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

from carobladder.telemetry.builders import (
    LabelledGauge,
    build_counter,
    build_gauge,
    build_histogram,
)

__all__ = ["ForwardMetrics"]

_MAX_LABELS = 50
_OTHER_LABEL = "other"
# Loads of targets, as fractions of the operators' bound.
_LOAD_BUCKETS = (0.25, 0.5, 0.75, 1.0, 1.25, 1.5, 2.0)
# Times that requests took, as multiples of the predicted ones.
_PREDICTION_BUCKETS = (0.25, 0.5, 0.8, 1.25, 2.0, 4.0, 8.0)
# Used fractions of the targets' queues; below 0.0 not all slots are in use.
_FILL_BUCKETS = (0.0, 0.25, 0.5, 0.75, 0.9, 1.0)
_BUCKETS_SECONDS = (0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)


class _BoundedLabels:
    """Label values in order of first use; names above the limit share ``other``."""

    def __init__(self, limit: int = _MAX_LABELS) -> None:
        self._limit = limit
        self._labels: set[str] = set()

    def get_label(self, name: str) -> str:
        """Return the label value for a name."""
        if name not in self._labels:
            if len(self._labels) >= self._limit:
                return _OTHER_LABEL
            self._labels.add(name)
        return name


class ForwardMetrics:
    """Forwarding metrics of one instance, with a bounded number of label values."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._route_labels = _BoundedLabels()
        self._team_labels = _BoundedLabels()
        self._service_labels = _BoundedLabels()
        self._route_seconds = self._build_histogram("request_seconds", "route")
        self._team_seconds = self._build_histogram("team_request_seconds", "team")
        self._first_event_seconds = self._build_histogram(
            "first_event_seconds", "route"
        )
        self._team_first_event_seconds = self._build_histogram(
            "team_first_event_seconds", "team"
        )
        self._pause_seconds = self._build_histogram("event_pause_seconds", "route")
        self._team_pause_seconds = self._build_histogram(
            "team_event_pause_seconds", "team"
        )
        self._target_loads = build_histogram(
            self.registry, "target_load_fraction", "service", _LOAD_BUCKETS
        )
        self._prediction_ratios = build_histogram(
            self.registry, "prediction_ratio", "service", _PREDICTION_BUCKETS
        )
        self._sent_above_bound = self._build_counter(
            "requests_sent_above_load_bound", "service"
        )
        self._found_above_bound = self._build_counter(
            "targets_found_above_load_bound", "service"
        )
        self._malformed_loads = self._build_counter("malformed_loads", "service")
        self._refusals = self._build_counter("refusals", "reason")
        self._refusal_seconds = self._build_histogram("refusal_seconds", "reason")
        self._shed_requests = self._build_counter("shed_requests", "reason")
        self._queue_fill = build_histogram(
            self.registry, "target_queue_fill", "service", _FILL_BUCKETS
        )
        self._free_slots = build_gauge(self.registry, "free_slots", "service")
        self._failed_attempts = self._build_counter("failed_attempts", "decision")
        self._broken_streams = self._build_counter("broken_streams", "reason")
        self._broken_answers = self._build_counter("broken_answers", "progress")
        self._given_up_answers = self._build_counter("given_up_answers", "service")
        self._copies_sent = self._build_counter("copies_sent", "service")
        self._copies_ended = self._build_counter("copies_ended", "outcome")
        self._copies_withheld = self._build_counter("copies_withheld", "reason")

    @property
    def content_type(self) -> str:
        """Content type of the output of ``render``."""
        return CONTENT_TYPE_LATEST

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def observe_request(self, route: str, team: str, seconds: float) -> None:
        """Record the seconds from a request's arrival to the end of its response."""
        self._route_seconds.labels(self._route_labels.get_label(route)).observe(seconds)
        self._team_seconds.labels(self._team_labels.get_label(team)).observe(seconds)

    def create_first_event_observer(
        self, route: str, team: str
    ) -> Callable[[float], None]:
        """Return a function that records the seconds to a stream's first event."""
        return self._create_observer(
            self._first_event_seconds, self._team_first_event_seconds, route, team
        )

    def create_pause_observer(self, route: str, team: str) -> Callable[[float], None]:
        """Return a function that records the seconds between a stream's events."""
        return self._create_observer(
            self._pause_seconds, self._team_pause_seconds, route, team
        )

    def _create_observer(
        self, by_route: Histogram, by_team: Histogram, route: str, team: str
    ) -> Callable[[float], None]:
        route_child = by_route.labels(self._route_labels.get_label(route))
        team_child = by_team.labels(self._team_labels.get_label(team))

        def observe(seconds: float) -> None:
            route_child.observe(seconds)
            team_child.observe(seconds)

        return observe

    def observe_target_load(self, service: str, fraction: float) -> None:
        """Record the estimated load of a request's target relative to its bound."""
        label = self._service_labels.get_label(service)
        self._target_loads.labels(label).observe(fraction)

    def observe_prediction(self, service: str, ratio: float) -> None:
        """Record the time that a request took relative to the predicted one."""
        label = self._service_labels.get_label(service)
        self._prediction_ratios.labels(label).observe(ratio)

    def count_sent_above_bound(self, service: str) -> None:
        """Count a request to a target that was known to be above its load bound."""
        label = self._service_labels.get_label(service)
        self._sent_above_bound.labels(label).inc()

    def count_found_above_bound(self, service: str) -> None:
        """Count an answer with a load above the bound that was not expected."""
        label = self._service_labels.get_label(service)
        self._found_above_bound.labels(label).inc()

    def count_malformed_load(self, service: str) -> None:
        """Count an answer with a load that could not be decoded."""
        label = self._service_labels.get_label(service)
        self._malformed_loads.labels(label).inc()

    def count_refusal(self, reason: str) -> None:
        """Count a request that the instance rejected with a response of its own."""
        self._refusals.labels(reason).inc()

    def observe_refusal_time(self, reason: str, seconds: float) -> None:
        """Record the seconds from a request's arrival to its rejection."""
        self._refusal_seconds.labels(reason).observe(seconds)

    def count_shed_request(self, reason: str) -> None:
        """Count a request that was refused because its service is overloaded."""
        self._shed_requests.labels(reason).inc()

    def observe_pressure(self, service: str, fill: float, free_slots: float) -> None:
        """Record the use of targets' queues and their free slots at a decision."""
        label = self._service_labels.get_label(service)
        self._queue_fill.labels(label).observe(fill)
        self._free_slots.labels(label).set(free_slots)

    def count_failed_attempt(self, decision: str) -> None:
        """Count a failed attempt by the retry decision that followed."""
        self._failed_attempts.labels(decision).inc()

    def count_broken_answer(self, progress: str) -> None:
        """Count an answer of a target that broke off, by how much of it had come."""
        self._broken_answers.labels(progress).inc()

    def count_given_up_answer(self, service: str) -> None:
        """Count an answer that was given up, as there was no room for more of it."""
        label = self._service_labels.get_label(service)
        self._given_up_answers.labels(label).inc()

    def count_sent_copy(self, service: str) -> None:
        """Count a copy of a late request."""
        self._copies_sent.labels(self._service_labels.get_label(service)).inc()

    def count_ended_copy(self, outcome: str) -> None:
        """Count the end of a copy: won, lost, failed or cancelled."""
        self._copies_ended.labels(outcome).inc()

    def count_withheld_copy(self, reason: str) -> None:
        """Count a late request that got no copy."""
        self._copies_withheld.labels(reason).inc()

    def count_broken_stream(self, reason: str) -> None:
        """Count a stream that was aborted."""
        self._broken_streams.labels(reason).inc()

    def add_gauge(self, name: str, help_text: str, read: Callable[[], float]) -> None:
        """Register a gauge whose value is read at each scrape."""
        gauge = Gauge(f"carobladder_{name}", help_text, registry=self.registry)
        gauge.set_function(read)

    def add_target_gauge(
        self, name: str, read: Callable[[], Mapping[str, float]]
    ) -> None:
        """Register a gauge by target, whose values are read at each scrape.

        ``read`` must return a bounded number of targets.
        """
        self.registry.register(LabelledGauge(name, "target", read))

    def _build_histogram(self, name: str, label: str) -> Histogram:
        return build_histogram(self.registry, name, label, _BUCKETS_SECONDS)

    def _build_counter(self, name: str, label: str) -> Counter:
        return build_counter(self.registry, name, label)
