"""Order in which the requests of each service wait on the platform."""

import math
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from carobladder.gateway.ports import Team
from carobladder.limits.queues import PRIORITY_FIRST, FairQueue, QueuedRequest
from carobladder.limits.usage import AdmissionRecord

__all__ = ["WaitingLines", "WaitingRequest"]

# Callers' connections bound the number of waiting requests.
_MAX_WAITING = 1_000_000


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """Request that waits for a target of the service ``pool``."""

    team: Team
    pool: str
    priority: int
    deadline: float
    weight: int = 1


class WaitingLines:
    """Waiting requests by service, and the record of those that were admitted.

    The order is that of ``PRIORITY_FIRST``; between teams, those that were admitted
    less lately go first.
    """

    def __init__(self) -> None:
        self._records: dict[str, AdmissionRecord] = {}
        self._queues: dict[str, FairQueue[WaitingRequest]] = {}

    def find_record(self, service: str) -> AdmissionRecord:
        """Return the record of a service, creating it on first use."""
        return self._records.setdefault(service, AdmissionRecord())

    @contextmanager
    def join(
        self,
        service: str,
        priority: int,
        team: str,
        deadline: float = math.inf,
        now: float = 0.0,
    ) -> Iterator[QueuedRequest[WaitingRequest]]:
        """Hold a place in the order of a service; times are in monotonic seconds."""
        request = WaitingRequest(Team(team), service, priority, deadline)
        queued = QueuedRequest(request, now)
        queue = self._queues.get(service) or self._build_queue(service)
        self._queues[service] = queue
        queue.push(queued)
        try:
            yield queued
        finally:
            queue.remove(queued)
            if not len(queue) and self._queues.get(service) is queue:
                del self._queues[service]

    def count_waiting(self) -> int:
        """Return the number of waiting requests of all services."""
        return sum(len(queue) for queue in self._queues.values())

    def has_waiting(self, service: str) -> bool:
        """Return whether requests of the service wait."""
        return service in self._queues

    def count_before(
        self, service: str, queued: QueuedRequest[WaitingRequest], now: float
    ) -> int:
        """Return the number of requests of the service that go before a request."""
        for position, other in enumerate(self._queues[service].iterate(now)):
            if other is queued:
                return position
        raise LookupError("the request holds no place in this order")

    def _build_queue(self, service: str) -> FairQueue[WaitingRequest]:
        record = self.find_record(service)

        def measure_use(request: WaitingRequest, before: int, now: float) -> float:
            used = record.read_team_use(request.priority, request.team.name, now)
            return (used + before) / request.team.weight

        return FairQueue(_MAX_WAITING, PRIORITY_FIRST, record.is_starved, measure_use)
