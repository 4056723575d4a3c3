"""Construction of Prometheus metrics with one label."""

from collections.abc import Callable, Iterable, Mapping

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector

__all__ = ["LabelledGauge", "build_counter", "build_gauge", "build_histogram"]


class LabelledGauge(Collector):
    """Gauge whose label values and numbers are read at each scrape.

    A value that ``read`` no longer returns disappears from the metrics.
    """

    def __init__(
        self, name: str, label: str, read: Callable[[], Mapping[str, float]]
    ) -> None:
        self._name = name
        self._label = label
        self._read = read

    def describe(self) -> Iterable[GaugeMetricFamily]:
        """Return the gauge without values, so that registering reads none."""
        return [self._build()]

    def collect(self) -> Iterable[GaugeMetricFamily]:
        """Return the gauge with its current values."""
        family = self._build()
        for value, number in self._read().items():
            family.add_metric([value], number)
        return [family]

    def _build(self) -> GaugeMetricFamily:
        help_text = _build_help_text(self._name, self._label)
        name = f"carobladder_{self._name}"
        return GaugeMetricFamily(name, help_text, labels=[self._label])


def build_histogram(
    registry: CollectorRegistry, name: str, label: str, buckets: tuple[float, ...]
) -> Histogram:
    """Return a histogram with one label, registered in ``registry``."""
    return Histogram(
        f"carobladder_{name}",
        _build_help_text(name, label),
        [label],
        buckets=buckets,
        registry=registry,
    )


def build_counter(registry: CollectorRegistry, name: str, label: str) -> Counter:
    """Return a counter with one label, registered in ``registry``."""
    return Counter(
        f"carobladder_{name}", _build_help_text(name, label), [label], registry=registry
    )


def build_gauge(registry: CollectorRegistry, name: str, label: str) -> Gauge:
    """Return a gauge with one label, registered in ``registry``."""
    return Gauge(
        f"carobladder_{name}", _build_help_text(name, label), [label], registry=registry
    )


def _build_help_text(name: str, label: str) -> str:
    return f"{name.replace('_', ' ').capitalize()} by {label}"
