"""Tests of the split of a play's losses."""

import unittest

from benchmarks.causes import render_table, split_losses

CLASSES = [
    {"name": "chat", "worth": 2.0, "late_worth": 0.5},
    {"name": "read", "worth": 1.0, "late_worth": 0.3},
]
REPORT = {
    "parts": [
        ["whole day", 0.4, 0.9],
        ["worst windows", 0.15, 0.6],
        ["worst class", 0.1, 0.8],
        ["nines", 0.35, 0.7],
    ],
    "prices": [["machine-seconds", 10.0, 0.02], ["cloud calls", 3.0, 0.0]],
    "unserved_by": [["no connection", 3, []], ["500 from a server", 1, []]],
    "classes": [
        {"name": "chat", "late": 4, "failed": 2, "refused": 0, "worth": 0.95},
        {"name": "read", "late": 0, "failed": 1, "refused": 1, "worth": 0.8},
    ],
    "windows": [
        {"name": "0", "n": 10, "not_owed": 0, "worth": 1.0},
        {"name": "2", "n": 10, "not_owed": 0, "worth": 0.4},
        {"name": "4", "n": 10, "not_owed": 0, "worth": 0.8},
        {"name": "6", "n": 10, "not_owed": 10, "worth": 0.0},
    ],
    "events": [
        {"at_s": 2.5, "kind": "node_kill (power)", "planned": False},
        {"at_s": 2.0, "kind": "release", "planned": True},
    ],
}


class SplitLossesTest(unittest.TestCase):
    """Guard against losses that are left out or counted twice."""

    def setUp(self):
        self.losses = split_losses(REPORT, CLASSES)

    def test_sum_is_what_the_worth_lacks(self):
        worth = 0.4 * 0.9 + 0.15 * 0.6 + 0.1 * 0.8 + 0.35 * 0.7 - 0.02
        self.assertAlmostEqual(sum(self.losses.values()), 1.0 - worth)

    def test_unserved_requests_are_divided_by_their_last_end(self):
        lost = 0.35 * 0.3
        self.assertAlmostEqual(self.losses["nines: no instance listens"], lost * 0.75)

    def test_late_requests_lose_only_a_part_of_their_credit(self):
        late, failed = 4 * 1.5, 2 * 2.0 + 2 * 1.0
        expected = 0.4 * 0.1 * late / (late + failed)
        self.assertAlmostEqual(self.losses["whole day: late"], expected)

    def test_windows_are_named_by_what_happened_and_empty_ones_left_out(self):
        self.assertAlmostEqual(self.losses["worst windows: node_kill"], 0.15 * 0.4)

    def test_table_shows_the_worth_and_leaves_small_losses_out(self):
        table = render_table({"a": self.losses})
        self.assertIn("| worth | 0.755 |", table)
        self.assertIn("| worst class: read | 0.020 |", table)
        self.assertNotIn("cloud calls", table)


if __name__ == "__main__":
    unittest.main()
