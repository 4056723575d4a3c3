"""Prediction of the time that a request will take at a target."""

import heapq
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from carobladder.fleet.targets import FleetTarget
from carobladder.routing import Route

__all__ = ["CompletionPredictor", "Prediction", "find_slowest"]

_SMOOTHING_FACTOR = 0.05
# Assumed until the first response.
_INITIAL_SECONDS = 0.1
_MAX_NAMES = 4000


@dataclass(frozen=True, slots=True)
class Prediction:
    """Seconds until a request ends that is sent now, and whether they are certain.

    They are uncertain if the target states no slowness or a figure that is too old to
    say much. ``usual_seconds`` are those of a target of usual speed with the same load.
    """

    seconds: float
    is_certain: bool
    usual_seconds: float = 0.0


class CompletionPredictor:
    """Prediction from the load and slowness of a target and the usual time of a route.

    The usual time is that of a target of usual speed with a free slot, and for a stream
    the time to its first byte. ``observe`` is called with the service and with the time
    that a request took relative to the predicted one.
    """

    def __init__(
        self, observe: Callable[[str, float], None] = lambda service, ratio: None
    ) -> None:
        self._observe = observe
        self._routes = _UsualTimes()
        self._services = _UsualTimes()

    def predict_seconds(
        self, target: FleetTarget, route: Route, now: float
    ) -> Prediction:
        """Return when a request of the route would end that is sent to the target now.

        ``now`` is in monotonic seconds. The request must not be counted there yet.
        """
        service_seconds = self._services.find(target.entry.service, _INITIAL_SECONDS)
        route_seconds = self._routes.find(route.name, service_seconds)
        slowness = target.slowness.estimate(now)
        usual_seconds = route_seconds + _count_turns(target, now) * service_seconds
        seconds = usual_seconds * slowness.value
        return Prediction(seconds, slowness.is_certain, usual_seconds)

    def note_response(
        self,
        target: FleetTarget,
        route: Route,
        seconds: float,
        prediction: Prediction,
        now: float,
    ) -> None:
        """Record the time that a request took for which ``prediction`` was made."""
        usual_seconds = prediction.usual_seconds
        if seconds <= 0.0 or usual_seconds <= 0.0:
            return
        service = target.entry.service
        known = self._routes.find(route.name, 0.0)
        if known:
            self._observe(service, seconds / prediction.seconds)
            # Without a usual time a response says nothing about the target.
            target.slowness.note_response(seconds, usual_seconds, now)
        known = known or self._services.find(service, _INITIAL_SECONDS)
        expected = usual_seconds * target.slowness.read_corrected()
        sample = known * seconds / expected
        self._routes.note(route.name, sample)
        self._services.note(service, sample)


def find_slowest(
    targets: Iterable[FleetTarget], count: int, now: float
) -> dict[str, float]:
    """Return the estimated slowness of the slowest targets that state theirs, by id."""
    estimates = {
        target.target_id: target.slowness.estimate(now).value
        for target in targets
        if target.slowness.stated is not None
    }
    slowest = heapq.nlargest(count, estimates.items(), key=lambda item: item[1])
    return dict(slowest)


class _UsualTimes:
    """Running averages of seconds by name."""

    def __init__(self) -> None:
        self._seconds: dict[str, float] = {}

    def find(self, name: str, default: float) -> float:
        """Return the average of a name, or ``default`` if there is none."""
        return self._seconds.get(name, default)

    def note(self, name: str, sample: float) -> None:
        """Record a time; the first one of a name is its average."""
        known = self._seconds.get(name)
        if known is None:
            if len(self._seconds) >= _MAX_NAMES:
                self._seconds.clear()
            known = sample
        self._seconds[name] = known + _SMOOTHING_FACTOR * (sample - known)


def _count_turns(target: FleetTarget, now: float) -> float:
    """Return how many requests must end for each slot before a further one starts."""
    load = target.health.estimate_load(now)
    waiting = (target.health.in_flight if load is None else load) + 1.0
    slots = max(1, target.entry.slots)
    return max(0.0, waiting - slots) / slots
