"""Version moves: gradual rollout of a new version of a model."""

import math
from dataclasses import dataclass
from datetime import datetime, timedelta
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

__all__ = [
    "DEFAULT_STEPS",
    "FIRST_SHARE_MAX",
    "VersionConditions",
    "VersionMoveSpec",
    "VersionMoveState",
    "VersionPhase",
    "VersionStep",
    "apply_version_record",
    "count_needed_targets",
    "count_wanted_targets",
    "decide_version_step",
    "effective_share",
    "keeps_old_version",
    "version_shares",
]


DEFAULT_STEPS = (0.0025, 0.01, 0.05, 0.2, 0.5, 0.95)
# Limits the traffic that a faulty version receives before there is any evidence.
FIRST_SHARE_MAX = 0.01


class VersionPhase(StrEnum):
    """Phase of a version move; the values are stored in the log."""

    DECLARED = "declared"
    LOADING = "loading"
    WARMING = "warming"
    STEPPING = "stepping"
    BAKING = "baking"
    FINISHED = "finished"
    ROLLING_BACK = "taking-back"
    ROLLED_BACK = "taken-back"
    HELD = "held"


_ACTIVE = frozenset(
    {
        VersionPhase.DECLARED,
        VersionPhase.LOADING,
        VersionPhase.WARMING,
        VersionPhase.STEPPING,
        VersionPhase.BAKING,
    }
)
_ENDED = frozenset({VersionPhase.FINISHED, VersionPhase.ROLLED_BACK})
_TRANSITIONS = {
    VersionPhase.DECLARED: {VersionPhase.LOADING},
    VersionPhase.LOADING: {VersionPhase.WARMING},
    VersionPhase.WARMING: {VersionPhase.STEPPING},
    VersionPhase.STEPPING: {VersionPhase.STEPPING, VersionPhase.BAKING},
    VersionPhase.BAKING: {VersionPhase.FINISHED},
    VersionPhase.ROLLING_BACK: {VersionPhase.ROLLED_BACK},
}


@dataclass(frozen=True, slots=True)
class VersionMoveSpec:
    """Declared plan of a version move.

    ``steps`` are the increasing traffic shares of the new version. The last one is
    below 1 until the end of the bake time, so that the old version provides evidence
    from the same period. ``first_share_max`` limits the first step.
    ``step_requests_min`` is the number of requests that the new version must have
    served in a step before the next one.

    Raises MoveError for contradictory values.
    """

    move_id: str
    model: str
    old_version: str
    new_version: str
    start: datetime
    finish_by: datetime
    steps: tuple[float, ...] = DEFAULT_STEPS
    bake_time: timedelta = timedelta(minutes=30)
    step_time_min: timedelta = timedelta(seconds=60)
    step_requests_min: int = 20
    first_share_max: float = FIRST_SHARE_MAX
    # Fraction of the time before baking that the steps use; the rest is for pauses.
    pace: float = 0.8
    drain_time: timedelta = timedelta(seconds=60)

    def __post_init__(self) -> None:
        ordered = list(self.steps) == sorted(set(self.steps))
        if not self.steps or not ordered or not self.steps[0] > 0:
            raise MoveError(
                "steps must increase; declare shares such as 0.005, 0.1, 0.95"
            )
        if self.steps[0] > self.first_share_max:
            raise MoveError(
                f"first step {self.steps[0]} exceeds {self.first_share_max}; lower it"
            )
        if self.steps[-1] >= 1:
            raise MoveError(
                "last step must be below 1 to compare versions while baking; use 0.95"
            )
        needed = self.step_time_min * len(self.steps) + self.bake_time
        if self.start + needed > self.finish_by:
            raise MoveError(
                f"finish_by leaves less than {needed}; declare a later time"
            )

    @property
    def bake_by(self) -> datetime:
        """Latest time at which baking can start."""
        return self.finish_by - self.bake_time


@dataclass(frozen=True, slots=True)
class VersionMoveState:
    """State of a version move that every instance derives from the records.

    ``since`` is when the phase or step began. ``held_phase`` is the phase to resume
    after a hold.
    """

    spec: VersionMoveSpec
    phase: VersionPhase = VersionPhase.DECLARED
    step: int = 0
    since: datetime | None = None
    revision: int = 0
    change_id: str = ""
    reason: str = ""
    held_phase: VersionPhase | None = None

    @property
    def move_id(self) -> str:
        """Id of the move."""
        return self.spec.move_id

    @property
    def ended(self) -> bool:
        """Whether the share of the new version is final."""
        return self.phase in _ENDED


