"""Scenarios of the simulation of copies of late requests, and the table of results.

Run as a program it prints the table of docs/design/request-hedging.md.
"""

import random

from tests.forwarding.hedging_simulation import Result, Scenario, Simulation


def draw(index: int, number: float) -> float:
    """Return a random number that a target and a time or interval determine."""
    return random.Random(f"{index} {number}").random()


def vary(share: float, factor: float, seconds: float = 0.6):
    """Return the slowness of targets of which a share, drawn repeatedly, is slow."""

    def find(generator: random.Random, index: int, now: float) -> float:
        return factor if draw(index, int(now / seconds)) < share else 1.0

    return find


def be_usual(generator: random.Random, index: int, now: float) -> float:
    """Return the slowness of targets that work as usual."""
    return 1.0


(
    HEAVY_TAIL,
    UNEVEN,
    UNEVEN_SWINGS,
    ONE_SLOW_IN_SIX,
    ALL_SLOW,
    LARGE_FLEET,
    STORM,
) = SCENARIOS = (
    Scenario("heavy tail (1% take 10 times as long)", be_usual, tail_share=0.01),
    Scenario("0.15 of targets 2.5 times as slow, 0.6 s", vary(0.15, 2.5)),
    Scenario("the same, demand +-55%, clumps of three", vary(0.15, 2.5), swing=0.55),
    Scenario(
        "one target in six 2.5 times as slow",
        lambda generator, index, now: 2.5 if index == 0 else 1.0,
        targets=6,
        rate=150.0,
    ),
    Scenario(
        "all targets 2.5 times as slow from 40 to 50 s",
        lambda generator, index, now: 2.5 if 40 <= now < 50 else 1.0,
        rate=80.0,
        targets=6,
    ),
    Scenario(
        "heavy tail, 195 instances",
        be_usual,
        tail_share=0.01,
        instances=195,
        targets=16,
        rate=490.0,
        seconds=60.0,
    ),
    Scenario(
        "heavy tail, 3 of 10 sends fail from 40 to 50 s",
        be_usual,
        tail_share=0.01,
        fails=lambda index, now: 40 <= now < 50 and draw(index, now) < 0.3,
    ),
)
SHARE = 0.05


SEEDS = (1, 2, 3)


def run_seeds(
    scenario: Scenario, share: float, fixed_delay: float = 0.0, seeds=SEEDS
) -> list[Result]:
    """Return the results of a scenario with each seed."""
    return [Simulation(scenario, seed, share, fixed_delay).run() for seed in seeds]


def find_quantile(results: list[Result], quantile: float) -> float:
    """Return a quantile of the latencies of several runs in seconds."""
    ordered = sorted(each for result in results for each in result.latencies)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


def run_ways(scenario: Scenario) -> dict[str, list[Result]]:
    """Return the results without copies, with a fixed delay and with the policy."""
    off = run_seeds(scenario, 0.0)
    return {
        "off": off,
        "fixed": run_seeds(scenario, 0.0, find_quantile(off, 0.95)),
        "this": run_seeds(scenario, SHARE),
    }


def _print_table() -> None:
    print("| scenario | way | p50 ms | p99 ms | p99.9 ms | copies | failed | budget |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for scenario in SCENARIOS:
        for way, results in run_ways(scenario).items():
            p50, p99, p999 = (
                round(1000 * find_quantile(results, q)) for q in (0.5, 0.99, 0.999)
            )
            copies = sum(result.copies for result in results)
            requests = sum(result.requests for result in results)
            failed = sum(result.failed for result in results)
            worst = max(result.find_worst_window() for result in results)
            print(
                f"| {scenario.name} | {way} | {p50} | {p99} | {p999} |"
                f" {copies / requests:.3f} | {failed} | {worst:.2f} |"
            )


if __name__ == "__main__":
    _print_table()
