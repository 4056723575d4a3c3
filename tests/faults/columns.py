"""Columns of the fault matrix: faults, steps, repetitions and pairs."""

import itertools
from collections.abc import Iterator
from dataclasses import dataclass

VERSION_FAULTS = {
    "version-fails-at-once": "fails at once",
    "version-fails-later": "fails later",
    "version-slow-at-once": "slow at once",
    "version-slow-later": "slow later",
    "version-bad-under-load": "only under load",
    "version-bad-on-a-route": "only on one route",
}
FAULTS = (
    "engine-joins",
    "engine-leaves",
    "engine-flaps",
    "engine-dies",
    "list-disagrees",
    "team-surge",
    "target-cold",
    *VERSION_FAULTS,
    "log-down",
    "log-slow",
    "append-answer-lost",
    "lease-lapses",
    "operators-race",
    "instance-dies",
    "instance-paused",
    "instance-partitioned",
    "answer-late",
    "answer-crossed",
    "service-answer-lost",
)
STEPS = (
    "before-send",
    "after-send",
    "mid-answer",
    "after-effect",
    "handover",
    "drain",
    "move",
)
ROWS = {
    "I1": "engine load within the multiple",
    "I2": "cold target not overloaded",
    "I3": "no work for a closed data centre",
    "I4": "bad version gets a small share",
    "I5": "whole answer to its own request",
    "I6": "not run is true",
    "I7": "booking runs at most once",
    "I8": "no work for a leaving target",
    "I9": "graceful shutdown cuts nothing",
    "I10": "accepted configuration in force",
}
# Steps at which a fault can occur at all, by what the fault is.
ONLY_STEPS = {
    "service-answer-lost": ("mid-answer", "after-effect"),
    "answer-late": ("after-send", "mid-answer", "after-effect", "drain", "move"),
    "answer-crossed": ("after-send", "mid-answer", "after-effect", "drain", "move"),
    **dict.fromkeys(VERSION_FAULTS, ("after-send", "mid-answer", "move")),
}


@dataclass(frozen=True, slots=True)
class Column:
    """Name the faults of a column; a pair has no step of its own.

    The steps of a pair are drawn from the cell's seed.
    """

    kind: str
    faults: tuple[str, ...]
    step: str = ""

    @property
    def name(self) -> str:
        """Return the printed name."""
        text = "+".join(self.faults)
        return f"{self.kind} {text}" + (f" @ {self.step}" if self.step else "")


def find_impossible(column: Column) -> str:
    """Return why the column cannot occur, or an empty text."""
    if column.step:
        allowed = ONLY_STEPS.get(column.faults[0], STEPS)
        if column.step not in allowed:
            return f"{column.faults[0]} has no answer of a target at this step"
    if column.kind == "pair" and all(
        fault in VERSION_FAULTS for fault in column.faults
    ):
        return "a move has one new version, which has one behaviour"
    return ""


def list_columns() -> Iterator[Column]:
    """Yield all columns: singly and twice at each step, then pairs."""
    for kind in ("once", "twice"):
        for fault, step in itertools.product(FAULTS, STEPS):
            yield Column(kind, (fault,), step)
    for pair in itertools.combinations(FAULTS, 2):
        yield Column("pair", pair)
