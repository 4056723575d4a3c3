"""Load scenarios of a plain service with uneven targets, and a table of choices.

``python -m tests.fleet.uneven_scenarios [SCENARIO...]`` prints the table.
"""

import statistics
import sys
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from tests.fleet.uneven_baselines import (
    CurrentLoadChooser,
    CurrentSlownessChooser,
    LeastLoadedChooser,
    OracleChooser,
    OwnCountsChooser,
    RandomChooser,
    TwoChoicesChooser,
)
from tests.fleet.uneven_servers import ServiceShape
from tests.fleet.uneven_simulation import (
    Chooser,
    Demand,
    Exchange,
    Outcomes,
    UnevenFleet,
    Unevenness,
)

__all__ = ["CHOICES", "SCENARIOS", "Scenario", "play"]

_SLOW = 2.5
# Crest of the second wave after the warm-up.
_CREST_SECONDS = 33.75
_SECONDS = 70.0
_SEEDS = range(1, 9)


@dataclass(frozen=True)
class Scenario:
    """Options of the simulation, and what is changed before it starts."""

    options: Mapping[str, object] = field(default_factory=dict)
    prepare: Callable[[UnevenFleet], None] = lambda fleet: None


def _fix_slowness(*names: str) -> Callable[[UnevenFleet], None]:
    def prepare(fleet: UnevenFleet) -> None:
        for name in names:
            fleet.servers[name].fixed_slowness = _SLOW
            fleet.servers[name].set_slowness(_SLOW)

    return prepare


def _state(slowness: float) -> Callable[[UnevenFleet], None]:
    def prepare(fleet: UnevenFleet) -> None:
        fleet.servers["i-1"].stated_slowness = slowness

    return prepare


def _lose_target(fleet: UnevenFleet) -> None:
    def stop() -> None:
        fleet.servers["i-1"].is_down = True

    fleet.at(_CREST_SECONDS, stop)


SCENARIOS: Mapping[str, Scenario] = {
    "usual": Scenario(),
    "one in six, 0.3 to 1 s": Scenario(
        {"unevenness": Unevenness(1 / 6, _SLOW, 0.3, 1.0)}
    ),
    "one always slow": Scenario({}, _fix_slowness("i-1")),
    "slow data centre": Scenario({}, _fix_slowness("i-1", "i-2")),
    "half late or lost": Scenario({"exchange": Exchange(lost=0.25, late=0.25)}),
    "exchange silent": Scenario({"exchange": Exchange(lost=1.0)}),
    "target lost at a crest": Scenario({}, _lose_target),
    "one states 900": Scenario({}, _state(9.0)),
    "one states 100": Scenario({}, _state(1.0)),
    "service of K": Scenario(
        {
            "instances": 76,
            "shape": ServiceShape(targets=3, mean_seconds=0.045),
            "demand": Demand(per_second=94.0, swing=0.0, clump=1),
            "exchange": Exchange(readers=5),
        }
    ),
    "even": Scenario({"unevenness": Unevenness(0.0)}),
}
CHOICES: Mapping[str, Callable[[], Chooser]] = {
    "before, no stated loads": lambda: Chooser(None, uses_loads=False),
    "before": lambda: Chooser(None),
    "random": RandomChooser,
    "own counts": OwnCountsChooser,
    "least loaded": LeastLoadedChooser,
    "two choices": TwoChoicesChooser,
    "predicted": Chooser,
    "least loaded, age 0": CurrentLoadChooser,
    "slowness, age 0": CurrentSlownessChooser,
    "oracle": OracleChooser,
}


def play(
    scenario: str, choice: str, seeds: Sequence[int], seconds: float = _SECONDS
) -> Outcomes:
    """Return the outcomes of a choice over all seeds."""
    outcomes = Outcomes()
    for seed in seeds:
        options = SCENARIOS[scenario].options
        fleet = UnevenFleet(CHOICES[choice](), seed=seed, **options)
        SCENARIOS[scenario].prepare(fleet)
        outcomes.add(fleet.run(seconds))
    return outcomes


def format_row(scenario: str, choice: str, outcomes: Outcomes) -> str:
    """Return a row of a Markdown table."""
    ages, errors = outcomes.load_ages, outcomes.load_errors
    cells = (
        scenario,
        choice,
        f"{outcomes.on_time * 100:.1f}",
        f"{outcomes.refused_share * 100:.2f}",
        f"{outcomes.find_quantile(0.99) * 1000:.0f}",
        f"{outcomes.slow_share * 100:.1f}",
        f"{outcomes.crowding:.2f}",
        f"{outcomes.above_bound_share * 100:.2f}",
        f"{statistics.median(ages):.2f}" if ages else "",
        f"{statistics.pstdev(errors):.1f}" if errors else "",
    )
    return f"| {' | '.join(cells)} |"


def print_table(scenarios: Sequence[str]) -> None:
    """Print the outcomes of all choices in these scenarios."""
    for scenario in scenarios:
        for choice in CHOICES:
            outcomes = play(scenario, choice, _SEEDS)
            print(format_row(scenario, choice, outcomes), flush=True)


if __name__ == "__main__":
    print_table(sys.argv[1:] or list(SCENARIOS))
