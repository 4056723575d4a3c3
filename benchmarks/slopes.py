"""Measure the slopes behind docs/CAPACITY.md and render the page from them.

Run as ``python -m benchmarks.slopes``; ``--render`` only renders the page and the
plots from the figures of the last run.
"""

import argparse
import os
import time
from pathlib import Path

import msgspec

from benchmarks.capacity_page import render_page
from benchmarks.capacity_plots import draw_plots
from benchmarks.process_usage import read_load_average
from benchmarks.slopes_collect import Results, collect

__all__ = ["PAGE", "RESULTS", "load_results"]

_ROOT = Path(__file__).resolve().parent.parent
PAGE = _ROOT / "docs" / "CAPACITY.md"
RESULTS = _ROOT / "docs" / "capacity" / "slopes.json"


def load_results(path: Path = RESULTS) -> Results:
    """Return the figures of a run."""
    return msgspec.json.decode(path.read_bytes(), type=Results)


def run(seed: int) -> Results:
    """Measure everything and print each line."""
    load_before = read_load_average()
    print(f"seed {seed}, load average {load_before}")
    started = time.monotonic()
    measured, today = collect(seed)
    results = Results(
        seed=seed,
        load_before=load_before,
        load_after=read_load_average(),
        cores=os.cpu_count() or 0,
        seconds=round(time.monotonic() - started, 1),
        today=today,
        measured=measured,
    )
    for name, item in measured.items():
        fit = item.fit
        print(
            f"{name:24} slope {fit.slope:11.4g} a {item.series.x_name}"
            f"^{item.series.power}, error {fit.error:6.1%}, exponent"
            f" {fit.exponent:5.2f}, at {item.series.at:g}: {fit.extrapolated:.5g}"
            f" {item.series.unit}"
        )
    print(f"{results.seconds} s, load average {results.load_after}")
    return results


def main() -> None:
    """Measure unless told otherwise, then render."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--render", action="store_true", help="do not measure")
    options = parser.parse_args()
    if not options.render:
        results = run(options.seed)
        RESULTS.parent.mkdir(parents=True, exist_ok=True)
        text = msgspec.json.format(msgspec.json.encode(results), indent=1)
        RESULTS.write_bytes(text + b"\n")
    results = load_results()
    PAGE.write_text(render_page(PAGE.read_text(encoding="utf-8"), results), "utf-8")
    draw_plots(results, RESULTS.parent)


if __name__ == "__main__":
    main()
