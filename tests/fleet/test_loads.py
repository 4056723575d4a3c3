"""Tests of the loads that instances tell each other."""

import random
import unittest

from carobladder.fleet import LoadReport, LoadSharing, TargetLoad
from tests.fleet.builders import fill_table


class LoadSharingTest(unittest.TestCase):
    """Guard against loads that are unknown because the fleet is large."""

    def test_newest_report_wins_and_unknown_targets_are_passed_over(self):
        table, targets = fill_table(2)
        sharing = LoadSharing(table)
        targets[0].health.note_load(TargetLoad(3, 1, 8), 10.0)
        sharing.take([LoadReport("i-1", 9, 1000), LoadReport("i-9", 1, 0)], 10.5)
        self.assertEqual(targets[0].health.read_stated_load(10.5), (4, 0.5))
        sharing.take([LoadReport("i-1", 9, 200)], 10.5)
        load, age_seconds = targets[0].health.read_stated_load(10.5)
        self.assertEqual(load, 9)
        self.assertAlmostEqual(age_seconds, 0.2)

    def test_old_reports_are_not_told_on(self):
        table, targets = fill_table(2)
        targets[0].health.note_load(TargetLoad(3, 1, 8), 10.0)
        sharing = LoadSharing(table)
        self.assertEqual([r.target_id for r in sharing.collect(11.0)], ["i-1"])
        self.assertEqual(sharing.collect(11.6), [])

    def test_report_reaches_all_of_75_instances_with_two_datagrams_a_turn(self):
        """Each instance tells two others in 0.3 s; a tenth of what is sent is lost."""
        generator = random.Random(4)
        tables = [fill_table(1) for _ in range(75)]
        sharings = [LoadSharing(table) for table, _ in tables]
        tables[0][1][0].health.note_load(TargetLoad(12, 0, 64), 0.0)
        for turn in range(1, 6):
            now = turn * 0.3
            told = [sharing.collect(now) for sharing in sharings]
            for reports in told:
                for peer in generator.sample(sharings, 2):
                    if generator.random() > 0.1:
                        peer.take(reports, now)
        known = [t[0].health.read_stated_load(1.5) for _, t in tables]
        self.assertGreater(sum(load is not None for load in known), 60)
        self.assertEqual({load[0] for load in known if load}, {12})
