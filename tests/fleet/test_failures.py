"""Tests of failure reports about unresponsive targets.

The scenario: engines become unreachable or hang although they are registered as ready,
and each of hundreds of instances sends a request to an engine only twice a minute.
"""

import random
import unittest

from carobladder.fleet import (
    FailureGossip,
    FailureReport,
    SelectionCriteria,
    TargetLoad,
    TargetTable,
)
from tests.fleet.builders import ENGINES, build_entry, fill_table
from tests.fleet.failure_simulation import FailureSimulation
from tests.fleet.test_selection import build_selector

ENGINE_COUNT = 60
REQUESTS_PER_SECOND = 200


class UnresponsiveEnginesTest(unittest.TestCase):
    """Guard against each instance losing a request to an unresponsive engine."""

    def count_lost_requests(
        self, instances: int, seconds: float, loss_rate: float, shares_reports: bool
    ) -> int:
        """Make six engines unresponsive; return the number of lost requests."""
        fleet = FailureSimulation(
            instances, ENGINE_COUNT, shares_reports=shares_reports, seed=4
        )
        fleet.advance(3.0, REQUESTS_PER_SECOND)
        fleet.unresponsive = {f"i-{number}" for number in range(6)}
        fleet.loss_rate = loss_rate
        fleet.advance(seconds, REQUESTS_PER_SECOND)
        return fleet.lost

    def test_reports_halve_the_requests_lost_to_unreachable_engines(self):
        for instances in (87, 195):
            without_reports = self.count_lost_requests(instances, 5.0, 1.0, False)
            with_reports = self.count_lost_requests(instances, 5.0, 1.0, True)
            self.assertLess(with_reports, without_reports / 2, instances)

    def test_reports_reduce_the_requests_lost_to_flaky_engines(self):
        without_reports = self.count_lost_requests(195, 6.0, 0.4, False)
        with_reports = self.count_lost_requests(195, 6.0, 0.4, True)
        self.assertLess(with_reports, 0.75 * without_reports)

    def test_number_of_messages_is_limited(self):
        """Reports that are forwarded without end would saturate the network."""
        fleet = FailureSimulation(195, ENGINE_COUNT, shares_reports=True, seed=4)
        fleet.advance(3.0, REQUESTS_PER_SECOND)
        fleet.unresponsive = {"i-0"}
        fleet.advance(2.5, REQUESTS_PER_SECOND)
        self.assertLess(fleet.messages, 195 * 4 * 4)
        self.assertGreater(fleet.count_avoiding("i-0"), 180)

    def test_engine_that_recovers_is_used_again(self):
        fleet = FailureSimulation(40, 10, shares_reports=True, seed=4)
        fleet.advance(3.0, 100)
        fleet.unresponsive = {"i-0"}
        fleet.advance(2.0, 100)
        fleet.unresponsive = set()
        fleet.advance(6.0, 100)
        self.assertEqual(fleet.count_avoiding("i-0"), 0)


class FailureGossipTest(unittest.TestCase):
    """Guard against failure reports that are false, duplicated or harmful."""

    def setUp(self):
        self.table, self.targets = fill_table(8)
        self.target = self.targets[0]
        self.gossip = FailureGossip(self.table, random.Random(1))
        self.targets[1].health.note_first_byte(0.1, 9.5)

    def test_instance_without_any_answers_sends_no_reports(self):
        """The instance may be disconnected itself."""
        self.assertFalse(self.gossip.note_silence(self.target, 9.8, 11.0))
        self.assertEqual(self.gossip.collect(11.0), [])
        self.assertFalse(self.target.health.is_reported_failed(11.0))

    def test_newer_answer_to_another_instance_contradicts_one_report(self):
        self.target.health.note_load(TargetLoad(1, 0, 8), 9.7)
        self.gossip.take([FailureReport("i-1", 1500, 1)], 11.0)
        self.assertFalse(self.target.health.is_reported_failed(11.0))
        self.gossip.take([FailureReport("i-1", 1500, 2)], 11.2)
        self.assertTrue(self.target.health.is_reported_failed(11.2))

    def test_answer_after_the_report_ends_the_avoidance(self):
        self.gossip.take([FailureReport("i-1", 1500, 1)], 11.0)
        self.assertTrue(self.target.health.is_reported_failed(11.1))
        self.target.health.note_load(TargetLoad(1, 0, 8), 10.9)
        self.assertTrue(self.target.health.is_reported_failed(11.1))
        self.target.health.note_load(TargetLoad(1, 0, 8), 11.2)
        self.assertFalse(self.target.health.is_reported_failed(11.3))

    def test_avoidance_expires_and_is_longer_the_second_time(self):
        self.gossip.take([FailureReport("i-1", 1500, 1)], 11.0)
        self.assertTrue(self.target.health.is_reported_failed(14.9))
        self.assertFalse(self.target.health.is_reported_failed(15.1))
        self.gossip.take([FailureReport("i-1", 1500, 2)], 16.0)
        self.assertTrue(self.target.health.is_reported_failed(23.9))
        self.assertFalse(self.target.health.is_reported_failed(24.1))

    def test_report_is_applied_once_and_sent_three_times(self):
        report = FailureReport("i-1", 1500, 1)
        self.assertTrue(self.gossip.take([report], 11.0))
        self.assertFalse(self.gossip.take([report], 11.1))
        self.assertFalse(self.gossip.take([report], 20.0))
        sent = []
        while reports := self.gossip.collect(11.5):
            sent += reports
        self.assertEqual({r.report_id for r in sent}, {1})
        self.assertEqual({r.age_ms for r in sent}, {2000})
        self.assertEqual(len(sent), 3)

    def test_invalid_reports_are_ignored(self):
        for report in (
            FailureReport("i-99", 100, 1),
            FailureReport("i-1", -5, 2),
            FailureReport("i-1", 50_000, 3),
        ):
            self.assertFalse(self.gossip.take([report], 11.0))
        self.assertFalse(self.target.health.is_reported_failed(11.0))

    def test_reports_about_many_targets_exclude_none(self):
        """They indicate overload or a network failure; the rest would be overloaded."""
        selector = build_selector(self.table)
        criteria = SelectionCriteria(ENGINES, None, True)
        for reported, expected in ((2, 6), (3, 8)):
            for target in self.targets[:reported]:
                target.health.note_failure_report(10.9, 11.0)
            chosen = {selector.choose(criteria, 11.1).target_id for _ in range(400)}
            self.assertEqual(len(chosen), expected)

    def test_new_run_of_a_target_is_not_avoided(self):
        self.gossip.take([FailureReport("i-1", 1500, 1)], 11.0)
        self.table.apply(build_entry("i-1", started_ms=2), 11.5)
        self.assertFalse(self.table.find("i-1").health.is_reported_failed(11.6))

    def test_memory_is_bounded(self):
        gossip = FailureGossip(TargetTable(), random.Random(1))
        gossip._table.apply(build_entry("i-1"), 0.0)
        for number in range(2000):
            gossip.take([FailureReport("i-1", 10, number)], 10.0 + 5 * number)
        self.assertLessEqual(len(gossip._known), 512)


if __name__ == "__main__":
    unittest.main()