@dataclass(frozen=True, slots=True)
class VersionConditions:
    """Observed conditions of a version move, the input of the driver's decision.

    ``loaded_share`` and ``warm_share`` are the fractions of the traffic that the
    loaded and the warm targets of the new version can serve. ``step_requests`` counts
    the requests of the new version since the step began, and ``new_in_flight`` those
    in flight. ``intent`` is what operators request.
    """

    verdict: Verdict = Verdict.CLEAR
    loaded_share: float = 0.0
    warm_share: float = 0.0
    step_requests: int = 0
    new_in_flight: int = 0
    intent: Intent = Intent.RUN


@dataclass(frozen=True, slots=True)
class VersionStep:
    """Change of phase or step that the driver should append to the log."""

    phase: VersionPhase
    step: int
    reason: str


def apply_version_record(
    state: VersionMoveState, record: MoveRecord, offset: int
) -> Result[VersionMoveState, RecordRejection]:
    """Return the state after a record, or why the record is rejected."""
    return apply_move_record(state, record, offset, _advance)


def _advance(
    state: VersionMoveState, record: MoveRecord, offset: int
) -> VersionMoveState | None:
    try:
        phase = VersionPhase(record.phase)
    except ValueError:
        return None
    if not _is_allowed(state, phase, record.step):
        return None
    return advance_phase(state, phase, record, offset)


def _is_allowed(state: VersionMoveState, phase: VersionPhase, step: int) -> bool:
    if phase is VersionPhase.ROLLING_BACK:
        return state.phase in _ACTIVE or state.phase is VersionPhase.HELD
    if phase is VersionPhase.HELD:
        return state.phase in _ACTIVE and step == state.step
    if state.phase is VersionPhase.HELD:
        return phase is state.held_phase and step == state.step
    if phase not in _TRANSITIONS.get(state.phase, set()):
        return False
    return step == state.step + _step_increment(state.phase, phase)


def _step_increment(before: VersionPhase, after: VersionPhase) -> int:
    return int(before is after is VersionPhase.STEPPING)


def version_shares(state: VersionMoveState) -> dict[str, float]:
    """Return the declared traffic share of each version, the new one first."""
    share = _declared_share(state)
    return {state.spec.new_version: share, state.spec.old_version: 1.0 - share}


def effective_share(state: VersionMoveState, verdict: Verdict) -> float:
    """Return the traffic share that an instance sends to the new version.

    An instance whose merged evidence shows a fault stops using the new version at
    once, even while the log is down and the move cannot be rolled back.
    """
    declared = _declared_share(state)
    if verdict is Verdict.FAULT and state.phase not in _ENDED:
        return 0.0
    return declared


def count_needed_targets(share: float, total: int) -> int:
    """Return how many targets of a model a traffic share of the new version needs.

    At least one target stays on each version until the move has finished.
    """
    return min(max(1, math.ceil(share * total - 1e-9)), max(total - 1, 0))


def count_wanted_targets(state: VersionMoveState, total: int) -> int:
    """Return how many of the targets should run the new version now.

    During a step, the number already includes the targets for the next step.
    """
    phase = state.held_phase if state.phase is VersionPhase.HELD else state.phase
    steps = state.spec.steps
    match phase:
        case VersionPhase.LOADING | VersionPhase.WARMING:
            return count_needed_targets(steps[0], total)
        case VersionPhase.STEPPING | VersionPhase.BAKING:
            next_step = min(state.step + 1, len(steps) - 1)
            return count_needed_targets(steps[next_step], total)
        case VersionPhase.FINISHED:
            return total
    return 0


def _declared_share(state: VersionMoveState) -> float:
    phase = state.held_phase if state.phase is VersionPhase.HELD else state.phase
    if phase is VersionPhase.FINISHED:
        return 1.0
    if phase in (VersionPhase.STEPPING, VersionPhase.BAKING):
        return state.spec.steps[state.step]
    return 0.0


def keeps_old_version(state: VersionMoveState) -> bool:
    """Return whether the targets of the old version must be kept warm."""
    return state.phase is not VersionPhase.FINISHED


