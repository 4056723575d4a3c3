"""Tests of a whole fleet of processes, with a stub for the entry instances."""

import asyncio
import contextlib
import dataclasses
import io
import os
import signal
import sys
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from demo import __main__ as command
from demo.deployments import DEPLOYMENT_S, Pool
from demo.fleet import Fleet, FleetError, FleetOptions
from demo.run import DemoOptions, run_deployment
from demo.workload import WorkloadSize
from standins.client import fetch_json
from tests.demo.test_processes import is_running

STUB = (sys.executable, "-m", "tests.demo.stub_entry")
SMALL = dataclasses.replace(
    DEPLOYMENT_S, model=Pool("fitting", 2), bookings=Pool("slots", 1), instances=2
)
FAST = ("--warm-tokens", "0", "--speed", "3")
OPTIONS = FleetOptions(entry_command=STUB, engine_arguments=FAST)
RUN_WITH_STUB = """
import sys
from demo import __main__ as command
from tests.demo.test_fleet import OPTIONS, SMALL
command.DEPLOYMENT_V = SMALL
options = command.DemoOptions(fleet=OPTIONS)
command.DemoOptions = lambda: options
sys.exit(command.main())
"""
SIZE = WorkloadSize(1.0, 3, 3, 3, 3, 3)


class FleetTest(unittest.IsolatedAsyncioTestCase):
    """Guard against a fleet that starts in part or leaves processes behind."""

    async def test_instances_are_listed_and_all_processes_end(self):
        async with Fleet(SMALL, OPTIONS) as fleet:
            pids = [instance.pid for instance in fleet.instances]
            await asyncio.sleep(OPTIONS.list_lag_seconds)
            answer = await fetch_json("GET", fleet.list_address, "/v1/instances")
            listed = [entry["id"] for entry in answer.body["instances"]]
            self.assertEqual(listed, ["entry-1", "entry-2"])
        self.assertEqual(fleet.stuck, [])
        self.assertFalse(any(is_running(pid) for pid in pids))

    async def test_killed_instance_is_gone_and_no_failure(self):
        async with Fleet(SMALL, OPTIONS) as fleet:
            victim = fleet.instances[1]
            fleet.kill_instance(victim)
            await victim.child.wait()
            fleet.check_processes()
            self.assertEqual(victim.child.status, -signal.SIGKILL)

    async def test_process_that_ends_early_is_named_with_its_output(self):
        bad = (sys.executable, "-c", "raise SystemExit('no such setting')")
        options = dataclasses.replace(OPTIONS, entry_command=bad)
        with self.assertRaisesRegex(FleetError, r"(?s)entry-\d.*no such setting"):
            async with Fleet(SMALL, options):
                self.fail("the fleet must not start")

    async def run_small(self, size: WorkloadSize, kill_after: float | None) -> str:
        options = DemoOptions(
            size=size,
            kill_after_seconds=kill_after,
            last_bookings=0,
            notice_seconds=0.1,
            fleet=OPTIONS,
        )
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            self.assertEqual(await run_deployment(SMALL, options), [])
        return output.getvalue()

    async def test_chats_and_look_ups_survive_a_killed_instance(self):
        # The stub claims no bookings, so a booking in flight could run twice.
        size = dataclasses.replace(SIZE, bookings=0)
        self.assertIn("0 ordered, 0 run, 0 doubled", await self.run_small(size, 0.5))

    async def test_bookings_run_once(self):
        self.assertIn("3 ordered, 3 run, 0 doubled", await self.run_small(SIZE, None))


def list_children(pid: int) -> list[int]:
    """Return the pids of the children of a process."""
    path = Path(f"/proc/{pid}/task/{pid}/children")
    return [int(child) for child in path.read_text().split()]


class SignalTest(unittest.IsolatedAsyncioTestCase):
    """Guard against a demonstration that is ended and leaves processes behind."""

    async def start(self) -> tuple[asyncio.subprocess.Process, list[int]]:
        # A killed demonstration cannot remove its directory of logs.
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-c", RUN_WITH_STUB),
            stdout=asyncio.subprocess.PIPE,
            env={**os.environ, "TMPDIR": directory.name},
        )
        self.addCleanup(lambda: process.returncode is None and process.kill())
        # The first line comes when the first fleet is ready.
        self.assertIn(b"ready", await process.stdout.readline())
        children = list_children(process.pid)
        # 2 instances, 2 engines, 1 service, the log and the list.
        self.assertEqual(len(children), 7)
        return process, children

    async def assert_gone(self, pids: list[int]) -> None:
        for _ in range(1000):
            left = [pid for pid in pids if is_running(pid)]
            if not left:
                return
            await asyncio.sleep(0.01)
        for pid in left:
            os.kill(pid, signal.SIGKILL)
        self.fail(f"{len(left)} processes were left behind")

    async def test_signals_end_all_processes_with_status_1(self):
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            process, children = await self.start()
            process.send_signal(number)
            output, _ = await process.communicate()
            self.assertEqual(process.returncode, 1)
            self.assertEqual(output, b"demo: failed: stopped by a signal\n")
            await self.assert_gone(children)

    async def test_killed_demonstration_leaves_no_process(self):
        process, children = await self.start()
        process.kill()
        await process.communicate()
        await self.assert_gone(children)


class CommandTest(unittest.TestCase):
    """Guard against a closing line or status that does not tell the verdict."""

    def run_command(self, failures: list[str]) -> tuple[int, str]:
        output = io.StringIO()
        run = mock.AsyncMock(return_value=failures)
        with (
            mock.patch.object(command, "run_demo", run),
            contextlib.redirect_stdout(output),
        ):
            status = command.main()
        return status, output.getvalue().splitlines()[-1]

    def test_status_and_last_line(self):
        self.assertEqual(self.run_command([]), (0, "demo: ok"))
        failed = self.run_command(["v: booking a is missing"])
        self.assertEqual(failed, (1, "demo: failed: v: booking a is missing"))
