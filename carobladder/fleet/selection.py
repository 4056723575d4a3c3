"""Selection of the target of a request."""

import random
from collections.abc import Collection
from dataclasses import dataclass

from carobladder.fleet.affinity import AffinityChoice
from carobladder.fleet.completion import CompletionPredictor
from carobladder.fleet.completionchoice import CompletionChoice
from carobladder.fleet.health import Condition
from carobladder.fleet.loadbounds import LoadBounds
from carobladder.fleet.pacing import ColdPacer, RatePacer
from carobladder.fleet.targets import FleetTarget, TargetTable, has_stated_slowness
from carobladder.fleet.versions import VersionMoves
from carobladder.routing import Route, Service

__all__ = ["SelectionCriteria", "TargetSelector"]

# Fraction of the usable targets that reports of other instances may exclude.
_MAX_EXCLUDED_FRACTION = 0.25
# Targets above the mean load of all by this factor are busy while others limit their
# rate.
_BUSY_FACTOR = 1.25
# Weight of a target's rate of failed answers relative to its latency.
_ERROR_WEIGHT = 20.0
# Random spread of the scores, so that instances with equal data choose differently.
_JITTER = 0.2


@dataclass(frozen=True, slots=True)
class SelectionCriteria:
    """Requirements of a request on its target.

    ``affinity`` is the key of the prompt that it shares with other requests, or None.
    ``excluded`` are the ids of targets that must not be chosen. ``route`` is that of
    the request; without it no completion is predicted.
    """

    service: Service
    affinity: int | None
    may_repeat: bool
    excluded: Collection[str] = ()
    route: Route | None = None


