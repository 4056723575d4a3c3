"""Records by which a move changes its state, and the rule for applying them."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import datetime
from enum import StrEnum
from typing import Any, Protocol, TypeVar

from returns.result import Failure, Result, Success

from carobladder.exceptions import CarobladderError

__all__ = [
    "Intent",
    "MoveError",
    "MoveRecord",
    "Phased",
    "RecordFault",
    "Revisioned",
    "advance_phase",
    "apply_move_record",
]


# Reason of a hold that ends as soon as the operator asks to run again.
PAUSED_REASON = "paused by an operator"
# Value of the phase that both kinds of moves hold in.
HELD_PHASE = "held"


class Intent(StrEnum):
    """Name what operators ask the driver of a move to do."""

    RUN = "run"
    PAUSE = "pause"
    BACK = "back"


class MoveError(CarobladderError):
    """Report a move record or declaration that cannot be used."""


class RecordFault(StrEnum):
    """Name why a record was not applied."""

    OTHER_MOVE = "other_move"
    REVISION_CONFLICT = "revision_conflict"
    FORBIDDEN_TRANSITION = "forbidden_transition"
    ALREADY_APPLIED = "already_applied"


@dataclass(frozen=True, slots=True)
class MoveRecord:
    """Change the phase or step of a move.

    ``expected_revision`` is the log offset of the change before. ``change_id``
    names the change, so that a writer that lost the answer of its append finds it.
    The form in the log is ``MoveStep`` of ``carobladder.resources``.
    """

    move_id: str
    change_id: str
    expected_revision: int
    phase: str
    at: datetime
    step: int = 0
    reason: str = ""


class Revisioned(Protocol):
    """Describe what applying a record needs to know of a state."""

    @property
    def move_id(self) -> str:
        """Return the id of the move."""

    @property
    def revision(self) -> int:
        """Return the log offset of the last change applied."""

    @property
    def change_id(self) -> str:
        """Return the id of the last change applied."""


class Phased(Protocol):
    """Describe what advancing a phase needs to know of a state."""

    @property
    def phase(self) -> StrEnum:
        """Return the phase of the move."""

    @property
    def held_phase(self) -> StrEnum | None:
        """Return the phase to go on from after a hold, if it is held."""

    @property
    def since(self) -> datetime | None:
        """Return when the phase or step began."""


State = TypeVar("State", bound=Revisioned)
PhasedState = TypeVar("PhasedState", bound=Phased)


@dataclass(frozen=True, slots=True)
class _Check:
    """Pair a condition with the fault that it reports."""

    failed: bool
    fault: RecordFault


def apply_move_record(
    state: State,
    record: MoveRecord,
    offset: int,
    advance: Callable[[State, MoveRecord, int], State | None],
) -> Result[State, RecordFault]:
    """Return the state after a record, or why the record has no effect.

    Every instance applies the records in offset order, so all of them accept the
    same one of several that expect the same revision. ``advance`` returns None for
    a transition that the aggregate forbids.
    """
    checks = (
        _Check(record.move_id != state.move_id, RecordFault.OTHER_MOVE),
        _Check(record.change_id == state.change_id, RecordFault.ALREADY_APPLIED),
        _Check(
            record.expected_revision != state.revision, RecordFault.REVISION_CONFLICT
        ),
    )
    for check in checks:
        if check.failed:
            return Failure(check.fault)
    changed = advance(state, record, offset)
    if changed is None:
        return Failure(RecordFault.FORBIDDEN_TRANSITION)
    return Success(changed)


def advance_phase(
    state: PhasedState, phase: StrEnum, record: MoveRecord, offset: int
) -> PhasedState:
    """Return the state in an allowed phase, keeping what a hold must not lose.

    A hold remembers the phase to go on from, and the time of the step goes on
    during it, because the share of the step stays in force.
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
