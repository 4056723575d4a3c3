"""Roles of operators and team administrators, and their scope."""

import hmac
from dataclasses import dataclass

from carobladder.exceptions import BadCredentialsError, ForbiddenError
from carobladder.resources import (
    Catalog,
    ConfiguredDirectory,
    Resource,
    ServiceSpec,
    Spec,
    TargetSpec,
    TeamSpec,
)

__all__ = ["Actor", "Roles", "is_visible_to_team"]

# Fields of its team that a team administrator may change.
TEAM_FIELDS = frozenset({"credentials", "administrators"})
_SCHEME = "bearer "


@dataclass(frozen=True, slots=True)
class Actor:
    """Identify who asks; ``team`` is None for the operator role."""

    name: str
    team: str | None = None


class Roles:
    """Authenticate credentials and check the scope of requests."""

    def __init__(
        self, catalog: Catalog, directory: ConfiguredDirectory, admin_key: str
    ) -> None:
        self._catalog = catalog
        self._directory = directory
        self._admin_key = admin_key.encode()

    def authenticate(self, authorization: str) -> Actor:
        """Return the actor of an Authorization header.

        Raises BadCredentialsError.
        """
        if not authorization.lower().startswith(_SCHEME):
            raise BadCredentialsError("no credentials for the operator interface")
        credential = authorization[len(_SCHEME) :].strip()
        if hmac.compare_digest(credential.encode(), self._admin_key):
            return Actor("admin-key")
        operator = self._directory.find_operator(credential)
        if operator is not None:
            return Actor(f"operator/{operator}")
        team = self._directory.find_administered_team(credential)
        if team is not None:
            return Actor(f"team/{team}", team)
        raise BadCredentialsError("unknown credentials for the operator interface")

    def can_see(self, actor: Actor, kind: str, name: str) -> bool:
        """Tell whether the actor may read a resource."""
        if actor.team is None:
            return True
        if kind == "target":
            return False
        return is_visible_to_team(self._catalog, actor.team, kind, name)

    def check_put(self, actor: Actor, kind: str, name: str, spec: Spec) -> int | None:
        """Check a put; return the revision that the check relies on, or None.

        Raises ForbiddenError.
        """
        if actor.team is None:
            return None
        current = self._find_own_team(actor, kind, name)
        if not isinstance(spec, TeamSpec) or not isinstance(current.spec, TeamSpec):
            raise ForbiddenError(f"{actor.name} may not change {kind}/{name}")
        for field in TeamSpec.model_fields:
            differs = getattr(spec, field) != getattr(current.spec, field)
            if differs and field not in TEAM_FIELDS:
                raise ForbiddenError(f"{actor.name} may not change {field}")
        return current.revision

    def check_delete(self, actor: Actor, kind: str, name: str) -> None:
        """Raise ForbiddenError unless the actor may delete resources."""
        if actor.team is not None:
            raise ForbiddenError(f"{actor.name} may not delete {kind}/{name}")

    def _find_own_team(self, actor: Actor, kind: str, name: str) -> Resource:
        current = self._catalog.get(kind, name)
        if kind != "team" or name != actor.team or current is None:
            raise ForbiddenError(f"{actor.name} may not change {kind}/{name}")
        return current


def is_visible_to_team(catalog: Catalog, team: str, kind: str, name: str) -> bool:
    """Tell whether a resource is the team itself or serves it."""
    resource = catalog.get("team", team)
    if resource is None or not isinstance(resource.spec, TeamSpec):
        return False
    if kind == "team":
        return name == team
    if kind == "model":
        return name in resource.spec.models
    if kind == "service":
        return name in resource.spec.services
    if kind == "target":
        return _serves(catalog, resource.spec, name)
    return False


def _serves(catalog: Catalog, team: TeamSpec, name: str) -> bool:
    target = catalog.get("target", name)
    if target is None or not isinstance(target.spec, TargetSpec):
        return False
    service = catalog.get("service", target.spec.pool)
    if service is not None and isinstance(service.spec, ServiceSpec):
        return target.spec.pool in team.services
    return target.spec.pool in team.models
