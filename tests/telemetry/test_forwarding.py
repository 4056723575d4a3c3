"""Tests of the metrics of forwarding."""

import unittest

from carobladder.telemetry import ForwardMetrics


class ForwardMetricsTest(unittest.TestCase):
    """Guard against metrics that grow with routes or teams, or that say nothing."""

    def setUp(self):
        self.metrics = ForwardMetrics()

    def read(self, name: str, **labels: str) -> float | None:
        return self.metrics.registry.get_sample_value(f"carobladder_{name}", labels)

    def test_labels_are_bounded(self):
        for index in range(500):
            self.metrics.observe_request(f"route-{index}", f"team-{index}", 0.1)
        count = "request_seconds_count"
        self.assertEqual(self.read(count, route="route-0"), 1.0)
        self.assertIsNone(self.read(count, route="route-60"))
        self.assertEqual(self.read(count, route="other"), 450.0)
        self.assertEqual(self.read("team_request_seconds_count", team="other"), 450.0)

    def test_counters_and_gauges(self):
        self.metrics.count_refusal("no_target")
        self.metrics.count_attempt("sent again")
        self.metrics.count_broken_stream("target_failed")
        self.metrics.first_event_observer("chat", "t")(0.2)
        pause = self.metrics.pause_observer("chat", "t")
        pause(0.03)
        pause(0.3)
        self.metrics.add_gauge("targets", "Registered targets", lambda: 3)
        self.assertEqual(self.read("refusals_total", reason="no_target"), 1.0)
        decision = self.read("failed_attempts_total", decision="sent again")
        self.assertEqual(decision, 1.0)
        self.assertEqual(self.read("first_event_seconds_count", route="chat"), 1.0)
        self.assertEqual(self.read("team_first_event_seconds_count", team="t"), 1.0)
        self.assertEqual(self.read("event_pause_seconds_count", route="chat"), 2.0)
        self.assertEqual(self.read("team_event_pause_seconds_count", team="t"), 2.0)
        self.assertIn(b"carobladder_targets 3.0", self.metrics.render())
