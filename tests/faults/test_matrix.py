"""Run a small fixed part of the fault matrix with the other tests."""

import unittest
from contextlib import nullcontext

from tests.faults.cells import Row, Run, run_cell
from tests.faults.columns import Column, list_columns
from tests.faults.matrix import judge

CELLS = (
    ("I2", Column("once", ("target-cold",), "mid-answer")),
    ("I2", Column("pair", ("instance-paused", "instance-partitioned"))),
    ("I3", Column("once", ("lease-lapses",), "before-send")),
    ("I4", Column("once", ("version-fails-at-once",), "move")),
    ("I5", Column("once", ("engine-dies",), "mid-answer")),
    ("I5", Column("once", ("answer-crossed",), "after-send")),
    ("I6", Column("twice", ("service-answer-lost",), "after-effect")),
    ("I6", Column("pair", ("log-down", "instance-dies"))),
    ("I7", Column("once", ("lease-lapses",), "before-send")),
    ("I7", Column("pair", ("append-answer-lost", "service-answer-lost"))),
    ("I8", Column("once", ("instance-dies",), "drain")),
    ("I10", Column("once", ("append-answer-lost",), "before-send")),
    ("I10", Column("pair", ("log-slow", "operators-race"))),
)


class MatrixTest(unittest.TestCase):
    """Guard the invariants under a few faults, and the matrix against false holds."""

    def test_chosen_cells_hold(self):
        for cell in CELLS:
            verdict = judge(cell)
            with self.subTest(row=cell[0], column=cell[1].name):
                self.assertEqual(verdict.outcome, "held", verdict.detail)

    def test_cells_give_the_same_verdict_again(self):
        for cell in CELLS[6:10]:
            self.assertEqual(judge(cell), judge(cell))


class CellTest(unittest.TestCase):
    """Guard against cells that count as held without a run that could fail."""

    column = Column("once", ("log-down",), "move")

    def run_cell(self, run: Run) -> str:
        row = Row(
            "I1",
            {"log-down": ("move",)},
            lambda placed, seed: run,
            {"variant": nullcontext},
        )
        return run_cell(row, self.column).outcome

    def test_variant_that_is_not_caught_fails_the_cell(self):
        self.assertEqual(self.run_cell(Run("", 1)), "failed")

    def test_violation_fails_the_cell(self):
        self.assertEqual(self.run_cell(Run("seen", 1)), "failed")

    def test_fault_that_is_not_injected_leaves_the_cell_untested(self):
        self.assertEqual(self.run_cell(Run("", 0)), "untested")

    def test_fault_without_simulation_is_untested(self):
        row = Row("I1", {}, lambda placed, seed: Run("", 1), {})
        self.assertEqual(run_cell(row, self.column).outcome, "untested")

    def test_column_that_cannot_occur_is_not_held(self):
        column = Column("once", ("answer-late",), "before-send")
        self.assertEqual(judge(("I7", column)).outcome, "impossible")

    def test_columns_are_distinct(self):
        columns = list(list_columns())
        self.assertEqual(len(columns), len(set(columns)))
