"""Tests of the record of requests to targets above the operators' load bound."""

import unittest
from unittest import mock

from carobladder.fleet import LoadBounds, TargetLoad
from carobladder.forwarding import LoadMonitor, loadmonitor
from carobladder.telemetry import ForwardMetrics, TargetAboveLoadBound
from tests.fleet.builders import fill_table

NOW = 100.0


class LoadMonitorTest(unittest.TestCase):
    """Guard against an excess of the load bound that no log line or metric shows."""

    def setUp(self):
        self.table, self.targets = fill_table(4)
        self.metrics = ForwardMetrics()
        self.monitor = LoadMonitor(LoadBounds(self.table, 2.0), self.metrics)
        for target in self.targets[1:]:
            target.health.note_load(TargetLoad(4, 0, 128), NOW)

    def send(self, believed: int):
        """Record a request to the first target, which holds so many by estimate."""
        target = self.targets[0]
        target.health.note_load(TargetLoad(believed, 0, 128), NOW)
        target.health.in_flight += 1
        return self.monitor.note_sent(target, NOW)

    def state(self, expected, load: int) -> list[TargetAboveLoadBound]:
        """Record an answer that states a load; return the logged events."""
        with mock.patch.object(loadmonitor, "emit") as emit:
            self.monitor.note_stated(
                self.targets[0], expected, TargetLoad(load, 0, 128), "ab12", NOW
            )
        return [call.args[0] for call in emit.call_args_list]

    def read_sample(self, name: str) -> float | None:
        return self.metrics.registry.get_sample_value(
            f"carobladder_{name}", {"service": "engine"}
        )

    def test_request_below_the_bound_is_only_observed(self):
        expected = self.send(5)
        self.assertEqual(expected.load, 5.0)
        self.assertAlmostEqual(expected.bound, 2.0 * (3 * 4 + 6) / 4 + 3.0)
        self.assertEqual(self.state(expected, 13), [])
        self.assertIsNone(self.read_sample("requests_sent_above_load_bound_total"))
        self.assertIsNone(self.read_sample("targets_found_above_load_bound_total"))
        self.assertEqual(self.read_sample("target_load_fraction_count"), 1.0)

    def test_excess_that_was_known_counts_as_sent_above_the_bound(self):
        expected = self.send(40)
        self.assertTrue(expected.exceeds_bound)
        self.assertEqual(self.state(expected, 41), [])
        self.assertEqual(self.read_sample("requests_sent_above_load_bound_total"), 1.0)
        self.assertIsNone(self.read_sample("targets_found_above_load_bound_total"))

    def test_excess_that_the_answer_shows_counts_as_found(self):
        expected = self.send(5)
        (event,) = self.state(expected, 20)
        self.assertEqual((event.target, event.request_id), ("i-1", "ab12"))
        self.assertEqual((event.expected, event.stated, event.bound), (5.0, 19, 12.0))
        self.assertEqual(self.read_sample("targets_found_above_load_bound_total"), 1.0)

    def test_excess_that_a_grown_mean_allows_is_not_found(self):
        expected = self.send(5)
        for target in self.targets[1:]:
            target.health.note_load(TargetLoad(12, 0, 128), NOW + 0.1)
        self.assertEqual(self.state(expected, 20), [])

    def test_target_of_unknown_load_is_not_observed_but_found(self):
        target = self.targets[0]
        target.health.in_flight += 1
        expected = self.monitor.note_sent(target, NOW)
        self.assertIsNone(expected.load)
        self.assertIsNone(self.read_sample("target_load_fraction_count"))
        self.assertEqual(len(self.state(expected, 20)), 1)
