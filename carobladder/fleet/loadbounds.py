"""Operators' bound on the load of a target."""

from carobladder.fleet.targets import TargetTable

__all__ = ["LoadBounds"]

# Requests above the load multiple that a target may have.
_TOLERATED_REQUESTS = 3.0


class LoadBounds:
    """Bounds on the number of requests at a target, from the mean of its service.

    The mean is that of all registered targets, including unusable ones.
    """

    def __init__(self, table: TargetTable, load_multiple: float) -> None:
        self.load_multiple = load_multiple
        self._table = table

    def compute(self, service: str, now: float) -> float:
        """Return the number of requests above which a target gets no more.

        ``now`` is in monotonic seconds.
        """
        return self.derive(self._estimate_mean(service, now))

    def derive(self, mean: float) -> float:
        """Return the bound that follows from a mean number of requests at a target."""
        return self.load_multiple * mean + _TOLERATED_REQUESTS

    def _estimate_mean(self, service: str, now: float) -> float:
        targets = self._table.list_registered(service)
        loads = [target.health.estimate_load(now) or 0.0 for target in targets]
        return sum(loads) / len(loads) if loads else 0.0
