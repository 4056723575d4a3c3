"""Queue of waiting requests: class priority with fairness between teams."""

import itertools
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from carobladder.gateway.ports import SlotRequest
from carobladder.targets import CLASS_PRIORITY, CLASS_WEIGHT, RequestClass

__all__ = ["FairQueue", "QueuedRequest"]

RATE_WINDOW_SECONDS = 10.0
# A request that has waited for this long goes first if its team is within its share.
AGED_SECONDS = 0.5
# First pause between two requests to the owners for the same waiting request. It
# doubles each time, as owners also grant slots later without being asked again.
FIRST_ASK_PAUSE_SECONDS = 0.02
_arrivals = itertools.count()


@dataclass(eq=False, slots=True)
class QueuedRequest:
    """Request in the queue.

    ``queued_at``, ``first_target_until`` (the end of its wait for the first target) and
    ``next_ask_at`` are in monotonic seconds.
    """

    request: SlotRequest
    queued_at: float
    first_target_until: float
    next_ask_at: float = 0.0
    ask_pause_seconds: float = FIRST_ASK_PAUSE_SECONDS
    arrival: int = field(default_factory=lambda: next(_arrivals))

    @property
    def weight(self) -> int:
        """Return the slots that the request needs."""
        return CLASS_WEIGHT[self.request.request_class]

    def check_ask_due(self, now: float) -> bool:
        """Return whether owners are to be asked now; if so, schedule the next time."""
        if now < self.next_ask_at:
            return False
        self.next_ask_at = now + self.ask_pause_seconds
        self.ask_pause_seconds *= 2
        return True


