"""Metrics of the duties that one instance performs at a time."""

from prometheus_client import CollectorRegistry, Counter

__all__ = ["DutyMetrics"]


class DutyMetrics:
    """Calls to the platform's API by duty and outcome."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self._calls = Counter(
            "carobladder_duty_calls",
            "Duty calls by duty and outcome",
            ["duty", "outcome"],
            registry=registry,
        )

    def count_call(self, duty: str, outcome: str) -> None:
        """Count a call, or a subject that was given up."""
        self._calls.labels(duty, outcome).inc()
