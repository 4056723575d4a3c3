"""Fleet of the placement benchmark: churn, lagged views, load limit, waiting."""

import heapq
import itertools
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from benchmarks.engine_models import Engine, PrefixCache, Prompt
from benchmarks.placement_workload import Chat, Deployment
from carobladder.placement.policy import Placement
from carobladder.placement.tokens import ChatToken
from carobladder.targets import (
    CLASS_PRIORITY,
    CLASS_WEIGHT,
    RequestClass,
    TargetState,
)

__all__ = ["Arrival", "Fleet", "Outcome", "Strategy"]

LOAD_MULTIPLE = 1.25
LIST_LAG_SECONDS = 5.0
PROBE_LAG_SECONDS = 1.5
SAMPLE_SECONDS = 10.0
# Below this mean load, in slots, one long request alone decides the skew.
SKEW_MEAN_MIN = 8.0
# Bounds the cost of one release when hundreds of requests wait.
RETRIES_MAX = 32
RESTARTS_PER_ENGINE = 0.5
FLAPS_PER_ENGINE = 1.5
REPLACEMENTS_PER_ENGINE = 0.3


@dataclass(slots=True)
class Arrival:
    """Carry one request through the fleet."""

    chat: Chat
    turn: int
    prompt: Prompt
    answer_tokens: int
    arrived: float
    instance: int
    token: ChatToken | None
    placement: Placement | None = None


class Strategy(Protocol):
    """Rank targets for a request; ``limited`` applies the load limit."""

    name: str
    limited: bool
    returns_tokens: bool

    def place(
        self, arrival: Arrival, view: list[TargetState], fleet: "Fleet"
    ) -> Placement:
        """Return the ranking and the waiting time."""


@dataclass(slots=True)
class Outcome:
    """Collect the measures of one run."""

    requests: int = 0
    prompt_tokens: int = 0
    reused_tokens: int = 0
    reused_by_class: dict[RequestClass, int] = field(default_factory=dict)
    skews: list[float] = field(default_factory=list)
    first_tokens: list[float] = field(default_factory=list)
    waited: int = 0
    overflowed: int = 0