def decide_version_step(
    state: VersionMoveState, conditions: VersionConditions, now: datetime
) -> VersionStep | None:
    """Return the next change, or None to keep the phase and step.

    A fault or a missed deadline rolls the move back from every phase, held or not.
    """
    if state.phase in _ENDED:
        return None
    if state.phase is VersionPhase.ROLLING_BACK:
        return _decide_rollback_end(state, conditions, now)
    rollback = _decide_rollback(state, conditions, now)
    if rollback is not None:
        return rollback
    if state.phase is VersionPhase.HELD:
        return _decide_resume(state, conditions)
    if conditions.intent is Intent.PAUSE:
        return VersionStep(VersionPhase.HELD, state.step, PAUSED_REASON)
    return _decide_advance(state, conditions, now)


def _decide_resume(
    state: VersionMoveState, conditions: VersionConditions
) -> VersionStep | None:
    """Resume from a pause; other holds end only by a record of whoever set them."""
    paused = state.reason == PAUSED_REASON
    if state.held_phase is None or not paused or conditions.intent is Intent.PAUSE:
        return None
    return VersionStep(state.held_phase, state.step, "resumed by an operator")


def _decide_rollback_end(
    state: VersionMoveState, conditions: VersionConditions, now: datetime
) -> VersionStep | None:
    drained = conditions.new_in_flight == 0
    if not drained and _elapsed(state, now) < state.spec.drain_time:
        return None
    return VersionStep(VersionPhase.ROLLED_BACK, state.step, state.reason)


def _decide_rollback(
    state: VersionMoveState, conditions: VersionConditions, now: datetime
) -> VersionStep | None:
    spec = state.spec
    phase = state.held_phase if state.phase is VersionPhase.HELD else state.phase
    reason = ""
    if conditions.verdict is Verdict.FAULT:
        reason = "evidence shows a fault of the new version"
    elif conditions.intent is Intent.ROLL_BACK:
        reason = "taken back by an operator"
    elif phase is not VersionPhase.BAKING and now > spec.bake_by:
        reason = "too late to finish the bake time by finish_by"
    elif now > spec.finish_by:
        reason = "finish_by has passed"
    return (
        VersionStep(VersionPhase.ROLLING_BACK, state.step, reason) if reason else None
    )


def _decide_advance(
    state: VersionMoveState, conditions: VersionConditions, now: datetime
) -> VersionStep | None:
    spec = state.spec
    first_share = spec.steps[0]
    match state.phase:
        case VersionPhase.DECLARED if now >= spec.start:
            return VersionStep(VersionPhase.LOADING, 0, "start time reached")
        case VersionPhase.LOADING if conditions.loaded_share >= first_share:
            return VersionStep(VersionPhase.WARMING, 0, "targets have loaded")
        case VersionPhase.WARMING if conditions.warm_share >= first_share:
            return VersionStep(VersionPhase.STEPPING, 0, "targets are warm")
        case VersionPhase.STEPPING:
            return _decide_share(state, conditions, now)
        case VersionPhase.BAKING if _is_bake_over(state, conditions, now):
            return VersionStep(VersionPhase.FINISHED, state.step, "bake time is over")
    return None


def _is_bake_over(
    state: VersionMoveState, conditions: VersionConditions, now: datetime
) -> bool:
    # DOUBT delays the end; if it lasts until finish_by, the move is rolled back.
    over = _elapsed(state, now) >= state.spec.bake_time
    return over and conditions.verdict is Verdict.CLEAR


def _decide_share(
    state: VersionMoveState, conditions: VersionConditions, now: datetime
) -> VersionStep | None:
    spec = state.spec
    if conditions.verdict is not Verdict.CLEAR:
        return None
    if conditions.step_requests < spec.step_requests_min:
        return None
    if _elapsed(state, now) < _step_duration(state):
        return None
    if state.step + 1 == len(spec.steps):
        return VersionStep(VersionPhase.BAKING, state.step, "all steps are taken")
    next_step = state.step + 1
    if conditions.warm_share < spec.steps[next_step]:
        return None
    return VersionStep(VersionPhase.STEPPING, next_step, "no fault in this step")


def _step_duration(state: VersionMoveState) -> timedelta:
    """Return the duration of the current step, an equal part of the time left."""
    spec = state.spec
    since = state.since or spec.start
    planned_end = spec.start + (spec.bake_by - spec.start) * spec.pace
    steps_left = len(spec.steps) - state.step
    return max(spec.step_time_min, (planned_end - since) / steps_left)


def _elapsed(state: VersionMoveState, now: datetime) -> timedelta:
    return now - (state.since or state.spec.start)
