"""Run the fault matrix: ``python -m tests.faults``."""

import argparse
import sys

from tests.faults.columns import ROWS, list_columns
from tests.faults.matrix import list_cells, print_report, run_matrix


def main() -> int:
    """Print the matrix; the status is 1 if a cell failed."""
    parser = argparse.ArgumentParser(prog="python -m tests.faults")
    parser.add_argument("--rows", nargs="+", choices=list(ROWS), default=list(ROWS))
    parser.add_argument("--match", default="", help="part of a column's name")
    parser.add_argument("--workers", type=int, default=None)
    arguments = parser.parse_args()
    columns = [c for c in list_columns() if arguments.match in c.name]
    cells = [cell for cell in list_cells(columns) if cell[0] in arguments.rows]
    verdicts = run_matrix(cells, arguments.workers)
    print_report(verdicts)
    return int(any(verdict.outcome == "failed" for verdict in verdicts))


if __name__ == "__main__":
    sys.exit(main())
