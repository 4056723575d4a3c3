"""Tests of the capacity page and the figures behind it."""

import json
import unittest

import msgspec

from benchmarks import slopes_state
from benchmarks.capacity_page import find_missed, render_page
from benchmarks.capacity_rows import list_needs
from benchmarks.slopes import PAGE, RESULTS, load_results
from benchmarks.slopes_collect import Results
from benchmarks.slopes_fit import Series, fit_series
from benchmarks.slopes_fleet import add_up
from benchmarks.slopes_peers import measure_peers


def _change(results: Results, name: str, factor: float) -> Results:
    """Return the results with one series multiplied by a factor."""
    plain = msgspec.to_builtins(results)
    item = plain["measured"][name]
    points = item["series"]["points"]
    item["series"]["points"] = [[x, y * factor] for x, y in points]
    for field in ("slope", "intercept", "extrapolated"):
        item["fit"][field] *= factor
    return msgspec.convert(plain, type=Results)


class PageTest(unittest.TestCase):
    """Test that the page says what was measured."""

    def test_page_agrees_with_file(self) -> None:
        """Guard against a page that was edited by hand or not rendered."""
        page = PAGE.read_text(encoding="utf-8")
        self.assertEqual(render_page(page, load_results()), page)

    def test_every_table_is_rendered(self) -> None:
        """Guard against a renamed block that silently stays as it is."""
        page = PAGE.read_text(encoding="utf-8")
        changed = _change(load_results(), "config.state_bytes", 3.0)
        self.assertNotEqual(render_page(page, changed), page)
        self.assertEqual(page.count("<!-- table: "), page.count("<!-- end -->"))

    def test_figures_of_the_file_decide_the_verdict(self) -> None:
        """Guard against a verdict that does not follow from the figures."""
        results = load_results()
        name = "config.apply_seconds"
        for factor, missed in ((1e-9, False), (1e9, True)):
            changed = _change(results, name, factor)
            changed = _change(changed, "config.index_seconds", factor)
            found = {need.series for need in find_missed(changed)}
            self.assertEqual("config.index_seconds" in found, missed)

    def test_lines_of_the_file_follow_from_its_points(self) -> None:
        """Guard against slopes that were changed without their points."""
        for item in load_results().measured.values():
            again = fit_series(item.series)
            self.assertAlmostEqual(again.slope, item.fit.slope)
            self.assertAlmostEqual(again.extrapolated, item.fit.extrapolated)

    def test_each_missed_limit_names_what_mends_it(self) -> None:
        """Guard against a missed limit without a mechanism."""
        for need in find_missed(load_results()):
            self.assertTrue(need.mechanism, need.quantity)

    def test_relayed_traffic_is_no_control(self) -> None:
        """Guard against relayed traffic inside the figures of control."""
        needs = list_needs(load_results())
        roles = {need.role for need in needs if need.series.startswith("relay.")}
        self.assertEqual(roles, {"entry, relayed"})

    def test_file_is_whole(self) -> None:
        """Guard against a file without its load average or its seed."""
        plain = json.loads(RESULTS.read_bytes())
        self.assertTrue(plain["load_before"] and plain["load_after"])
        self.assertIsInstance(plain["seed"], int)


class SlopeTest(unittest.TestCase):
    """Test the lines and the counts."""

    def test_quadratic_cost_shows(self) -> None:
        """Guard against a cost that grows with the square and is read as a line."""
        points = [(x, 2.0 + 3.0 * x * x) for x in (10.0, 100.0, 800.0)]
        square = Series("a", "a", "s", "instances", points, 800.0, "test", power=2)
        fit = fit_series(square)
        self.assertAlmostEqual(fit.slope, 3.0)
        self.assertAlmostEqual(fit.error, 0.0)
        self.assertAlmostEqual(fit.exponent, 2.0, places=2)
        line = msgspec.structs.replace(square, power=1)
        self.assertGreater(fit_series(line).error, 0.01)

    def test_each_peer_hears_four_heartbeats_a_second(self) -> None:
        """Guard against a bench whose messages are refused or not answered."""
        cost = measure_peers(4, 16)
        # Three peers: a heartbeat and an answer each way, four times a second.
        # One each way; the answers ride on them.
        self.assertEqual(cost.messages, 3 * 4 * 2)
        self.assertGreater(cost.bytes_sent, 0)

    def test_every_measurement_fits_the_present_code(self) -> None:
        """Guard against a changed message or record that stops ``make slopes``."""
        for measure_one in (
            slopes_state.measure_config,
            slopes_state.measure_request,
            slopes_state.measure_list,
            slopes_state.measure_evidence,
        ):
            cost = measure_one(2)
            # Times are left out, since a verdict must not depend on them.
            sizes = [name for name in cost.__slots__ if name.endswith("_bytes")]
            for name in sizes:
                self.assertGreater(getattr(cost, name), 0, name)
        self.assertGreater(slopes_state.measure_claims(10).record_bytes, 0)
        self.assertGreater(slopes_state.measure_metrics(2)[0], 0)

    def test_bytes_of_new_connections_count_whole(self) -> None:
        """Guard against reconnections that hide traffic."""
        old = [{"local": "a:1", "remote": "log:1", "sent": 10, "received": 5}]
        new = [
            {"local": "a:1", "remote": "log:1", "sent": 13, "received": 5},
            {"local": "a:2", "remote": "log:1", "sent": 2, "received": 1},
            {"local": "a:3", "remote": "other:1", "sent": 99, "received": 99},
        ]
        self.assertEqual(add_up(old, new, {"log:1": "log"}), {"log": 6})
