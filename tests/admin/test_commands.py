"""Tests of the operators' commands against the interface over loopback."""

import asyncio
import contextlib
import io
import json
import tempfile
import unittest
from dataclasses import dataclass
from pathlib import Path

import cappa

from carobladder.admin.client import AdminClient
from carobladder.admin.commands import (
    ApplyCommand,
    DeleteCommand,
    DiffCommand,
    GetCommand,
)
from carobladder.admin.move_commands import DrainCommand, MoveCommand, PlanCommand
from carobladder.clock import SystemClock
from carobladder.exceptions import ClientError
from tests.admin.harness import ADMIN_KEY
from tests.admin.loopback import LoopbackServer

MODEL = {"versions": ["v1", "v2"], "shares": {"v1": 1.0}}


@cappa.command(name="operator")
@dataclass
class Operator:
    """Run one of the commands."""

    command: cappa.Subcommands[
        ApplyCommand
        | DeleteCommand
        | DiffCommand
        | GetCommand
        | DrainCommand
        | MoveCommand
        | PlanCommand
    ]


class CommandTest(unittest.TestCase):
    """Guard against exit statuses and output that mislead a script."""

    def setUp(self):
        self.server = self.enterContext(LoopbackServer.serve())
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))

    def run_command(self, *arguments, key=ADMIN_KEY, address=None):
        """Return exit status and standard output of a command."""
        output = io.StringIO()
        options = ["--server", address or self.server.address, "--key", key]
        with (
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(io.StringIO()),
            self.assertRaises(cappa.Exit) as caught,
        ):
            cappa.invoke(Operator, argv=[*arguments, *options])
        return caught.exception.code, output.getvalue()

    def write(self, *items):
        path = self.folder / "resources.jsonl"
        path.write_text("\n".join(json.dumps(item) for item in items))
        return str(path)

    def apply(self, kind, name, spec, *options):
        path = self.write({"kind": kind, "name": name, "spec": spec})
        return self.run_command("apply", "-f", path, "--output", "json", *options)

    def test_apply_is_idempotent_and_orders_by_reference(self):
        path = self.write(
            {"kind": "team", "name": "a", "spec": {"models": ["m"]}},
            {"kind": "model", "name": "m", "spec": MODEL},
        )
        status, first = self.run_command("apply", "-f", path, "--output", "json")
        self.assertEqual(status, 0)
        kinds = [json.loads(line)["kind"] for line in first.splitlines()]
        self.assertEqual(kinds, ["model", "team"])
        status, again = self.run_command("apply", "-f", path)
        self.assertEqual((status, again.count("unchanged")), (0, 2))
        _, shown = self.run_command("get", "team", "a", "--output", "json")
        self.assertEqual(json.loads(shown)["revision"], 1)

    def test_refusals_exit_with_1(self):
        item = {"kind": "team", "name": "a", "spec": {}, "expected_revision": 9}
        for arguments in (
            ("apply", "-f", self.write(item)),
            ("delete", "team", "a"),
            ("get", "team", "a"),
            ("move", "status", "absent"),
        ):
            self.assertEqual(self.run_command(*arguments)[0], 1, arguments)
        self.assertEqual(self.run_command("get", "team", key="wrong")[0], 1)
        self.assertEqual(self.run_command("get", "team", address="127.0.0.1:1")[0], 1)

    def test_lost_answer_is_asked_again_under_the_same_change_id(self):
        self.server.lose_answers = 2
        status, output = self.apply("team", "a", {})
        self.assertEqual((status, json.loads(output)["outcome"]), (0, "accepted"))
        self.assertEqual(len(self.server.harness.catalog.list_audit()), 1)

    def test_lost_answer_of_a_refusal_is_a_refusal(self):
        self.server.lose_answers = 1
        status, output = self.run_command("delete", "team", "a")
        self.assertEqual((status, "refused" in output), (1, True))

    def test_unresolved_answers_exit_with_3_and_name_the_change(self):
        self.server.lose_answers = 3
        status, output = self.apply("team", "a", {})
        change_id = json.loads(output)["change_id"]
        self.assertEqual(status, 3)
        entry = self.server.harness.catalog.find_outcome(change_id)
        self.assertTrue(entry.accepted)

    def test_dry_run_and_diff_change_nothing(self):
        status, output = self.apply("model", "m", MODEL, "--dry-run")
        self.assertEqual((status, json.loads(output)["detail"]), (0, "create"))
        path = self.write({"kind": "model", "name": "m", "spec": MODEL})
        status, output = self.run_command("diff", "-f", path)
        self.assertIn('+ versions: ["v1","v2"]', output)
        self.assertEqual(self.server.harness.log.history, [])

    def test_move_is_declared_paused_and_shown(self):
        self.apply("model", "m", MODEL)
        start = ("move", "start", "mv", "--model", "m", "--from", "v1", "--to", "v2")
        self.assertEqual(self.run_command(*start)[0], 0)
        self.assertEqual(self.run_command("move", "pause", "mv")[0], 0)
        _, output = self.run_command("move", "status")
        self.assertIn("move=mv intent=pause state=declared step=1/6", output)
        self.assertEqual(self.run_command("drain", "dc")[0], 0)
        _, output = self.run_command("plan")
        self.assertEqual(output.count("declared"), 2)

    def test_watch_delivers_messages_and_reports_an_old_cursor(self):
        self.apply("model", "m", MODEL)

        async def watch(start):
            client = AdminClient(self.server.address, ADMIN_KEY, SystemClock())
            async with contextlib.aclosing(client.watch(start)) as messages:
                return [await anext(messages) for _ in range(2)]

        messages = asyncio.run(watch("-1"))
        self.assertEqual([m["type"] for m in messages], ["started", "accepted"])
        self.server.harness.history.restart(5)
        with self.assertRaisesRegex(ClientError, "older than the kept history"):
            asyncio.run(watch("-1"))
