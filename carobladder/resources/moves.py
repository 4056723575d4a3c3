"""Moves in the configuration: the rules of ``carobladder.moves`` over its records."""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from functools import singledispatch

from returns.result import Result

from carobladder.moves.datacentres import DataCentreMoveSpec as DataCentrePlan
from carobladder.moves.datacentres import (
    DataCentreMoveState,
    DataCentrePhase,
    Direction,
    apply_data_centre_record,
)
from carobladder.moves.drivers import LeaseRecord, LeaseView
from carobladder.moves.records import Intent, MoveRecord, RecordRejection
from carobladder.moves.versions import VersionMoveSpec as VersionPlan
from carobladder.moves.versions import (
    VersionMoveState,
    VersionPhase,
    apply_version_record,
    version_shares,
)
from carobladder.resources.models import (
    DataCentreMoveSpec,
    MoveSpec,
    Spec,
    VersionMoveSpec,
)
from carobladder.resources.records import ABSENT, MoveLease, MoveStep

__all__ = [
    "MoveEffect",
    "MoveProgress",
    "MoveState",
    "advance_progress",
    "describe_lease",
    "describe_state",
    "has_ended",
    "plan_effect",
    "take_lease",
]

MoveState = VersionMoveState | DataCentreMoveState


@dataclass(frozen=True, slots=True)
class MoveProgress:
    """Tell how far a move is; ``revision`` is the offset of its last change.

    ``state`` is the phase, ``since`` when the phase or step began, and
    ``held_state`` the phase to go on from after a hold. ``lease_offset`` is the
    fencing number of the driver, ABSENT before the first lease.
    """

    state: str = "declared"
    step: int = 0
    since: float = 0.0
    held_state: str = ""
    detail: str = ""
    change_id: str = ""
    revision: int = ABSENT
    driver: str = ""
    lease_id: str = ""
    lease_offset: int = ABSENT
    lease_from: float = 0.0
    lease_seconds: float = 0.0
    accepted_at: float = 0.0


@dataclass(frozen=True, slots=True)
class MoveEffect:
    """Name the resource that a step changes and the fields that it sets."""

    kind: str
    name: str
    fields: Mapping[str, object]


@singledispatch
def describe_state(spec: Spec, name: str, progress: MoveProgress) -> MoveState:
    """Return the aggregate of a move; raises MoveError for an impossible plan."""
    raise TypeError(f"{spec.kind} is not a move")


@describe_state.register
def _(spec: VersionMoveSpec, name: str, progress: MoveProgress) -> VersionMoveState:
    plan = VersionPlan(
        move_id=name,
        model=spec.model,
        old_version=spec.from_version,
        new_version=spec.to_version,
        start=spec.start or _to_time(progress.accepted_at),
        finish_by=spec.finish_by,
        steps=spec.steps,
        bake_time=timedelta(seconds=spec.bake_seconds),
        step_time_min=timedelta(seconds=spec.step_seconds),
        step_requests_min=spec.step_requests,
    )
    held = VersionPhase(progress.held_state) if progress.held_state else None
    return VersionMoveState(
        plan,
        VersionPhase(progress.state),
        progress.step,
        _to_time(progress.since),
        progress.revision,
        progress.change_id,
        progress.detail,
        held,
    )


@describe_state.register
def _(
    spec: DataCentreMoveSpec, name: str, progress: MoveProgress
) -> DataCentreMoveState:
    plan = DataCentrePlan(
        move_id=name,
        data_centre=spec.data_centre,
        window=None,
        drain_time=timedelta(seconds=spec.drain_seconds),
        refill_steps=spec.refill_steps,
        step_time=timedelta(seconds=spec.step_seconds),
        direction=Direction(spec.direction),
    )
    held = DataCentrePhase(progress.held_state) if progress.held_state else None
    return DataCentreMoveState(
        plan,
        DataCentrePhase(progress.state),
        progress.step,
        _to_time(progress.since),
        progress.revision,
        progress.change_id,
        progress.detail,
        held,
    )


@singledispatch
def has_ended(state: MoveState, intent: Intent) -> bool:
    """Tell whether no further step of a move is to come."""
    raise TypeError(f"{state!r} is not a state of a move")


@has_ended.register
def _(state: VersionMoveState, intent: Intent) -> bool:
    return state.ended


@has_ended.register
def _(state: DataCentreMoveState, intent: Intent) -> bool:
    return state.spec.has_ended(state.phase, intent)


def advance_progress(
    spec: MoveSpec, progress: MoveProgress, step: MoveStep, offset: int
) -> Result[MoveState, RecordRejection]:
    """Return the state after a step, or the rule of the aggregate that forbids it."""
    record = MoveRecord(
        move_id=step.name,
        change_id=step.change_id,
        expected_revision=step.expected_revision,
        phase=step.state,
        at=_to_time(step.at),
        step=step.step,
        reason=step.detail,
    )
    state = describe_state(spec, step.name, progress)
    if isinstance(state, VersionMoveState):
        return apply_version_record(state, record, offset)
    return apply_data_centre_record(state, record, offset)


@singledispatch
def plan_effect(state: MoveState) -> MoveEffect:
    """Return what the state of a move puts into force."""
    raise TypeError(f"{state!r} is not a state of a move")


@plan_effect.register
def _(state: VersionMoveState) -> MoveEffect:
    return MoveEffect("model", state.spec.model, {"shares": version_shares(state)})


@plan_effect.register
def _(state: DataCentreMoveState) -> MoveEffect:
    closed = state.served_share <= 0
    fields = {"state": "closed" if closed else "open"}
    return MoveEffect("data-centre", state.spec.data_centre, fields)


def describe_lease(name: str, progress: MoveProgress) -> LeaseView:
    """Return the newest accepted lease of a move."""
    return LeaseView(name, progress.driver, progress.lease_offset, progress.lease_id)


def take_lease(progress: MoveProgress, lease: MoveLease, offset: int) -> bool:
    """Tell whether a record gets the lease: the first that expects the one before."""
    record = LeaseRecord(lease.name, lease.change_id, lease.who, lease.expected_offset)
    return describe_lease(lease.name, progress).apply(record, offset).offset == offset


def _to_time(seconds: float) -> datetime:
    return datetime.fromtimestamp(seconds, UTC)
