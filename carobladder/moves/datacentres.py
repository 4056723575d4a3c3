"""Data centre moves: a data centre leaves service and returns to it."""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from enum import StrEnum

from returns.result import Result

from carobladder.moves.evidence import Verdict
from carobladder.moves.records import (
    PAUSED_REASON,
    Intent,
    MoveError,
    MoveRecord,
    RecordFault,
    advance_phase,
    apply_move_record,
)
from carobladder.placement.keys import compute_key_fraction

__all__ = [
    "DEFAULT_REFILL_STEPS",
    "ChatRule",
    "DataCentreMoveSpec",
    "DataCentreMoveState",
    "DataCentrePhase",
    "DataCentreSituation",
    "DataCentreStep",
    "Direction",
    "MaintenanceWindow",
    "PlanVerdict",
    "PoolCapacity",
    "apply_data_centre_record",
    "decide_data_centre_step",
    "next_data_centre_record",
    "plan_leave",
    "rule_for_chat",
]


DEFAULT_REFILL_STEPS = (0.05, 0.15, 0.35, 0.65, 1.0)


class Direction(StrEnum):
    """Tell which part of leaving and returning a move makes."""

    BOTH = "both"
    LEAVE = "leave"
    RETURN = "return"


class DataCentrePhase(StrEnum):
    """Name the phases of a data centre move."""

    DECLARED = "declared"
    LEAVING = "leaving"
    EMPTY = "empty"
    RETURNING = "returning"
    REFILLED = "refilled"
    HELD = "held"


_FORWARD = {
    DataCentrePhase.DECLARED: {DataCentrePhase.LEAVING, DataCentrePhase.RETURNING},
    DataCentrePhase.LEAVING: {DataCentrePhase.EMPTY, DataCentrePhase.RETURNING},
    DataCentrePhase.EMPTY: {DataCentrePhase.RETURNING},
    DataCentrePhase.RETURNING: {
        DataCentrePhase.RETURNING,
        DataCentrePhase.REFILLED,
        DataCentrePhase.LEAVING,
    },
}
_HOLDABLE = frozenset(
    {
        DataCentrePhase.DECLARED,
        DataCentrePhase.EMPTY,
        DataCentrePhase.RETURNING,
    }
)


@dataclass(frozen=True, slots=True)
class MaintenanceWindow:
    """Give the times at which the landlord works in a data centre."""

    start: datetime
    end: datetime

    def __post_init__(self) -> None:
        if self.end <= self.start:
            raise MoveError("window must end after its start; correct the dates")


@dataclass(frozen=True, slots=True)
class DataCentreMoveSpec:
    """Declare that a data centre leaves for a window and returns after it.

    A move of one direction has no window: it begins at once and ends when the data
    centre is empty or refilled. The direction of a move that is taken back turns.
    ``drain_time`` is how long the longest answers take; the move starts that long,
    plus ``margin``, before the window. ``notice_time`` is how long instances may
    take to learn of the leave; before it has passed, a data centre without requests
    in flight may still receive one. ``refill_steps`` are the shares of its usual
    prefixes that the data centre takes while it returns.
    """

    move_id: str
    data_centre: str
    window: MaintenanceWindow | None
    drain_time: timedelta = timedelta(minutes=5)
    margin: timedelta = timedelta(minutes=10)
    notice_time: timedelta = timedelta(seconds=5)
    refill_steps: tuple[float, ...] = DEFAULT_REFILL_STEPS
    step_time: timedelta = timedelta(minutes=3)
    direction: Direction = Direction.BOTH

    def __post_init__(self) -> None:
        if (self.window is None) is (self.direction is Direction.BOTH):
            raise MoveError("a window belongs to a move of both directions; set both")
        steps = list(self.refill_steps)
        if not steps or steps != sorted(set(steps)) or steps[-1] != 1 or steps[0] <= 0:
            raise MoveError("refill_steps must grow to 1; use 0.05, 0.35, 1.0")

    @property
    def start(self) -> datetime:
        """Return when the data centre must begin to leave."""
        if self.window is None:
            return datetime.min.replace(tzinfo=UTC)
        return self.window.start - self.drain_time - self.margin

    def is_window_over(self, now: datetime) -> bool:
        """Tell whether the landlord's work has ended."""
        return self.window is None or now >= self.window.end

    def has_ended(self, phase: DataCentrePhase, intent: Intent) -> bool:
        """Tell whether nothing is left to do."""
        goal = self.find_goal(intent)
        return phase is (goal or DataCentrePhase.REFILLED)

    def find_goal(self, intent: Intent) -> DataCentrePhase | None:
        """Return the phase in which a move of one direction ends."""
        if self.direction is Direction.BOTH:
            return None
        leaves = (self.direction is Direction.LEAVE) != (intent is Intent.BACK)
        return DataCentrePhase.EMPTY if leaves else DataCentrePhase.REFILLED