class FairQueue:
    """Bounded queue that orders waiting requests and estimates their wait.

    Weights and shares are in slots.
    """

    def __init__(self, max_waiting: int) -> None:
        self._max_waiting = max_waiting
        self._lanes: dict[RequestClass, dict[str, deque[QueuedRequest]]] = {}
        self._size = 0
        self._in_flight: dict[str, dict[str, int]] = {}
        self._team_weights: dict[str, float] = {}
        self._released: dict[str, deque[tuple[float, int]]] = {}
        self._queued_weight: dict[tuple[str, RequestClass, str], int] = {}

    def __len__(self) -> int:
        return self._size

    @property
    def is_full(self) -> bool:
        """Return whether no further request may wait."""
        return self._size >= self._max_waiting

    def push(self, queued: QueuedRequest) -> None:
        """Add a request behind its team's other requests of the same class."""
        request = queued.request
        lane = self._lanes.setdefault(request.request_class, {})
        lane.setdefault(request.team.name, deque()).append(queued)
        self._size += 1
        self._add_weight(queued, queued.weight)

    def remove(self, queued: QueuedRequest) -> None:
        """Remove a request that was served, refused or cancelled."""
        request = queued.request
        lane = self._lanes[request.request_class]
        team_queue = lane[request.team.name]
        team_queue.remove(queued)
        if not team_queue:
            del lane[request.team.name]
        self._size -= 1
        self._add_weight(queued, -queued.weight)

    def iterate(self, now: float) -> Iterator[QueuedRequest]:
        """Yield requests in the order of service.

        The oldest request that has waited for ``AGED_SECONDS`` goes first. Otherwise
        lighter requests of higher classes would take each free slot before a heavy
        request finds enough of them at one target. Teams within their share of the
        pool go before teams above it, since a surge in a high class would otherwise
        starve other teams' lower classes. Further criteria are the class priority,
        the smallest ratio of in-flight weight to team weight, and the age. The consumer
        may remove the yielded request and count it as started before the next step.
        """
        seen: set[QueuedRequest] = set()
        aged = self._find_aged(now)
        if aged is not None:
            seen.add(aged)
            yield aged
        for above in (False, True):
            for request_class in sorted(self._lanes, key=CLASS_PRIORITY.__getitem__):
                for queued in self._iterate_class(request_class, above):
                    if queued not in seen:
                        seen.add(queued)
                        yield queued

    def _find_aged(self, now: float) -> QueuedRequest | None:
        """Return the oldest aged request of the teams within their share, or None."""
        heads = [
            queue[0]
            for lane in self._lanes.values()
            for queue in lane.values()
            if now - queue[0].queued_at >= AGED_SECONDS
            and not self.is_above_share(queue[0].request)
        ]
        return min(heads, key=lambda queued: queued.arrival, default=None)

    def _iterate_class(
        self, request_class: RequestClass, above: bool
    ) -> Iterator[QueuedRequest]:
        lane = self._lanes[request_class]
        pending = {team: list(queue) for team, queue in lane.items()}
        position = dict.fromkeys(pending, 0)
        while True:
            heads = {
                team: queue[position[team]]
                for team, queue in pending.items()
                if position[team] < len(queue)
            }
            ranked = [
                (*self._rank(queued), team)
                for team, queued in heads.items()
                if above or not self.is_above_share(queued.request)
            ]
            if not ranked:
                return
            team = min(ranked)[-1]
            position[team] += 1
            yield heads[team]

    def is_above_share(self, request: SlotRequest) -> bool:
        """Return whether the team has more in flight than its share of the pool.

        An excess of up to the weight of the request is tolerated.
        """
        in_flight = self._in_flight.get(request.pool, {})
        own = in_flight.get(request.team.name, 0)
        names = {*in_flight, request.team.name}
        total_weight = sum(self._team_weights.get(name, 1.0) for name in names)
        share = sum(in_flight.values()) * request.team.weight / total_weight
        return own > share + CLASS_WEIGHT[request.request_class]

    def choose_displaced(self, request: SlotRequest) -> QueuedRequest | None:
        """Return the request to drop from a full queue in favour of the given one.

        This is the newest request, in the lowest class, of the team with the greatest
        waiting weight over team weight. None if that is the given request's own team,
        so that a team's surge displaces only its own requests.
        """
        load_by_team: dict[str, float] = {}
        for lane in self._lanes.values():
            for team, queue in lane.items():
                share = (
                    sum(item.weight for item in queue) / queue[0].request.team.weight
                )
                load_by_team[team] = load_by_team.get(team, 0.0) + share
        own = request.team.name
        largest = max(
            load_by_team, key=lambda team: (load_by_team[team], team), default=own
        )
        if largest == own or load_by_team[largest] <= load_by_team.get(own, 0.0):
            return None
        for request_class in sorted(self._lanes, key=lambda c: -CLASS_PRIORITY[c]):
            if largest in self._lanes[request_class]:
                return self._lanes[request_class][largest][-1]
        return None

    def start(self, request: SlotRequest, weight: int) -> None:
        """Count a request as in flight for its team."""
        name = request.team.name
        self._team_weights[name] = request.team.weight
        in_flight = self._in_flight.setdefault(request.pool, {})
        in_flight[name] = in_flight.get(name, 0) + weight

    def finish(self, request: SlotRequest, weight: int, now: float) -> None:
        """Count a request as finished."""
        name = request.team.name
        in_flight = self._in_flight[request.pool]
        in_flight[name] -= weight
        if not in_flight[name]:
            del in_flight[name]
        released = self._released.setdefault(request.pool, deque())
        released.append((now, weight))
        while released[0][0] < now - RATE_WINDOW_SECONDS:
            released.popleft()

    def estimate_wait(self, request: SlotRequest, now: float) -> float:
        """Return the seconds until the request would be served, 0 if unknown.

        Based on the slots that the pool released within ``RATE_WINDOW_SECONDS``.
        """
        released = self._released.get(request.pool)
        if not released:
            return 0.0
        while released and released[0][0] < now - RATE_WINDOW_SECONDS:
            released.popleft()
        total = sum(weight for _, weight in released)
        if not total:
            return 0.0
        elapsed = max(1.0, min(RATE_WINDOW_SECONDS, now - released[0][0]))
        return self._count_ahead(request) * elapsed / total

    def _count_ahead(self, request: SlotRequest) -> float:
        """Return the queued slots served before a new request, including its own."""
        priority = CLASS_PRIORITY[request.request_class]
        ahead = 0.0
        own = self._queued_weight.get(_weight_key(request), 0)
        own += CLASS_WEIGHT[request.request_class]
        for key, (weight, team_weight) in self._sum_weights(request.pool).items():
            other_class, team = key
            if CLASS_PRIORITY[other_class] < priority:
                ahead += weight
            elif other_class == request.request_class and team != request.team.name:
                ahead += min(weight, own * team_weight / request.team.weight)
        return ahead + own

    def _sum_weights(
        self, pool: str
    ) -> dict[tuple[RequestClass, str], tuple[int, float]]:
        """Return the queued weight and the team weight by class and team."""
        sums = {}
        for request_class, lane in self._lanes.items():
            for team, queue in lane.items():
                weight = self._queued_weight.get((pool, request_class, team), 0)
                if weight:
                    team_weight = queue[0].request.team.weight
                    sums[request_class, team] = (weight, team_weight)
        return sums

    def _rank(self, queued: QueuedRequest) -> tuple[float, int]:
        team = queued.request.team
        in_flight = self._in_flight.get(queued.request.pool, {})
        return in_flight.get(team.name, 0) / team.weight, queued.arrival

    def _add_weight(self, queued: QueuedRequest, weight: int) -> None:
        key = _weight_key(queued.request)
        total = self._queued_weight.get(key, 0) + weight
        if total:
            self._queued_weight[key] = total
        else:
            self._queued_weight.pop(key, None)


def _weight_key(request: SlotRequest) -> tuple[str, RequestClass, str]:
    return request.pool, request.request_class, request.team.name
