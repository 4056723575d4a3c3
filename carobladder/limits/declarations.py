"""Declared targets and their load reports as the owner uses them."""

from dataclasses import dataclass

from carobladder.limits.warmup import DEFAULT_COLD_SLOTS
from carobladder.targets import TargetState

__all__ = ["TargetDeclaration", "TargetProbe"]


@dataclass(frozen=True, slots=True)
class TargetDeclaration:
    """Describe a declared target; ``cold_slots`` is its configured cold limit.

    ``balanced`` applies the load-multiple rule; ``state.leaving`` is true as well
    for targets of a closed data centre.
    """

    state: TargetState
    cold_slots: int = DEFAULT_COLD_SLOTS
    balanced: bool = True


@dataclass(frozen=True, slots=True)
class TargetProbe:
    """Carry a target's load report; ``bearable`` is in slots, None if not stated.

    ``running`` and ``waiting`` count requests.
    """

    boot_id: str
    ready: bool
    cold: bool
    bearable: int | None = None
    running: int = 0
    waiting: int = 0