class Fleet:
    """Run one day of a deployment under one strategy in virtual time."""

    def __init__(
        self, deployment: Deployment, strategy: Strategy, seed: int, hours: float
    ) -> None:
        self.now = 0.0
        self.engines: dict[str, Engine] = {}
        self.outcome = Outcome()
        self.reported: dict[str, int] = {}
        self._deployment = deployment
        self._strategy = strategy
        self._random = Random(f"fleet-{deployment.name}-{seed}")
        self._end = hours * 3600
        self._events: list[tuple[float, int, str, tuple]] = []
        self._order = itertools.count()
        self._pending: list[tuple[int, float, int, Arrival]] = []
        self._tokens: dict[int, ChatToken] = {}
        self._views: list[dict[str, TargetState]] = [
            {} for _ in range(deployment.instances)
        ]
        self._handlers: dict[str, Callable[..., None]] = {
            "arrive": self._arrive,
            "finish": self._finish,
            "retry": self._serve_pending,
            "view": self._update_view,
            "sample": self._sample,
            "join": self._join,
            "leave": self._leave,
            "restart": self._restart,
            "flap": self._flap,
            "recover": self._recover,
        }
        for number in range(deployment.engines):
            self._add_engine(f"engine-{number}", -1000.0)
        for engine in self.engines.values():
            for view in self._views:
                view[engine.engine_id] = _describe(engine)
        self._plan_churn()
        self._schedule(SAMPLE_SECONDS, "sample")

    def run(self, chats: Iterable[Chat]) -> Outcome:
        """Serve the chats and return the measures."""
        for chat in chats:
            self._schedule(chat.start, "arrive", chat, 0, self._random.getrandbits(30))
        while self._events:
            time, _, kind, arguments = heapq.heappop(self._events)
            if time > self._end:
                break
            self.now = time
            self._handlers[kind](*arguments)
        return self.outcome

    def ready_engines(self) -> list[Engine]:
        """Return the engines that may take new work."""
        return [e for e in self.engines.values() if e.ready and not e.leaving]

    def _schedule(self, time: float, kind: str, *arguments: object) -> None:
        heapq.heappush(self._events, (time, next(self._order), kind, arguments))

    def _add_engine(self, engine_id: str, started: float) -> Engine:
        cache = PrefixCache(self._deployment.cache_tokens)
        engine = Engine(engine_id, cache, self._deployment.slots, started)
        self.engines[engine_id] = engine
        return engine

    # Requests

    def _arrive(self, chat: Chat, turn: int, draw: int) -> None:
        shape = chat.turns[turn]
        prompt = Prompt(
            chat.prefix_key, chat.prefix_tokens, chat.number, shape.own_tokens
        )
        token = self._tokens.get(chat.number) if self._strategy.returns_tokens else None
        arrival = Arrival(
            chat,
            turn,
            prompt,
            shape.answer_tokens,
            self.now,
            draw % len(self._views),
            token,
        )
        self._dispatch(arrival)

    def _dispatch(self, arrival: Arrival) -> None:
        arrival.placement = self._place(arrival)
        if self._try_start(arrival):
            return
        priority = CLASS_PRIORITY[arrival.chat.request_class]
        entry = (priority, arrival.arrived, next(self._order), arrival)
        heapq.heappush(self._pending, entry)
        self.outcome.waited += 1
        placement = arrival.placement
        for wait in (0.25, placement.sticky_seconds, placement.near_seconds):
            self._schedule(self.now + wait, "retry")

    def _visible(self, arrival: Arrival) -> list[TargetState]:
        return list(self._views[arrival.instance].values())

    def _place(self, arrival: Arrival) -> Placement:
        return self._strategy.place(arrival, self._visible(arrival), self)

    def _try_start(self, arrival: Arrival) -> bool:
        placement = arrival.placement
        assert placement is not None
        ranked = self._choices(arrival, placement)
        mean = self._mean_load()
        for position, engine_id in enumerate(ranked):
            if self._admits(engine_id, arrival, mean):
                self.outcome.overflowed += position > 0
                self._start(arrival, self.engines[engine_id])
                return True
        return False

    def _choices(self, arrival: Arrival, placement: Placement) -> list[str]:
        waited = self.now - arrival.arrived
        first = placement.ranked[:1]
        near = placement.ranked[: placement.near_count]
        if waited < placement.sticky_seconds and self._any_usable(first):
            return first
        if waited < placement.near_seconds and self._any_usable(near):
            return near
        return placement.ranked

    def _any_usable(self, engine_ids: list[str]) -> bool:
        return any(self._is_usable(engine_id) for engine_id in engine_ids)

    def _is_usable(self, engine_id: str) -> bool:
        engine = self.engines.get(engine_id)
        return engine is not None and engine.ready and not engine.leaving

    def _admits(self, engine_id: str, arrival: Arrival, mean: float) -> bool:
        if not self._is_usable(engine_id):
            return False
        engine = self.engines[engine_id]
        weight = CLASS_WEIGHT[arrival.chat.request_class]
        if engine.load + weight > engine.limit(self.now):
            return False
        return not self._strategy.limited or engine.load <= LOAD_MULTIPLE * mean

    def _mean_load(self) -> float:
        ready = self.ready_engines()
        return sum(engine.load for engine in ready) / max(1, len(ready))

    def _start(self, arrival: Arrival, engine: Engine) -> None:
        timing = engine.start_prompt(arrival.prompt, arrival.answer_tokens, self.now)
        engine.load += CLASS_WEIGHT[arrival.chat.request_class]
        key = next(self._order)
        engine.running[key] = arrival
        outcome = self.outcome
        outcome.requests += 1
        prompt = arrival.prompt
        outcome.prompt_tokens += prompt.prefix_tokens + prompt.own_tokens
        outcome.reused_tokens += timing.reused_tokens
        name = arrival.chat.request_class
        by_class = outcome.reused_by_class
        by_class[name] = by_class.get(name, 0) + timing.reused_tokens
        if name is RequestClass.LONG:
            outcome.first_tokens.append(timing.first_token_at - arrival.arrived)
        self._schedule(timing.finish_at, "finish", engine, engine.boot, key)

    def _finish(self, engine: Engine, boot: int, key: int) -> None:
        if engine.boot != boot:
            return
        arrival = engine.running.pop(key)
        assert isinstance(arrival, Arrival)
        engine.load -= CLASS_WEIGHT[arrival.chat.request_class]
        self._store_context(arrival, engine)
        following = arrival.turn + 1
        if following < len(arrival.chat.turns):
            pause = arrival.chat.turns[following].pause_seconds
            draw = hash((arrival.chat.number, following))
            self._schedule(self.now + pause, "arrive", arrival.chat, following, draw)
        self._serve_pending()

    def _store_context(self, arrival: Arrival, engine: Engine) -> None:
        prompt = arrival.prompt
        own = prompt.own_tokens + arrival.answer_tokens
        whole = Prompt(prompt.prefix_key, prompt.prefix_tokens, prompt.chat, own)
        engine.cache.store(whole)
        self._tokens[prompt.chat] = ChatToken(
            engine.engine_id, engine.boot_id, int(self.now), prompt.prefix_tokens + own
        )

    def _serve_pending(self) -> None:
        if not self._pending:
            return
        waiting, self._pending = sorted(self._pending), []
        refused = 0
        for entry in waiting:
            if refused >= RETRIES_MAX or not self._try_start(entry[3]):
                self._pending.append(entry)
                refused += 1
        if self._pending:
            heapq.heapify(self._pending)

    # Churn

    def _plan_churn(self) -> None:
        random = self._random
        engines = self._deployment.engines
        days = self._end / 86_400
        for kind, rate in (
            ("restart", RESTARTS_PER_ENGINE),
            ("flap", FLAPS_PER_ENGINE),
            ("leave", REPLACEMENTS_PER_ENGINE),
            ("join", REPLACEMENTS_PER_ENGINE),
        ):
            for _ in range(max(1, round(rate * engines * days))):
                self._schedule(random.uniform(0, self._end), kind, random.random())

    def _pick(self, draw: float) -> Engine | None:
        ready = sorted(self.ready_engines(), key=lambda engine: engine.engine_id)
        if len(ready) <= self._deployment.engines // 2:
            return None
        return ready[int(draw * len(ready))]

    def _join(self, draw: float) -> None:
        engine = self._add_engine(f"engine-new-{int(draw * 1e9)}", self.now)
        self._announce(engine, LIST_LAG_SECONDS)

    def _leave(self, draw: float) -> None:
        engine = self._pick(draw)
        if engine is not None:
            engine.leaving = True
            self._announce(engine, LIST_LAG_SECONDS)

    def _restart(self, draw: float) -> None:
        engine = self._pick(draw)
        if engine is None:
            return
        cut = list(engine.running.values())
        engine.restart(self.now)
        self._announce(engine, PROBE_LAG_SECONDS)
        for arrival in cut:
            assert isinstance(arrival, Arrival)
            self._dispatch(arrival)

    def _flap(self, draw: float) -> None:
        engine = self._pick(draw)
        if engine is None:
            return
        engine.ready = False
        self._announce(engine, PROBE_LAG_SECONDS)
        self._schedule(self.now + 5 + 55 * self._random.random(), "recover", engine)

    def _recover(self, engine: Engine) -> None:
        engine.ready = True
        self._announce(engine, PROBE_LAG_SECONDS)

    def _announce(self, engine: Engine, lag: float) -> None:
        state = _describe(engine)
        for number in range(len(self._views)):
            delay = self._random.uniform(0, lag)
            self._schedule(self.now + delay, "view", number, state)

    def _update_view(self, number: int, state: TargetState) -> None:
        self._views[number][state.target_id] = state

    def _sample(self) -> None:
        ready = self.ready_engines()
        self.reported = {engine.engine_id: engine.load for engine in ready}
        loads = [engine.load for engine in ready]
        mean = sum(loads) / len(loads)
        if mean >= SKEW_MEAN_MIN:
            self.outcome.skews.append(max(loads) / mean)
        self._schedule(self.now + SAMPLE_SECONDS, "sample")


def _describe(engine: Engine) -> TargetState:
    return TargetState(
        engine.engine_id,
        "model",
        "v1",
        "dc-1",
        "",
        boot_id=engine.boot_id,
        ready=engine.ready,
        leaving=engine.leaving,
        slots=engine.slots,
    )
