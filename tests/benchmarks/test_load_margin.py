"""Tests of the count of requests to targets above the load bound."""

import json
import unittest

from benchmarks.load_margin import count_arrivals, find_worst_window, render_table


def write(at: float, event: str, instance: str = "front-1", **fields: object) -> str:
    """Return a line as the bench prints it."""
    document = {"time": "t", "event": event, "instance": instance, **fields}
    return f"{at:9.4f} {instance} {json.dumps(document)}"


def place(at: float, number: int, target: str, load: float | None = 1.0) -> str:
    """Return the line of a request that is sent."""
    fields = {"request_id": f"r{number}", "target": target, "service": "engine"}
    if load is not None:
        fields["load"] = load
    return write(at, "request_placed", **fields)


def see(*targets: str) -> list[str]:
    """Return the lines of two instances that know these targets."""
    return [
        write(0.0, "target_seen", instance, target=target, service="engine")
        for target in targets
        for instance in ("front-1", "front-2")
    ]


class LoadMarginTest(unittest.TestCase):
    """Guard against excesses of the bound that the count of a play misses."""

    def count_above(self, lines: list[str]) -> int:
        return sum(arrival.is_above for arrival in count_arrivals(lines))

    def test_idle_targets_lower_the_bound(self):
        """Requests at one of two targets double the mean, at one of four half of it."""
        sends = [place(1.0 + n / 100, n, "a") for n in range(10)]
        self.assertEqual(self.count_above(see("a", "b") + sends), 0)
        self.assertEqual(self.count_above(see("a", "b", "c", "d") + sends), 3)

    def test_ended_requests_and_targets_that_are_gone_do_not_count(self):
        sends = [place(1.0 + n / 100, n, "a") for n in range(10)]
        ends = [write(2.0, "request_answered", request_id=f"r{n}") for n in range(5)]
        last = place(3.0, 99, "a")
        lines = see("a", "b", "c", "d") + sends + ends
        self.assertFalse(count_arrivals([*lines, last])[-1].is_above)
        gone = [write(0.5, "target_gone", target=name) for name in ("c", "d")]
        self.assertEqual(self.count_above(see("a", "b", "c", "d") + gone + sends), 0)

    def test_request_that_is_sent_again_leaves_its_first_target(self):
        sends = [place(1.0 + n / 100, n, "a") for n in range(8)]
        again = [place(2.0 + n / 100, n, "b") for n in range(8)]
        arrivals = count_arrivals(see("a", "b") + sends + again)
        self.assertEqual([arrival.held for arrival in arrivals[8:]], list(range(8)))

    def test_expected_excess_is_told_from_one_that_was_not_known(self):
        lines = see("a", "b", "c", "d")
        lines += [place(1.0 + n / 100, n, "a") for n in range(8)]
        lines += [place(2.0, 8, "a", 12.0), place(2.1, 9, "a", None)]
        above = [arrival for arrival in count_arrivals(lines) if arrival.is_above]
        self.assertEqual([arrival.was_known for arrival in above], [False, True, False])
        table = render_table({"day": above})
        self.assertIn("| day | engine | 3 | 3 | 1 | 3 of 3 until 2.1 s |", table)

    def test_window_is_five_seconds_long_and_slides(self):
        lines = see("a", "b", "c", "d")
        lines += [place(1.0 + n, n, "a") for n in range(20)]
        count, total, _ = find_worst_window(count_arrivals(lines))
        self.assertEqual((count, total), (5, 5))

    def test_output_without_a_time_is_skipped(self):
        lines = ["built in 3 s", '{"event": "request_placed"}', "x {"]
        self.assertEqual(count_arrivals(lines), [])


if __name__ == "__main__":
    unittest.main()
