"""Split what days lose of their worth by its causes.

``python -m benchmarks.causes SITE REPORT...`` prints a table with a column for each
report of a play, which the bench writes with ``--report``.
"""

import argparse
import json
import tomllib
from collections import Counter
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

__all__ = ["render_table", "split_losses"]

# How the last try of a request that nobody served ended, and what that says.
_CAUSES = {
    "no connection": "no instance listens",
    "cut in the answer": "engine or instance lost in the answer",
    "cut, no answer": "instance lost before the answer",
    "deadline": "no whole answer in the caller's time",
    "500 from a server": "target fails the request",
    "502": "answer lost, not to be repeated",
    "503": "refused",
}
_LATE = "late"
# Smaller losses are left out of the table.
_SHOWN = 0.0005
_WORST_WINDOWS = 2


def split_losses(
    report: Mapping[str, Any], classes: Sequence[Mapping[str, Any]]
) -> Counter[str]:
    """Return what a play lost of its worth, by cause; the sum is 1 less the worth.

    ``classes`` are the kinds of requests of the site file, which state their worth.
    """
    losses: Counter[str] = Counter()
    for part, weight, value in report["parts"]:
        lost = weight * (1.0 - value)
        for cause, share in _divide(part, report, classes).items():
            losses[f"{part}: {cause}"] += lost * share
    for price, _, amount in report["prices"]:
        losses[f"price: {price}"] += amount
    return losses


def render_table(columns: Mapping[str, Mapping[str, float]]) -> str:
    """Return the losses as a table, the largest of all columns first."""
    total: Counter[str] = Counter()
    for losses in columns.values():
        total.update(losses)
    lines = ["| lost by | " + " | ".join(columns) + " |"]
    lines.append("| --- " * (len(columns) + 1) + "|")
    for cause, _ in total.most_common():
        values = [losses.get(cause, 0.0) for losses in columns.values()]
        if max(values) >= _SHOWN:
            cells = " | ".join(f"{value:.3f}" for value in values)
            lines.append(f"| {cause} | {cells} |")
    sums = " | ".join(f"{1.0 - sum(c.values()):.3f}" for c in columns.values())
    lines.append(f"| worth | {sums} |")
    return "\n".join(lines)


def _divide(
    part: str, report: Mapping[str, Any], classes: Sequence[Mapping[str, Any]]
) -> dict[str, float]:
    """Return the causes of what is lost in a part of the worth, as shares of it."""
    if part == "worst windows":
        return _divide_by_window(report)
    if part == "worst class":
        worst = min(report["classes"], key=lambda found: found["worth"])
        return {worst["name"]: 1.0}
    unserved = {
        _CAUSES.get(end, end): float(count) for end, count, _ in report["unserved_by"]
    }
    if part == "nines":
        return _normalize(unserved)
    late, failed = _sum_credit(report, classes)
    shares = _normalize(unserved)
    weighed = {cause: share * failed for cause, share in shares.items()}
    return _normalize({_LATE: late, **weighed})


def _divide_by_window(report: Mapping[str, Any]) -> dict[str, float]:
    """Name the worst windows by what began shortly before or in them."""
    owed = [w for w in report["windows"] if w["n"] > w["not_owed"]]
    worst = sorted(owed, key=lambda window: window["worth"])[:_WORST_WINDOWS]
    lost: Counter[str] = Counter()
    for window in worst:
        begin = float(window["name"])
        kinds = {
            event["kind"].split(" ")[0]
            for event in report["events"]
            if not event["planned"] and begin - 4.0 <= event["at_s"] < begin + 2.0
        }
        lost[" + ".join(sorted(kinds)) or "nothing"] += 1.0 - window["worth"]
    return _normalize(lost)


def _sum_credit(
    report: Mapping[str, Any], classes: Sequence[Mapping[str, Any]]
) -> tuple[float, float]:
    """Return the credit lost to late and to failed requests."""
    worth = {found["name"]: found for found in classes}
    late = failed = 0.0
    for found in report["classes"]:
        kind = worth[found["name"]]
        late += found["late"] * (kind["worth"] - kind["late_worth"])
        failed += (found["failed"] + found["refused"]) * kind["worth"]
    return late, failed


def _normalize(amounts: Mapping[str, float]) -> dict[str, float]:
    total = sum(amounts.values())
    if total <= 0.0:
        return {"other": 1.0}
    return {cause: amount / total for cause, amount in amounts.items()}


def main() -> None:
    """Print the table of the reports that are named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("site", type=Path, help="site file of the plays")
    parser.add_argument("reports", type=Path, nargs="+")
    arguments = parser.parse_args()
    site = tomllib.loads(arguments.site.read_text(encoding="utf-8"))
    columns = {}
    for path in arguments.reports:
        report = json.loads(path.read_text(encoding="utf-8"))
        columns[path.stem] = split_losses(report, site["classes"])
    print(render_table(columns))


if __name__ == "__main__":
    main()
