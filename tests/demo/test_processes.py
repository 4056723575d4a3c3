"""Tests of free ports and of the end of child processes."""

import asyncio
import os
import signal
import socket
import sys
import tempfile
import unittest
from pathlib import Path

from demo.ports import HOST, PortPicker
from demo.processes import ChildGroup

WAIT = (sys.executable, "-c", "import time; print('up', flush=True); time.sleep(600)")
DEAF = (
    sys.executable,
    "-c",
    "import signal, time; signal.signal(signal.SIGTERM, signal.SIG_IGN); "
    "print('up', flush=True); time.sleep(600)",
)
# Starts a child, prints its pid and waits.
PARENT = """
import asyncio, pathlib, sys
from demo.processes import ChildGroup

async def main():
    group = ChildGroup(pathlib.Path(sys.argv[1]))
    command = [sys.executable, "-c", "import time; time.sleep(600)"]
    print((await group.start("child", command, {})).pid, flush=True)
    await asyncio.sleep(600)

asyncio.run(main())
"""


def is_running(pid: int) -> bool:
    """Tell whether a process exists and is no zombie."""
    try:
        state = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]
    except OSError:
        return False
    return state != "Z"


class PortPickerTest(unittest.TestCase):
    """Guard against two servers that are given the same port."""

    def test_ports_are_different_and_skip_ports_in_use(self):
        with socket.socket() as used:
            used.bind((HOST, 0))
            first = PortPicker(start=20_000).pick()
            taken = socket.socket()
            self.addCleanup(taken.close)
            taken.bind((HOST, int(first.rpartition(":")[2])))
            taken.listen()
            picker = PortPicker(start=20_000)
            picked = [picker.pick() for _ in range(50)]
        self.assertEqual(len(set(picked)), 50)
        self.assertNotIn(first, picked)


class ChildGroupTest(unittest.IsolatedAsyncioTestCase):
    """Guard against processes that outlive the demonstration."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        self.group = ChildGroup(self.directory)

    async def start(self, name: str, command: tuple[str, ...]):
        child = await self.group.start(name, command, os.environ)
        for _ in range(3000):
            if "up" in child.read_log_tail():
                return child
            await asyncio.sleep(0.01)
        self.fail(f"{name} did not start")

    async def test_stop_ends_all_and_names_those_that_ignore_sigterm(self):
        good = await self.start("good", WAIT)
        deaf = await self.start("deaf", DEAF)
        stuck = await self.group.stop(1.0)
        self.assertEqual([child.name for child in stuck], ["deaf"])
        self.assertFalse(is_running(good.pid) or is_running(deaf.pid))

    async def test_cancelled_stop_still_kills(self):
        deaf = await self.start("deaf", DEAF)
        stopping = asyncio.ensure_future(self.group.stop(600))
        await asyncio.sleep(0)
        stopping.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await stopping
        await asyncio.wait_for(deaf.wait(), 30)
        self.assertEqual(deaf.status, -signal.SIGKILL)

    async def test_child_that_ends_by_itself_is_reported(self):
        command = (sys.executable, "-c", "print('up'); raise SystemExit(3)")
        child = await self.start("bad", command)
        await child.wait()
        self.assertEqual(self.group.list_failed(), [child])
        self.assertEqual(child.status, 3)

    async def test_children_end_when_the_parent_is_killed(self):
        parent = await asyncio.create_subprocess_exec(
            *(sys.executable, "-c", PARENT, str(self.directory)),
            stdout=asyncio.subprocess.PIPE,
        )
        line = await parent.stdout.readline()
        parent.kill()
        await parent.wait()
        pid = int(line)
        for _ in range(3000):
            if not is_running(pid):
                return
            await asyncio.sleep(0.01)
        os.kill(pid, signal.SIGKILL)
        self.fail("the child outlived its killed parent")
