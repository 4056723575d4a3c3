"""Tests of the loads that instances tell each other."""

import random
import unittest

import msgspec

from carobladder.fleet import (
    LoadReport,
    LoadSharing,
    TargetLoad,
    decode_message,
    encode_message,
)
from tests.fleet.builders import fill_table


class LoadMessageTest(unittest.TestCase):
    """Guard against messages that mislead or stop an instance."""

    def test_round_trip(self):
        reports = [LoadReport("i-1", 7, 0.25)]
        message = decode_message(encode_message(reports, [4, 0]))
        self.assertEqual((message.reports, message.ends), (reports, [4, 0]))

    def test_other_bytes_and_versions(self):
        other = msgspec.msgpack.encode([1, [], []])
        for data in (b"", b"\xff\x00", b"text", other, encode_message([], [])[:-1]):
            with self.subTest(data=data), self.assertRaises(ValueError):
                decode_message(data)

    def test_unusable_reports_are_dropped(self):
        reports = [
            LoadReport("i-1", -1, 0.1),
            LoadReport("i-2", 10**9, 0.1),
            LoadReport("i-3", 1, -0.1),
            LoadReport("i-4", 1, 60.0),
            LoadReport("i-5", 1, 0.1),
        ]
        kept = decode_message(encode_message(reports, [])).reports
        self.assertEqual([report.target_id for report in kept], ["i-5"])


class LoadSharingTest(unittest.TestCase):
    """Guard against loads that are unknown because the fleet is large."""

    def test_newest_report_wins_and_unknown_targets_are_passed_over(self):
        table, targets = fill_table(2)
        sharing = LoadSharing(table)
        targets[0].health.note_load(TargetLoad(3, 1, 8), 10.0)
        sharing.take([LoadReport("i-1", 9, 1.0), LoadReport("i-9", 1, 0.0)], 10.5)
        self.assertEqual(targets[0].health.read_stated_load(10.5), (4, 0.5))
        sharing.take([LoadReport("i-1", 9, 0.2)], 10.5)
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
            messages = [
                encode_message(sharing.collect(now), []) for sharing in sharings
            ]
            for message in messages:
                for peer in generator.sample(sharings, 2):
                    if generator.random() > 0.1:
                        peer.take(decode_message(message).reports, now)
        known = [t[0].health.read_stated_load(1.5) for _, t in tables]
        self.assertGreater(sum(load is not None for load in known), 60)
        self.assertEqual({load[0] for load in known if load}, {12})
