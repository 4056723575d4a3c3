"""Choice of the target of a request."""

import math
import random
from collections.abc import Collection
from dataclasses import dataclass

from carobladder.fleet.health import Condition
from carobladder.fleet.shares import ColdPacer
from carobladder.fleet.targets import FleetTarget, TargetTable
from carobladder.fleet.versions import VersionMoves
from carobladder.placement.popularity import PromptPopularity
from carobladder.placement.rendezvous import score_member
from carobladder.routing import Service

__all__ = ["Selection", "TargetSelector"]

# A target takes affine requests up to this part of the way from the mean load of the
# usable targets to the load multiple, because loads are known with a delay.
_LOAD_PART = 0.6
_LOAD_SLACK_REQUESTS = 2.0
# Requests beyond the load multiple that a target may hold.
_TOLERATED_REQUESTS = 3.0
# Loads are known with a delay, in which they change by about the root of their mean.
# With less room than this many roots, prompts go only to targets below the mean.
_TIGHT_DEVIATIONS = 2.0
# Part of the usable targets that warnings of other instances may leave out.
_DOUBTED_PART = 0.25
# Weight of a target's share of failed answers against its latency.
_ERROR_WEIGHT = 20.0
# Spread of the scores, so that instances with equal views choose differently.
_JITTER = 0.2


@dataclass(frozen=True, slots=True)
class Selection:
    """Describe what a request needs of its target.

    ``affinity`` is the key of the prompt that it shares with others, or None.
    """

    service: Service
    affinity: int | None
    may_repeat: bool
    excluded: Collection[str] = ()


class TargetSelector:
    """Choose targets by warmth of the prompt, load, latency and failures."""

    def __init__(
        self,
        table: TargetTable,
        pacer: ColdPacer,
        moves: VersionMoves,
        load_multiple: float,
        generator: random.Random,
    ) -> None:
        self._table = table
        self._pacer = pacer
        self._moves = moves
        self._generator = generator
        self._popularity: dict[str, PromptPopularity] = {}
        self.set_load_multiple(load_multiple)

    def set_load_multiple(self, load_multiple: float) -> None:
        """Bound the load of a target by this multiple of the mean."""
        self._load_multiple = load_multiple
        self._load_factor = 1.0 + _LOAD_PART * (load_multiple - 1.0)

    def choose(self, wanted: Selection, now: float) -> FleetTarget | None:
        """Return the target for a request and note a send to a cold one, or None."""
        usable = self._list_usable(wanted, now)
        if not usable:
            return None
        if wanted.affinity is None:
            chosen = min(usable, key=lambda target: self._score(target))
        else:
            replicas = self._count_replicas(wanted, wanted.affinity, now)
            chosen = self._choose_affine(usable, wanted.affinity, replicas, now)
        self._moves.note_sent(chosen)
        if chosen.is_cold(now):
            self._pacer.take(chosen.target_id, wanted.service.cold_per_second, now)
        return chosen

    def find_pause(self, service: str, now: float) -> float | None:
        """Return the seconds until the first target takes requests again.

        Return None unless each target of the service has asked for a pause.
        """
        pauses = [target.read_pause(now) for target in self._table.list_open(service)]
        return min(pauses, default=0.0) or None

    def _list_usable(self, wanted: Selection, now: float) -> list[FleetTarget]:
        open_targets = [
            target
            for target in self._table.list_open(wanted.service.name)
            if target.target_id not in wanted.excluded
            and target.may_be_sent_to(now)
            and self._bears_one(target, wanted.service, now)
        ]
        service = wanted.service.name
        versioned = self._moves.choose_version(
            service, open_targets, self._table.list_registered(service)
        )
        sound = [t for t in versioned if self._is_trusted(t, wanted, now)]
        return _leave_out_doubted(sound, now) or versioned

    def _bears_one(self, target: FleetTarget, service: Service, now: float) -> bool:
        if service.cold_per_second <= 0.0 or not target.is_cold(now):
            return True
        return self._pacer.can_send(target.target_id, service.cold_per_second, now)

    def _is_trusted(self, target: FleetTarget, wanted: Selection, now: float) -> bool:
        condition = target.health.judge(now)
        if condition is Condition.TRIAL:
            health = target.health
            return health.reachable and wanted.may_repeat and health.in_flight == 0
        return condition is Condition.SOUND

    def _count_replicas(self, wanted: Selection, affinity: int, now: float) -> int:
        """Count the request and return how many targets share its prompt."""
        service = wanted.service.name
        popularity = self._popularity.setdefault(service, PromptPopularity())
        if not wanted.excluded:
            popularity.note_request(affinity, now)
        targets = len(self._table.list_open(service))
        return popularity.count_replicas(affinity, targets, now)

    def _choose_affine(
        self, usable: list[FleetTarget], affinity: int, replicas: int, now: float
    ) -> FleetTarget:
        loads = _estimate_loads(usable, now)
        limit = self._limit_load(usable[0].entry.service, loads, now)
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
        return self._choose_of_two(usable, loads)

    def _limit_load(self, service: str, loads: dict[str, float], now: float) -> float:
        """Return the load from which on a target takes no more affine requests.

        The bound counts all targets of the service, also those that may not be used
        now and stand idle, which can leave little room above the usable ones' mean.
        """
        usable_total = sum(loads.values())
        total = usable_total
        registered = self._table.list_registered(service)
        for target in registered:
            if target.target_id not in loads:
                total += target.health.estimate_load(now) or 0.0
        usable_mean = usable_total / len(loads)
        mean = total / len(registered)
        bound = mean * self._load_multiple
        room = bound + _TOLERATED_REQUESTS - usable_mean
        if room < _TIGHT_DEVIATIONS * math.sqrt(usable_mean):
            return min(bound, usable_mean)
        return min(usable_mean * self._load_factor + _LOAD_SLACK_REQUESTS, bound)

    def _choose_of_two(
        self, usable: list[FleetTarget], loads: dict[str, float]
    ) -> FleetTarget:
        """Return the less loaded of two random targets.

        Instances know about the same loads, so all of them would send to the one
        that is least loaded.
        """
        pair = self._generator.sample(usable, min(2, len(usable)))
        return min(pair, key=lambda target: loads[target.target_id])

    def _score(self, target: FleetTarget) -> float:
        health = target.health
        slots = max(1, target.entry.slots)
        crowding = 1.0 + health.in_flight / slots
        failing = 1.0 + _ERROR_WEIGHT * health.error_share
        jitter = 1.0 + _JITTER * self._generator.random()
        return health.first_byte_seconds * crowding * failing * jitter


def _leave_out_doubted(targets: list[FleetTarget], now: float) -> list[FleetTarget]:
    """Return the targets of which nobody warned, unless too many are warned of.

    Warnings of many targets speak of their load or of a network, not of each target.
    """
    trusted = [target for target in targets if not target.health.is_doubted(now)]
    doubted = len(targets) - len(trusted)
    return trusted if doubted <= len(targets) * _DOUBTED_PART else targets


def _estimate_loads(targets: list[FleetTarget], now: float) -> dict[str, float]:
    """Return the likely load of each target; unknown ones get the mean of the known.

    Without that a target that is seldom used would look empty and draw requests
    away from the targets that keep their prompts.
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
