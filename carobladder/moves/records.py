"""Log records that change the state of a move, and the rules for applying them."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import datetime
from enum import StrEnum
from typing import Any, Protocol, TypeVar

from returns.result import Failure, Result, Success

from carobladder.exceptions import CarobladderError

__all__ = [
    "DecidedStep",
    "HasPhase",
    "HasRevision",
    "Intent",
    "MoveError",
    "MoveRecord",
    "RecordRejection",
    "advance_phase",
    "apply_move_record",
    "build_step_record",
]


# Reason of a hold that ends as soon as the operator requests to run again.
PAUSED_REASON = "paused by an operator"
# Value of the phase of a held move, the same for both kinds of moves.
HELD_PHASE = "held"


class Intent(StrEnum):
    """What operators request of the driver of a move."""

    RUN = "run"
    PAUSE = "pause"
    ROLL_BACK = "back"


class MoveError(CarobladderError):
    """Invalid move record or declaration."""


class RecordRejection(StrEnum):
    """Reason why a record was not applied."""

    OTHER_MOVE = "other_move"
    REVISION_CONFLICT = "revision_conflict"
    FORBIDDEN_TRANSITION = "forbidden_transition"
    ALREADY_APPLIED = "already_applied"


@dataclass(frozen=True, slots=True)
class MoveRecord:
    """Log record that changes the phase or step of a move.

    ``expected_revision`` is the log offset of the previous change. ``change_id``
    identifies the change, so that a writer can find it if the answer to its append
    was lost. In the log, the record is a ``carobladder.resources.MoveStep``.
    """

    move_id: str
    change_id: str
    expected_revision: int
    phase: str
    at: datetime
    step: int = 0
    reason: str = ""


class HasRevision(Protocol):
    """Attributes of a state that applying a record needs."""

    @property
    def move_id(self) -> str:
        """Id of the move."""

    @property
    def revision(self) -> int:
        """Log offset of the last change applied."""

    @property
    def change_id(self) -> str:
        """Id of the last change applied."""


class HasPhase(Protocol):
    """Attributes of a state that advancing its phase needs."""

    @property
    def phase(self) -> StrEnum:
        """Phase of the move."""

    @property
    def held_phase(self) -> StrEnum | None:
        """Phase to resume after a hold, None if the move is not held."""

    @property
    def since(self) -> datetime | None:
        """Time at which the phase or step began."""


class DecidedStep(Protocol):
    """Attributes of a decided change of the phase or step of a move."""

    @property
    def phase(self) -> StrEnum:
        """Next phase of the move."""

    @property
    def step(self) -> int:
        """Next step within the phase."""

    @property
    def reason(self) -> str:
        """Reason of the change, for operators."""


State = TypeVar("State", bound=HasRevision)
PhasedState = TypeVar("PhasedState", bound=HasPhase)


@dataclass(frozen=True, slots=True)
class _Check:
    """Condition for rejecting a record, and the reason that it reports."""

    failed: bool
    fault: RecordRejection


def apply_move_record(
    state: State,
    record: MoveRecord,
    offset: int,
    advance: Callable[[State, MoveRecord, int], State | None],
) -> Result[State, RecordRejection]:
    """Return the state after a record, or why the record is rejected.

    Every instance applies the records in offset order, so of several records that
    expect the same revision all instances accept the same one. ``advance`` returns
    the state after the record, or None for a forbidden transition.
    """
    checks = (
        _Check(record.move_id != state.move_id, RecordRejection.OTHER_MOVE),
        _Check(record.change_id == state.change_id, RecordRejection.ALREADY_APPLIED),
        _Check(
            record.expected_revision != state.revision,
            RecordRejection.REVISION_CONFLICT,
        ),
    )
    for check in checks:
        if check.failed:
            return Failure(check.fault)
    changed = advance(state, record, offset)
    if changed is None:
        return Failure(RecordRejection.FORBIDDEN_TRANSITION)
    return Success(changed)


def build_step_record(
    state: HasRevision, step: DecidedStep, change_id: str, at: datetime
) -> MoveRecord:
    """Return the record of a decided change."""
    return MoveRecord(
        state.move_id, change_id, state.revision, step.phase, at, step.step, step.reason
    )


def advance_phase(
    state: PhasedState, phase: StrEnum, record: MoveRecord, offset: int
) -> PhasedState:
    """Return the state in the next phase, which must be an allowed one.

    A hold stores the phase to resume. It does not reset the start time of the step,
    because the traffic share of the step stays in effect during the hold.
    """
    holds = phase == HELD_PHASE
    resumes = state.phase == HELD_PHASE and phase == state.held_phase
    changed: Any = state
    return replace(
        changed,
        phase=phase,
        step=record.step,
        since=state.since if holds or resumes else record.at,
        revision=offset,
        change_id=record.change_id,
        reason=record.reason,
        held_phase=state.phase if holds else None,
    )
