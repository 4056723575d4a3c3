"""Tests of warnings of silent targets.

The pattern: engines that go dark or hang while their status is good, before hundreds of
instances, of which each sends a request to an engine twice a minute.
"""

import random
import unittest

from carobladder.fleet import (
    FailureReport,
    FailureSharing,
    Selection,
    TargetLoad,
    TargetTable,
)
from tests.fleet.builders import ENGINES, build_entry, fill_table
from tests.fleet.test_selection import build_selector
from tests.fleet.warning_simulation import WarnedFleet

ENGINE_COUNT = 60
REQUESTS_PER_SECOND = 200


class DarkEnginesTest(unittest.TestCase):
    """Guard against each instance losing a request of its own to a dark engine."""

    def play(self, instances: int, seconds: float, failing: float, warns: bool) -> int:
        """Let six engines fall silent; return the requests that they took."""
        fleet = WarnedFleet(instances, ENGINE_COUNT, warns=warns, seed=4)
        fleet.advance(3.0, REQUESTS_PER_SECOND)
        fleet.silent = {f"i-{number}" for number in range(6)}
        fleet.failing_part = failing
        fleet.advance(seconds, REQUESTS_PER_SECOND)
        return fleet.lost

    def test_engines_that_go_dark(self):
        for instances in (87, 195):
            alone = self.play(instances, 5.0, 1.0, False)
            warned = self.play(instances, 5.0, 1.0, True)
            self.assertLess(warned, alone / 2, instances)

    def test_engines_that_lose_a_part_of_their_requests(self):
        alone = self.play(195, 6.0, 0.4, False)
        warned = self.play(195, 6.0, 0.4, True)
        self.assertLess(warned, 0.75 * alone)

    def test_warnings_stay_few(self):
        """A warning that each instance tells on for ever would fill the links."""
        fleet = WarnedFleet(195, ENGINE_COUNT, warns=True, seed=4)
        fleet.advance(3.0, REQUESTS_PER_SECOND)
        fleet.silent = {"i-0"}
        fleet.advance(2.5, REQUESTS_PER_SECOND)
        self.assertLess(fleet.messages, 195 * 4 * 4)
        self.assertGreater(fleet.count_doubting("i-0"), 180)

    def test_engine_that_answers_again_is_used_again(self):
        fleet = WarnedFleet(40, 10, warns=True, seed=4)
        fleet.advance(3.0, 100)
        fleet.silent = {"i-0"}
        fleet.advance(2.0, 100)
        fleet.silent = set()
        fleet.advance(6.0, 100)
        self.assertEqual(fleet.count_doubting("i-0"), 0)


class WarningTest(unittest.TestCase):
    """Guard against warnings that are false, repeated or make things worse."""

    def setUp(self):
        self.table, self.targets = fill_table(8)
        self.target = self.targets[0]
        self.sharing = FailureSharing(self.table, random.Random(1))
        self.targets[1].health.note_first_byte(0.1, 9.5)

    def test_instance_that_hears_of_nobody_warns_of_nobody(self):
        """It may be cut off itself."""
        self.assertFalse(self.sharing.note_silence(self.target, 9.8, 11.0))
        self.assertEqual(self.sharing.collect(11.0), [])
        self.assertFalse(self.target.health.is_doubted(11.0))

    def test_answer_that_another_instance_got_meanwhile_contradicts(self):
        self.target.health.note_load(TargetLoad(1, 0, 8), 9.7)
        self.sharing.take([FailureReport("i-1", 1500, 1)], 11.0)
        self.assertFalse(self.target.health.is_doubted(11.0))
        self.sharing.take([FailureReport("i-1", 1500, 2)], 11.2)
        self.assertTrue(self.target.health.is_doubted(11.2))

    def test_answer_after_the_warning_ends_the_doubt(self):
        self.sharing.take([FailureReport("i-1", 1500, 1)], 11.0)
        self.assertTrue(self.target.health.is_doubted(11.1))
        self.target.health.note_load(TargetLoad(1, 0, 8), 10.9)
        self.assertTrue(self.target.health.is_doubted(11.1))
        self.target.health.note_load(TargetLoad(1, 0, 8), 11.2)
        self.assertFalse(self.target.health.is_doubted(11.3))

    def test_doubt_ends_by_itself_and_is_longer_the_second_time(self):
        self.sharing.take([FailureReport("i-1", 1500, 1)], 11.0)
        self.assertTrue(self.target.health.is_doubted(14.9))
        self.assertFalse(self.target.health.is_doubted(15.1))
        self.sharing.take([FailureReport("i-1", 1500, 2)], 16.0)
        self.assertTrue(self.target.health.is_doubted(23.9))
        self.assertFalse(self.target.health.is_doubted(24.1))

    def test_report_is_used_and_told_on_once(self):
        report = FailureReport("i-1", 1500, 1)
        self.assertTrue(self.sharing.take([report], 11.0))
        self.assertFalse(self.sharing.take([report], 11.1))
        self.assertFalse(self.sharing.take([report], 20.0))
        told = []
        while reports := self.sharing.collect(11.5):
            told += reports
        self.assertEqual({r.number for r in told}, {1})
        self.assertEqual({r.age_ms for r in told}, {2000})
        self.assertEqual(len(told), 3)

    def test_reports_that_cannot_be_used(self):
        for report in (
            FailureReport("i-99", 100, 1),
            FailureReport("i-1", -5, 2),
            FailureReport("i-1", 50_000, 3),
        ):
            self.assertFalse(self.sharing.take([report], 11.0))
        self.assertFalse(self.target.health.is_doubted(11.0))

    def test_warnings_of_many_targets_bar_none(self):
        """They speak of the load or of a network, and the rest would be overrun."""
        selector = build_selector(self.table)
        wanted = Selection(ENGINES, None, True)
        for doubted, expected in ((2, 6), (3, 8)):
            for target in self.targets[:doubted]:
                target.health.note_warning(10.9, 11.0)
            chosen = {selector.choose(wanted, 11.1).target_id for _ in range(400)}
            self.assertEqual(len(chosen), expected)

    def test_new_run_of_a_target_is_not_doubted(self):
        self.sharing.take([FailureReport("i-1", 1500, 1)], 11.0)
        self.table.apply(build_entry("i-1", born_ms=2), 11.5)
        self.assertFalse(self.table.find("i-1").health.is_doubted(11.6))

    def test_memory_is_bounded(self):
        sharing = FailureSharing(TargetTable(), random.Random(1))
        sharing._table.apply(build_entry("i-1"), 0.0)
        for number in range(2000):
            sharing.take([FailureReport("i-1", 10, number)], 10.0 + 5 * number)
        self.assertLessEqual(len(sharing._known), 512)


if __name__ == "__main__":
    unittest.main()
