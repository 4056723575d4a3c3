"""Measure cache reuse and load skew of placement against baselines.

Run as ``python -m benchmarks.placement --seeds N``.
"""

import argparse
import itertools
import statistics
from collections.abc import Iterator
from dataclasses import dataclass, replace

from benchmarks.engine_models import PREFILL_TOKENS_PER_SECOND
from benchmarks.placement_fleet import Arrival, Fleet, Outcome, Strategy
from benchmarks.placement_workload import DEPLOYMENTS, Deployment, generate_chats
from carobladder.placement.policy import (
    Placement,
    PlacementPolicy,
    PlacementRequest,
    PlacementTuning,
)
from carobladder.placement.rendezvous import rank_members
from carobladder.targets import RequestClass, TargetState

ORACLE_WAIT_FACTOR = 1.0
ORACLE_WAIT_SECONDS_MAX = 5.0
# The age from which verification refuses a token.
TOKEN_SECONDS_MAX = 3600.0


class RoundRobin:
    """Take the targets in turn, each instance for itself."""

    name = "round robin"
    limited = True
    returns_tokens = False

    def __init__(self) -> None:
        self._turn = itertools.count()

    def place(
        self, arrival: Arrival, view: list[TargetState], fleet: Fleet
    ) -> Placement:
        """Return the targets from the next one on."""
        ids = _usable(view)
        start = next(self._turn) % len(ids)
        return Placement(ids[start:] + ids[:start], 0.0)


class LeastLoaded:
    """Take the target that reported the least load, up to 10 s ago."""

    name = "least loaded, lagged"
    limited = True
    returns_tokens = False

    def place(
        self, arrival: Arrival, view: list[TargetState], fleet: Fleet
    ) -> Placement:
        """Return the targets by reported load; the chat number breaks ties."""
        tied = rank_members(arrival.chat.number + arrival.turn, _usable(view))
        return Placement(sorted(tied, key=lambda t: fleet.reported.get(t, 0)), 0.0)


class ConsistentHash:
    """Hash the chat over all ready targets."""

    returns_tokens = False

    def __init__(self, limited: bool) -> None:
        self.limited = limited
        self.name = "consistent hash" + (", load limit" if limited else "")

    def place(
        self, arrival: Arrival, view: list[TargetState], fleet: Fleet
    ) -> Placement:
        """Return the targets by the hash of the chat."""
        return Placement(rank_members(arrival.chat.number, _usable(view)), 0.0)


class Oracle:
    """Know every cache and load; wait as long as recomputing would take."""

    name = "oracle"
    limited = True
    returns_tokens = False

    def place(
        self, arrival: Arrival, view: list[TargetState], fleet: Fleet
    ) -> Placement:
        """Return the engines by tokens cached, then by load."""
        known = [
            (-engine.cache.reusable_tokens(arrival.prompt), engine.load, name)
            for name, engine in fleet.engines.items()
            if engine.ready and not engine.leaving
        ]
        known.sort()
        lost = known[1][0] - known[0][0] if len(known) > 1 else 0
        wait = ORACLE_WAIT_FACTOR * lost / PREFILL_TOKENS_PER_SECOND
        wait = min(wait, ORACLE_WAIT_SECONDS_MAX)
        return Placement([name for _, _, name in known], wait)


class Policy:
    """Use the placement policy of the package."""

    limited = True

    def __init__(self, tuning: PlacementTuning, returns_tokens: bool) -> None:
        self.returns_tokens = returns_tokens
        self.name = "policy, " + ("tokens" if returns_tokens else "no tokens")
        self._policy = PlacementPolicy(tuning)

    def place(
        self, arrival: Arrival, view: list[TargetState], fleet: Fleet
    ) -> Placement:
        """Return the placement of the policy."""
        prompt = arrival.prompt
        token = arrival.token
        if token is not None and fleet.now - token.issued > TOKEN_SECONDS_MAX:
            token = None
        request = PlacementRequest(
            arrival.chat.request_class,
            chat_key=arrival.chat.number,
            prefix_key=prompt.prefix_key,
            prompt_tokens=prompt.prefix_tokens + prompt.own_tokens,
            prefix_tokens=prompt.prefix_tokens,
            token=token,
            returning=arrival.turn > 0,
        )
        return self._policy.place(request, view)


