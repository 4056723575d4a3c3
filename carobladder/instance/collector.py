"""Metrics of peers, admission, owned targets, the configuration and claims."""

from collections.abc import Iterable

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from carobladder.clock import Clock
from carobladder.instance.assembly import ConfigurationParts, DataPath, FleetParts

__all__ = ["FleetCollector"]

_PREFIX = "carobladder_"


class FleetCollector(Collector):
    """Collector that reads the state of an instance whenever metrics are scraped.

    To bound the number of time series, there are no labels for teams or chats, and
    target labels cover only the targets that this instance owns.
    """

    def __init__(
        self,
        configuration: ConfigurationParts,
        fleet: FleetParts,
        path: DataPath,
        clock: Clock,
    ) -> None:
        self._configuration = configuration
        self._fleet = fleet
        self._path = path
        self._clock = clock

    def collect(self) -> Iterable[Metric]:
        """Yield the current values of all metrics."""
        yield from self._collect_peers()
        yield from self._collect_admission()
        yield from self._collect_owned()
        yield from self._collect_log()

    def _collect_peers(self) -> Iterable[Metric]:
        transport = self._fleet.transport
        view = self._fleet.coordinator.view
        now = self._clock.monotonic()
        sent = _counter("peer_sent_bytes", "Bytes sent to other instances")
        sent.add_metric([], transport.sent_bytes)
        yield sent
        received = _counter("peer_received_bytes", "Bytes received from instances")
        received.add_metric([], transport.received_bytes)
        yield received
        dropped = _counter("peer_dropped_messages", "Unusable messages", ["reason"])
        for reason, count in transport.dropped.items():
            dropped.add_metric([reason], count)
        yield dropped
        yield _gauge("live_instances", "Instances heard", len(view.list_live(now)))
        yield _gauge("listed_instances", "Instances counted", view.count_listed(now))
        delegating = float(view.may_delegate(now))
        yield _gauge("delegating", "Whether shares are delegated", delegating)

    def _collect_admission(self) -> Iterable[Metric]:
        admission = self._fleet.admission
        requests = _counter("admission_requests", "Requests by decision", ["decision"])
        requests.add_metric(["admitted"], admission.admitted)
        requests.add_metric(["queued"], admission.queued)
        requests.add_metric(["refused"], admission.refused)
        yield requests

    def _collect_owned(self) -> Iterable[Metric]:
        load = GaugeMetricFamily(
            _PREFIX + "target_load_slots", "Load of an owned target", labels=["target"]
        )
        limit = GaugeMetricFamily(
            _PREFIX + "target_limit_slots",
            "Limit of an owned target",
            labels=["target"],
        )
        cold = GaugeMetricFamily(
            _PREFIX + "target_cold", "Whether a target is cold", labels=["target"]
        )
        for declaration in self._fleet.exchange.list_owned():
            target_id = declaration.state.target_id
            allowance = self._fleet.coordinator.book.find_last(target_id)
            if allowance is None:
                continue
            load.add_metric([target_id], allowance.load)
            limit.add_metric([target_id], allowance.limit)
            cold.add_metric([target_id], float(allowance.cold))
        yield from (load, limit, cold)

    def _collect_log(self) -> Iterable[Metric]:
        offset = self._configuration.catalog.applied_offset
        yield _gauge("config_applied_offset", "Last applied offset", offset)
        in_force = self._configuration.history.in_force
        yield _gauge("config_in_force_offset", "Offset in force everywhere", in_force)
        ledger = self._path.claims_reader.ledger
        yield _gauge("claims_kept", "Idempotency keys in memory", len(ledger))


def _counter(
    name: str, documentation: str, labels: list[str] | None = None
) -> CounterMetricFamily:
    return CounterMetricFamily(_PREFIX + name, documentation, labels=labels or [])


def _gauge(name: str, documentation: str, value: float) -> GaugeMetricFamily:
    return GaugeMetricFamily(_PREFIX + name, documentation, value=value)
