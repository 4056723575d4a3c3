"""Tests of the forwarding metrics."""

import unittest

from carobladder.telemetry import ForwardMetrics


class ForwardMetricsTest(unittest.TestCase):
    """Guard against metrics that grow with routes or teams or miss observations."""

    def setUp(self):
        self.metrics = ForwardMetrics()

    def read_sample(self, name: str, **labels: str) -> float | None:
        return self.metrics.registry.get_sample_value(f"carobladder_{name}", labels)

    def test_routes_and_teams_beyond_the_limit_share_a_label(self):
        for index in range(500):
            self.metrics.observe_request(f"route-{index}", f"team-{index}", 0.1)
        name = "request_seconds_count"
        self.assertEqual(self.read_sample(name, route="route-0"), 1.0)
        self.assertIsNone(self.read_sample(name, route="route-60"))
        self.assertEqual(self.read_sample(name, route="other"), 450.0)
        self.assertEqual(
            self.read_sample("team_request_seconds_count", team="other"), 450.0
        )

    def test_metrics_are_recorded_under_their_names_and_labels(self):
        self.metrics.count_refusal("no_target")
        self.metrics.count_failed_attempt("sent again")
        self.metrics.count_broken_stream("target_failed")
        self.metrics.create_first_event_observer("chat", "t")(0.2)
        observe_pause = self.metrics.create_pause_observer("chat", "t")
        observe_pause(0.03)
        observe_pause(0.3)
        self.metrics.add_gauge("targets", "Registered targets", lambda: 3)
        self.assertEqual(self.read_sample("refusals_total", reason="no_target"), 1.0)
        retried = self.read_sample("failed_attempts_total", decision="sent again")
        self.assertEqual(retried, 1.0)
        self.assertEqual(
            self.read_sample("first_event_seconds_count", route="chat"), 1.0
        )
        self.assertEqual(
            self.read_sample("team_first_event_seconds_count", team="t"), 1.0
        )
        self.assertEqual(
            self.read_sample("event_pause_seconds_count", route="chat"), 2.0
        )
        self.assertEqual(
            self.read_sample("team_event_pause_seconds_count", team="t"), 2.0
        )
        self.assertIn(b"carobladder_targets 3.0", self.metrics.render())

    def test_gauge_by_target_forgets_targets_that_are_gone(self):
        slowness = {"i-1": 2.5, "i-2": 1.0}
        self.metrics.add_target_gauge("target_slowness", lambda: slowness)
        self.assertEqual(self.read_sample("target_slowness", target="i-1"), 2.5)
        del slowness["i-1"]
        self.assertIsNone(self.read_sample("target_slowness", target="i-1"))
        self.assertEqual(self.read_sample("target_slowness", target="i-2"), 1.0)

    def test_prediction_is_recorded_by_service(self):
        self.metrics.observe_prediction("plain", 1.1)
        name = "prediction_ratio_count"
        self.assertEqual(self.read_sample(name, service="plain"), 1.0)

    def test_overload_is_recorded_by_service_and_reason(self):
        self.metrics.observe_pressure("stock", 0.6, 2.0)
        self.metrics.count_shed_request("more urgent requests")
        self.metrics.observe_refusal_time("overloaded", 0.001)
        self.assertEqual(self.read_sample("free_slots", service="stock"), 2.0)
        bucket = self.read_sample(
            "target_queue_fill_bucket", service="stock", le="0.75"
        )
        self.assertEqual(bucket, 1.0)
        shed = self.read_sample("shed_requests_total", reason="more urgent requests")
        self.assertEqual(shed, 1.0)
        seconds = self.read_sample("refusal_seconds_count", reason="overloaded")
        self.assertEqual(seconds, 1.0)
