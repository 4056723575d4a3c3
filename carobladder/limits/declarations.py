"""Declared targets and their load reports, as used by the owner."""

from dataclasses import dataclass

from carobladder.limits.warmup import DEFAULT_COLD_SLOTS
from carobladder.targets import TargetState

__all__ = ["TargetDeclaration", "TargetLoadReport"]


@dataclass(frozen=True, slots=True)
class TargetDeclaration:
    """Declared target with its configured limits.

    ``cold_slots`` is the limit of a cold target in slots. ``balanced`` applies the
    load-multiple rule. ``state.leaving`` is also true for the targets of a closed
    data centre.
    """

    state: TargetState
    cold_slots: int = DEFAULT_COLD_SLOTS
    balanced: bool = True


@dataclass(frozen=True, slots=True)
class TargetLoadReport:
    """Load report of a target, as read by a probe.

    ``bearable`` is the admissible load in slots, None if the target reports none.
    ``running`` and ``waiting`` count requests.
    """

    boot_id: str
    ready: bool
    cold: bool
    bearable: int | None = None
    running: int = 0
    waiting: int = 0
