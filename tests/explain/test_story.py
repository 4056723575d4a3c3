"""Tests of the explanation of a request."""

import json
import unittest

from carobladder.explain.command import render_json, render_table
from carobladder.explain.lines import read_lines
from carobladder.explain.story import explain_request


def write(instance: str, seconds: float, event: str, **fields) -> str:
    """Return a log line."""
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
    """Guard against a story that leaves out the belief that decided."""

    def explain(self, request_id: str, texts=LINES):
        return explain_request(request_id, read_lines(texts))

    def events(self, story):
        return [(step.line.event, step.belief) for step in story.steps]

    def test_decisions_and_their_beliefs_in_order(self):
        story = self.explain("r1")
        self.assertEqual(
            self.events(story),
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

    def test_beliefs_of_an_earlier_run_of_the_instance_are_left_out(self):
        texts = [
            write("a", 1, "store_lost", incarnation=1, why="down"),
            write("a", 2, "target_suspected", incarnation=1, target="i-1"),
            write("a", 3, "instance_started", incarnation=2),
            write(
                "a", 4, "request_placed", incarnation=2, request_id="r1", target="i-1"
            ),
            write("a", 5, "target_suspected", incarnation=2, target="i-1"),
        ]
        story = self.explain("r1", texts)
        self.assertEqual(
            self.events(story),
            [("instance_started", True), ("request_placed", False)],
        )
        self.assertNotIn("incarnation", render_table(story))
        self.assertIn('"incarnation":2', render_json(story))

    def test_cause_is_that_of_the_last_event(self):
        texts = [text for text in LINES if '"instance": "a"' in text]
        self.assertEqual(
            self.explain("r1", texts).cause, "refused with 502: may have run"
        )

    def test_request_without_an_end(self):
        self.assertIn("no end was logged", self.explain("r2").cause)

    def test_unknown_request(self):
        story = self.explain("r9")
        self.assertEqual((story.steps, story.cause[:7]), ((), "no line"))

    def test_torn_lines_prefixes_and_other_output(self):
        texts = [LINES[4][:40], "Traceback", "[]", '{"event": 3}', "", *LINES]
        texts = [f"  4.1 front-1 {text}" for text in texts]
        self.assertEqual(len(self.explain("r1", texts).steps), 7)

    def test_clock_that_was_set_back_does_not_reorder_an_instance(self):
        texts = [
            write("a", 30, "request_placed", request_id="r1", target="i-1"),
            write("a", 10, "request_answered", request_id="r1", status=200),
        ]
        events = [event for event, _ in self.events(self.explain("r1", texts))]
        self.assertEqual(events, ["request_placed", "request_answered"])

    def test_output(self):
        story = self.explain("r1")
        table = render_table(story)
        self.assertIn("(target_suspected)", table)
        self.assertTrue(table.splitlines()[-1].startswith("request r1: refused"))
        document = json.loads(render_json(story))
        self.assertEqual(len(document["steps"]), 7)
        self.assertEqual(document["steps"][0]["belief"], True)
