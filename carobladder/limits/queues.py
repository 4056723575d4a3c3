"""Queue of waiting requests: priority with fairness between teams."""

import itertools
from bisect import insort
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Generic, Protocol, TypeVar

from carobladder.gateway.ports import Team

__all__ = [
    "PRIORITY_FIRST",
    "SHARES_FIRST",
    "FairQueue",
    "QueueOrder",
    "QueueableRequest",
    "QueuedRequest",
]

RATE_WINDOW_SECONDS = 10.0
# A request that has waited for this long goes first if its team is within its share.
AGED_SECONDS = 0.5
# First pause between two requests to the owners for the same waiting request. It
# doubles each time, as owners also grant slots later without being asked again.
FIRST_ASK_PAUSE_SECONDS = 0.02
_arrivals = itertools.count()


class QueueableRequest(Protocol):
    """Properties of a request that its place in the order depends on.

    ``pool`` names the targets that it may use, ``weight`` is the number of slots that
    it needs, and ``deadline`` is in monotonic seconds. A lower priority goes first.
    """

    @property
    def team(self) -> Team:
        """Team of the caller."""

    @property
    def pool(self) -> str:
        """Targets that the request may use."""

    @property
    def priority(self) -> int:
        """Priority; smaller numbers are served first."""

    @property
    def weight(self) -> int:
        """Slots that the request needs."""

    @property
    def deadline(self) -> float:
        """Time by which the request must be answered."""


R = TypeVar("R", bound=QueueableRequest)


@dataclass(frozen=True, slots=True)
class QueueOrder:
    """Order of service.

    With ``shares_first``, teams within their share of the pool go before all others
    whatever their priority. ``aged_seconds`` is the wait after which a request of such
    a team goes first. With ``by_deadline``, the requests of a team go by their
    deadlines instead of by their arrival.
    """

    shares_first: bool
    aged_seconds: float
    by_deadline: bool


SHARES_FIRST = QueueOrder(
    shares_first=True, aged_seconds=AGED_SECONDS, by_deadline=False
)
# Priorities that operators configure hold for all teams. Waits are too short for ages.
PRIORITY_FIRST = QueueOrder(
    shares_first=False, aged_seconds=float("inf"), by_deadline=True
)


@dataclass(eq=False, slots=True)
class QueuedRequest(Generic[R]):
    """Request in the queue.

    ``queued_at``, ``first_target_until`` (the end of its wait for the first target) and
    ``next_ask_at`` are in monotonic seconds.
    """

    request: R
    queued_at: float
    first_target_until: float = 0.0
    next_ask_at: float = 0.0
    ask_pause_seconds: float = FIRST_ASK_PAUSE_SECONDS
    arrival: int = field(default_factory=lambda: next(_arrivals))

    @property
    def weight(self) -> int:
        """Return the slots that the request needs."""
        return self.request.weight

    def check_ask_due(self, now: float) -> bool:
        """Return whether owners are to be asked now; if so, schedule the next time."""
        if now < self.next_ask_at:
            return False
        self.next_ask_at = now + self.ask_pause_seconds
        self.ask_pause_seconds *= 2
        return True


