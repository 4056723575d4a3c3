"""Queue of waiting requests: class priority, then fairness between teams."""

import itertools
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from carobladder.gateway.ports import SlotRequest
from carobladder.targets import CLASS_PRIORITY, CLASS_WEIGHT, RequestClass

__all__ = ["FairQueue", "Waiting"]

RATE_WINDOW_SECONDS = 10.0
# A request of a team within its share that waited longer goes first.
AGED_SECONDS = 0.5
# Doubled with each ask of the same request; owners answer later without being asked.
FIRST_ASK_PAUSE_SECONDS = 0.02
_order = itertools.count()


@dataclass(eq=False, slots=True)
class Waiting:
    """Hold one queued request; ``first_until`` ends its wait for the first target."""

    request: SlotRequest
    queued: float
    first_until: float
    next_ask: float = 0.0
    ask_pause_seconds: float = FIRST_ASK_PAUSE_SECONDS
    order: int = field(default_factory=lambda: next(_order))

    @property
    def weight(self) -> int:
        """Return the slots that the request needs."""
        return CLASS_WEIGHT[self.request.request_class]

    def is_ask_due(self, now: float) -> bool:
        """Tell whether to ask now, and if so, plan the next ask."""
        if now < self.next_ask:
            return False
        self.next_ask = now + self.ask_pause_seconds
        self.ask_pause_seconds *= 2
        return True


class FairQueue:
    """Order waiting requests and estimate their wait; holds a bounded number."""

    def __init__(self, max_waiting: int) -> None:
        self._max_waiting = max_waiting
        self._lanes: dict[RequestClass, dict[str, deque[Waiting]]] = {}
        self._size = 0
        self._in_flight: dict[str, dict[str, int]] = {}
        self._team_weights: dict[str, float] = {}
        self._released: dict[str, deque[tuple[float, int]]] = {}
        self._waiting_weight: dict[tuple[str, RequestClass, str], int] = {}

    def __len__(self) -> int:
        return self._size

    @property
    def is_full(self) -> bool:
        """Tell whether no further request may wait."""
        return self._size >= self._max_waiting

    def push(self, waiting: Waiting) -> None:
        """Queue a request behind the same team's requests of its class."""
        request = waiting.request
        lane = self._lanes.setdefault(request.request_class, {})
        lane.setdefault(request.team.name, deque()).append(waiting)
        self._size += 1
        self._add_weight(waiting, waiting.weight)

    def remove(self, waiting: Waiting) -> None:
        """Take a request out, served or given up."""
        request = waiting.request
        lane = self._lanes[request.request_class]
        team_queue = lane[request.team.name]
        team_queue.remove(waiting)
        if not team_queue:
            del lane[request.team.name]
        self._size -= 1
        self._add_weight(waiting, -waiting.weight)

    def iterate(self, now: float) -> Iterator[Waiting]:
        """Yield requests in the order of service.

        A heavy request that has waited long goes first, else lighter requests of
        higher classes take each slot before enough of a target are free for it.
        Teams within their share of the pool go before teams above it, since a
        surge in a high class would otherwise starve other teams' lower classes.
        Then follow class priority, the smallest in-flight weight over team weight
        and the oldest request. The caller may remove the yielded request and count
        it as started before asking for the next.
        """
        seen: set[Waiting] = set()
        aged = self._find_aged(now)
        if aged is not None:
            seen.add(aged)
            yield aged
        for above in (False, True):
            for request_class in sorted(self._lanes, key=CLASS_PRIORITY.__getitem__):
                for waiting in self._iterate_class(request_class, above):
                    if waiting not in seen:
                        seen.add(waiting)
                        yield waiting

    def _find_aged(self, now: float) -> Waiting | None:
        """Return the oldest request of a team within its share if it waited long."""
        heads = [
            queue[0]
            for lane in self._lanes.values()
            for queue in lane.values()
            if now - queue[0].queued >= AGED_SECONDS
            and not self.is_above_share(queue[0].request)
        ]
        return min(heads, key=lambda waiting: waiting.order, default=None)

    def _iterate_class(
        self, request_class: RequestClass, above: bool
    ) -> Iterator[Waiting]:
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
                (*self._rank(waiting), team)
                for team, waiting in heads.items()
                if above or not self.is_above_share(waiting.request)
            ]
            if not ranked:
                return
            team = min(ranked)[-1]
            position[team] += 1
            yield heads[team]

    def is_above_share(self, request: SlotRequest) -> bool:
        """Tell whether the team uses its part of the pool and a request more."""
        in_flight = self._in_flight.get(request.pool, {})
        own = in_flight.get(request.team.name, 0)
        names = {*in_flight, request.team.name}
        total_weight = sum(self._team_weights.get(name, 1.0) for name in names)
        share = sum(in_flight.values()) * request.team.weight / total_weight
        return own > share + CLASS_WEIGHT[request.request_class]

    def choose_victim(self, request: SlotRequest) -> Waiting | None:
        """Return the newest request of the team that waits most, or None.

        None means that the given request's own team waits most, so that a team's
        surge displaces only its own requests.
        """
        waiting: dict[str, float] = {}
        for lane in self._lanes.values():
            for team, queue in lane.items():
                share = (
                    sum(item.weight for item in queue) / queue[0].request.team.weight
                )
                waiting[team] = waiting.get(team, 0.0) + share
        own = request.team.name
        largest = max(waiting, key=lambda team: (waiting[team], team), default=own)
        if largest == own or waiting[largest] <= waiting.get(own, 0.0):
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
        """Return the seconds until the request would be served; 0 if unknown."""
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
        """Return the queued slots that fair order serves before a new request."""
        priority = CLASS_PRIORITY[request.request_class]
        ahead = 0.0
        own = self._waiting_weight.get(_lane_key(request), 0)
        own += CLASS_WEIGHT[request.request_class]
        for key, (weight, team_weight) in self._queued(request.pool).items():
            other_class, team = key
            if CLASS_PRIORITY[other_class] < priority:
                ahead += weight
            elif other_class == request.request_class and team != request.team.name:
                ahead += min(weight, own * team_weight / request.team.weight)
        return ahead + own

    def _queued(self, pool: str) -> dict[tuple[RequestClass, str], tuple[int, float]]:
        queued = {}
        for request_class, lane in self._lanes.items():
            for team, queue in lane.items():
                weight = self._waiting_weight.get((pool, request_class, team), 0)
                if weight:
                    team_weight = queue[0].request.team.weight
                    queued[request_class, team] = (weight, team_weight)
        return queued

    def _rank(self, waiting: Waiting) -> tuple[float, int]:
        team = waiting.request.team
        in_flight = self._in_flight.get(waiting.request.pool, {})
        return in_flight.get(team.name, 0) / team.weight, waiting.order

    def _add_weight(self, waiting: Waiting, weight: int) -> None:
        key = _lane_key(waiting.request)
        total = self._waiting_weight.get(key, 0) + weight
        if total:
            self._waiting_weight[key] = total
        else:
            self._waiting_weight.pop(key, None)


def _lane_key(request: SlotRequest) -> tuple[str, RequestClass, str]:
    return request.pool, request.request_class, request.team.name
