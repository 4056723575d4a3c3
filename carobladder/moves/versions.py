"""Version moves: a new version takes over the traffic of a model step by step."""

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
    RecordFault,
    advance_phase,
    apply_move_record,
)

__all__ = [
    "DEFAULT_STEPS",
    "FIRST_SHARE_MAX",
    "VersionMoveSpec",
    "VersionMoveState",
    "VersionPhase",
    "VersionSituation",
    "VersionStep",
    "apply_version_record",
    "decide_version_step",
    "effective_share",
    "keeps_old_version",
    "needed_targets",
    "next_version_record",
    "version_shares",
    "wanted_targets",
]


DEFAULT_STEPS = (0.0025, 0.01, 0.05, 0.2, 0.5, 0.95)
# Bounds the traffic that a bad version receives before any evidence.
FIRST_SHARE_MAX = 0.01


class VersionPhase(StrEnum):
    """Name the phases of a version move."""

    DECLARED = "declared"
    LOADING = "loading"
    WARMING = "warming"
    STEPPING = "stepping"
    BAKING = "baking"
    FINISHED = "finished"
    TAKING_BACK = "taking-back"
    TAKEN_BACK = "taken-back"
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
_ENDED = frozenset({VersionPhase.FINISHED, VersionPhase.TAKEN_BACK})
_FORWARD = {
    VersionPhase.DECLARED: {VersionPhase.LOADING},
    VersionPhase.LOADING: {VersionPhase.WARMING},
    VersionPhase.WARMING: {VersionPhase.STEPPING},
    VersionPhase.STEPPING: {VersionPhase.STEPPING, VersionPhase.BAKING},
    VersionPhase.BAKING: {VersionPhase.FINISHED},
    VersionPhase.TAKING_BACK: {VersionPhase.TAKEN_BACK},
}


@dataclass(frozen=True, slots=True)
class VersionMoveSpec:
    """Declare a version move.

    ``steps`` are the growing shares of the new version. The last one stays below 1
    until the bake time is over, so that the old version gives evidence of the same
    period. ``first_share_max`` caps the first step. ``step_requests_min`` is the
    number of requests that the new version must have served in a step.
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
    # Part of the time for the steps that the plan uses; the rest is for pauses.
    pace: float = 0.8
    drain_time: timedelta = timedelta(seconds=60)

    def __post_init__(self) -> None:
        ordered = list(self.steps) == sorted(set(self.steps))
        if not self.steps or not ordered or not self.steps[0] > 0:
            raise MoveError("steps must grow; declare shares such as 0.005, 0.1, 0.95")
        if self.steps[0] > self.first_share_max:
            raise MoveError(
                f"first step {self.steps[0]} exceeds {self.first_share_max}; lower it"
            )
        if self.steps[-1] >= 1:
            raise MoveError(
                "last step must stay below 1 to compare while baking; use 0.95"
            )
        needed = self.step_time_min * len(self.steps) + self.bake_time
        if self.start + needed > self.finish_by:
            raise MoveError(
                f"finish_by leaves less than {needed}; declare a later time"
            )

    @property
    def bake_by(self) -> datetime:
        """Return the latest time at which baking can start."""
        return self.finish_by - self.bake_time


@dataclass(frozen=True, slots=True)
class VersionMoveState:
    """Hold the state that all instances derive from the records.

    ``since`` is when the phase or step began. ``held_phase`` is the phase to go on
    from after a hold.
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
        """Return the id of the move."""
        return self.spec.move_id

    @property
    def ended(self) -> bool:
        """Tell whether the share of the new version changes no more."""
        return self.phase in _ENDED


@dataclass(frozen=True, slots=True)
class VersionSituation:
    """State what the driver sees now.

    ``loaded_share`` and ``warm_share`` are the parts of the traffic that the loaded
    and the warm targets of the new version can bear. ``step_requests`` counts the
    requests of the new version since the step began. ``intent`` is what operators
    ask for.
    """

    verdict: Verdict = Verdict.CLEAR
    loaded_share: float = 0.0
    warm_share: float = 0.0
    step_requests: int = 0
    new_in_flight: int = 0
    intent: Intent = Intent.RUN


@dataclass(frozen=True, slots=True)
class VersionStep:
    """Name the change that the driver should append."""

    phase: VersionPhase
    step: int
    reason: str


def apply_version_record(
    state: VersionMoveState, record: MoveRecord, offset: int
) -> Result[VersionMoveState, RecordFault]:
    """Return the state after a record, or why the record has no effect."""
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
    if phase is VersionPhase.TAKING_BACK:
        return state.phase in _ACTIVE or state.phase is VersionPhase.HELD
    if phase is VersionPhase.HELD:
        return state.phase in _ACTIVE and step == state.step
    if state.phase is VersionPhase.HELD:
        return phase is state.held_phase and step == state.step
    if phase not in _FORWARD.get(state.phase, set()):
        return False
    return step == state.step + _step_growth(state.phase, phase)


def _step_growth(before: VersionPhase, after: VersionPhase) -> int:
    return int(before is after is VersionPhase.STEPPING)


def next_version_record(
    state: VersionMoveState, step: VersionStep, change_id: str, at: datetime
) -> MoveRecord:
    """Return the record that makes a decided change."""
    return MoveRecord(
        state.move_id, change_id, state.revision, step.phase, at, step.step, step.reason
    )


def version_shares(state: VersionMoveState) -> dict[str, float]:
    """Return the declared share of each version, the new one first."""
    share = _declared_share(state)
    return {state.spec.new_version: share, state.spec.old_version: 1.0 - share}