@dataclass(frozen=True, slots=True)
class Row:
    """Hold the printed figures of one strategy in one run."""

    strategy: str
    reused_share: float
    long_share: float
    prompt_share: float
    skew_mean: float
    skew_high: float
    first_token_mean: float
    first_token_high: float
    overflow_share: float


def _usable(view: list[TargetState]) -> list[str]:
    return [t.target_id for t in view if t.ready and not t.leaving]


def build_strategies(tuning: PlacementTuning, baselines: bool) -> list[Strategy]:
    """Return the oracle first, then the policy and the baselines."""
    strategies: list[Strategy] = [
        Oracle(),
        Policy(tuning, returns_tokens=True),
        Policy(tuning, returns_tokens=False),
    ]
    if not baselines:
        return strategies
    return [
        *strategies,
        ConsistentHash(limited=False),
        ConsistentHash(limited=True),
        LeastLoaded(),
        RoundRobin(),
    ]


def measure(
    deployment: Deployment, strategies: list[Strategy], seed: int, hours: float
) -> Iterator[Row]:
    """Yield the figures of each strategy on the same chats and churn."""
    chats = generate_chats(deployment, seed, hours)
    ceiling: Outcome | None = None
    for strategy in strategies:
        outcome = Fleet(deployment, strategy, seed, hours).run(chats)
        ceiling = ceiling or outcome
        yield _summarise(strategy.name, outcome, ceiling)


def _summarise(name: str, outcome: Outcome, ceiling: Outcome) -> Row:
    long = RequestClass.LONG
    first = sorted(outcome.first_tokens)
    skews = sorted(outcome.skews) or [0.0]
    return Row(
        name,
        outcome.reused_tokens / ceiling.reused_tokens,
        outcome.reused_by_class[long] / ceiling.reused_by_class[long],
        outcome.reused_tokens / outcome.prompt_tokens,
        statistics.fmean(skews),
        skews[int(0.99 * len(skews))],
        statistics.fmean(first),
        first[int(0.95 * len(first))],
        outcome.overflowed / outcome.requests,
    )


def _print_table(deployment: Deployment, rows: list[list[Row]]) -> None:
    print(f"\nDeployment {deployment.name}, {deployment.engines} engines")
    print(
        f"{'strategy':28}{'of oracle':>10}{'min':>7}{'long':>7}{'of prompt':>10}"
        f"{'skew':>6}{'p99':>6}{'ttft s':>8}{'p95':>7}{'overflow':>9}"
    )
    for column in zip(*rows, strict=True):
        share = [row.reused_share for row in column]
        print(
            f"{column[0].strategy:28}{statistics.fmean(share):10.1%}{min(share):7.1%}"
            f"{statistics.fmean(r.long_share for r in column):7.1%}"
            f"{statistics.fmean(r.prompt_share for r in column):10.1%}"
            f"{statistics.fmean(r.skew_mean for r in column):6.2f}"
            f"{statistics.fmean(r.skew_high for r in column):6.2f}"
            f"{statistics.fmean(r.first_token_mean for r in column):8.2f}"
            f"{statistics.fmean(r.first_token_high for r in column):7.2f}"
            f"{statistics.fmean(r.overflow_share for r in column):9.1%}",
            flush=True,
        )


def _parse_arguments() -> argparse.Namespace:
    defaults = PlacementTuning()
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--hours", type=float, default=24.0)
    parser.add_argument("--deployment", choices=["V", "S"])
    parser.add_argument("--cache-tokens", type=int, help="memory of an engine")
    parser.add_argument("--no-baselines", action="store_true")
    for name in defaults.__slots__:
        value = getattr(defaults, name)
        flag = "--" + name.replace("_", "-")
        parser.add_argument(flag, type=type(value), default=value)
    return parser.parse_args()


def main() -> None:
    """Measure both deployments and print one table for each."""
    arguments = _parse_arguments()
    names = PlacementTuning.__slots__
    tuning = PlacementTuning(**{name: getattr(arguments, name) for name in names})
    seeds = range(arguments.first_seed, arguments.first_seed + arguments.seeds)
    for deployment in DEPLOYMENTS:
        if arguments.deployment not in (None, deployment.name):
            continue
        if arguments.cache_tokens:
            deployment = replace(deployment, cache_tokens=arguments.cache_tokens)
        rows = []
        for seed in seeds:
            strategies = build_strategies(tuning, not arguments.no_baselines)
            rows.append(list(measure(deployment, strategies, seed, arguments.hours)))
        _print_table(deployment, rows)


if __name__ == "__main__":
    main()
