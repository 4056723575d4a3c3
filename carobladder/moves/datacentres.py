"""Data centre moves: take a data centre out of service and return it."""

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
    RecordRejection,
    advance_phase,
    apply_move_record,
)
from carobladder.placement.keys import compute_key_fraction

__all__ = [
    "DEFAULT_REFILL_STEPS",
    "DataCentreConditions",
    "DataCentreMoveSpec",
    "DataCentreMoveState",
    "DataCentrePhase",
    "DataCentreStep",
    "Direction",
    "MaintenanceWindow",
    "RoutingPreference",
    "apply_data_centre_record",
    "decide_data_centre_step",
    "find_routing_preference",
]


DEFAULT_REFILL_STEPS = (0.05, 0.15, 0.35, 0.65, 1.0)


class Direction(StrEnum):
    """Part of the leave and return cycle that a move performs."""

    BOTH = "both"
    LEAVE = "leave"
    RETURN = "return"


class DataCentrePhase(StrEnum):
    """Phase of a data centre move."""

    DECLARED = "declared"
    LEAVING = "leaving"
    EMPTY = "empty"
    RETURNING = "returning"
    REFILLED = "refilled"
    HELD = "held"


_TRANSITIONS = {
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
    """Period in which the provider carries out maintenance in a data centre."""

    start: datetime
    end: datetime

    def __post_init__(self) -> None:
        if self.end <= self.start:
            raise MoveError("window must end after its start; correct the dates")


@dataclass(frozen=True, slots=True)
class DataCentreMoveSpec:
    """Declared plan of a data centre move.

    A move in both directions leaves service before a maintenance window and returns
    after it. A move in one direction has no window: it starts at once and ends when
    the data centre is empty or refilled. Rolling a move back reverses its direction.

    ``drain_time`` is the duration of the longest answers; the move starts this long,
    plus ``margin``, before the window. ``propagation_time`` is the longest time that
    instances need to apply the leave; until then, a data centre without requests in
    flight may still receive one. ``refill_steps`` are the increasing shares of its
    normal prompt prefixes that the data centre serves while it returns, and
    ``step_time`` is the minimum duration of each.

    Raises MoveError for contradictory values.
    """

    move_id: str
    data_centre: str
    window: MaintenanceWindow | None
    drain_time: timedelta = timedelta(minutes=5)
    margin: timedelta = timedelta(minutes=10)
    propagation_time: timedelta = timedelta(seconds=5)
    refill_steps: tuple[float, ...] = DEFAULT_REFILL_STEPS
    step_time: timedelta = timedelta(minutes=3)
    direction: Direction = Direction.BOTH

    def __post_init__(self) -> None:
        if (self.window is None) is (self.direction is Direction.BOTH):
            raise MoveError(
                "only a move in both directions needs a window; correct one of the two"
            )
        steps = list(self.refill_steps)
        if not steps or steps != sorted(set(steps)) or steps[-1] != 1 or steps[0] <= 0:
            raise MoveError("refill_steps must increase to 1; use 0.05, 0.35, 1.0")

    @property
    def start(self) -> datetime:
        """Time at which the data centre must begin to leave."""
        if self.window is None:
            return datetime.min.replace(tzinfo=UTC)
        return self.window.start - self.drain_time - self.margin

    def is_window_over(self, now: datetime) -> bool:
        """Return whether the maintenance window has ended."""
        return self.window is None or now >= self.window.end

    def has_ended(self, phase: DataCentrePhase, intent: Intent) -> bool:
        """Return whether the move is complete in the given phase."""
        final_phase = self.find_final_phase(intent)
        return phase is (final_phase or DataCentrePhase.REFILLED)

    def find_final_phase(self, intent: Intent) -> DataCentrePhase | None:
        """Return the final phase of a move in one direction, None for both."""
        if self.direction is Direction.BOTH:
            return None
        leaves = (self.direction is Direction.LEAVE) != (intent is Intent.ROLL_BACK)
        return DataCentrePhase.EMPTY if leaves else DataCentrePhase.REFILLED


@dataclass(frozen=True, slots=True)
class DataCentreMoveState:
    """State of a data centre move that every instance derives from the records.

    ``since`` is when the phase or step began. ``held_phase`` is the phase to resume
    after a hold.
    """

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
        """Id of the move."""
        return self.spec.move_id

    @property
    def effective_phase(self) -> DataCentrePhase:
        """Phase that governs request routing; during a hold, the held phase."""
        return self.held_phase or self.phase

    @property
    def served_share(self) -> float:
        """Share of its normal prompt prefixes that the data centre serves."""
        phase = self.effective_phase
        if phase in (DataCentrePhase.LEAVING, DataCentrePhase.EMPTY):
            return 0.0
        if phase is DataCentrePhase.RETURNING:
            return self.spec.refill_steps[self.step]
        return 1.0


@dataclass(frozen=True, slots=True)
class DataCentreConditions:
    """Observed conditions of a data centre, the input of the driver's decision.

    ``in_flight`` is the number of its requests in flight. ``ready_share`` is the
    fraction of its targets that are ready, and ``admissible_share`` the fraction of
    its normal load that these can serve within their cold limits.
    ``load_fits_elsewhere`` is the result of ``check_remaining_capacity`` for the
    current load. ``intent`` is what operators request.
    """

    in_flight: int = 0
    ready_share: float = 0.0
    admissible_share: float = 0.0
    verdict: Verdict = Verdict.CLEAR
    load_fits_elsewhere: bool = True
    intent: Intent = Intent.RUN


@dataclass(frozen=True, slots=True)
class DataCentreStep:
    """Change of phase or step that the driver should append to the log."""

    phase: DataCentrePhase
    step: int
    reason: str


def apply_data_centre_record(
    state: DataCentreMoveState, record: MoveRecord, offset: int
) -> Result[DataCentreMoveState, RecordRejection]:
    """Return the state after a record, or why the record is rejected."""
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
    if phase not in _TRANSITIONS.get(state.phase, set()):
        return False
    if phase is state.phase:
        within = 0 <= step < len(state.spec.refill_steps)
        return within and abs(step - state.step) == 1
    return step == (state.step if phase is DataCentrePhase.REFILLED else 0)


def decide_data_centre_step(
    state: DataCentreMoveState, conditions: DataCentreConditions, now: datetime
) -> DataCentreStep | None:
    """Return the next change, or None to keep the phase and step."""
    if state.phase is DataCentrePhase.HELD:
        return _decide_resume(state, conditions)
    if conditions.intent is Intent.PAUSE and state.phase in _HOLDABLE:
        return DataCentreStep(DataCentrePhase.HELD, state.step, PAUSED_REASON)
    spec = state.spec
    final_phase = spec.find_final_phase(conditions.intent)
    match state.phase:
        case DataCentrePhase.DECLARED if final_phase is DataCentrePhase.REFILLED:
            return _decide_return(spec, conditions, now)
        case DataCentrePhase.DECLARED if now >= spec.start:
            return _decide_leave(state, conditions)
        case DataCentrePhase.LEAVING if final_phase is DataCentrePhase.REFILLED:
            return _decide_return(spec, conditions, now)
        case DataCentrePhase.LEAVING if _is_empty(state, conditions, now):
            return DataCentreStep(DataCentrePhase.EMPTY, 0, "no request in flight")
        case DataCentrePhase.EMPTY if final_phase is not DataCentrePhase.EMPTY:
            return _decide_return(spec, conditions, now)
        case DataCentrePhase.RETURNING if final_phase is DataCentrePhase.EMPTY:
            return DataCentreStep(DataCentrePhase.LEAVING, 0, "taken back")
        case DataCentrePhase.RETURNING:
            return _decide_refill(state, conditions, now)
    return None


def _decide_resume(
    state: DataCentreMoveState, conditions: DataCentreConditions
) -> DataCentreStep | None:
    """Resume from a hold once its cause no longer applies."""
    if state.held_phase is None or conditions.intent is Intent.PAUSE:
        return None
    # A rollback is allowed even if the other data centres lack capacity.
    load_fits = conditions.load_fits_elsewhere or conditions.intent is Intent.ROLL_BACK
    if state.reason != PAUSED_REASON and not load_fits:
        return None
    return DataCentreStep(state.held_phase, state.step, "hold is over")


def _decide_leave(
    state: DataCentreMoveState, conditions: DataCentreConditions
) -> DataCentreStep:
    if not conditions.load_fits_elsewhere:
        reason = "the remaining data centres cannot bear the load"
        return DataCentreStep(DataCentrePhase.HELD, state.step, reason)
    return DataCentreStep(DataCentrePhase.LEAVING, 0, "start time reached")


def _decide_return(
    spec: DataCentreMoveSpec, conditions: DataCentreConditions, now: datetime
) -> DataCentreStep | None:
    if not _may_return(spec, conditions, now):
        return None
    reason = "window is over and targets are ready"
    return DataCentreStep(DataCentrePhase.RETURNING, 0, reason)


def _is_empty(
    state: DataCentreMoveState, conditions: DataCentreConditions, now: datetime
) -> bool:
    propagated = now - (state.since or now) >= state.spec.propagation_time
    return propagated and conditions.in_flight == 0


def _may_return(
    spec: DataCentreMoveSpec, conditions: DataCentreConditions, now: datetime
) -> bool:
    first_step_fits = conditions.admissible_share >= spec.refill_steps[0]
    over = spec.is_window_over(now)
    return over and conditions.ready_share > 0 and first_step_fits


def _decide_refill(
    state: DataCentreMoveState, conditions: DataCentreConditions, now: datetime
) -> DataCentreStep | None:
    steps = state.spec.refill_steps
    if conditions.verdict is Verdict.FAULT:
        if state.step == 0:
            reason = "targets fail after the return"
            return DataCentreStep(DataCentrePhase.LEAVING, 0, reason)
        return DataCentreStep(DataCentrePhase.RETURNING, state.step - 1, "fault shown")
    elapsed = now - (state.since or now)
    if conditions.verdict is Verdict.DOUBT or elapsed < state.spec.step_time:
        return None
    if state.step + 1 == len(steps):
        return DataCentreStep(DataCentrePhase.REFILLED, state.step, "all steps taken")
    if conditions.admissible_share < steps[state.step + 1]:
        return None
    return DataCentreStep(DataCentrePhase.RETURNING, state.step + 1, "no fault shown")


class RoutingPreference(StrEnum):
    """How to use the targets of a data centre for one request."""

    PREFERRED = "usual"
    OVERFLOW = "overflow"
    EXCLUDED = "refused"


def find_routing_preference(
    state: DataCentreMoveState, prefix_key: int, context_here: bool
) -> RoutingPreference:
    """Return how to use the targets of the data centre for a chat's next request.

    During the return, the data centre serves a share of the prompt prefixes. Each
    prefix moves as a whole, because one split between two places would be computed
    and cached in both. A chat whose token names a target here stays here. A chat
    whose context is elsewhere stays there, because tokens take precedence over
    prefixes. All other chats use the data centre only when the rest is full, so a
    slow refill does not reduce the capacity of the service.
    """
    phase = state.effective_phase
    if phase in (DataCentrePhase.LEAVING, DataCentrePhase.EMPTY):
        return RoutingPreference.EXCLUDED
    if context_here or compute_key_fraction(prefix_key) < state.served_share:
        return RoutingPreference.PREFERRED
    return RoutingPreference.OVERFLOW
