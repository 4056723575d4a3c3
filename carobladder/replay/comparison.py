"""Comparison of a replayed trace with its stated outcomes."""

from dataclasses import dataclass, field
from pathlib import Path

from carobladder.replay.events import Bounds, Outcome, read_outcomes, read_trace
from carobladder.replay.player import Summary, TracePlayer

__all__ = ["Comparison", "outcomes_path", "replay_trace"]

SHOWN_DIFFERENCES = 10


@dataclass(slots=True)
class Comparison:
    """Hold the first differences and the counts of a replay."""

    summary: Summary
    decisions: int = 0
    differences: list[str] = field(default_factory=list)
    difference_count: int = 0

    @property
    def agrees(self) -> bool:
        """Tell whether all stated outcomes were repeated."""
        return not self.difference_count

    def add(self, text: str) -> None:
        """Note a difference; only the first ones are kept."""
        self.difference_count += 1
        if len(self.differences) < SHOWN_DIFFERENCES:
            self.differences.append(text)


def outcomes_path(trace: Path) -> Path:
    """Return the file of stated outcomes beside a trace."""
    return trace.with_suffix(".outcomes.jsonl")


def replay_trace(trace: Path, outcomes: Path | None = None) -> Comparison:
    """Repeat the decisions of a trace and compare them with the stated ones."""
    bounds, stated = read_outcomes(outcomes or outcomes_path(trace))
    expected = {outcome.line: outcome for outcome in stated}
    player = TracePlayer()
    comparison = Comparison(player.summary)
    for line, event in enumerate(read_trace(trace), start=1):
        decision = player.play(event)
        if decision is None and line not in expected:
            continue
        comparison.decisions += 1
        _compare(comparison, line, type(event).__name__, decision, expected)
    for line in sorted(expected):
        comparison.add(f"line {line}: the trace has no such decision")
    _compare_bounds(comparison, bounds)
    return comparison


def _compare(
    comparison: Comparison,
    line: int,
    kind: str,
    decision: object,
    expected: dict[int, Outcome],
) -> None:
    outcome = expected.pop(line, None)
    if outcome is None:
        comparison.add(f"line {line}: {kind} decided {decision!r}, nothing is stated")
    elif outcome.decision != decision:
        comparison.add(
            f"line {line}: {kind} decided {decision!r}, stated {outcome.decision!r}"
        )


def _compare_bounds(comparison: Comparison, bounds: Bounds) -> None:
    summary = comparison.summary
    for name, found, stated in (
        ("requests", summary.requests, bounds.requests),
        ("refused", summary.refused, bounds.refused),
        ("requests with a usable token", summary.with_token, bounds.with_token),
        ("requests that reuse their context", summary.reused, bounds.reused),
        ("bookings", len(summary.sends), bounds.bookings),
        ("doubled bookings", summary.doubled_bookings, bounds.doubled_bookings),
    ):
        if found != stated:
            comparison.add(f"{name}: {found}, stated {stated}")
    if summary.worst_excess > bounds.excess_max:
        comparison.add(
            f"load: {summary.worst_excess:.2f} slots above the bound, "
            f"stated at most {bounds.excess_max}"
        )
