"""A data centre that leaves and returns under load, in virtual time."""

from dataclasses import dataclass, field, replace
from datetime import UTC, datetime, timedelta

from benchmarks.engine_models import Engine
from benchmarks.placement import Policy
from benchmarks.placement_fleet import Arrival, Fleet
from benchmarks.placement_workload import Chat, Deployment, generate_chats
from carobladder.moves.capacity import PoolCapacity, check_remaining_capacity
from carobladder.moves.datacentres import (
    DataCentreConditions,
    DataCentreMoveSpec,
    DataCentreMoveState,
    DataCentrePhase,
    MaintenanceWindow,
    RoutingPreference,
    apply_data_centre_record,
    decide_data_centre_step,
    find_routing_preference,
)
from carobladder.moves.records import MoveRecord, build_step_record
from carobladder.placement.policy import Placement, PlacementTuning

__all__ = ["DataCentreResult", "measure_data_centre_move"]

EPOCH = datetime(2026, 1, 1, tzinfo=UTC)
HOURS = 7.0
WINDOW_SECONDS = (5400.0, 10_800.0)
STEP_SECONDS = 1.0
# New work must stop within this time after the record was appended.
NEW_WORK_SECONDS = 3.0
SERVED_WITHIN_SECONDS = 10.0
DATA_CENTRES = ("dc-1", "dc-2", "dc-3")
LEAVING = "dc-1"
PREFERRED = RoutingPreference.PREFERRED
OVERFLOW = RoutingPreference.OVERFLOW


@dataclass(slots=True)
class Part:
    """Count the requests of one part of the run."""

    requests: int = 0
    in_time: int = 0
    prompt_tokens: int = 0
    reused_tokens: int = 0

    @property
    def service_share(self) -> float:
        """Return the part of the requests whose first token came in time."""
        return self.in_time / max(1, self.requests)

    @property
    def reused_share(self) -> float:
        """Return the part of the prompt tokens that was cached."""
        return self.reused_tokens / max(1, self.prompt_tokens)


@dataclass(slots=True)
class DataCentreResult:
    """Collect the measures of one move."""

    parts: dict[DataCentrePhase, Part] = field(default_factory=dict)
    cut: int = 0
    late_new_work: int = 0
    last_new_work_seconds: float = 0.0
    emptied_in_time: bool = False
    refilled_at: float | None = None
    moved_back: int = 0
    feasible: bool = False
    unserved: int = 0


