"""Tests of the tally, its verdict and the table."""

import unittest

from demo.report import format_report
from demo.tally import LoadSamples, RunTally, count_doubled, judge_bookings


def effect(item: str, booking: str) -> dict[str, str]:
    """Return an effect as a service lists it."""
    return {"item": item, "booking": booking, "key": "k"}


class BookingVerdictTest(unittest.TestCase):
    """Guard against a run that passes although a booking went wrong."""

    def judge(self, wanted: str, booked: dict[str, str], *effects) -> str:
        return "\n".join(judge_bookings(set(wanted), booked, list(effects)))

    def test_each_item_once_passes(self):
        effects = effect("a", "1"), effect("b", "2")
        self.assertEqual(self.judge("ab", {"a": "1", "b": "2"}, *effects), "")

    def test_doubled_booking_fails(self):
        effects = [effect("a", "1"), effect("a", "2")]
        self.assertIn("ran 2 times", self.judge("a", {"a": "1"}, *effects))
        self.assertEqual(count_doubled(effects), 1)

    def test_missing_booking_fails_even_if_the_caller_was_told_of_it(self):
        self.assertIn("a is missing", self.judge("a", {"a": "1"}))

    def test_booking_that_the_caller_was_not_told_of_fails(self):
        self.assertIn("told nothing", self.judge("a", {}, effect("a", "1")))

    def test_answer_of_another_booking_fails(self):
        effects = effect("a", "1"), effect("b", "2")
        text = self.judge("ab", {"a": "2", "b": "2"}, *effects)
        self.assertIn("a: caller was told 2", text)

    def test_booking_that_nobody_ordered_fails(self):
        self.assertIn("not ordered", self.judge("", {}, effect("a", "1")))


class RunTallyTest(unittest.TestCase):
    """Guard against figures that hide an answer that was not whole."""

    def test_answer_that_was_not_whole_fails(self):
        tally = RunTally()
        tally.kind("chats").requests = 3
        tally.kind("chats").whole = 2
        self.assertIn("1 of 3 answers", tally.list_failures()[0])

    def test_skew_is_greatest_over_mean_of_busy_moments(self):
        load = LoadSamples()
        load.add([1, 0])
        load.add([12, 4])
        self.assertEqual(load.ratios, [1.5])

    def test_load_over_the_bound_of_the_design_page_is_counted(self):
        load = LoadSamples()
        load.add([14, 2])  # mean 8, bound 14
        self.assertEqual(load.over_bound, 0)
        load.add([15, 1])
        self.assertEqual(load.over_bound, 1)

    def test_table_shows_kinds_totals_and_bookings(self):
        tally = RunTally(wanted={"a"}, effects=[effect("a", "1"), effect("a", "2")])
        for name in ("chats", "drafts"):
            kind = tally.kind(name)
            kind.requests, kind.whole, kind.refusals = 4, 4, 2
            kind.prompt_tokens, kind.cached_tokens = 100, 25
        text = format_report("V", tally, 1.0)
        rows = {row.split()[0]: row.split() for row in text.splitlines()}
        self.assertEqual(rows["chats"][1:6], ["4", "4", "0", "2", "25%"])
        self.assertEqual(rows["total"][1:6], ["8", "8", "0", "4", "25%"])
        self.assertIn("1 ordered, 2 run, 1 doubled", text)
