"""Lookup of bookings at the services that executed them."""

from urllib.parse import quote

from carobladder.clients.ports import HttpFetcher
from carobladder.exceptions import ConnectionBrokenError
from carobladder.gateway.ports import Directory, ServiceAnswer, ServiceRoute

__all__ = ["BookingLookup"]

_TIMEOUT_SECONDS = 2.0
_FOUND_STATUS = 200


class BookingLookup:
    """Lookup that queries the targets of a service one after another."""

    def __init__(self, directory: Directory, fetcher: HttpFetcher) -> None:
        self._directory = directory
        self._fetcher = fetcher

    def find_route(self, service: str) -> ServiceRoute | None:
        """Return the route of a service, or None."""
        return self._directory.find_service(service)

    async def look_up(self, route: ServiceRoute, key: str) -> ServiceAnswer | None:
        """Return the response of the service, or None if no target has the booking.

        Raises ConnectionBrokenError if no target has it and one did not respond.
        """
        path = route.lookup_path.replace("{key}", quote(key, safe=""))
        failure: ConnectionBrokenError | None = None
        for target in self._directory.list_targets(route.service):
            try:
                answer = await self._fetcher.fetch(
                    "GET", target.address, path, timeout_seconds=_TIMEOUT_SECONDS
                )
            except ConnectionBrokenError as error:
                failure = error
                continue
            if answer.status == _FOUND_STATUS:
                return ServiceAnswer(answer.status, (), answer.body)
        if failure is not None:
            raise failure
        return None
