"""A service whose targets boot and leave as they are ordered, in virtual time."""

import random
from dataclasses import dataclass, field

from carobladder.duties import ScaleOrder, ScalingPlanner, ServiceView
from carobladder.routing import ServiceScaling

STEP_SECONDS = 0.5
SLOTS = 10.0
SCALING = ServiceScaling(2, 40, 8.0)


@dataclass
class ScalingSimulation:
    """Targets in data centres; a new one takes requests after the boot time.

    ``demand`` gives the requests in flight at a time. ``full_seconds`` is the time in
    which they exceeded the slots of all targets that took requests.
    """

    demand: object
    counts: dict[str, int]
    scaling: ServiceScaling = SCALING
    seed: int = 1
    now: float = 0.0
    emptied: frozenset[str] = frozenset()
    is_moving: bool = False
    orders: list[tuple[float, ScaleOrder]] = field(default_factory=list)
    full_seconds: float = 0.0
    target_seconds: float = 0.0

    def __post_init__(self) -> None:
        self.planner = ScalingPlanner()
        self.generator = random.Random(self.seed)
        self.booting: list[tuple[float, str]] = []

    def run(self, seconds: float) -> None:
        """Let time pass."""
        until = self.now + seconds
        while self.now < until:
            self.now += STEP_SECONDS
            self._boot()
            self._step()

    def view(self) -> ServiceView:
        """Return what the holder knows."""
        noise = self.generator.uniform(0.9, 1.1)
        load = self.demand(self.now) * noise
        return ServiceView(
            self.scaling, dict(self.counts), self.emptied, load, SLOTS, self.is_moving
        )

    def _step(self) -> None:
        view = self.view()
        open_count = sum(
            count for name, count in self.counts.items() if name not in self.emptied
        )
        self.full_seconds += STEP_SECONDS * (view.load > open_count * SLOTS)
        self.target_seconds += STEP_SECONDS * sum(self.counts.values())
        self.planner.note(view, self.now)
        order = self.planner.plan(view, self.now)
        if order is not None:
            self.orders.append((self.now, order))
            self.planner.note_accepted(order, view, self.now)
            self._execute(order)

    def _execute(self, order: ScaleOrder) -> None:
        name = order.data_centre
        booting = [item for item in self.booting if item[1] == name]
        change = order.count - self.counts[name] - len(booting)
        if change < 0:
            self.counts[name] += change
        at = self.now + self.scaling.boot_seconds
        self.booting += [(at, name)] * max(0, change)

    def _boot(self) -> None:
        for _, name in [item for item in self.booting if item[0] <= self.now]:
            self.counts[name] += 1
        self.booting = [item for item in self.booting if item[0] > self.now]
