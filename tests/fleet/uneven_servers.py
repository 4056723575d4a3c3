"""Targets of a plain service in virtual time, whose machines vary in speed."""

import heapq
import itertools
import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from carobladder.fleet import TargetLoad

__all__ = ["Job", "PlainServer", "ServiceShape", "Timeline"]

_USUAL_SLOWNESS = 100


class Timeline:
    """Queue of actions in virtual time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        event = (self.now + seconds, next(self._order), action)
        heapq.heappush(self._events, event)

    def run(self, seconds: float) -> None:
        """Run all actions up to the time ``seconds``."""
        while self._events and self._events[0][0] <= seconds:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = seconds


@dataclass(frozen=True)
class ServiceShape:
    """Slots and queue of each target, and the times that requests take.

    ``spread`` is the standard deviation of the logarithm of the work of a request.
    """

    targets: int = 4
    slots: int = 6
    queue: int = 24
    mean_seconds: float = 0.069
    spread: float = 0.5

    def draw_work(self, generator: random.Random) -> float:
        """Return the seconds that a request takes on a target of usual speed."""
        centre = math.log(self.mean_seconds) - self.spread**2 / 2
        return generator.lognormvariate(centre, self.spread)


@dataclass(eq=False)
class Job:
    """Request at a target with the work that is left, in seconds at usual speed."""

    work: float
    finish: Callable[[], None]


@dataclass(eq=False)
class PlainServer:
    """Target with slots, a queue and a speed that changes.

    ``fixed_slowness`` is that of a target whose speed never changes.
    ``stated_slowness`` replaces the true figure in its answers; with
    ``states_slowness`` False they have three figures only.
    """

    name: str
    shape: ServiceShape
    timeline: Timeline
    slowness: float = 1.0
    fixed_slowness: float | None = None
    stated_slowness: float | None = None
    states_slowness: bool = True
    is_down: bool = False
    running: list[Job] = field(default_factory=list)
    waiting: deque[Job] = field(default_factory=deque)
    _advanced_at: float = 0.0
    _schedule: int = 0

    @property
    def total(self) -> int:
        """Return the number of running and waiting requests."""
        return len(self.running) + len(self.waiting)

    def state_load(self) -> TargetLoad:
        """Return the load as an answer states it, with a whole number of percent."""
        slowness = None
        if self.states_slowness:
            stated = self.stated_slowness or self.slowness
            slowness = round(stated * _USUAL_SLOWNESS) / _USUAL_SLOWNESS
        running, waiting = len(self.running), len(self.waiting)
        return TargetLoad(running, waiting, self.shape.slots, slowness)

    def accept(self, job: Job) -> bool:
        """Run or queue a request; return False if the queue is full."""
        self._advance()
        if len(self.running) < self.shape.slots:
            self.running.append(job)
        elif len(self.waiting) < self.shape.queue:
            self.waiting.append(job)
        else:
            return False
        self._plan_next()
        return True

    def set_slowness(self, slowness: float) -> None:
        """Change the speed, also for the requests that run."""
        self._advance()
        self.slowness = self.fixed_slowness or slowness
        self._plan_next()

    def predict_seconds(self, mean_seconds: float) -> float:
        """Return the seconds until a request of usual size would end, at this speed."""
        ends = [job.work for job in self.running]
        heapq.heapify(ends)
        free = self.shape.slots - len(ends)
        for work in [job.work for job in self.waiting]:
            heapq.heappush(ends, heapq.heappop(ends) + work)
        start = 0.0 if free > 0 else heapq.heappop(ends)
        return (start + mean_seconds) * self.slowness

    def _advance(self) -> None:
        elapsed = (self.timeline.now - self._advanced_at) / self.slowness
        self._advanced_at = self.timeline.now
        for job in self.running:
            job.work -= elapsed

    def _plan_next(self) -> None:
        self._schedule += 1
        if not self.running:
            return
        schedule = self._schedule
        seconds = max(0.0, min(job.work for job in self.running)) * self.slowness
        self.timeline.after(seconds, lambda: self._finish_first(schedule))

    def _finish_first(self, schedule: int) -> None:
        if schedule != self._schedule:
            return
        self._advance()
        job = min(self.running, key=lambda job: job.work)
        self.running.remove(job)
        if self.waiting:
            self.running.append(self.waiting.popleft())
        self._plan_next()
        job.finish()
