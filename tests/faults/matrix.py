"""Run of the whole matrix over the processor's cores, and its report."""

import logging
import os
from collections import Counter
from collections.abc import Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor

from tests.faults.cells import Verdict, run_cell
from tests.faults.columns import ROWS, Column, find_impossible, list_columns
from tests.faults.rows import ALL_ROWS

Cell = tuple[str, Column]
_LONG_ROWS = frozenset({"I4", "I9"})
_MARKS = {"held": "held", "failed": "FAIL", "untested": "-", "impossible": "n/a"}


def judge(cell: Cell) -> Verdict:
    """Run one cell; a row without a simulation is untested."""
    row_id, column = cell
    reason = find_impossible(column)
    if reason:
        return Verdict(row_id, column, "impossible", reason)
    row = ALL_ROWS.get(row_id)
    if row is None:
        return Verdict(row_id, column, "untested", "no simulation of the invariant")
    return run_cell(row, column)


def list_cells(columns: Iterable[Column] | None = None) -> list[Cell]:
    """Return the cells of all rows over the columns."""
    chosen = list(list_columns() if columns is None else columns)
    return [(row_id, column) for row_id in ROWS for column in chosen]


def run_matrix(cells: Sequence[Cell], workers: int | None = None) -> list[Verdict]:
    """Return the verdicts in the order of the cells."""
    workers = workers or os.cpu_count() or 1
    if workers == 1:
        return [judge(cell) for cell in cells]
    # The longest cells go first, so that none of them starts last.
    ordered = sorted(cells, key=lambda cell: cell[0] not in _LONG_ROWS)
    with ProcessPoolExecutor(workers, initializer=_silence_logs) as pool:
        found = dict(zip(ordered, pool.map(judge, ordered), strict=True))
    return [found[cell] for cell in cells]


def _silence_logs() -> None:
    """Keep the log lines of instances out of the report."""
    logging.disable(logging.CRITICAL)


def print_report(verdicts: Sequence[Verdict]) -> None:
    """Print the table, the cells that cannot occur, the failures and the counts."""
    _print_table(verdicts)
    _print_list("Not possible", _list_impossible(verdicts))
    _print_list(
        "Not reached",
        [
            f"{v.row_id} {v.column.name}: {v.detail}"
            for v in verdicts
            if v.outcome == "untested" and v.detail.startswith("seed")
        ],
    )
    _print_list(
        "Failed",
        [
            f"{v.row_id} {v.column.name}: {v.detail}"
            for v in verdicts
            if v.outcome == "failed"
        ],
    )
    counts = Counter(verdict.outcome for verdict in verdicts)
    print(
        f"cells: {counts['held']} held, {counts['failed']} failed, "
        f"{counts['untested']} untested"
    )


def _print_table(verdicts: Sequence[Verdict]) -> None:
    found = {(v.row_id, v.column): v.outcome for v in verdicts}
    columns = list(dict.fromkeys(v.column for v in verdicts))
    width = max(len(column.name) for column in columns)
    print(" " * width, *(f"{row_id:>5}" for row_id in ROWS))
    for column in columns:
        marks = [_MARKS[found.get((row_id, column), "untested")] for row_id in ROWS]
        print(f"{column.name:{width}}", *(f"{mark:>5}" for mark in marks))


def _list_impossible(verdicts: Sequence[Verdict]) -> list[str]:
    reasons = {v.column.name: v.detail for v in verdicts if v.outcome == "impossible"}
    return [f"{name}: {reason}" for name, reason in reasons.items()]


def _print_list(title: str, lines: Sequence[str]) -> None:
    if lines:
        print(f"\n{title}:")
    for line in lines:
        print(f"  {line}")
