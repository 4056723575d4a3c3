"""Comparison of the loads of targets with the operators' bound."""

from dataclasses import dataclass

from carobladder.fleet import FleetTarget, LoadBounds, TargetLoad
from carobladder.telemetry import ForwardMetrics, TargetAboveLoadBound, emit

__all__ = ["ExpectedLoad", "LoadMonitor"]


@dataclass(frozen=True, slots=True)
class ExpectedLoad:
    """Estimated number of other requests at a target to which one is sent.

    ``load`` is None if it is unknown.
    """

    load: float | None
    bound: float

    @property
    def exceeds_bound(self) -> bool:
        """Return whether the request is sent although the target is above the bound."""
        return self.load is not None and self.load > self.bound


class LoadMonitor:
    """Record of requests to targets above the operators' load bound.

    A target states its load with its answer only. The two counters distinguish requests
    that were sent although the bound was known to be exceeded from those where this was
    found late.
    """

    def __init__(self, bounds: LoadBounds, metrics: ForwardMetrics) -> None:
        self._bounds = bounds
        self._metrics = metrics

    def note_sent(self, target: FleetTarget, now: float) -> ExpectedLoad:
        """Record a request that is sent and already counted at its target."""
        service = target.entry.service
        load = target.health.estimate_load(now)
        expected = ExpectedLoad(
            None if load is None else load - 1.0, self._bounds.compute(service, now)
        )
        if expected.load is not None:
            self._metrics.observe_target_load(service, expected.load / expected.bound)
        if expected.exceeds_bound:
            self._metrics.count_sent_above_bound(service)
        return expected

    def note_malformed(self, target: FleetTarget) -> None:
        """Record an answer with a load that cannot be decoded."""
        self._metrics.count_malformed_load(target.entry.service)

    def note_stated(
        self,
        target: FleetTarget,
        expected: ExpectedLoad,
        stated: TargetLoad,
        request_id: str,
        now: float,
    ) -> None:
        """Record the load that a target states in its answer to a request."""
        others = stated.total - 1
        if others <= expected.bound or expected.exceeds_bound:
            return
        # The mean may have grown since the request was sent.
        bound = self._bounds.compute(target.entry.service, now)
        if others <= bound:
            return
        self._metrics.count_found_above_bound(target.entry.service)
        emit(
            TargetAboveLoadBound(
                target=target.target_id,
                request_id=request_id,
                expected=None if expected.load is None else round(expected.load, 1),
                stated=others,
                bound=round(bound, 1),
            )
        )
