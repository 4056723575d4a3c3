"""Numbers of targets of the services, ordered by the holder of the duties."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from carobladder.clock import Clock
from carobladder.duties import (
    CallOutcome,
    DutyApi,
    ScaleOrder,
    ScalingPlanner,
    ServiceView,
)
from carobladder.entry.dutyterm import DutyTerm
from carobladder.fleet import FleetTarget, TargetTable
from carobladder.routing import Service
from carobladder.telemetry import TargetsOrdered, emit

__all__ = ["SCALING_DUTY", "ScalingSources", "TargetScaler"]

_SAMPLE_SECONDS = 0.5
# Older loads are not used; those of the other targets stand for the target's.
_MAX_LOAD_AGE_SECONDS = 5.0
SCALING_DUTY = "autoscale"


@dataclass(frozen=True, slots=True)
class ScalingSources:
    """What the holder knows of services and targets.

    ``list_services`` returns the declared services, and ``is_moving`` whether a service
    is in a move to another version.
    """

    targets: TargetTable
    list_services: Callable[[], Sequence[Service]]
    is_moving: Callable[[str], bool]


class TargetScaler:
    """Duty that orders numbers of targets; one order of each data centre at a time."""

    def __init__(
        self, term: DutyTerm, api: DutyApi, sources: ScalingSources, clock: Clock
    ) -> None:
        self._term = term
        self._api = api
        self._sources = sources
        self._clock = clock
        self._token: int | None = None
        self._planners: dict[str, ScalingPlanner] = {}
        self._next_at = float("-inf")

    async def run_due(self) -> None:
        """Sample the loads and send the orders that are due."""
        now = self._clock.boottime()
        if now < self._next_at:
            return
        self._next_at = now + _SAMPLE_SECONDS
        if self._token != self._term.lease.token:
            # Samples of an earlier term have a gap.
            self._token = self._term.lease.token
            self._planners.clear()
        for service in self._sources.list_services():
            view = self._build_view(service)
            if view is None:
                continue
            planner = self._planners.setdefault(service.name, ScalingPlanner())
            planner.note(view, now)
            order = planner.plan(view, now)
            if order is not None:
                await self._send(service, planner, view, order)

    async def _send(
        self,
        service: Service,
        planner: ScalingPlanner,
        view: ServiceView,
        order: ScaleOrder,
    ) -> None:
        permit = await self._term.prepare_call()
        if permit is None:
            return
        outcome = await self._api.order_targets(
            permit, service.name, order.data_centre, order.count
        )
        subject = f"{service.name}/{order.data_centre}"
        self._term.note_outcome(SCALING_DUTY, subject, permit.token, outcome)
        now = self._clock.boottime()
        if outcome is not CallOutcome.ACCEPTED:
            planner.note_failed(order, now, is_refused=outcome is CallOutcome.REFUSED)
            return
        planner.note_accepted(order, view, now)
        emit(
            TargetsOrdered(
                service.name,
                order.data_centre,
                order.count,
                order.count_before,
                permit.token,
                round(order.demand.load, 1),
                round(order.demand.predicted, 1),
            )
        )

    def _build_view(self, service: Service) -> ServiceView | None:
        """Return what is known of a service, None if its number is not to be chosen."""
        scaling = service.scaling
        targets = self._sources.targets.list_registered(service.name)
        if scaling is None or not targets:
            return None
        registered: dict[str, int] = {}
        for target in targets:
            centre = target.entry.data_centre
            registered[centre] = registered.get(centre, 0) + target.takes_requests
        slots = sum(target.entry.slots for target in targets) / len(targets)
        return ServiceView(
            scaling,
            registered,
            self._sources.targets.emptied,
            self._estimate_load(targets),
            service.batch_slots or slots,
            self._sources.is_moving(service.name),
        )

    def _estimate_load(self, targets: Sequence[FleetTarget]) -> float:
        """Return the requests at all targets, by the mean of those that are known."""
        now = self._clock.monotonic()
        loads = []
        for target in targets:
            latest = target.health.read_latest_load(now)
            if latest is not None and latest[1] <= _MAX_LOAD_AGE_SECONDS:
                loads.append(latest[0])
        return sum(loads) / len(loads) * len(targets) if loads else 0.0
