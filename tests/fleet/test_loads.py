"""Tests of the exchange of load reports between instances."""

import random
import unittest

import msgspec

from carobladder.fleet import (
    LoadGossip,
    LoadReport,
    PeerStatus,
    TargetLoad,
    encode_datagram,
    is_usable_report,
    shorten_reports,
)
from tests.fleet.builders import fill_table


class LoadSharingTest(unittest.TestCase):
    """Guard against unknown or outdated loads in a large fleet."""

    def test_newest_report_wins_and_unknown_targets_are_skipped(self):
        table, targets = fill_table(2)
        gossip = LoadGossip(table)
        targets[0].health.note_load(TargetLoad(3, 1, 8), 10.0)
        gossip.take([LoadReport("i-1", 9, 1000), LoadReport("i-9", 1, 0)], 10.5)
        self.assertEqual(targets[0].health.read_latest_load(10.5), (4, 0.5))
        gossip.take([LoadReport("i-1", 9, 200)], 10.5)
        load, age_seconds = targets[0].health.read_latest_load(10.5)
        self.assertEqual(load, 9)
        self.assertAlmostEqual(age_seconds, 0.2)

    def test_old_reports_are_not_forwarded(self):
        table, targets = fill_table(2)
        targets[0].health.note_load(TargetLoad(3, 1, 8), 10.0)
        gossip = LoadGossip(table)
        self.assertEqual([r.target_id for r in gossip.collect(11.0)], ["i-1"])
        self.assertEqual(gossip.collect(11.6), [])

    def test_slowness_travels_with_the_load_that_stated_it(self):
        table, targets = fill_table(2)
        other, other_targets = fill_table(2)
        targets[0].note_load(TargetLoad(3, 1, 8, 2.5), 10.0)
        targets[1].note_load(TargetLoad(3, 1, 8, 2.5), 10.0)
        targets[1].note_load(TargetLoad(4, 1, 8), 10.1)
        LoadGossip(other).take(LoadGossip(table).collect(10.4), 10.5)
        self.assertEqual(other_targets[0].slowness.stated, 2.5)
        self.assertAlmostEqual(other_targets[0].slowness.read_age(10.5), 0.4)
        self.assertIsNone(other_targets[1].slowness.stated)

    def test_instances_of_earlier_versions_exchange_loads(self):
        """Their reports have three fields, and they ignore a fourth one."""
        report = msgspec.convert(["i-1", 9, 200], LoadReport)
        self.assertEqual(report, LoadReport("i-1", 9, 200, None))
        earlier = msgspec.defstruct(
            "LoadReport",
            [("target_id", str), ("load", int), ("age_ms", int)],
            array_like=True,
        )
        data = msgspec.msgpack.encode(LoadReport("i-1", 9, 200, 250))
        decoded = msgspec.msgpack.decode(data, type=earlier)
        self.assertEqual(decoded, earlier("i-1", 9, 200))

    def test_implausible_slowness_is_left_out(self):
        for percent in (-1, 0, 100_001):
            self.assertFalse(is_usable_report(LoadReport("i-1", 9, 200, percent)))

    def test_slowness_fits_into_the_bytes_of_the_loads(self):
        """A datagram of 24 loads is not longer when they state a slowness."""
        sizes = []
        for slowness in (None, 2.5):
            table, targets = fill_table(40)
            for index, target in enumerate(targets):
                target.note_load(TargetLoad(3, 1, 8, slowness), 10.0 + index / 100)
            reports = LoadGossip(table).collect(10.9)
            status = PeerStatus(3, False, reports, [12345] * 4)
            sizes.append(len(encode_datagram(status, "front-1", b"k" * 32)))
        self.assertLessEqual(sizes[1], sizes[0])

    def test_loads_without_slowness_are_sent_as_before(self):
        report = LoadReport("i-1", 9, 200)
        self.assertEqual(
            msgspec.msgpack.encode(shorten_reports([report])),
            msgspec.msgpack.encode([["i-1", 9, 200]]),
        )

    def test_report_spreads_in_a_fleet_of_75_with_two_datagrams_per_round(self):
        """Each instance sends to two others every 0.3 s; a tenth of this is lost."""
        generator = random.Random(4)
        tables = [fill_table(1) for _ in range(75)]
        gossips = [LoadGossip(table) for table, _ in tables]
        tables[0][1][0].health.note_load(TargetLoad(12, 0, 64), 0.0)
        for round_number in range(1, 6):
            now = round_number * 0.3
            sent = [gossip.collect(now) for gossip in gossips]
            for reports in sent:
                for peer in generator.sample(gossips, 2):
                    if generator.random() > 0.1:
                        peer.take(reports, now)
        known = [t[0].health.read_latest_load(1.5) for _, t in tables]
        self.assertGreater(sum(load is not None for load in known), 60)
        self.assertEqual({load[0] for load in known if load}, {12})
