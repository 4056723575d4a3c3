"""Choice of a target by the predicted completion of the request."""

import random
from collections.abc import Sequence

from carobladder.fleet.completion import CompletionPredictor
from carobladder.fleet.loadbounds import LoadBounds
from carobladder.fleet.targets import FleetTarget
from carobladder.routing import Route

__all__ = ["CompletionChoice"]

# Targets compared for one request. More cost time, and make instances that know the
# same loads choose the same target.
_MAX_COMPARED = 8
# Weight of the slots that requests of this instance occupy. They are known without
# delay, and requests that arrive together must not all go to the same target.
_OCCUPANCY_WEIGHT = 3.0
# Random spread of the predictions, so that instances with equal data choose
# differently.
_JITTER = 0.2
# Weight of a target's rate of failed answers relative to its predicted time.
_ERROR_WEIGHT = 20.0


class CompletionChoice:
    """Choice of the target at which a request would probably end first.

    Targets above the operators' load bound are left out while there are others.
    """

    def __init__(
        self,
        predictor: CompletionPredictor,
        bounds: LoadBounds,
        generator: random.Random,
    ) -> None:
        self._predictor = predictor
        self._bounds = bounds
        self._generator = generator

    def choose(
        self, usable: Sequence[FleetTarget], route: Route, now: float
    ) -> FleetTarget:
        """Return the best of some random targets; ``usable`` must not be empty."""
        compared = usable
        if len(usable) > _MAX_COMPARED:
            compared = self._generator.sample(usable, _MAX_COMPARED)
        compared = self._filter_within_bound(compared, now) or compared
        return min(compared, key=lambda target: self._score(target, route, now))

    def _filter_within_bound(
        self, targets: Sequence[FleetTarget], now: float
    ) -> list[FleetTarget]:
        bound = self._bounds.compute(targets[0].entry.service, now)
        return [t for t in targets if (t.health.estimate_load(now) or 0.0) <= bound]

    def _score(self, target: FleetTarget, route: Route, now: float) -> float:
        health = target.health
        seconds = self._predictor.predict_seconds(target, route, now).seconds
        occupancy = health.in_flight / max(1, target.entry.slots)
        occupancy_factor = 1.0 + _OCCUPANCY_WEIGHT * occupancy
        error_factor = 1.0 + _ERROR_WEIGHT * health.error_share
        jitter = 1.0 + _JITTER * self._generator.random()
        return seconds * occupancy_factor * error_factor * jitter