class TargetSelector:
    """Target selection by prompt affinity, load, latency and failures."""

    def __init__(
        self,
        table: TargetTable,
        pacer: ColdPacer,
        rates: RatePacer,
        moves: VersionMoves,
        bounds: LoadBounds,
        generator: random.Random,
        predictor: CompletionPredictor | None = None,
    ) -> None:
        self._table = table
        self._pacer = pacer
        self._rates = rates
        self._moves = moves
        self._bounds = bounds
        self._generator = generator
        self._completion = CompletionChoice(
            predictor or CompletionPredictor(), bounds, generator
        )
        self._affinity = AffinityChoice(table, bounds, generator)

    def choose(self, criteria: SelectionCriteria, now: float) -> FleetTarget | None:
        """Return the target for a request, or None; counts the request as sent."""
        usable = self._list_usable(criteria, now)
        if not usable:
            return None
        usable = self._prefer_limited(usable, criteria.service.name, now)
        if criteria.affinity is None:
            chosen = self._choose_plain(usable, criteria.route, now)
        else:
            chosen = self._choose_affine(usable, criteria, criteria.affinity, now)
        self._moves.note_sent(chosen)
        cold_rate = criteria.service.cold_per_second
        if cold_rate is not None and chosen.is_cold(now):
            self._pacer.acquire(chosen.target_id, cold_rate, now)
        self._rates.acquire(chosen)
        return chosen

    def is_overloaded(self, criteria: SelectionCriteria, now: float) -> bool:
        """Return whether every target that could be chosen exceeds its load bound.

        Returns False while a target of the service fails or limits its rate: the mean
        load, from which the bound follows, then says little.
        """
        service = criteria.service.name
        registered = self._table.list_registered(service)
        in_use = self._moves.filter_in_use(
            service, self._list_available(criteria, now), registered
        )
        if len(in_use) * self._bounds.load_multiple >= len(registered):
            # The least loaded one is at most at the mean of all times the multiple.
            return False
        if any(
            target.health.is_failing(now) or target.rate_limit is not None
            for target in registered
        ):
            return False
        usable = self._filter_trusted(in_use, criteria, now)
        bound = self._bounds.compute(service, now)
        return bool(usable) and all(
            (target.health.estimate_load(now) or 0.0) > bound for target in usable
        )

    def has_full(self, service: str, max_slots: float, now: float) -> bool:
        """Return whether a target of a service states a load at or above its slots.

        No target has more than ``max_slots`` of them.
        """
        return any(
            target.health.states_load_of(min(target.entry.slots, max_slots), now)
            for target in self._table.list_registered(service)
        )

    def list_candidates(
        self, criteria: SelectionCriteria, now: float
    ) -> list[FleetTarget]:
        """Return the targets that a request could be sent to now."""
        service = criteria.service.name
        in_use = self._moves.filter_in_use(
            service,
            self._list_available(criteria, now),
            self._table.list_registered(service),
        )
        return self._filter_trusted(in_use, criteria, now)

    def has_responsive(
        self, criteria: SelectionCriteria, silent_since: float, now: float
    ) -> bool:
        """Return whether a target can be chosen that is not silent since a time.

        A target that has requests and has sent no byte since then is as silent as the
        one that a request would leave for it.
        """
        service = criteria.service.name
        registered = self._table.list_registered(service)
        if not any(t.health.is_responsive(silent_since, now) for t in registered):
            # Spares the rest to requests that wait in large numbers.
            return False
        candidates = self._moves.filter_possible(
            service, self._list_available(criteria, now), registered
        )
        return any(t.health.is_responsive(silent_since, now) for t in candidates)

    def list_silent(self, service: str, silent_since: float, now: float) -> set[str]:
        """Return the ids of the targets that are silent since a time."""
        return {
            target.target_id
            for target in self._table.list_registered(service)
            if not target.health.is_responsive(silent_since, now)
        }

    def has_limited(self, service: str) -> bool:
        """Return whether any target of a service limits its rate."""
        registered = self._table.list_registered(service)
        return any(target.rate_limit is not None for target in registered)

    def find_rate_wait(
        self, criteria: SelectionCriteria, position: int, now: float
    ) -> float | None:
        """Return the seconds until a target's rate limit admits a waiting request.

        ``position`` is the number of requests that go before it. Returns 0.0 if a
        target can be chosen now or no limit is the reason that none can, and None if
        this instance may not use the targets that limit their rate.
        """
        if position == 0 and self._list_available(criteria, now):
            return 0.0
        candidates = [
            target
            for target in self._table.list_open(criteria.service.name)
            if target.target_id not in criteria.excluded and target.is_available(now)
        ]
        limited = [target for target in candidates if target.rate_limit is not None]
        if not limited or len(limited) < len(candidates):
            return 0.0
        waits = [self._rates.find_wait(target) for target in limited]
        first = min((wait for wait in waits if wait is not None), default=None)
        if first is None or not position:
            return first
        rate = sum(self._rates.compute_rate(target) for target in limited)
        return first + position / rate if rate else None

    def compute_limited_rate(self, service: str) -> float:
        """Return the sum of the rate limits of the open targets of a service."""
        return sum(
            target.rate_limit or 0.0 for target in self._table.list_open(service)
        )

    def find_pause(self, service: str, now: float) -> float | None:
        """Return the seconds until the first target accepts requests again.

        Returns None unless every open target of the service has asked for a pause.
        """
        pauses = [target.read_pause(now) for target in self._table.list_open(service)]
        return min(pauses, default=0.0) or None

    def _list_usable(
        self, criteria: SelectionCriteria, now: float
    ) -> list[FleetTarget]:
        service = criteria.service.name
        candidates = self._moves.filter_by_version(
            service,
            self._list_available(criteria, now),
            self._table.list_registered(service),
        )
        return self._filter_trusted(candidates, criteria, now)

    def _list_available(
        self, criteria: SelectionCriteria, now: float
    ) -> list[FleetTarget]:
        return [
            target
            for target in self._table.list_open(criteria.service.name)
            if target.target_id not in criteria.excluded
            and target.is_available(now)
            and self._is_within_cold_rate(target, criteria.service, now)
            and (target.rate_limit is None or self._rates.can_send(target))
        ]

    def _prefer_limited(
        self, usable: list[FleetTarget], service: str, now: float
    ) -> list[FleetTarget]:
        """Return the targets that admit a request under their limit if others are busy.

        Without this, the others would get nearly all requests, since an instance may
        rarely use a given limited target at the moment of a request that suits it.
        """
        limited = [target for target in usable if target.rate_limit is not None]
        unlimited = [target for target in usable if target.rate_limit is None]
        if not limited or not unlimited:
            return usable
        open_load = _compute_mean_load(self._table.list_open(service), now)
        busy_load = _compute_mean_load(unlimited, now)
        is_busy = busy_load > open_load * _BUSY_FACTOR
        return limited if is_busy else usable

    def _filter_trusted(
        self, candidates: list[FleetTarget], criteria: SelectionCriteria, now: float
    ) -> list[FleetTarget]:
        trusted = [t for t in candidates if self._is_trusted(t, criteria, now)]
        return _exclude_reported(trusted, now) or candidates

    def _is_within_cold_rate(
        self, target: FleetTarget, service: Service, now: float
    ) -> bool:
        if service.cold_per_second is None or not target.is_cold(now):
            return True
        return self._pacer.can_send(target.target_id, service.cold_per_second, now)

    def _is_trusted(
        self, target: FleetTarget, criteria: SelectionCriteria, now: float
    ) -> bool:
        condition = target.health.classify(now)
        if condition is Condition.TRIAL:
            health = target.health
            return health.reachable and criteria.may_repeat and health.in_flight == 0
        return condition is Condition.SOUND

    def _choose_plain(
        self, usable: list[FleetTarget], route: Route | None, now: float
    ) -> FleetTarget:
        if route is not None and has_stated_slowness(usable):
            return self._completion.choose(usable, route, now)
        return min(usable, key=lambda target: self._score(target))

    def _choose_affine(
        self,
        usable: list[FleetTarget],
        criteria: SelectionCriteria,
        affinity: int,
        now: float,
    ) -> FleetTarget:
        replicas = self._affinity.count_replicas(
            criteria.service.name,
            affinity,
            now,
            is_first_send=not criteria.excluded,
        )
        return self._affinity.choose(usable, affinity, replicas, now)

    def _score(self, target: FleetTarget) -> float:
        health = target.health
        slots = max(1, target.entry.slots)
        occupancy_factor = 1.0 + health.in_flight / slots
        error_factor = 1.0 + _ERROR_WEIGHT * health.error_share
        jitter = 1.0 + _JITTER * self._generator.random()
        return health.first_byte_seconds * occupancy_factor * error_factor * jitter


def _exclude_reported(targets: list[FleetTarget], now: float) -> list[FleetTarget]:
    """Return the targets without failure reports, unless too many are reported.

    Reports about many targets indicate overload or a network failure rather than a
    fault of each target.
    """
    unreported = [
        target for target in targets if not target.health.is_reported_failed(now)
    ]
    reported_count = len(targets) - len(unreported)
    return (
        unreported
        if reported_count <= len(targets) * _MAX_EXCLUDED_FRACTION
        else targets
    )


def _compute_mean_load(targets: list[FleetTarget], now: float) -> float:
    """Return the mean load of targets; one whose load is unknown counts as idle."""
    loads = [target.health.estimate_load(now) or 0.0 for target in targets]
    return sum(loads) / len(loads)
