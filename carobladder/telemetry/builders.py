"""Construction of Prometheus metrics with one label."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

__all__ = ["build_counter", "build_gauge", "build_histogram"]


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
