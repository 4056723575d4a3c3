"""Run of one cell: the real code must hold and a broken variant must be caught."""

import random
from collections.abc import Callable, Mapping, Sequence
from contextlib import AbstractContextManager
from dataclasses import dataclass, field

from tests.faults.columns import ONLY_STEPS, STEPS, Column, find_impossible

SEEDS = (1, 2)
UNEXPECTED = "unexpected error"


@dataclass(frozen=True, slots=True)
class Injection:
    """Place one fault at a step."""

    fault: str
    step: str


@dataclass(slots=True)
class Run:
    """Tell what a run showed and how many of its injections took place."""

    violation: str = ""
    injected: int = 0


Variant = Callable[[], AbstractContextManager[None]]


@dataclass(frozen=True, slots=True)
class Row:
    """Run one invariant under injections.

    ``steps`` gives the steps at which the row can inject each fault; ``variants``
    are the broken decisions by name, most specific first.
    """

    row_id: str
    steps: Mapping[str, Sequence[str]]
    run: Callable[[Sequence[Injection], int], Run]
    variants: Mapping[str, Variant]
    specific: Mapping[str, Sequence[str]] = field(default_factory=dict)
    variant_seeds: Sequence[int] = (1, 2, 3)
    seeds: Sequence[int] = SEEDS

    def choose_variants(self, column: Column) -> list[str]:
        """Return the variants to try, those specific to the faults first."""
        first = [
            name for fault in column.faults for name in self.specific.get(fault, ())
        ]
        return list(dict.fromkeys([*first, *self.variants]))


@dataclass(frozen=True, slots=True)
class Verdict:
    """State the outcome of a cell: held, failed, untested or impossible."""

    row_id: str
    column: Column
    outcome: str
    detail: str = ""


def place_faults(row: Row, column: Column, seed: int) -> list[Injection] | None:
    """Return the injections of a column under a seed, or None if not possible."""
    if column.kind != "pair":
        if column.step not in row.steps.get(column.faults[0], ()):
            return None
        times = 2 if column.kind == "twice" else 1
        return [Injection(column.faults[0], column.step)] * times
    draw = random.Random(f"{row.row_id}-{column.name}-{seed}")
    placed = []
    for fault in column.faults:
        allowed = ONLY_STEPS.get(fault, STEPS)
        steps = [step for step in row.steps.get(fault, ()) if step in allowed]
        if not steps:
            return None
        placed.append(Injection(fault, draw.choice(steps)))
    return placed


def run_cell(row: Row, column: Column) -> Verdict:
    """Run the real code under each seed, then look for a variant that fails."""
    reason = find_impossible(column)
    if reason:
        return Verdict(row.row_id, column, "impossible", reason)
    for seed in row.seeds:
        placed = place_faults(row, column, seed)
        if placed is None:
            return Verdict(row.row_id, column, "untested", "no simulation of it")
        result = _run_once(row, placed, seed)
        steps = ", ".join(f"{item.fault} @ {item.step}" for item in placed)
        if result.violation:
            detail = f"seed {seed} ({steps}): {result.violation}"
            return Verdict(row.row_id, column, "failed", detail)
        if result.injected < len(placed):
            detail = f"seed {seed} ({steps}): the run did not reach the step"
            return Verdict(row.row_id, column, "untested", detail)
    return _try_variants(row, column)


def _run_once(row: Row, placed: Sequence[Injection], seed: int) -> Run:
    try:
        return row.run(placed, seed)
    except Exception as error:
        return Run(f"{UNEXPECTED}: {type(error).__name__} {error}")


def _try_variants(row: Row, column: Column) -> Verdict:
    for name in row.choose_variants(column):
        for seed in row.variant_seeds:
            placed = place_faults(row, column, seed) or []
            with row.variants[name]():
                result = _run_once(row, placed, seed)
            # An exception ends the run before the check can judge it.
            if result.violation and not result.violation.startswith(UNEXPECTED):
                detail = f"{name}, seed {seed}: {result.violation}"
                return Verdict(row.row_id, column, "held", detail)
    return Verdict(row.row_id, column, "failed", "no broken variant was caught")
