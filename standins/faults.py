"""Fault rules that a test posts, and the decision whether one fires."""

import random
from typing import Any, Literal

from pydantic import BaseModel, ConfigDict, Field

__all__ = ["FaultInjector", "FaultRule", "FaultSet"]

CommonKind = Literal["close", "refuse", "slow", "hang", "lose_answer", "slow_answer"]


class FaultRule(BaseModel):
    """Describe one fault and the requests that it applies to.

    ``after`` skips the first matching requests; ``count`` ends the rule after it
    has fired that often; ``share`` is the fraction of matches that it fires on.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    kind: CommonKind
    method: str | None = None
    path: str | None = Field(default=None, description="Prefix of the path.")
    share: float = Field(default=1.0, ge=0, le=1)
    after: int = Field(default=0, ge=0)
    count: int | None = Field(default=None, ge=1)
    seconds: float = Field(default=0.0, ge=0, le=3600)
    status: int = Field(default=503, ge=400, le=599)

    def matches(self, facts: dict[str, Any]) -> bool:
        """Tell whether the rule applies to a request with these facts."""
        if self.method is not None and facts.get("method") != self.method:
            return False
        return self.path is None or str(facts.get("path")).startswith(self.path)


class FaultSet(BaseModel):
    """Replace all rules of a stand-in; an empty body removes them."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    seed: int = 1
    rules: tuple[FaultRule, ...] = ()


class FaultInjector:
    """Pick the rule that fires for a request, by a seeded generator."""

    def __init__(self) -> None:
        self.load(FaultSet())

    def load(self, faults: FaultSet) -> None:
        """Replace the rules and restart the generator and the counters."""
        self._rules: tuple[Any, ...] = faults.rules
        self._random = random.Random(faults.seed)
        self._matched = [0] * len(self._rules)
        self.fired = [0] * len(self._rules)

    def pick(self, kind: str, facts: dict[str, Any]) -> Any | None:
        """Return the first rule of the kind that fires, and count it."""
        for index, rule in enumerate(self._rules):
            if rule.kind == kind and rule.matches(facts) and self._fires(index):
                return rule
        return None

    def _fires(self, index: int) -> bool:
        rule = self._rules[index]
        self._matched[index] += 1
        if self._matched[index] <= rule.after:
            return False
        if rule.count is not None and self.fired[index] >= rule.count:
            return False
        if rule.share < 1 and self._random.random() >= rule.share:
            return False
        self.fired[index] += 1
        return True

    def describe(self) -> list[dict[str, Any]]:
        """Return the rules with the number of times that each fired."""
        return [
            {**rule.model_dump(), "fired": fired}
            for rule, fired in zip(self._rules, self.fired, strict=True)
        ]
