"""Tests of the stand-ins as processes of their own."""

import asyncio
import os
import sys
import tempfile
import unittest
from pathlib import Path

from demo.ports import PortPicker
from demo.processes import ChildGroup
from standins.client import fetch_json


class CommandTest(unittest.IsolatedAsyncioTestCase):
    """Guard against a stand-in that does not start or does not end in order."""

    async def wait_up(self, address: str) -> None:
        for _ in range(3000):
            try:
                await fetch_json("GET", address, "/faults")
                return
            except OSError:
                await asyncio.sleep(0.01)
        self.fail(f"{address} did not answer")

    async def test_each_serves_and_ends_with_status_0_on_sigterm(self):
        with tempfile.TemporaryDirectory() as directory:
            group = ChildGroup(Path(directory))
            picker = PortPicker()
            children = []
            for kind in ("engine", "service", "log", "instances"):
                address = picker.pick()
                command = (sys.executable, "-m", f"standins.{kind}")
                listen = ("--listen", address)
                children.append(
                    await group.start(kind, (*command, *listen), os.environ)
                )
                await self.wait_up(address)
            await group.stop(30)
            self.assertEqual([child.status for child in children], [0, 0, 0, 0])
