"""Tests of the predictions that requests leave in the log and in the metrics."""

from unittest import mock

from carobladder.telemetry import RequestPlaced
from tests.forwarding.test_handler import ForwardingTest, respond_with_status

SLOW = "Carobladder-Server-Load: 2,0,8,250\r\n"


class PredictionLogTest(ForwardingTest):
    """Guard against choices whose reasons can't be found afterwards."""

    async def call(self, script, count: int) -> list[RequestPlaced]:
        """Return the log lines of requests, sent one after the other."""
        self.instance = await self.start(script)
        with mock.patch("carobladder.forwarding.sends.emit") as emit:
            for _ in range(count):
                await self.instance.call("/safe/x")
        events = [call.args[0] for call in emit.call_args_list]
        return [event for event in events if isinstance(event, RequestPlaced)]

    async def test_line_names_the_stated_figures_and_their_ages(self):
        first, *_, last = await self.call(respond_with_status("200 OK", SLOW), 3)
        self.assertEqual(first.slowness, 1.0)
        self.assertIsNone(first.slowness_age_seconds)
        self.assertIsNone(first.load_age_seconds)
        self.assertGreater(last.slowness, 1.5)
        self.assertLess(last.slowness_age_seconds, 5.0)
        self.assertLess(last.load_age_seconds, 5.0)
        self.assertGreaterEqual(last.predicted_seconds, 0.0)

    async def test_later_responses_are_compared_with_their_predictions(self):
        """The first response of a route only sets the usual time."""
        await self.call(respond_with_status("200 OK", SLOW), 3)
        rendered = self.instance.metrics.render().decode()
        self.assertRegex(rendered, r"prediction_ratio_count\{service=\"[^\"]*\"\} 2\.0")

    async def test_refusals_say_nothing_about_speed(self):
        """A full target refuses at once and must not seem to be fast."""
        refusal = f"{SLOW}Carobladder-Not-Executed: 1\r\n"
        await self.call(respond_with_status("503 Service Unavailable", refusal), 4)
        rendered = self.instance.metrics.render().decode()
        self.assertNotIn("prediction_ratio_count{", rendered)
