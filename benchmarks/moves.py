"""Measure version moves, data centre moves and racing operators in virtual time.

Run as ``python -m benchmarks.moves --seeds N``.
"""

import argparse
import itertools
import statistics
from dataclasses import replace

from benchmarks.move_datacentres import DataCentreResult, measure_data_centre_move
from benchmarks.move_operators import OperatorResult, OperatorRun
from benchmarks.move_versions import KINDS, VersionResult, VersionRun
from benchmarks.placement_workload import DEPLOYMENTS
from carobladder.moves.datacentres import DataCentrePhase
from carobladder.moves.versions import VersionPhase

PARTS = ["operators", "data-centres", "versions"]
# Whether callers return tokens, and whether the return is controlled or at once.
CASES = ((True, True), (False, True), (True, False), (False, False))


def _quantiles(values: list[float]) -> str:
    if not values:
        return f"{'-':>8}{'-':>8}"
    return f"{statistics.median(values):8.0f}{max(values):8.0f}"


def _detections(results: list[VersionResult]) -> list[float]:
    return [
        r.detected_at - r.harm_from
        for r in results
        if r.detected_at is not None and r.harm_from is not None
    ]


def _print_versions(rate: float, table: dict[str, list[VersionResult]]) -> None:
    print(f"\nVersion moves, {rate:g} requests/s")
    print(
        f"{'version':20}{'as wanted':>10}{'on time':>9}{'detected s':>12}{'max':>4}"
        f"{'exposed':>9}{'max':>7}{'of all':>13}{'max':>8}{'at share':>9}{'max':>7}"
    )
    for kind, results in table.items():
        wanted = VersionPhase.FINISHED if kind == "good" else VersionPhase.ROLLED_BACK
        right = sum(r.phase is wanted for r in results)
        on_time = sum(r.phase is wanted and r.on_time for r in results)
        exposed = [r.exposed for r in results]
        share = [r.exposed / max(1, r.requests) for r in results]
        at = [r.share_at_detection for r in results]
        print(
            f"{kind:20}{right:>7}/{len(results)}{on_time:>6}/{len(results)}"
            f"{_quantiles(_detections(results))}"
            f"{statistics.median(exposed):9.0f}{max(exposed):7}"
            f"{statistics.median(share):13.2%}{max(share):8.2%}"
            f"{statistics.median(at):9.1%}{max(at):7.1%}",
            flush=True,
        )


def _print_data_centre(seeds: range, loads: list[float]) -> None:
    phases = [p for p in DataCentrePhase if p is not DataCentrePhase.HELD]
    print("\nData centre move: served in time / reused tokens, in each phase")
    print(
        f"{'case':24}"
        + "".join(f"{p.value:>16}" for p in phases)
        + f"{'cut':>5}{'late':>5}{'last s':>7}{'empty':>7}{'refilled':>9}"
        f"{'back':>6}{'unserved':>9}{'plan':>6}"
    )
    for deployment, load, (tokens, controlled) in itertools.product(
        DEPLOYMENTS, loads, CASES
    ):
        scaled = replace(
            deployment, chats_per_second=load * deployment.chats_per_second
        )
        results = [
            measure_data_centre_move(scaled, seed, tokens, controlled) for seed in seeds
        ]
        name = f"{deployment.name} x{load:g} " + ("tokens" if tokens else "no tokens")
        name += "" if controlled else " at once"
        _print_data_centre_row(name, phases, results)


def _print_data_centre_row(
    name: str, phases: list[DataCentrePhase], results: list[DataCentreResult]
) -> None:
    cells = ""
    for phase in phases:
        parts = [r.parts[phase] for r in results if phase in r.parts]
        served = statistics.fmean(p.service_share for p in parts) if parts else 0
        reused = statistics.fmean(p.reused_share for p in parts) if parts else 0
        cells += f"{served:9.2%}{reused:7.1%}"
    count = len(results)
    refilled = sum(r.refilled_at is not None for r in results)
    print(
        f"{name:24}{cells}{sum(r.cut for r in results):5}"
        f"{sum(r.late_new_work for r in results):5}"
        f"{max(r.last_new_work_seconds for r in results):7.2f}"
        f"{sum(r.emptied_in_time for r in results):>4}/{count}"
        f"{refilled:>6}/{count}"
        f"{statistics.fmean(r.moved_back for r in results):6.0f}"
        f"{sum(r.unserved for r in results):9}"
        f"{sum(r.feasible for r in results):>3}/{count}",
        flush=True,
    )


def _print_operators(results: list[OperatorResult]) -> None:
    print(f"\nRacing operators and drivers, {len(results)} runs")
    for name in OperatorResult.__slots__[1:]:
        print(f"{name:18}{sum(getattr(r, name) for r in results):8}")
    for phase in VersionPhase:
        count = sum(r.phase is phase for r in results)
        if count:
            print(f"ended {phase.value:12}{count:8}")


def main() -> None:
    """Measure and print the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--data-centre-seeds", type=int, default=3)
    parser.add_argument("--parts", nargs="+", choices=PARTS, default=PARTS)
    parser.add_argument("--loads", type=float, nargs="+", default=[0.6, 1.0])
    parser.add_argument("--rates", type=float, nargs="+", default=[6.0, 30.0])
    parser.add_argument("--kinds", nargs="+", choices=list(KINDS), default=list(KINDS))
    arguments = parser.parse_args()
    seeds = range(arguments.first_seed, arguments.first_seed + arguments.seeds)
    if "operators" in arguments.parts:
        _print_operators([OperatorRun(seed).run() for seed in seeds])
    if "data-centres" in arguments.parts:
        _print_data_centre(seeds[: arguments.data_centre_seeds], arguments.loads)
    for rate in arguments.rates if "versions" in arguments.parts else []:
        table = {
            kind: [VersionRun(kind, seed, rate).run() for seed in seeds]
            for kind in arguments.kinds
        }
        _print_versions(rate, table)


if __name__ == "__main__":
    main()
