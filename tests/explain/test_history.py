"""Tests of the history of a request and its output."""

import json
import unittest

from carobladder.explain.command import render_json, render_table
from carobladder.explain.history import explain_request
from carobladder.explain.lines import parse_log_lines


def write(instance: str, seconds: float, event: str, **fields) -> str:
    """Return a log line in JSON."""
    time = f"2026-12-04 10:00:{seconds:06.3f}"
    document = {"time": time, "level": "INFO", "event": event, "instance": instance}
    return json.dumps({**document, **fields})


LINES = [
    write("a", 1, "configuration_in_force", version=7),
    write("a", 2, "target_seen", target="i-1", draining=False),
    write("a", 2, "target_seen", target="i-2", draining=False),
    write("a", 3, "target_suspected", target="i-1", failures=1, why="silent"),
    write("a", 4, "request_placed", request_id="r1", target="i-1", load=3),
    write("a", 4, "request_placed", request_id="r2", target="i-2", load=1),
    write("a", 5, "attempt_failed", request_id="r1", target="i-1", why="reset"),
    write("a", 5, "request_refused", request_id="r1", status=502, why="may have run"),
    write("a", 6, "target_gone", target="i-1", why="removed"),
    write("b", 3, "fence_closed", age_seconds=4.6),
    write("b", 3.5, "request_refused", request_id="r1", status=503, why="not read"),
]


class ExplainTest(unittest.TestCase):
    """A history must include the state on which each decision was based."""

    def explain(self, request_id: str, texts=LINES):
        return explain_request(request_id, parse_log_lines(texts))

    def events(self, history):
        return [(step.line.event, step.is_context) for step in history.steps]

    def test_history_has_decisions_and_their_context_in_order(self):
        history = self.explain("r1")
        self.assertEqual(
            self.events(history),
            [
                ("fence_closed", True),
                ("request_refused", False),
                ("configuration_in_force", True),
                ("target_suspected", True),
                ("request_placed", False),
                ("attempt_failed", False),
                ("request_refused", False),
            ],
        )

    def test_context_of_earlier_run_of_instance_is_omitted(self):
        texts = [
            write("a", 1, "store_lost", incarnation=1, why="down"),
            write("a", 2, "target_suspected", incarnation=1, target="i-1"),
            write("a", 3, "instance_started", incarnation=2),
            write(
                "a", 4, "request_placed", incarnation=2, request_id="r1", target="i-1"
            ),
            write("a", 5, "target_suspected", incarnation=2, target="i-1"),
        ]
        history = self.explain("r1", texts)
        self.assertEqual(
            self.events(history),
            [("instance_started", True), ("request_placed", False)],
        )
        self.assertNotIn("incarnation", render_table(history))
        self.assertIn('"incarnation":2', render_json(history))

    def test_cause_comes_from_last_event(self):
        texts = [text for text in LINES if '"instance": "a"' in text]
        self.assertEqual(
            self.explain("r1", texts).cause, "refused with 502: may have run"
        )

    def test_cause_says_that_no_end_was_logged(self):
        self.assertIn("no end was logged", self.explain("r2").cause)

    def test_unknown_request_has_empty_history(self):
        history = self.explain("r9")
        self.assertEqual((history.steps, history.cause[:7]), ((), "no line"))

    def test_truncated_lines_prefixes_and_other_output_are_ignored(self):
        texts = [LINES[4][:40], "Traceback", "[]", '{"event": 3}', "", *LINES]
        texts = [f"  4.1 front-1 {text}" for text in texts]
        self.assertEqual(len(self.explain("r1", texts).steps), 7)

    def test_clock_set_back_does_not_reorder_events_of_instance(self):
        texts = [
            write("a", 30, "request_placed", request_id="r1", target="i-1"),
            write("a", 10, "request_answered", request_id="r1", status=200),
        ]
        events = [event for event, _ in self.events(self.explain("r1", texts))]
        self.assertEqual(events, ["request_placed", "request_answered"])

    def test_table_and_json_output(self):
        history = self.explain("r1")
        table = render_table(history)
        self.assertIn("(target_suspected)", table)
        self.assertTrue(table.splitlines()[-1].startswith("request r1: refused"))
        document = json.loads(render_json(history))
        self.assertEqual(len(document["steps"]), 7)
        self.assertEqual(document["steps"][0]["belief"], True)
