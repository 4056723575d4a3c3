"""Order in which the targets of a model change their version during a move."""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta
from enum import StrEnum

import xxhash

from carobladder.moves.versions import (
    VersionMoveState,
    VersionPhase,
    VersionSituation,
    needed_targets,
    wanted_targets,
)
from carobladder.placement.rendezvous import rank_members

__all__ = [
    "Switch",
    "SwitchAction",
    "TargetView",
    "describe_arms",
    "list_eligible",
    "plan_switches",
]

# Instances that have not yet applied the leave may send work for this long.
NOTICE_TIME = timedelta(seconds=3)
# One of this many targets may be out of service for its switch at a time.
_TARGETS_FOR_SWITCH = 4


class SwitchAction(StrEnum):
    """Name what a driver does next with a target."""

    LEAVE = "leave"
    LOAD = "load"
    JOIN = "join"


@dataclass(frozen=True, slots=True)
class Switch:
    """Tell a driver to bring a target closer to a version."""

    target_id: str
    action: SwitchAction
    version: str


@dataclass(frozen=True, slots=True)
class TargetView:
    """Join what is declared of a target with its newest load report.

    ``by_driver`` is true if a driver made the last change of the declaration, at
    ``changed_at``. ``reported_version`` is None without a report. ``bearable`` and
    ``load`` are in slots, ``in_flight`` in requests.
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

    One that an operator takes out of service is the operator's, and after the end
    of the move also one that an operator changed since.
    """
    return [
        target
        for target in targets
        if target.by_driver
        or not (target.leaving or (state.ended and target.revision > state.revision))
    ]


def plan_switches(
    state: VersionMoveState, targets: Sequence[TargetView], now: datetime
) -> list[Switch]:
    """Return what to do next so that each version has its targets.

    A target first leaves service, loads the version once it is idle, and joins
    again when it reports the version. Few do so at a time.
    """
    eligible = list_eligible(state, targets)
    chosen = _choose_new(state, eligible)
    room = max(1, len(eligible) // _TARGETS_FOR_SWITCH)
    room -= sum(target.leaving for target in eligible)
    switches = []
    for target in sorted(eligible, key=lambda target: target.target_id):
        new = target.target_id in chosen
        version = state.spec.new_version if new else state.spec.old_version
        action = _next_action(target, version, now)
        if action is SwitchAction.LEAVE:
            room -= 1
            if room < 0:
                continue
        if action is not None:
            switches.append(Switch(target.target_id, action, version))
    return switches


def _choose_new(
    state: VersionMoveState, eligible: Sequence[TargetView]
) -> frozenset[str]:
    """Return the targets that should have the new version, the fewest changes first."""
    new = state.spec.new_version
    key = xxhash.xxh3_64_intdigest(state.move_id.encode())
    ranked = rank_members(key, [target.target_id for target in eligible])
    place = {target_id: number for number, target_id in enumerate(ranked)}

    def order(target: TargetView) -> tuple[bool, bool, bool, int]:
        return (
            target.version != new,
            not (target.leaving and target.reported_version == new),
            not target.leaving,
            place[target.target_id],
        )

    count = wanted_targets(state, len(eligible))
    return frozenset(t.target_id for t in sorted(eligible, key=order)[:count])


def _next_action(
    target: TargetView, version: str, now: datetime
) -> SwitchAction | None:
    if target.reported_version is None:
        return None
    has_version = target.reported_version == version
    if not target.leaving:
        # A target that restarted may have fallen back to its first version.
        right = target.version == version and has_version
        return None if right or not target.ready else SwitchAction.LEAVE
    if has_version:
        return SwitchAction.JOIN if target.ready else None
    noticed = target.changed_at is None or now - target.changed_at >= NOTICE_TIME
    idle = noticed and target.ready and target.in_flight == 0
    return SwitchAction.LOAD if idle else None


def describe_arms(
    state: VersionMoveState, targets: Sequence[TargetView]
) -> VersionSituation:
    """Return what the targets tell of the move; the rest is left to the caller.

    The following step is borne once enough targets have the new version and these
    bear, cold as they may be, its share of the present load.
    """
    spec = state.spec
    eligible = list_eligible(state, targets)
    serving = [t for t in eligible if _serves(t, spec.new_version)]
    following = spec.steps[0]
    if state.phase is VersionPhase.STEPPING:
        following = spec.steps[min(state.step + 1, len(spec.steps) - 1)]
    enough = len(serving) >= needed_targets(following, len(eligible))
    load = sum(target.load for target in targets)
    bears = sum(target.bearable for target in serving) >= following * load
    loaded = bool(serving) and len(serving) >= needed_targets(
        spec.steps[0], len(eligible)
    )
    return VersionSituation(
        loaded_share=float(loaded),
        warm_share=float(loaded and enough and bears),
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
