"""Construction of metrics with one label."""

from prometheus_client import CollectorRegistry, Counter, Histogram

__all__ = ["build_counter", "build_histogram"]


def build_histogram(
    registry: CollectorRegistry, name: str, label: str, buckets: tuple[float, ...]
) -> Histogram:
    """Return a registered histogram."""
    return Histogram(
        f"carobladder_{name}",
        _describe(name, label),
        [label],
        buckets=buckets,
        registry=registry,
    )


def build_counter(registry: CollectorRegistry, name: str, label: str) -> Counter:
    """Return a registered counter."""
    return Counter(
        f"carobladder_{name}", _describe(name, label), [label], registry=registry
    )


def _describe(name: str, label: str) -> str:
    return f"{name.replace('_', ' ').capitalize()} by {label}"