class MovingFleet(Fleet):
    """Serve the workload while one data centre leaves and returns."""

    def __init__(
        self,
        deployment: Deployment,
        returns_tokens: bool,
        seed: int,
        controlled: bool,
        hours: float = HOURS,
    ) -> None:
        policy = Policy(PlacementTuning(), returns_tokens)
        super().__init__(deployment, policy, seed, hours)
        start, end = WINDOW_SECONDS
        window = MaintenanceWindow(_date(start), _date(end))
        self.result = DataCentreResult()
        self._controlled = controlled
        self._state = DataCentreMoveState(DataCentreMoveSpec("move-1", LEAVING, window))
        self._known = [self._state] * deployment.instances
        self._offset = 0
        self._peak_load = 0.0
        self._last_served: dict[int, str] = {}
        self._handlers |= {"drive": self._drive, "apply": self._apply}
        self._handlers |= {"power-off": self._power_off, "power-on": self._power_on}
        self._schedule(STEP_SECONDS, "drive")
        self._schedule(start, "power-off")
        self._schedule(end, "power-on")

    def _plan_churn(self) -> None:
        """Leave out other churn, so that all effects are those of the move."""

    def data_centre(self, engine_id: str) -> str:
        """Return the data centre of an engine."""
        number = int(engine_id.rpartition("-")[2])
        return DATA_CENTRES[number % len(DATA_CENTRES)]

    def _engines_here(self) -> list[Engine]:
        return [e for n, e in self.engines.items() if self.data_centre(n) == LEAVING]

    # Requests

    def _place(self, arrival: Arrival) -> Placement:
        view = self._visible(arrival)
        usual = [t for t in view if self._rule(arrival, t.target_id) is PREFERRED]
        overflow = [t for t in view if self._rule(arrival, t.target_id) is OVERFLOW]
        placement = self._strategy.place(arrival, usual, self)
        last = self._strategy.place(arrival, overflow, self).ranked
        return replace(placement, ranked=[*placement.ranked, *last])

    def _rule(self, arrival: Arrival, engine_id: str) -> RoutingPreference:
        if self.data_centre(engine_id) != LEAVING:
            return RoutingPreference.PREFERRED
        state = self._known[arrival.instance]
        if not self._controlled:
            # Baseline: the data centre leaves and returns at once.
            out = (DataCentrePhase.LEAVING, DataCentrePhase.EMPTY)
            return (
                RoutingPreference.EXCLUDED
                if state.phase in out
                else RoutingPreference.PREFERRED
            )
        token = arrival.token
        here = token is not None and token.target_id == engine_id
        return find_routing_preference(state, arrival.prompt.prefix_key, here)

    def _admits(self, engine_id: str, arrival: Arrival, mean: float) -> bool:
        if self._rule(arrival, engine_id) is RoutingPreference.EXCLUDED:
            return False
        return super()._admits(engine_id, arrival, mean)

    def _mean_load(self) -> float:
        # An engine counts by the share that its data centre takes. Counted in full,
        # the idle engines of a leaving data centre lower the mean, and with it the
        # load limit of the engines that must take over.
        share = self._state.served_share if self._controlled else self._share_at_once()
        load, engines = 0.0, 0.0
        for engine in self.ready_engines():
            here = self.data_centre(engine.engine_id) == LEAVING
            weight = share if here else 1.0
            load += engine.load if weight else 0
            engines += weight
        return load / max(1.0, engines)

    def _share_at_once(self) -> float:
        out = (DataCentrePhase.LEAVING, DataCentrePhase.EMPTY)
        return 0.0 if self._state.phase in out else 1.0

    def _start(self, arrival: Arrival, engine: Engine) -> None:
        before = self.outcome.reused_tokens
        served = len(self.outcome.first_tokens)
        super()._start(arrival, engine)
        part = self.result.parts.setdefault(self._state.effective_phase, Part())
        prompt = arrival.prompt
        part.requests += 1
        part.prompt_tokens += prompt.prefix_tokens + prompt.own_tokens
        part.reused_tokens += self.outcome.reused_tokens - before
        first = self.outcome.first_tokens[served:]
        seconds = first[0] if first else self.now - arrival.arrived
        part.in_time += seconds <= SERVED_WITHIN_SECONDS
        self._note_place(arrival, engine.engine_id)

    def _note_place(self, arrival: Arrival, engine_id: str) -> None:
        here = self.data_centre(engine_id) == LEAVING
        leaving = self._state.phase in (DataCentrePhase.LEAVING, DataCentrePhase.EMPTY)
        if here and leaving:
            since = self._state.since or EPOCH
            seconds = (_date(self.now) - since).total_seconds()
            self.result.last_new_work_seconds = max(
                self.result.last_new_work_seconds, seconds
            )
            self.result.late_new_work += seconds > NEW_WORK_SECONDS
        last = self._last_served.get(arrival.chat.number)
        returning = self._state.phase is DataCentrePhase.RETURNING
        if last and returning and here and self.data_centre(last) != LEAVING:
            self.result.moved_back += 1
        self._last_served[arrival.chat.number] = engine_id

    # The move

    def _drive(self) -> None:
        self._schedule(self.now + STEP_SECONDS, "drive")
        here = self._engines_here()
        ready = [engine for engine in here if engine.ready]
        if self._state.phase is DataCentrePhase.DECLARED:
            loads = sum(engine.load for engine in self.engines.values())
            self._peak_load = max(self._peak_load, loads)
        bearable = sum(engine.limit(self.now) for engine in ready)
        situation = DataCentreConditions(
            in_flight=sum(len(engine.running) for engine in here),
            ready_share=len(ready) / len(here),
            admissible_share=bearable / sum(engine.slots for engine in here),
            load_fits_elsewhere=self._plan(),
        )
        step = decide_data_centre_step(self._state, situation, _date(self.now))
        if step is not None:
            change = f"change-{self._offset + 1}"
            now = _date(self.now)
            self._append(build_step_record(self._state, step, change, now))

    def _plan(self) -> bool:
        if self._state.phase is not DataCentrePhase.DECLARED:
            return True
        if _date(self.now) < self._state.spec.start:
            return True
        share = self._peak_load / len(self.engines)
        capacities = [
            PoolCapacity("model", self.data_centre(name), engine.slots, share)
            for name, engine in self.engines.items()
        ]
        verdict = check_remaining_capacity(capacities, frozenset({LEAVING}))
        self.result.feasible = verdict.feasible
        # The run goes on without feasibility too, to show what the plan warned of.
        return True

    def _append(self, record: MoveRecord) -> None:
        self._offset += 1
        self._state = apply_data_centre_record(
            self._state, record, self._offset
        ).unwrap()
        for number in range(len(self._known)):
            delay = self._random.uniform(0.05, 1.5)
            self._schedule(self.now + delay, "apply", number, record, self._offset)
        if self._state.phase is DataCentrePhase.REFILLED:
            self.result.refilled_at = self.now

    def _apply(self, number: int, record: MoveRecord, offset: int) -> None:
        known = self._known[number]
        self._known[number] = apply_data_centre_record(known, record, offset).unwrap()
        self._rank_pending(number)

    def _power_off(self) -> None:
        self.result.emptied_in_time = self._state.phase is DataCentrePhase.EMPTY
        for engine in self._engines_here():
            self.result.cut += len(engine.running)
            engine.restart(self.now)
            engine.ready = False
            self._announce(engine, 1.5)

    def _power_on(self) -> None:
        for engine in self._engines_here():
            engine.restart(self.now)
            engine.ready = True
            self._announce(engine, 1.5)

    def run(self, chats: list[Chat]) -> None:  # type: ignore[override]
        """Serve the chats."""
        super().run(chats)
        self.result.unserved = len(self._pending)

    def _rank_pending(self, number: int) -> None:
        for _, _, _, arrival in self._pending:
            if arrival.instance == number:
                arrival.placement = self._place(arrival)


def measure_data_centre_move(
    deployment: Deployment, seed: int, returns_tokens: bool, controlled: bool
) -> DataCentreResult:
    """Run one move and return its measures."""
    chats = generate_chats(deployment, seed, HOURS)
    fleet = MovingFleet(deployment, returns_tokens, seed, controlled)
    fleet.run(chats)
    return fleet.result


def _date(seconds: float) -> datetime:
    return EPOCH + timedelta(seconds=seconds)