class FairQueue(Generic[R]):
    """Bounded queue that orders waiting requests and estimates their wait.

    Weights and shares are in slots. ``is_starved`` tells which priorities go before all
    others, as they are served too little. ``measure_use`` returns what the team of a
    request has used lately over its weight, where requests in flight do not show it;
    it gets the number of the team's requests that go before, and the time.
    """

    def __init__(
        self,
        max_waiting: int,
        order: QueueOrder = SHARES_FIRST,
        is_starved: Callable[[int, float], bool] = lambda priority, now: False,
        measure_use: Callable[[R, int, float], float] = lambda r, before, now: 0.0,
    ) -> None:
        self._max_waiting = max_waiting
        self._order = order
        self._is_starved = is_starved
        self._measure_use = measure_use
        self._lanes: dict[int, dict[str, list[QueuedRequest[R]]]] = {}
        self._size = 0
        self._in_flight: dict[str, dict[str, int]] = {}
        self._team_weights: dict[str, float] = {}
        self._released: dict[str, deque[tuple[float, int]]] = {}
        self._queued_weight: dict[tuple[str, int, str], int] = {}

    def __len__(self) -> int:
        return self._size

    @property
    def is_full(self) -> bool:
        """Return whether no further request may wait."""
        return self._size >= self._max_waiting

    def push(self, queued: QueuedRequest[R]) -> None:
        """Add a request to its team's other requests of the same priority."""
        request = queued.request
        lane = self._lanes.setdefault(request.priority, {})
        insort(lane.setdefault(request.team.name, []), queued, key=self._rank_in_team)
        self._size += 1
        self._add_weight(queued, queued.weight)

    def remove(self, queued: QueuedRequest[R]) -> None:
        """Remove a request that was served, refused or cancelled."""
        request = queued.request
        lane = self._lanes[request.priority]
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
        for above in (False, True) if self._order.shares_first else (True,):
            for priority in self._sort_priorities(now):
                for queued in self._iterate_priority(priority, above, now):
                    if queued not in seen:
                        seen.add(queued)
                        yield queued

    def _sort_priorities(self, now: float) -> list[int]:
        """Return the waiting priorities; starved ones first, then by their number."""
        return sorted(
            self._lanes, key=lambda value: (not self._is_starved(value, now), value)
        )

    def _find_aged(self, now: float) -> QueuedRequest[R] | None:
        """Return the oldest aged request of the teams within their share, or None."""
        heads = [
            queue[0]
            for lane in self._lanes.values()
            for queue in lane.values()
            if now - queue[0].queued_at >= self._order.aged_seconds
            and not self.is_above_share(queue[0].request)
        ]
        return min(heads, key=lambda queued: queued.arrival, default=None)

    def _iterate_priority(
        self, priority: int, above: bool, now: float
    ) -> Iterator[QueuedRequest[R]]:
        lane = self._lanes[priority]
        pending = {team: list(queue) for team, queue in lane.items()}
        position = dict.fromkeys(pending, 0)
        while True:
            heads = {
                team: queue[position[team]]
                for team, queue in pending.items()
                if position[team] < len(queue)
            }
            ranked = [
                (
                    self._measure_use(queued.request, position[team], now),
                    *self._rank(queued),
                    team,
                )
                for team, queued in heads.items()
                if above or not self.is_above_share(queued.request)
            ]
            if not ranked:
                return
            team = min(ranked)[-1]
            position[team] += 1
            yield heads[team]

    def is_above_share(self, request: R) -> bool:
        """Return whether the team has more in flight than its share of the pool.

        An excess of up to the weight of the request is tolerated.
        """
        in_flight = self._in_flight.get(request.pool, {})
        own = in_flight.get(request.team.name, 0)
        names = {*in_flight, request.team.name}
        total_weight = sum(self._team_weights.get(name, 1.0) for name in names)
        share = sum(in_flight.values()) * request.team.weight / total_weight
        return own > share + request.weight

    def choose_displaced(self, request: R) -> QueuedRequest[R] | None:
        """Return the request to drop from a full queue in favour of the given one.

        This is the last request, in the lowest priority, of the team with the greatest
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
        for priority in sorted(self._lanes, reverse=True):
            if largest in self._lanes[priority]:
                return self._lanes[priority][largest][-1]
        return None

    def start(self, request: R, weight: int) -> None:
        """Count a request as in flight for its team."""
        name = request.team.name
        self._team_weights[name] = request.team.weight
        in_flight = self._in_flight.setdefault(request.pool, {})
        in_flight[name] = in_flight.get(name, 0) + weight

    def finish(self, request: R, weight: int, now: float) -> None:
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

    def estimate_wait(self, request: R, now: float) -> float:
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

    def _count_ahead(self, request: R) -> float:
        """Return the queued slots served before a new request, including its own."""
        ahead = 0.0
        own = self._queued_weight.get(_weight_key(request), 0) + request.weight
        for key, (weight, team_weight) in self._sum_weights(request.pool).items():
            priority, team = key
            if priority < request.priority:
                ahead += weight
            elif priority == request.priority and team != request.team.name:
                ahead += min(weight, own * team_weight / request.team.weight)
        return ahead + own

    def _sum_weights(self, pool: str) -> dict[tuple[int, str], tuple[int, float]]:
        """Return the queued weight and the team weight by priority and team."""
        sums = {}
        for priority, lane in self._lanes.items():
            for team, queue in lane.items():
                weight = self._queued_weight.get((pool, priority, team), 0)
                if weight:
                    team_weight = queue[0].request.team.weight
                    sums[priority, team] = (weight, team_weight)
        return sums

    def _rank(self, queued: QueuedRequest[R]) -> tuple[float, float, int]:
        team = queued.request.team
        in_flight = self._in_flight.get(queued.request.pool, {})
        return in_flight.get(team.name, 0) / team.weight, *self._rank_in_team(queued)

    def _rank_in_team(self, queued: QueuedRequest[R]) -> tuple[float, int]:
        if self._order.by_deadline:
            return queued.request.deadline, queued.arrival
        return 0.0, queued.arrival

    def _add_weight(self, queued: QueuedRequest[R], weight: int) -> None:
        key = _weight_key(queued.request)
        total = self._queued_weight.get(key, 0) + weight
        if total:
            self._queued_weight[key] = total
        else:
            self._queued_weight.pop(key, None)


def _weight_key(request: QueueableRequest) -> tuple[str, int, str]:
    return request.pool, request.priority, request.team.name
