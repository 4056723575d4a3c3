"""Tests that each judge of the soak finds what it is there for."""

import unittest
from dataclasses import replace

from tests.soak.judges import judge
from tests.soak.records import (
    ROUTES,
    TENANT,
    End,
    Record,
    Run,
    Sent,
    Stall,
    Start,
    Termination,
)

REQUEST_ID = "00112233445566ff"
RECEIPT = f"i-1.{REQUEST_ID}.0"


def build_sent(route: str, **fields: object) -> Sent:
    """Return a request that was answered 0.1 s after its last byte."""
    sent = Sent(
        REQUEST_ID,
        ROUTES[route],
        "POST",
        f"/{route}/1",
        b"body",
        "front-0",
        9000,
        began=10.0,
        sent=10.1,
        ended=10.2,
        end=End.ANSWERED,
        status=200,
        headers={
            "carobladder-request-id": REQUEST_ID,
            "carobladder-response-signature": RECEIPT,
        },
        answer=b"whole",
    )
    return replace(sent, **fields)


def build_run(route: str, **fields: object) -> Run:
    """Return the run of this request."""
    path = f"/{route}/1"
    run = Run(REQUEST_ID, RECEIPT, "POST", path, b"body", TENANT, 10.1, b"whole")
    return replace(run, **fields)


def list_rules(sent: list[Sent], runs: list[Run], **fields: object) -> list[str]:
    """Return the rules that the findings of a record name."""
    record = Record(sent=sent, runs=runs, **fields)
    return [finding.rule for finding in judge(record)]


class SoundTest(unittest.TestCase):
    """Records without a fault."""

    # A judge that finds faults in sound records.
    def test_finds_nothing_in_sound_requests(self):
        for route in ROUTES:
            rules = list_rules([build_sent(route)], [build_run(route)])
            self.assertEqual(rules, [], route)

    # A second run of a request that may be repeated, taken for a fault.
    def test_allows_repeated_idempotent_requests(self):
        for route in ("look", "chat"):
            runs = [build_run(route), build_run(route, receipt="i-2")]
            self.assertEqual(list_rules([build_sent(route)], runs), [], route)

    # A request that crosses the close of its connection, taken for a lost one.
    def test_allows_a_cut_within_the_crossing_time(self):
        sent = build_sent("order", end=End.CUT, status=0, answer=b"", ended=10.25)
        self.assertEqual(list_rules([sent], []), [])

    # A target's own break, a used time limit or the grace time, taken for a loss.
    def test_allows_the_exceptions_of_a_loss(self):
        cut = build_sent("order", end=End.CUT, status=0, answer=b"", ended=13.0)
        run = build_run("order")
        broken = replace(run, broke_off=True)
        self.assertEqual(list_rules([cut], [broken]), [])
        self.assertEqual(list_rules([replace(cut, ended=14.0)], [run]), [])

    # The last sixth of the grace time, taken for a cut of the instance's own.
    def test_allows_cuts_of_early_requests_at_the_end_of_the_grace_time(self):
        sent = build_sent("draft", end=End.CUT, answer=b"", sent=11.0, ended=15.4)
        run = build_run("draft", dropped=15.4)
        terminations = [Termination("front-0", 8.0)]
        rules = list_rules(
            [sent], [run], terminations=terminations, exits=[("front-0", 15.5)]
        )
        self.assertEqual(rules, [])

    # Times that a busy machine makes late, taken for those of the instance.
    def test_allows_bounds_that_stalls_move(self):
        late = build_sent("order", end=End.GIVEN_UP, status=0, ended=15.0)
        cut = build_sent("order", end=End.CUT, status=0, answer=b"", ended=10.7)
        slow = build_sent("look", end=End.UNCONNECTED, status=0, sent=None, ended=11.01)
        starts = [Start("front-0", 1.0, 2.0)]
        for instance in ("", "front-0"):
            stalls = [Stall(instance, 10.15, 10.65)]
            for sent in (late, cut, slow):
                rules = list_rules([sent], [], starts=starts, stalls=stalls)
                self.assertEqual(rules, [], sent)

    # Processes that end in time, or late only by a stall, taken for ones that hang.
    def test_allows_ends_in_time(self):
        for listening, ended, stalls in (
            (True, 17.9, []),
            (True, 18.4, [Stall("front-0", 11.0, 11.5)]),
            (False, 10.9, []),
            (False, 11.4, [Stall("", 10.2, 10.7)]),
        ):
            terminations = [Termination("front-0", 10.0, listening)]
            exits = [("front-0", 5.0), ("front-0", ended), ("front-0", 30.0)]
            rules = list_rules(
                [], [], terminations=terminations, exits=exits, stalls=stalls
            )
            self.assertEqual(rules, [], ended)

    # A start that takes seconds, taken for an instance that refuses connections.
    def test_allows_refused_connections_before_an_instance_is_ready(self):
        sent = build_sent("look", end=End.REFUSED, status=0, sent=None)
        for start in (Start("front-0", 1.0, 10.05), Start("front-0", 1.0)):
            self.assertEqual(list_rules([sent], [], starts=[start]), [], start)

    # A failure of the instance's own after one of its target, taken for a lost answer.
    def test_allows_a_failure_after_a_failed_run(self):
        sent = build_sent("look", status=502, headers={}, answer=b"")
        self.assertEqual(list_rules([sent], [build_run("look", status=500)]), [])


