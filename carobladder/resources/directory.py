"""Lookups of requests in the configuration in force."""

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import UTC, datetime

from carobladder.clock import Clock
from carobladder.gateway.ports import ServiceRoute, Team
from carobladder.resources.catalog import Catalog
from carobladder.resources.models import (
    DataCentreSpec,
    ModelSpec,
    OperatorSpec,
    Resource,
    ServiceSpec,
    TargetSpec,
    TeamSpec,
)
from carobladder.targets import TargetState

__all__ = ["ConfiguredDirectory", "hash_credential", "is_out_of_service"]


_EARLIEST = datetime.min.replace(tzinfo=UTC)
_LATEST = datetime.max.replace(tzinfo=UTC)


def hash_credential(credential: str) -> str:
    """Return the SHA-256 of a credential as hex."""
    return hashlib.sha256(credential.encode()).hexdigest()


def is_out_of_service(spec: DataCentreSpec | None, now: datetime) -> bool:
    """Tell whether a data centre is closed or inside a maintenance window.

    A data centre that is not declared counts as open.
    """
    if spec is None:
        return False
    if spec.state == "closed":
        return True
    return any(window.start <= now < window.end for window in spec.windows)


@dataclass(slots=True)
class _Index:
    teams: dict[str, Team] = field(default_factory=dict)
    administrators: dict[str, str] = field(default_factory=dict)
    operators: dict[str, str] = field(default_factory=dict)
    team_services: dict[str, frozenset[str]] = field(default_factory=dict)
    services: list[tuple[str, ServiceSpec]] = field(default_factory=list)
    shares: dict[str, dict[str, float]] = field(default_factory=dict)
    pools: dict[str, list[tuple[str, TargetSpec]]] = field(default_factory=dict)
    data_centres: dict[str, DataCentreSpec] = field(default_factory=dict)
    # What follows holds between two limits of maintenance windows.
    valid_from: datetime = _LATEST
    valid_until: datetime = _LATEST
    out_of_service: frozenset[str] = frozenset()
    states: dict[str, tuple[TargetState, ...]] = field(default_factory=dict)


class ConfiguredDirectory:
    """Answer the lookups that need only the configuration.

    Implements the gateway's Directory; readiness, boot ids and load of targets
    come from elsewhere, so targets are returned as ready and warm.
    """

    def __init__(self, catalog: Catalog, clock: Clock) -> None:
        self._catalog = catalog
        self._clock = clock
        self._generation = -1
        self._index = _Index()

    @property
    def ready(self) -> bool:
        """Tell whether a configuration is in force."""
        return self._catalog.loaded

    def find_team(self, credential: str) -> Team | None:
        """Return the team of a credential, or None."""
        return self._current().teams.get(hash_credential(credential))

    def find_administered_team(self, credential: str) -> str | None:
        """Return the team that a credential administers, or None."""
        return self._current().administrators.get(hash_credential(credential))

    def find_operator(self, credential: str) -> str | None:
        """Return the declared operator of a credential, or None."""
        return self._current().operators.get(hash_credential(credential))

    def find_route(self, team: Team, method: str, path: str) -> ServiceRoute | None:
        """Return the team's route with the longest matching prefix, or None."""
        index = self._current()
        allowed = index.team_services.get(team.name, frozenset())
        for name, spec in index.services:
            if name in allowed and _matches(spec.path_prefix, path):
                repeatable = spec.repeatable or method in spec.repeatable_methods
                return ServiceRoute(
                    name, spec.path_prefix, repeatable, spec.lookup_path
                )
        return None

    def find_service(self, service: str) -> ServiceRoute | None:
        """Return the route of a service by its name, or None."""
        resource = self._catalog.get("service", service)
        if resource is None or not isinstance(resource.spec, ServiceSpec):
            return None
        spec = resource.spec
        return ServiceRoute(
            service, spec.path_prefix, spec.repeatable, spec.lookup_path
        )

    def list_targets(self, pool: str) -> Sequence[TargetState]:
        """Return the targets of a pool; leaving if their data centre is out."""
        index = self._current()
        now = self._clock.now()
        if not index.valid_from <= now < index.valid_until:
            _enter_period(index, now)
        states = index.states.get(pool)
        if states is None:
            states = index.states[pool] = _list_states(index, pool)
        return states

    def version_shares(self, model: str) -> dict[str, float]:
        """Return the share of each version of a model; empty if unknown."""
        return dict(self._current().shares.get(model, {}))

    def _current(self) -> _Index:
        if self._generation != self._catalog.generation:
            self._index = _build_index(self._catalog)
            self._generation = self._catalog.generation
        return self._index


def _enter_period(index: _Index, now: datetime) -> None:
    """Note which data centres are out of service, and until when this holds."""
    limits = [
        limit
        for spec in index.data_centres.values()
        for window in spec.windows
        for limit in (window.start, window.end)
    ]
    index.valid_from = max((x for x in limits if x <= now), default=_EARLIEST)
    index.valid_until = min((x for x in limits if x > now), default=_LATEST)
    index.out_of_service = frozenset(
        name
        for name, spec in index.data_centres.items()
        if is_out_of_service(spec, now)
    )
    index.states.clear()


def _list_states(index: _Index, pool: str) -> tuple[TargetState, ...]:
    return tuple(
        _to_state(name, spec, spec.data_centre in index.out_of_service)
        for name, spec in index.pools.get(pool, [])
    )


def _matches(prefix: str, path: str) -> bool:
    return path == prefix or path.startswith(prefix.rstrip("/") + "/")


def _to_state(name: str, spec: TargetSpec, out_of_service: bool) -> TargetState:
    return TargetState(
        target_id=name,
        model=spec.pool,
        version=spec.version,
        data_centre=spec.data_centre,
        address=spec.address,
        leaving=spec.leaving or out_of_service,
        slots=spec.slots,
    )


def _build_index(catalog: Catalog) -> _Index:
    index = _Index()
    for resource in catalog.state.resources.values():
        _add_resource(index, resource)
    index.services.sort(key=lambda item: len(item[1].path_prefix), reverse=True)
    for targets in index.pools.values():
        targets.sort(key=lambda item: item[0])
    return index


def _add_resource(index: _Index, resource: Resource) -> None:
    match resource.spec:
        case TeamSpec() as spec:
            _add_team(index, resource.name, spec)
        case OperatorSpec() as spec:
            index.operators.update(dict.fromkeys(spec.credentials, resource.name))
        case ServiceSpec() as spec:
            index.services.append((resource.name, spec))
        case ModelSpec() as spec:
            index.shares[resource.name] = dict(spec.shares)
        case TargetSpec() as spec:
            index.pools.setdefault(spec.pool, []).append((resource.name, spec))
        case DataCentreSpec() as spec:
            index.data_centres[resource.name] = spec
        case _:
            pass


def _add_team(index: _Index, name: str, spec: TeamSpec) -> None:
    team = Team(name, spec.weight, frozenset(spec.models))
    index.teams.update(dict.fromkeys(spec.credentials, team))
    index.administrators.update(dict.fromkeys(spec.administrators, name))
    index.team_services[name] = frozenset(spec.services)
