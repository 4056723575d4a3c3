"""Tests of the committed traces and of the comparison with stated outcomes."""

import contextlib
import io
import shutil
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import cappa

from carobladder.bookings import ClaimLedger
from carobladder.cli import Carobladder
from carobladder.placement.policy import PlacementPolicy
from carobladder.replay import TraceError, replay_trace
from carobladder.replay.comparison import outcomes_path
from tests.faults.record_traces import MAX_TRACE_BYTES, TRACES
from tests.peers import variants

NAMES = ("v", "s")


def replay(name: str):
    """Replay a committed trace."""
    return replay_trace(TRACES / f"{name}.jsonl")


class CommittedTraceTest(unittest.TestCase):
    """Guard against a change of code that decides otherwise than recorded."""

    def test_decisions_of_both_deployments_are_repeated(self):
        for name in NAMES:
            with self.subTest(trace=name):
                found = replay(name)
                self.assertEqual(found.differences, [])
                self.assertGreater(found.decisions, 500)
                self.assertGreater(found.summary.with_token, 0)
                self.assertGreater(len(found.summary.sends), 0)

    def test_traces_stay_small(self):
        for name in NAMES:
            path = TRACES / f"{name}.jsonl"
            self.assertLess(path.stat().st_size, MAX_TRACE_BYTES)


class ChangedDecisionTest(unittest.TestCase):
    """Guard against a comparison that agrees whatever is decided."""

    def assert_differs(self, kind: str):
        found = replay("s")
        self.assertFalse(found.agrees)
        self.assertTrue(any(kind in line for line in found.differences))

    def test_other_ranking_is_found(self):
        original = PlacementPolicy._rank_by_hash

        def reverse(self, request, ids):
            return original(self, request, ids)[::-1]

        with mock.patch.object(PlacementPolicy, "_rank_by_hash", reverse):
            self.assert_differs("Request decided")

    def test_ignored_tokens_are_found(self):
        with mock.patch(
            "carobladder.placement.policy._find_token_target", lambda *_: None
        ):
            self.assert_differs("Request decided")

    def test_other_division_of_slots_is_found(self):
        with variants.undivided_budget():
            self.assert_differs("Message decided")

    def test_ledger_that_knows_no_claim_is_found(self):
        def find(self, team, key):
            return None

        with mock.patch.object(ClaimLedger, "find", find):
            self.assert_differs("Claimed decided")


class CommandTest(unittest.TestCase):
    """Guard the exit status that scripts rely on."""

    def setUp(self):
        self.directory = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.trace = self.directory / "s.jsonl"
        source = TRACES / "s.jsonl"
        shutil.copy(source, self.trace)
        shutil.copy(outcomes_path(source), outcomes_path(self.trace))

    def run_command(self) -> tuple[int, str]:
        output = io.StringIO()
        status = 0
        with contextlib.redirect_stdout(output):
            try:
                cappa.invoke(Carobladder, argv=["replay", str(self.trace)])
            except cappa.Exit as exit_error:
                status = int(exit_error.code or 0)
            except SystemExit as exit_error:
                status = int(exit_error.code or 0)
        return status, output.getvalue()

    def test_agreement_gives_status_0(self):
        status, output = self.run_command()
        self.assertEqual(status, 0)
        self.assertIn(" 0 differences", output)

    def test_changed_outcome_gives_status_1_and_its_line(self):
        path = outcomes_path(self.trace)
        lines = path.read_text().splitlines()
        changed = next(i for i, line in enumerate(lines) if '"send"' in line)
        lines[changed] = lines[changed].replace('"send"', '"follow"')
        path.write_text("\n".join(lines) + "\n")
        status, output = self.run_command()
        self.assertEqual(status, 1)
        self.assertIn("Claimed decided 'send', stated 'follow'", output)

    def test_missing_decision_gives_status_1(self):
        lines = self.trace.read_text().splitlines()
        self.trace.write_text("\n".join(lines[:-200]) + "\n")
        self.assertEqual(self.run_command()[0], 1)

    def test_unreadable_trace_gives_status_2(self):
        self.trace.write_text("{}\n")
        self.assertEqual(self.run_command()[0], 2)
        with self.assertRaises(TraceError):
            replay_trace(self.directory / "none.jsonl")
