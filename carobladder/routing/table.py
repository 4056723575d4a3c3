"""Lookup of routes, teams and services in one configuration."""

from dataclasses import dataclass

from carobladder.routing.configuration import Configuration, Route, Service

__all__ = ["RouteTable", "TeamEntry"]


@dataclass(frozen=True, slots=True)
class TeamEntry:
    """Team that a key belongs to, and its priority; 0 is the highest."""

    name: str
    priority: int | None = None


class RouteTable:
    """Index of the routes, services and keys of one configuration.

    The lookup of a route takes at most one dictionary access for each segment of the
    path, regardless of the number of routes.
    """

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self._routes: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            self._routes.setdefault(route.host, {})[route.path_prefix] = route
        self._services = {service.name: service for service in configuration.services}
        self._teams = {
            key: TeamEntry(team.name, team.priority)
            for team in configuration.teams or ()
            for key in team.keys
        }

    @property
    def needs_keys(self) -> bool:
        """Whether requests on routes that are not public need a key."""
        return self.configuration.teams is not None

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, or None."""
        prefixes = self._routes.get(_normalise_host(host))
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def find_team(self, key: str) -> TeamEntry | None:
        """Return the team that the key belongs to, or None.

        An empty key belongs to no team; it stands for a missing one.
        """
        return self._teams.get(key) if key else None

    def find_service(self, name: str) -> Service | None:
        """Return the service of this name, or None."""
        return self._services.get(name)


def _normalise_host(host: str) -> str:
    name, separator, port = host.rpartition(":")
    if separator and port.isdigit():
        host = name
    return host.lower()
