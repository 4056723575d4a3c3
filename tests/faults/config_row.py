"""I10 over the log: accepted configuration is in force everywhere and stays."""

import random
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager

from carobladder.resources import Catalog
from tests.faults.cells import Injection, Row, Run
from tests.resources.simulation import (
    INSTANCES,
    NAMES,
    Simulation,
    Variant,
    Violation,
    make_schedule,
)
from tests.resources.test_schedules import (
    ForgetfulReader,
    GapReader,
    HastyHistory,
    RepeatingCatalog,
    RevertingCatalog,
    UnconditionalCatalog,
)

Operation = tuple
_PREFIX = 24
_SUFFIX = 16


class SkippingCatalog(Catalog):
    """Pass over each third record, so that a change is never in force."""

    def apply(self, offset, record):
        return super().apply(offset, None if offset % 3 == 2 else record)


class KeepingCatalog(Catalog):
    """Put back the spec that a resource had before its last change."""

    def apply(self, offset, record):
        before = self.get("team", getattr(record, "name", ""))
        entry = super().apply(offset, record)
        if (
            before is not None
            and offset % 4 == 3
            and before.key in self.state.resources
        ):
            self.state.resources[before.key] = before
        return entry


_CHOSEN = Variant()


@contextmanager
def use(variant: Variant) -> Iterator[None]:
    """Run the simulations with a broken class."""
    global _CHOSEN
    previous, _CHOSEN = _CHOSEN, variant
    try:
        yield
    finally:
        _CHOSEN = previous


def run(placed: Sequence[Injection], seed: int) -> Run:
    """Run a schedule with the injections in its middle."""
    draw = random.Random(f"config-{seed}")
    simulation = Simulation(_CHOSEN)
    result = Run()
    middle = _place(placed, draw, result)
    schedule = [*make_schedule(seed)[:_PREFIX], ("outage", False)]
    schedule += [*middle, ("outage", False), ("deliver",)]
    schedule += make_schedule(seed + 1000)[:_SUFFIX]
    try:
        _drive(simulation, schedule)
    except Violation as found:
        result.violation = str(found)
    return result


def _drive(simulation: Simulation, schedule: list[Operation]) -> None:
    for name, *arguments in schedule:
        if name == "deliver":
            simulation.log.deliver()
            simulation.log.delay_appends = 0
        elif name == "delay":
            simulation.log.delay_appends = 1
        else:
            getattr(simulation, f"do_{name}")(*arguments)
        simulation.check()
    simulation.settle()


def _place(
    placed: Sequence[Injection], draw: random.Random, result: Run
) -> list[Operation]:
    """Return one change and, around it, the operations of each fault's step."""
    number = draw.randrange(INSTANCES)
    change = ("change", number, draw.choice(NAMES), "any", 0)
    others = [n for n in range(INSTANCES) if n != number]
    parts: dict[str, list[Operation]] = {
        "before-send": [],
        "append": [change],
        "after-send": [],
        "first-read": [("read", number)],
        "mid-answer": [],
        "second-read": [("read", others[0])],
        "drain": [],
        "last-read": [("read", others[1])],
    }
    for item in placed:
        actions = _ACTIONS[item.fault](draw, number)
        if item.step == "after-effect":
            parts["append"] = [(*change[:4], 2), *parts["append"][1:]]
            parts["after-send"].extend(actions)
        else:
            parts[item.step].extend(actions)
        result.injected += 1
    return [operation for part in parts.values() for operation in part]


def _race(draw: random.Random, number: int) -> list[Operation]:
    name = draw.choice(NAMES)
    racing = [("change", n, name, "expect", 0) for n in range(INSTANCES)]
    return [*racing, ("repeat", draw.randrange(3))]


def _lose(draw: random.Random, number: int) -> list[Operation]:
    return [("change", number, draw.choice(NAMES), "expect", draw.choice((1, 2)))]


def _delay(draw: random.Random, number: int) -> list[Operation]:
    late = ("change", number, draw.choice(NAMES), "expect", 0)
    return [("delay",), late, ("repeat", 0), ("read", number), ("deliver",)]


def _outage(draw: random.Random, number: int) -> list[Operation]:
    lost = ("change", number, draw.choice(NAMES), "any", 0)
    reads = [("read", n) for n in range(INSTANCES)]
    return [
        ("outage", True),
        lost,
        *reads,
        ("restart", number),
        *reads,
        ("outage", False),
    ]


def _die(draw: random.Random, number: int) -> list[Operation]:
    return [draw.choice([("restart", number), ("replace", number)])]


def _pause(draw: random.Random, number: int) -> list[Operation]:
    """Let the others go on while an instance reads nothing and the log forgets."""
    other = (number + 1) % INSTANCES
    steps: list[Operation] = []
    for _ in range(4):
        steps += [("change", other, draw.choice(NAMES), "any", 0), ("read", other)]
    return [*steps, ("wait", 1200), ("read", other), ("retain", 2)]


def _partition(draw: random.Random, number: int) -> list[Operation]:
    other = (number + 1) % INSTANCES
    change = ("change", other, draw.choice(NAMES), "any", 0)
    return [("keep", number), change, ("read", other), ("read", other), ("late", other)]


_ACTIONS: dict[str, Callable[[random.Random, int], list[Operation]]] = {
    "log-down": _outage,
    "log-slow": _delay,
    "append-answer-lost": _lose,
    "operators-race": _race,
    "instance-dies": _die,
    "instance-paused": _pause,
    "instance-partitioned": _partition,
}
_STEPS = ("before-send", "after-send", "mid-answer", "after-effect", "drain")


def _variant(**classes: type) -> Callable:
    return lambda: use(Variant(**classes))


ROW = Row(
    "I10",
    dict.fromkeys(_ACTIONS, _STEPS),
    run,
    {
        "skipped record": _variant(catalog=SkippingCatalog),
        "reverted resource": _variant(catalog=KeepingCatalog),
        "change applied again": _variant(catalog=RepeatingCatalog),
        "precondition ignored": _variant(catalog=UnconditionalCatalog),
        "older snapshot loaded": _variant(catalog=RevertingCatalog),
        "gap taken as whole": _variant(reader=GapReader),
        "ids forgotten": _variant(reader=ForgetfulReader),
        "event before all have it": _variant(history=HastyHistory),
    },
    {
        "log-down": ["event before all have it"],
        "log-slow": ["change applied again"],
        "append-answer-lost": ["change applied again"],
        "operators-race": ["precondition ignored"],
        "instance-dies": ["gap taken as whole", "ids forgotten"],
        "instance-paused": ["gap taken as whole"],
        "instance-partitioned": ["older snapshot loaded"],
    },
    variant_seeds=range(1, 13),
    seeds=range(1, 7),
)
