"""Tests of the order in which requests of the platform wait."""

import unittest

from carobladder.limits.lines import WaitingLines


class WaitingLinesTest(unittest.TestCase):
    """Guard against urgent requests that wait behind others."""

    def test_urgent_requests_go_first_then_the_oldest(self):
        lines = WaitingLines()
        with (
            lines.join("stock", 3, "a") as low,
            lines.join("stock", 1, "a") as urgent,
            lines.join("stock", 3, "a") as late,
            lines.join("other", 0, "a"),
        ):
            self.assertEqual(lines.count_before("stock", urgent, 0.0), 0)
            self.assertEqual(lines.count_before("stock", low, 0.0), 1)
            self.assertEqual(lines.count_before("stock", late, 0.0), 2)

    def test_requests_that_left_hold_no_place(self):
        lines = WaitingLines()
        with lines.join("stock", 3, "a") as low:
            with lines.join("stock", 1, "a"):
                self.assertTrue(lines.has_waiting("stock"))
            self.assertEqual(lines.count_before("stock", low, 0.0), 0)
        self.assertFalse(lines.has_waiting("stock"))

    def test_teams_take_turns_within_a_priority(self):
        """A team with many waiting requests must not delay another team's first."""
        lines = WaitingLines()
        with (
            lines.join("stock", 1, "many") as first,
            lines.join("stock", 1, "many") as second,
            lines.join("stock", 1, "few") as other,
        ):
            order = sorted(
                (first, second, other),
                key=lambda queued: lines.count_before("stock", queued, 0.0),
            )
        self.assertLess(order.index(other), order.index(second))

    def test_team_that_was_admitted_more_goes_later(self):
        lines = WaitingLines()
        lines.find_record("stock").note_admitted(1, "many", 0.0)
        with (
            lines.join("stock", 1, "many") as first,
            lines.join("stock", 1, "few") as other,
        ):
            self.assertEqual(lines.count_before("stock", other, 0.0), 0)
            self.assertEqual(lines.count_before("stock", first, 0.0), 1)

    def test_less_remaining_time_goes_first_within_a_team(self):
        lines = WaitingLines()
        with (
            lines.join("stock", 1, "a", deadline=5.0) as patient,
            lines.join("stock", 1, "a", deadline=2.0) as hurried,
        ):
            self.assertEqual(lines.count_before("stock", hurried, 0.0), 0)
            self.assertEqual(lines.count_before("stock", patient, 0.0), 1)

    def test_starved_priority_goes_first(self):
        """The lowest priority must keep above a quarter of the mean share."""
        lines = WaitingLines()
        record = lines.find_record("stock")
        for _ in range(20):
            record.note_offered(0, "a", 0.0)
            record.note_admitted(0, "a", 0.0)
            record.note_offered(3, "b", 0.0)
        with (
            lines.join("stock", 0, "a") as urgent,
            lines.join("stock", 3, "b") as starved,
        ):
            self.assertEqual(lines.count_before("stock", starved, 0.0), 0)
            self.assertEqual(lines.count_before("stock", urgent, 0.0), 1)


if __name__ == "__main__":
    unittest.main()
