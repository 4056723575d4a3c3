"""Faults of the model engine."""

from typing import Any, Literal

from pydantic import Field

from standins.faults import FaultRule, FaultSet

__all__ = ["EngineFaultRule", "EngineFaultSet"]


class EngineFaultRule(FaultRule):
    """Describe a fault of an engine, also of one version, route or load only.

    ``from_seconds`` starts the rule that long after it was posted.
    """

    kind: Literal[  # type: ignore[assignment]
        "close",
        "refuse",
        "slow",
        "hang",
        "lose_answer",
        "break_stream",
        "stall_stream",
        "slow_tokens",
    ]
    version: str | None = None
    priority: int | None = None
    stream: bool | None = None
    min_running: int = Field(default=0, ge=0)
    from_seconds: float = Field(default=0.0, ge=0)
    tokens: int = Field(default=1, ge=0, description="Tokens sent before the fault.")

    def matches(self, facts: dict[str, Any]) -> bool:
        """Tell whether the rule applies to a request with these facts."""
        for name in ("version", "priority", "stream"):
            wanted = getattr(self, name)
            if wanted is not None and facts.get(name) != wanted:
                return False
        if facts.get("running", 0) < self.min_running:
            return False
        if facts.get("fault_age_seconds", 0.0) < self.from_seconds:
            return False
        return super().matches(facts)


class EngineFaultSet(FaultSet):
    """Replace the rules, and make the engine cold at once without notice.

    ``restart`` breaks the running answers as a crash does; ``cool`` lets them go on.
    """

    rules: tuple[EngineFaultRule, ...] = ()
    restart: bool = False
    cool: bool = False
