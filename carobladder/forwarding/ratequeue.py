"""Order in which requests wait for targets that limit their rate."""

import itertools
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

__all__ = ["RateQueue", "WaitingRequest"]


@dataclass(frozen=True, slots=True, order=True)
class WaitingRequest:
    """Place of a request in the order; a lower priority number goes first."""

    priority: int
    number: int


class RateQueue:
    """Waiting requests of each service, the most urgent first, then the oldest."""

    def __init__(self) -> None:
        self._numbers = itertools.count()
        self._waiting: dict[str, set[WaitingRequest]] = {}

    @contextmanager
    def join(self, service: str, priority: int) -> Iterator[WaitingRequest]:
        """Hold a place in the order of a service."""
        request = WaitingRequest(priority, next(self._numbers))
        waiting = self._waiting.setdefault(service, set())
        waiting.add(request)
        try:
            yield request
        finally:
            waiting.discard(request)
            if not waiting and self._waiting.get(service) is waiting:
                del self._waiting[service]

    def has_waiting(self, service: str) -> bool:
        """Return whether requests of the service wait."""
        return service in self._waiting

    def count_before(self, service: str, request: WaitingRequest) -> int:
        """Return the number of requests of the service that go before a request."""
        return sum(other < request for other in self._waiting.get(service, ()))