@dataclass(frozen=True, slots=True)
class DataCentreMoveState:
    """Hold the state that all instances derive from the records."""

    spec: DataCentreMoveSpec
    phase: DataCentrePhase = DataCentrePhase.DECLARED
    step: int = 0
    since: datetime | None = None
    revision: int = 0
    change_id: str = ""
    reason: str = ""
    held_phase: DataCentrePhase | None = None

    @property
    def move_id(self) -> str:
        """Return the id of the move."""
        return self.spec.move_id

    @property
    def serving_phase(self) -> DataCentrePhase:
        """Return the phase that decides about requests, also during a hold."""
        return self.held_phase or self.phase

    @property
    def usual_share(self) -> float:
        """Return the part of its usual prefixes that the data centre takes."""
        phase = self.serving_phase
        if phase in (DataCentrePhase.LEAVING, DataCentrePhase.EMPTY):
            return 0.0
        if phase is DataCentrePhase.RETURNING:
            return self.spec.refill_steps[self.step]
        return 1.0


@dataclass(frozen=True, slots=True)
class DataCentreSituation:
    """State what the driver sees of the data centre.

    ``ready_share`` is the part of its targets that are ready, ``bearable_share``
    the part of its usual work that these can bear with their cold limits, and
    ``remaining_bear_load`` the verdict of ``plan_leave`` on the present load.
    ``intent`` is what operators ask for.
    """

    in_flight: int = 0
    ready_share: float = 0.0
    bearable_share: float = 0.0
    verdict: Verdict = Verdict.CLEAR
    remaining_bear_load: bool = True
    intent: Intent = Intent.RUN


@dataclass(frozen=True, slots=True)
class DataCentreStep:
    """Name the change that the driver should append."""

    phase: DataCentrePhase
    step: int
    reason: str


def apply_data_centre_record(
    state: DataCentreMoveState, record: MoveRecord, offset: int
) -> Result[DataCentreMoveState, RecordFault]:
    """Return the state after a record, or why the record has no effect."""
    return apply_move_record(state, record, offset, _advance)


def _advance(
    state: DataCentreMoveState, record: MoveRecord, offset: int
) -> DataCentreMoveState | None:
    try:
        phase = DataCentrePhase(record.phase)
    except ValueError:
        return None
    if not _is_allowed(state, phase, record.step):
        return None
    return advance_phase(state, phase, record, offset)


def _is_allowed(state: DataCentreMoveState, phase: DataCentrePhase, step: int) -> bool:
    if phase is DataCentrePhase.HELD:
        return state.phase in _HOLDABLE and step == state.step
    if state.phase is DataCentrePhase.HELD:
        return phase is state.held_phase and step == state.step
    if phase not in _FORWARD.get(state.phase, set()):
        return False
    if phase is state.phase:
        within = 0 <= step < len(state.spec.refill_steps)
        return within and abs(step - state.step) == 1
    return step == (state.step if phase is DataCentrePhase.REFILLED else 0)


def next_data_centre_record(
    state: DataCentreMoveState, step: DataCentreStep, change_id: str, at: datetime
) -> MoveRecord:
    """Return the record that makes a decided change."""
    return MoveRecord(
        state.move_id, change_id, state.revision, step.phase, at, step.step, step.reason
    )


def decide_data_centre_step(
    state: DataCentreMoveState, situation: DataCentreSituation, now: datetime
) -> DataCentreStep | None:
    """Return the next change, or None to stay."""
    if state.phase is DataCentrePhase.HELD:
        return _decide_resume(state, situation)
    if situation.intent is Intent.PAUSE and state.phase in _HOLDABLE:
        return DataCentreStep(DataCentrePhase.HELD, state.step, PAUSED_REASON)
    spec = state.spec
    goal = spec.find_goal(situation.intent)
    match state.phase:
        case DataCentrePhase.DECLARED if goal is DataCentrePhase.REFILLED:
            return _decide_return(spec, situation, now)
        case DataCentrePhase.DECLARED if now >= spec.start:
            return _decide_leave(state, situation)
        case DataCentrePhase.LEAVING if goal is DataCentrePhase.REFILLED:
            return _decide_return(spec, situation, now)
        case DataCentrePhase.LEAVING if _is_empty(state, situation, now):
            return DataCentreStep(DataCentrePhase.EMPTY, 0, "no request in flight")
        case DataCentrePhase.EMPTY if goal is not DataCentrePhase.EMPTY:
            return _decide_return(spec, situation, now)
        case DataCentrePhase.RETURNING if goal is DataCentrePhase.EMPTY:
            return DataCentreStep(DataCentrePhase.LEAVING, 0, "taken back")
        case DataCentrePhase.RETURNING:
            return _decide_refill(state, situation, now)
    return None


