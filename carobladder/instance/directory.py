"""Directory that combines the configuration with the live state of targets."""

from collections.abc import Callable, Sequence
from dataclasses import replace

from carobladder.gateway.ports import ServiceRoute, Team
from carobladder.resources import ConfiguredDirectory
from carobladder.targets import TargetState

__all__ = ["LiveDirectory"]


def _keep_shares(model: str, shares: dict[str, float]) -> dict[str, float]:
    return shares


class LiveDirectory:
    """Directory of the gateway for a running instance.

    ``find_target`` returns the state that the owner of a target reports, or None.
    ``adjust_shares`` maps the declared version shares of a model to those in use.
    """

    def __init__(
        self,
        configured: ConfiguredDirectory,
        find_target: Callable[[str], TargetState | None],
        adjust_shares: Callable[
            [str, dict[str, float]], dict[str, float]
        ] = _keep_shares,
    ) -> None:
        self._configured = configured
        self._adjust_shares = adjust_shares
        self._find_target = find_target

    @property
    def ready(self) -> bool:
        """Whether a configuration is in force."""
        return self._configured.ready

    def find_team(self, credential: str) -> Team | None:
        """Return the team to which a credential belongs, or None."""
        return self._configured.find_team(credential)

    def find_route(self, team: Team, method: str, path: str) -> ServiceRoute | None:
        """Return the team's service route for a method and path, or None."""
        return self._configured.find_route(team, method, path)

    def find_service(self, service: str) -> ServiceRoute | None:
        """Return the route of a service, or None."""
        return self._configured.find_service(service)

    def list_targets(self, pool: str) -> Sequence[TargetState]:
        """Return the targets of a model or service with their live state."""
        return [
            self._merge_live_state(state)
            for state in self._configured.list_targets(pool)
        ]

    def version_shares(self, model: str) -> dict[str, float]:
        """Return the share of each version of a model; the shares sum to 1."""
        return self._adjust_shares(model, self._configured.version_shares(model))

    def _merge_live_state(self, declared: TargetState) -> TargetState:
        live = self._find_target(declared.target_id)
        if live is None:
            return declared
        return replace(
            declared,
            boot_id=live.boot_id,
            ready=live.ready,
            cold=live.cold,
            leaving=declared.leaving or live.leaving,
        )