class FaultTest(unittest.TestCase):
    """Records with one planted fault."""

    # A second run of a request that may run once.
    def test_finds_double_runs(self):
        for route in ("order", "brief", "draft"):
            runs = [build_run(route), build_run(route, receipt="i-2")]
            self.assertEqual(list_rules([build_sent(route)], runs), ["TWICE"], route)

    # A status that promises that the request has not run.
    def test_finds_refusals_of_requests_that_ran(self):
        for status in (408, 421, 429, 503):
            sent = build_sent("order", status=status, headers={}, answer=b"")
            self.assertIn("REFUSED", list_rules([sent], [build_run("order")]))

    # An answer of another request, or one without a receipt or with another's.
    def test_finds_answers_of_other_requests(self):
        other = {"carobladder-request-id": "0" * 16}
        forged = {"carobladder-response-signature": "i-9"}
        for headers in (other, forged, {}):
            sent = build_sent("look", headers=headers)
            rules = list_rules([sent], [build_run("look")])
            self.assertEqual(rules, ["MIXED"], headers)

    # A body that is short, changed or of another status than the target's.
    def test_finds_spoiled_answers(self):
        for fields in ({"answer": b"who"}, {"answer": b"whale"}, {"status": 201}):
            sent = build_sent("look", **fields)
            rules = list_rules([sent], [build_run("look")])
            self.assertEqual(rules, ["MIXED"], fields)

    # A cut answer whose first bytes are not the target's.
    def test_finds_spoiled_parts_of_cut_answers(self):
        sent = build_sent("look", end=End.CUT, answer=b"wha")
        run = build_run("look", broke_off=True)
        self.assertEqual(list_rules([sent], [run]), ["MIXED"])

    # A request that was passed on and whose connection ends without an answer.
    def test_finds_cuts_after_a_request_was_passed_on(self):
        sent = build_sent("order", end=End.CUT, status=0, answer=b"")
        self.assertEqual(list_rules([sent], [build_run("order")]), ["LOST"])

    # An early break that excuses the cut of a later, sound run.
    def test_finds_cuts_of_repeated_requests(self):
        sent = build_sent("look", end=End.CUT, status=0, answer=b"")
        broken = build_run("look", broke_off=True)
        runs = [broken, build_run("look", receipt="i-2")]
        self.assertEqual(list_rules([sent], runs), ["LOST"])

    # A stream of a sound target that ends before its last event.
    def test_finds_cut_streams(self):
        sent = build_sent("draft", end=End.CUT, answer=b"who", ended=14.0)
        self.assertEqual(list_rules([sent], [build_run("draft")]), ["LOST"])

    # A whole request whose connection is closed later, without a run.
    def test_finds_late_cuts(self):
        sent = build_sent("order", end=End.CUT, status=0, answer=b"", ended=10.4)
        self.assertEqual(list_rules([sent], []), ["LOST"])

    # A grace time that excuses a request sent long after SIGTERM, a target that had
    # finished its work, or a cut before the last sixth.
    def test_finds_other_cuts_at_the_end_of_the_grace_time(self):
        for at, dropped in ((7.0, 15.0), (8.2, None), (8.2, 14.8)):
            sent = build_sent("draft", end=End.CUT, answer=b"", ended=15.0)
            run = build_run("draft", dropped=dropped)
            terminations = [Termination("front-0", at)]
            rules = list_rules(
                [sent], [run], terminations=terminations, exits=[("front-0", 15.0)]
            )
            self.assertEqual(rules, ["LOST"], at)

    # A limit that is nearly reached, taken for one that is reached.
    def test_finds_cuts_shortly_before_the_time_limit(self):
        sent = build_sent("order", end=End.CUT, status=0, answer=b"", ended=13.9)
        self.assertEqual(list_rules([sent], [build_run("order")]), ["LOST"])

    # A stall that excuses what is no lateness, or more than its own length.
    def test_finds_faults_beside_stalls(self):
        starts = [Start("front-0", 1.0, 2.0)]
        cut = build_sent("order", end=End.CUT, status=0, answer=b"", ended=11.0)
        late = build_sent("order", end=End.GIVEN_UP, status=0, ended=15.0)
        refused = build_sent("look", end=End.REFUSED, status=0, sent=None, ended=10.7)
        slow = build_sent("look", end=End.UNCONNECTED, status=0, sent=None, ended=11.6)
        for sent, runs, length in (
            (cut, [build_run("order")], 0.9),
            (cut, [], 0.6),
            (late, [], 0.4),
            (refused, [], 0.5),
            (slow, [], 0.5),
        ):
            for instance in ("", "front-0"):
                stalls = [Stall(instance, 10.05, 10.05 + length)]
                rules = list_rules([sent], runs, starts=starts, stalls=stalls)
                self.assertEqual(rules, ["LOST"], sent)

    # A stall of another instance or at another time that moves a bound.
    def test_finds_late_ends_beside_other_stalls(self):
        sent = build_sent("order", end=End.GIVEN_UP, status=0, ended=15.0)
        for stall in (Stall("front-1", 11.0, 14.0), Stall("", 2.0, 5.0)):
            self.assertEqual(list_rules([sent], [], stalls=[stall]), ["LOST"], stall)

    # Stalls of the soak and of an instance at the same time that are counted twice.
    def test_finds_late_ends_beside_common_stalls(self):
        sent = build_sent("order", end=End.GIVEN_UP, status=0, ended=15.0)
        stalls = [Stall("", 11.0, 11.4), Stall("front-0", 11.1, 11.4)]
        self.assertEqual(list_rules([sent], [], stalls=stalls), ["LOST"])

    # A connection that waits for a process that is starting.
    def test_finds_requests_without_an_end_in_a_start(self):
        sent = build_sent("brief", end=End.GIVEN_UP, status=0, ended=12.0)
        starts = [Start("front-0", 9.5, 11.0, 1.0)]
        self.assertEqual(list_rules([sent], [], starts=starts), ["LOST"])

    # A process that outlives its grace time, or drains though nobody could connect.
    def test_finds_late_ends_of_processes(self):
        for listening, exits in (
            (True, [("front-0", 18.2)]),
            (True, [("front-1", 12.0)]),
            (False, [("front-0", 11.1)]),
            (False, [("front-0", 9.0), ("front-0", 12.4)]),
        ):
            terminations = [Termination("front-0", 10.0, listening)]
            rules = list_rules([], [], terminations=terminations, exits=exits)
            self.assertEqual(rules, ["FAULT"], exits)

    # A failure of the instance's own while the target works.
    def test_finds_failures_beside_sound_targets(self):
        for status in (500, 502, 504):
            sent = build_sent("order", status=status, headers={}, answer=b"")
            self.assertEqual(list_rules([sent], [build_run("order")]), ["LOST"])

    # A process that refuses connections while it runs, or while it drains.
    def test_finds_refused_connections(self):
        sent = build_sent("look", end=End.REFUSED, status=0, sent=None)
        starts = [Start("front-0", 1.0, 2.0)]
        for exits, rules in (
            ([], ["LOST"]),
            ([("front-0", 11.0)], ["LOST"]),
            ([("front-0", 9.0)], []),
            ([("front-0", 10.3)], []),
        ):
            found = list_rules([sent], [], starts=starts, exits=exits)
            self.assertEqual(found, rules, exits)

    # A process that leaves connections waiting in its full queue.
    def test_finds_connections_that_are_not_made(self):
        sent = build_sent("look", end=End.UNCONNECTED, status=0, sent=None, ended=11.01)
        starts = [Start("front-0", 1.0, 2.0)]
        self.assertEqual(list_rules([sent], [], starts=starts), ["LOST"])

    # A request that hangs beyond its time limit.
    def test_finds_requests_without_an_end(self):
        sent = build_sent("order", end=End.GIVEN_UP, status=0, ended=16.0)
        self.assertEqual(list_rules([sent], []), ["LOST"])

    # A run that no caller sent, or that differs from what the caller sent.
    def test_finds_changed_requests(self):
        for fields in (
            {"request_id": "0" * 16},
            {"method": "GET"},
            {"path": "/look/2"},
            {"body": b"bod"},
            {"tenant": ""},
            {"key": "k"},
        ):
            run = build_run("look", **fields)
            left = build_sent("look", end=End.LEFT, status=0, headers={}, answer=b"")
            self.assertEqual(list_rules([left], [run]), ["UNASKED"], fields)

    # A process that ends alone.
    def test_finds_faults_of_processes(self):
        self.assertEqual(list_rules([], [], faults=["ended alone"]), ["FAULT"])


if __name__ == "__main__":
    unittest.main()