def _decide_resume(
    state: DataCentreMoveState, situation: DataCentreSituation
) -> DataCentreStep | None:
    """Go on from a hold once its cause is gone."""
    if state.held_phase is None or situation.intent is Intent.PAUSE:
        return None
    # A move that an operator takes back does not need the rest to bear the load.
    bears = situation.remaining_bear_load or situation.intent is Intent.BACK
    if state.reason != PAUSED_REASON and not bears:
        return None
    return DataCentreStep(state.held_phase, state.step, "hold is over")


def _decide_leave(
    state: DataCentreMoveState, situation: DataCentreSituation
) -> DataCentreStep:
    if not situation.remaining_bear_load:
        reason = "the remaining data centres cannot bear the load"
        return DataCentreStep(DataCentrePhase.HELD, state.step, reason)
    return DataCentreStep(DataCentrePhase.LEAVING, 0, "start time reached")


def _decide_return(
    spec: DataCentreMoveSpec, situation: DataCentreSituation, now: datetime
) -> DataCentreStep | None:
    if not _may_return(spec, situation, now):
        return None
    reason = "window is over and targets are ready"
    return DataCentreStep(DataCentrePhase.RETURNING, 0, reason)


def _is_empty(
    state: DataCentreMoveState, situation: DataCentreSituation, now: datetime
) -> bool:
    noticed = now - (state.since or now) >= state.spec.notice_time
    return noticed and situation.in_flight == 0


def _may_return(
    spec: DataCentreMoveSpec, situation: DataCentreSituation, now: datetime
) -> bool:
    bears_first_step = situation.bearable_share >= spec.refill_steps[0]
    over = spec.is_window_over(now)
    return over and situation.ready_share > 0 and bears_first_step


def _decide_refill(
    state: DataCentreMoveState, situation: DataCentreSituation, now: datetime
) -> DataCentreStep | None:
    steps = state.spec.refill_steps
    if situation.verdict is Verdict.FAULT:
        if state.step == 0:
            reason = "targets fail after the return"
            return DataCentreStep(DataCentrePhase.LEAVING, 0, reason)
        return DataCentreStep(DataCentrePhase.RETURNING, state.step - 1, "fault shown")
    elapsed = now - (state.since or now)
    if situation.verdict is Verdict.DOUBT or elapsed < state.spec.step_time:
        return None
    if state.step + 1 == len(steps):
        return DataCentreStep(DataCentrePhase.REFILLED, state.step, "all steps taken")
    if situation.bearable_share < steps[state.step + 1]:
        return None
    return DataCentreStep(DataCentrePhase.RETURNING, state.step + 1, "no fault shown")


class ChatRule(StrEnum):
    """Tell how the targets of a data centre rank for one request."""

    USUAL = "usual"
    OVERFLOW = "overflow"
    REFUSED = "refused"


def rule_for_chat(
    state: DataCentreMoveState, prefix_key: int, context_here: bool
) -> ChatRule:
    """Return how the targets of the data centre rank for a chat's next request.

    During the return a part of the shared prefixes uses the data centre. The parts
    are whole prefixes, because a prefix split between old
    and new places is computed and kept in both. A chat whose token names a target
    here stays, and one whose context is elsewhere is not sent back, because its
    token goes first. All others use the data centre only when the rest is full, so
    a slow refill costs no service.
    """
    phase = state.serving_phase
    if phase in (DataCentrePhase.LEAVING, DataCentrePhase.EMPTY):
        return ChatRule.REFUSED
    if context_here or compute_key_fraction(prefix_key) < state.usual_share:
        return ChatRule.USUAL
    return ChatRule.OVERFLOW


@dataclass(frozen=True, slots=True)
class PoolCapacity:
    """Give the slots of one pool in one data centre and the load it has at peak.

    Both are in weighted requests in flight.
    """

    pool: str
    data_centre: str
    slots: int
    peak_load: float


@dataclass(frozen=True, slots=True)
class PlanVerdict:
    """State whether the remaining data centres can bear the load.

    ``shortfalls`` gives the missing slots of each pool that has too few.
    """

    shortfalls: Mapping[str, int]

    @property
    def feasible(self) -> bool:
        """Return whether no pool lacks slots."""
        return not self.shortfalls


def plan_leave(
    capacities: Sequence[PoolCapacity],
    leaving: frozenset[str],
    headroom: float = 0.2,
) -> PlanVerdict:
    """Tell beforehand whether the load fits without the leaving data centres.

    ``headroom`` is the part of the remaining slots kept free, for an engine that
    fails meanwhile and for load that is spread unevenly.
    """
    if not 0 <= headroom < 1:
        raise MoveError("headroom must be at least 0 and below 1; use 0.2")
    shortfalls = {}
    for pool in sorted({capacity.pool for capacity in capacities}):
        own = [capacity for capacity in capacities if capacity.pool == pool]
        load = sum(capacity.peak_load for capacity in own)
        slots = sum(c.slots for c in own if c.data_centre not in leaving)
        needed = math.ceil(load / (1 - headroom))
        if needed > slots:
            shortfalls[pool] = needed - slots
    return PlanVerdict(shortfalls)
