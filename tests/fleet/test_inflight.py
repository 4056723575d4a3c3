"""Tests of the requests in flight that instances report to each other."""

import unittest

from carobladder.fleet import InFlightGossip, InFlightReport, TargetLoad
from tests.fleet.builders import build_entry, fill_table

NOW = 100.0


class InFlightGossipTest(unittest.TestCase):
    """Guard against sums that keep what an instance no longer has in flight."""

    def setUp(self):
        self.table, self.targets = fill_table(3)
        self.gossip = InFlightGossip(self.table)
        self.first, self.second, _ = self.targets

    def take(self, peer: str, number: int, now: float = NOW, **counts: int) -> None:
        """Apply a report with counts by the name of the target."""
        targets = {f"i{index}": t for index, t in enumerate(self.targets, start=1)}
        by_tag = {targets[name].tag: count for name, count in counts.items()}
        self.gossip.take(peer, InFlightReport(number, by_tag), now)

    def read(self) -> list[int | None]:
        return [target.health.peers_in_flight for target in self.targets]

    def test_reports_of_all_instances_are_added(self):
        self.take("a", 1, i1=2, i2=1)
        self.take("b", 1, i1=3)
        self.assertEqual(self.read(), [5, 1, None])

    def test_newer_report_replaces_the_one_before(self):
        self.take("a", 1, i1=2, i2=1)
        self.take("a", 2, i2=4)
        self.assertEqual(self.read(), [0, 4, None])

    def test_delayed_report_is_ignored_and_that_of_a_restarted_instance_is_not(self):
        self.take("a", 7, i1=2)
        self.take("a", 6, NOW + 0.1, i1=9)
        self.assertEqual(self.read()[0], 2)
        self.take("a", 1, NOW + 0.8, i1=1)
        self.assertEqual(self.read()[0], 1)

    def test_instance_that_fell_silent_is_left_out(self):
        self.take("a", 1, i1=2)
        self.take("b", 1, NOW + 2.0, i1=3)
        self.gossip.expire(NOW + 3.0)
        self.assertEqual(self.read()[0], 3)

    def test_loads_are_unknown_again_once_all_instances_are_silent(self):
        self.take("a", 1, i1=2)
        self.gossip.expire(NOW + 3.0)
        self.assertEqual(self.read(), [None, None, None])
        self.assertIsNone(self.first.health.estimate_load(NOW + 3.0))

    def test_implausible_counts_and_unknown_targets_are_ignored(self):
        report = InFlightReport(1, {self.first.tag: -4, self.second.tag: 10**9, 7: 5})
        self.gossip.take("a", report, NOW)
        self.assertEqual(self.read(), [None, None, None])

    def test_target_that_registers_later_gets_the_sum_with_the_next_report(self):
        entry = build_entry("i-9")
        self.take("a", 1, i1=1)
        late = self.table.apply(entry, NOW)
        self.gossip.take("a", InFlightReport(2, {late.tag: 4}), NOW)
        self.assertEqual(late.health.peers_in_flight, 4)

    def test_own_requests_are_collected_with_rising_numbers(self):
        self.first.health.in_flight = 3
        first, second = self.gossip.collect(), self.gossip.collect()
        self.assertEqual(first.counts, {self.first.tag: 3})
        self.assertGreater(second.number, first.number)

    def test_report_about_too_many_targets_is_not_sent(self):
        table, targets = fill_table(65)
        for target in targets:
            target.health.in_flight = 1
        self.assertIsNone(InFlightGossip(table).collect())

    def test_reports_of_instances_replace_what_the_target_stated(self):
        """The target stated seven requests; two of them are of no known instance."""
        health = self.first.health
        health.in_flight = 2
        self.take("a", 1, i1=3)
        health.note_load(TargetLoad(7, 0, 128), NOW)
        self.assertEqual(health.estimate_load(NOW), 7.0)
        self.take("a", 2, i1=9)
        self.assertEqual(health.estimate_load(NOW), 13.0)
        self.assertAlmostEqual(health.estimate_load(NOW + 0.7), 12.0)