def effective_share(state: VersionMoveState, verdict: Verdict) -> float:
    """Return the share that an instance uses for the new version.

    An instance whose merged evidence shows a fault stops using the new version at
    once, also while the log is down and the move cannot be taken back.
    """
    declared = _declared_share(state)
    if verdict is Verdict.FAULT and state.phase not in _ENDED:
        return 0.0
    return declared


def needed_targets(share: float, total: int) -> int:
    """Return how many targets of a model a share of the new version takes.

    One target at least stays on each version until the move has finished.
    """
    return min(max(1, math.ceil(share * total - 1e-9)), max(total - 1, 0))


def wanted_targets(state: VersionMoveState, total: int) -> int:
    """Return how many of the targets should have the new version now.

    Those of the following step are prepared while the present one lasts.
    """
    phase = state.held_phase if state.phase is VersionPhase.HELD else state.phase
    steps = state.spec.steps
    match phase:
        case VersionPhase.LOADING | VersionPhase.WARMING:
            return needed_targets(steps[0], total)
        case VersionPhase.STEPPING | VersionPhase.BAKING:
            following = min(state.step + 1, len(steps) - 1)
            return needed_targets(steps[following], total)
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
    """Return whether the targets of the old version must stay warm."""
    return state.phase is not VersionPhase.FINISHED


def decide_version_step(
    state: VersionMoveState, situation: VersionSituation, now: datetime
) -> VersionStep | None:
    """Return the next change, or None to stay.

    A fault or a missed time takes the move back from every phase, held or not.
    """
    if state.phase in _ENDED:
        return None
    if state.phase is VersionPhase.TAKING_BACK:
        return _decide_taken_back(state, situation, now)
    back = _decide_taking_back(state, situation, now)
    if back is not None:
        return back
    if state.phase is VersionPhase.HELD:
        return _decide_resume(state, situation)
    if situation.intent is Intent.PAUSE:
        return VersionStep(VersionPhase.HELD, state.step, PAUSED_REASON)
    return _decide_forward(state, situation, now)


def _decide_resume(
    state: VersionMoveState, situation: VersionSituation
) -> VersionStep | None:
    """Go on from a pause; another hold goes on only by a record of its cause."""
    paused = state.reason == PAUSED_REASON
    if state.held_phase is None or not paused or situation.intent is Intent.PAUSE:
        return None
    return VersionStep(state.held_phase, state.step, "resumed by an operator")


def _decide_taken_back(
    state: VersionMoveState, situation: VersionSituation, now: datetime
) -> VersionStep | None:
    drained = situation.new_in_flight == 0
    if not drained and _elapsed(state, now) < state.spec.drain_time:
        return None
    return VersionStep(VersionPhase.TAKEN_BACK, state.step, state.reason)


def _decide_taking_back(
    state: VersionMoveState, situation: VersionSituation, now: datetime
) -> VersionStep | None:
    spec = state.spec
    phase = state.held_phase if state.phase is VersionPhase.HELD else state.phase
    reason = ""
    if situation.verdict is Verdict.FAULT:
        reason = "evidence shows a fault of the new version"
    elif situation.intent is Intent.BACK:
        reason = "taken back by an operator"
    elif phase is not VersionPhase.BAKING and now > spec.bake_by:
        reason = "too late to finish the bake time by finish_by"
    elif now > spec.finish_by:
        reason = "finish_by has passed"
    return VersionStep(VersionPhase.TAKING_BACK, state.step, reason) if reason else None


def _decide_forward(
    state: VersionMoveState, situation: VersionSituation, now: datetime
) -> VersionStep | None:
    spec = state.spec
    first_share = spec.steps[0]
    match state.phase:
        case VersionPhase.DECLARED if now >= spec.start:
            return VersionStep(VersionPhase.LOADING, 0, "start time reached")
        case VersionPhase.LOADING if situation.loaded_share >= first_share:
            return VersionStep(VersionPhase.WARMING, 0, "targets have loaded")
        case VersionPhase.WARMING if situation.warm_share >= first_share:
            return VersionStep(VersionPhase.STEPPING, 0, "targets are warm")
        case VersionPhase.STEPPING:
            return _decide_share(state, situation, now)
        case VersionPhase.BAKING if _bake_is_over(state, situation, now):
            return VersionStep(VersionPhase.FINISHED, state.step, "bake time is over")
    return None


def _bake_is_over(
    state: VersionMoveState, situation: VersionSituation, now: datetime
) -> bool:
    # Doubt delays the end until finish_by, when the move is finished or taken back.
    over = _elapsed(state, now) >= state.spec.bake_time
    return over and situation.verdict is Verdict.CLEAR


def _decide_share(
    state: VersionMoveState, situation: VersionSituation, now: datetime
) -> VersionStep | None:
    spec = state.spec
    if situation.verdict is not Verdict.CLEAR:
        return None
    if situation.step_requests < spec.step_requests_min:
        return None
    if _elapsed(state, now) < _dwell_time(state):
        return None
    if state.step + 1 == len(spec.steps):
        return VersionStep(VersionPhase.BAKING, state.step, "all steps are taken")
    following = state.step + 1
    if situation.warm_share < spec.steps[following]:
        return None
    return VersionStep(VersionPhase.STEPPING, following, "no fault in this step")


def _dwell_time(state: VersionMoveState) -> timedelta:
    """Return how long the present step lasts: an even part of the time left."""
    spec = state.spec
    since = state.since or spec.start
    planned_end = spec.start + (spec.bake_by - spec.start) * spec.pace
    steps_left = len(spec.steps) - state.step
    return max(spec.step_time_min, (planned_end - since) / steps_left)


def _elapsed(state: VersionMoveState, now: datetime) -> timedelta:
    return now - (state.since or state.spec.start)
