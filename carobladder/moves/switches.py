"""Order in which the targets of a model switch versions during a move."""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta
from enum import StrEnum

import xxhash

from carobladder.moves.versions import (
    VersionConditions,
    VersionMoveState,
    VersionPhase,
    count_needed_targets,
    count_wanted_targets,
)
from carobladder.placement.rendezvous import rank_members

__all__ = [
    "SwitchAction",
    "TargetView",
    "VersionSwitch",
    "list_eligible",
    "plan_switches",
    "summarise_new_version",
]

# Longest time for which instances send requests to a leaving target because they have
# not yet applied its change to leaving.
PROPAGATION_TIME = timedelta(seconds=3)
# At most one in this many targets is out of service for a switch at a time.
_TARGETS_PER_SWITCH = 4


class SwitchAction(StrEnum):
    """Next action of a driver on a target."""

    LEAVE = "leave"
    LOAD = "load"
    JOIN = "join"


@dataclass(frozen=True, slots=True)
class VersionSwitch:
    """Next action in switching a target to a version."""

    target_id: str
    action: SwitchAction
    version: str


@dataclass(frozen=True, slots=True)
class TargetView:
    """Declaration of a target joined with its newest load report.

    ``by_driver`` is true if a driver made the last change of the declaration, at
    ``changed_at``. ``reported_version`` is None without a report. ``bearable`` is the
    load that the target can accept, ``load`` its current load, both in slots, and
    ``in_flight`` its number of requests.
    """

    target_id: str
    version: str
    pool: str = ""
    leaving: bool = False
    by_driver: bool = False
    revision: int = 0
    changed_at: datetime | None = None
    reported_version: str | None = None
    ready: bool = False
    in_flight: int = 0
    bearable: int = 0
    load: int = 0


def list_eligible(
    state: VersionMoveState, targets: Sequence[TargetView]
) -> list[TargetView]:
    """Return the targets that the move may change.

    Excluded are targets that an operator has taken out of service and, after the end
    of the move, targets that an operator has changed since.
    """
    return [
        target
        for target in targets
        if target.by_driver
        or not (target.leaving or (state.ended and target.revision > state.revision))
    ]


def plan_switches(
    state: VersionMoveState, targets: Sequence[TargetView], now: datetime
) -> list[VersionSwitch]:
    """Return the next actions so that each version gets its number of targets.

    A target first leaves service, loads the version once it is idle, and joins again
    when it reports the version. Only a few targets do so at a time.
    """
    eligible = list_eligible(state, targets)
    chosen = _choose_new_targets(state, eligible)
    remaining_switches = max(1, len(eligible) // _TARGETS_PER_SWITCH)
    remaining_switches -= sum(target.leaving for target in eligible)
    switches = []
    for target in sorted(eligible, key=lambda target: target.target_id):
        new = target.target_id in chosen
        version = state.spec.new_version if new else state.spec.old_version
        action = _next_action(target, version, now)
        if action is SwitchAction.LEAVE:
            remaining_switches -= 1
            if remaining_switches < 0:
                continue
        if action is not None:
            switches.append(VersionSwitch(target.target_id, action, version))
    return switches


def _choose_new_targets(
    state: VersionMoveState, eligible: Sequence[TargetView]
) -> frozenset[str]:
    """Choose the targets for the new version, with as few changes as possible."""
    new = state.spec.new_version
    key = xxhash.xxh3_64_intdigest(state.move_id.encode())
    ranked = rank_members(key, [target.target_id for target in eligible])
    position = {target_id: number for number, target_id in enumerate(ranked)}

    def sort_key(target: TargetView) -> tuple[bool, bool, bool, int]:
        return (
            target.version != new,
            not (target.leaving and target.reported_version == new),
            not target.leaving,
            position[target.target_id],
        )

    count = count_wanted_targets(state, len(eligible))
    return frozenset(t.target_id for t in sorted(eligible, key=sort_key)[:count])


def _next_action(
    target: TargetView, version: str, now: datetime
) -> SwitchAction | None:
    if target.reported_version is None:
        return None
    is_loaded = target.reported_version == version
    if not target.leaving:
        # A restart may have reverted the target to its initial version.
        correct = target.version == version and is_loaded
        return None if correct or not target.ready else SwitchAction.LEAVE
    if is_loaded:
        return SwitchAction.JOIN if target.ready else None
    propagated = (
        target.changed_at is None or now - target.changed_at >= PROPAGATION_TIME
    )
    idle = propagated and target.ready and target.in_flight == 0
    return SwitchAction.LOAD if idle else None


def summarise_new_version(
    state: VersionMoveState, targets: Sequence[TargetView]
) -> VersionConditions:
    """Return the conditions that follow from the targets; the rest have their defaults.

    The new version is warm enough for the next step once enough targets serve it and
    can accept, within their cold limits, that step's share of the current load.
    """
    spec = state.spec
    eligible = list_eligible(state, targets)
    serving = [t for t in eligible if _serves(t, spec.new_version)]
    next_share = spec.steps[0]
    if state.phase is VersionPhase.STEPPING:
        next_share = spec.steps[min(state.step + 1, len(spec.steps) - 1)]
    enough = len(serving) >= count_needed_targets(next_share, len(eligible))
    load = sum(target.load for target in targets)
    load_fits = sum(target.bearable for target in serving) >= next_share * load
    first_step_loaded = bool(serving) and len(serving) >= count_needed_targets(
        spec.steps[0], len(eligible)
    )
    return VersionConditions(
        loaded_share=float(first_step_loaded),
        warm_share=float(first_step_loaded and enough and load_fits),
        new_in_flight=sum(
            target.in_flight
            for target in targets
            if spec.new_version in (target.version, target.reported_version)
        ),
    )


def _serves(target: TargetView, version: str) -> bool:
    return (
        target.version == version
        and target.reported_version == version
        and target.ready
        and not target.leaving
    )
