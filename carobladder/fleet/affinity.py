"""Choice of a target for a prompt that other requests share."""

import math
import random

from carobladder.fleet.loadbounds import LoadBounds
from carobladder.fleet.targets import FleetTarget, TargetTable
from carobladder.placement.popularity import PromptPopularity
from carobladder.placement.rendezvous import score_member

__all__ = ["AffinityChoice"]

# A target accepts requests by affinity until its load has reached this fraction of the
# way from the mean of the usable targets to the load multiple, as loads are known only
# with a delay.
_LOAD_FRACTION = 0.6
_LOAD_SLACK_REQUESTS = 2.0
# During the delay with which loads are known they change by about the square root of
# their mean. With a headroom below this many roots, requests go by affinity only to
# targets below the mean.
_MIN_HEADROOM_DEVIATIONS = 2.0


class AffinityChoice:
    """Choice by rendezvous hash of the prompt, within the bounds on loads."""

    def __init__(
        self, table: TargetTable, bounds: LoadBounds, generator: random.Random
    ) -> None:
        self._table = table
        self._bounds = bounds
        self._generator = generator
        self._popularity: dict[str, PromptPopularity] = {}

    def count_replicas(
        self, service: str, affinity: int, now: float, *, is_first_send: bool
    ) -> int:
        """Count the request and return the number of targets for its prompt."""
        popularity = self._popularity.setdefault(service, PromptPopularity())
        if is_first_send:
            popularity.note_request(affinity, now)
        targets = len(self._table.list_open(service))
        return popularity.count_replicas(affinity, targets, now)

    def choose(
        self, usable: list[FleetTarget], affinity: int, replicas: int, now: float
    ) -> FleetTarget:
        """Return the first ranked target that accepts requests by affinity."""
        loads = _estimate_loads(usable, now)
        limit = self._compute_load_limit(usable[0].entry.service, loads, now)
        ranked = sorted(
            usable,
            key=lambda target: score_member(affinity, target.target_id),
            reverse=True,
        )
        if replicas > 1:
            self._generator.shuffle(first := ranked[:replicas])
            ranked = first + ranked[replicas:]
        for target in ranked:
            if loads[target.target_id] <= limit:
                return target
        return self._choose_least_loaded(usable, loads)

    def _compute_load_limit(
        self, service: str, loads: dict[str, float], now: float
    ) -> float:
        """Return the highest load at which a target accepts requests by affinity.

        The load multiple applies to the mean over all targets of the service. Unusable
        targets are idle and lower this mean, which can leave little headroom above the
        mean of the usable ones. Those at their rate limit do not count.
        """
        usable_load = sum(loads.values())
        total_load = usable_load
        registered = [
            target
            for target in self._table.list_registered(service)
            if target.target_id in loads or target.rate_limit is None
        ]
        for target in registered:
            if target.target_id not in loads:
                total_load += target.health.estimate_load(now) or 0.0
        usable_mean = usable_load / len(loads)
        mean = total_load / len(registered)
        max_load = mean * self._bounds.load_multiple
        headroom = self._bounds.derive(mean) - usable_mean
        if headroom < _MIN_HEADROOM_DEVIATIONS * math.sqrt(usable_mean):
            return min(max_load, usable_mean)
        load_factor = 1.0 + _LOAD_FRACTION * (self._bounds.load_multiple - 1.0)
        return min(usable_mean * load_factor + _LOAD_SLACK_REQUESTS, max_load)

    def _choose_least_loaded(
        self, usable: list[FleetTarget], loads: dict[str, float]
    ) -> FleetTarget:
        """Return the least loaded target, or the less loaded of two random ones.

        Without reports of what other instances send, all of them know about the same
        loads, so without randomness they would all choose the same target.
        """
        is_fresh = any(t.health.peers_in_flight is not None for t in usable)
        count = len(usable) if is_fresh else min(2, len(usable))
        candidates = self._generator.sample(usable, count)
        return min(candidates, key=lambda target: loads[target.target_id])


def _estimate_loads(targets: list[FleetTarget], now: float) -> dict[str, float]:
    """Return the estimated load by target id; unknown loads are set to the mean.

    Otherwise a rarely used target would appear idle and attract requests from the
    targets that have their prompts in the cache.
    """
    known = {}
    for target in targets:
        load = target.health.estimate_load(now)
        if load is not None:
            known[target.target_id] = load
    mean = sum(known.values()) / len(known) if known else 0.0
    return {
        target.target_id: known.get(
            target.target_id, max(mean, float(target.health.in_flight))
        )
        for target in targets
    }
