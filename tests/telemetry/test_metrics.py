"""Tests of the labels of the gateway metrics."""

import unittest

from carobladder.targets import RequestClass
from carobladder.telemetry import GatewayMetrics


class GatewayMetricsTest(unittest.TestCase):
    """Guard against label sets that grow with the number of teams."""

    def read_count(self, metrics, team):
        name = "carobladder_team_request_seconds_count"
        return metrics.registry.get_sample_value(name, {"team": team})

    def test_teams_beyond_the_limit_share_a_label(self):
        metrics = GatewayMetrics(team_limit=2)
        for team in ("a", "b", "c", "d", "a"):
            metrics.observe_request(team, RequestClass.QUICK, 0.1)
        counts = [self.read_count(metrics, team) for team in ("a", "b", "c", "other")]
        self.assertEqual(counts, [2.0, 1.0, None, 2.0])

    def test_chunk_gaps_are_recorded_by_request_class(self):
        metrics = GatewayMetrics()
        metrics.create_gap_observer(RequestClass.LONG)(0.03)
        text = metrics.render().decode()
        self.assertIn('carobladder_inter_token_seconds_count{class="long"} 1.0', text)
