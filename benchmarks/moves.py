"""Measure version moves, data centre moves and racing operators in virtual time.

Run as ``python -m benchmarks.moves --seeds N``.
"""

import argparse
import statistics

from benchmarks.move_versions import KINDS, VersionResult, VersionRun
from carobladder.moves import VersionPhase


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
        wanted = VersionPhase.FINISHED if kind == "good" else VersionPhase.TAKEN_BACK
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


def main() -> None:
    """Measure and print the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--rates", type=float, nargs="+", default=[6.0, 30.0])
    parser.add_argument("--kinds", nargs="+", choices=list(KINDS), default=list(KINDS))
    arguments = parser.parse_args()
    seeds = range(arguments.first_seed, arguments.first_seed + arguments.seeds)
    for rate in arguments.rates:
        table = {
            kind: [VersionRun(kind, seed, rate).run() for seed in seeds]
            for kind in arguments.kinds
        }
        _print_versions(rate, table)


if __name__ == "__main__":
    main()
