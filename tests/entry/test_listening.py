"""Tests of callers that connect as soon as a starting instance accepts them."""

import asyncio
import subprocess
import sys
import unittest
from pathlib import Path

from carobladder.platform.names import INSTANCES_TOPIC
from tests.entry.fixtures import PlatformInstanceCase
from tests.forwarding.fixtures import build_request

SLOW_MODULES = ("asyncio", "h11", "msgspec", "prometheus_client")


class ProcessStartTest(unittest.TestCase):
    """Guard against signals that end the process as it loads slow modules."""

    def test_first_module_loads_no_slow_modules(self):
        code = (
            "import sys, carobladder.entry.processstart\n"
            f"print([name for name in {SLOW_MODULES} if name in sys.modules])"
        )
        found = subprocess.run(
            [sys.executable, "-S", "-c", code],
            capture_output=True,
            text=True,
            check=True,
            cwd=Path(__file__).resolve().parents[2],
        )
        self.assertEqual(found.stdout.strip(), "[]")


class FirstReadsTest(PlatformInstanceCase):
    """Guard against an instance that refuses the first callers that it accepts."""

    async def start_instance(self) -> None:
        """Leave the start to each test."""

    async def serve_early_caller(self) -> tuple[bytes, float]:
        """Return the status line for the first caller, and the seconds it took."""
        began = self.clock.monotonic()
        self.task = asyncio.create_task(self.instance.serve(self.stop))
        async with asyncio.timeout(3.0):
            while not self.instance.parts.server.is_listening:
                self.assertFalse(self.instance.ready)
                await asyncio.sleep(0)
            port = self.instance.parts.server.port
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(build_request("/a/x", method="GET"))
            status = await reader.readline()
        writer.close()
        return status, self.clock.monotonic() - began

    async def test_early_caller_is_served(self):
        # Left by the instances that ran before.
        self.state.put(INSTANCES_TOPIC, "settled-era", b"1")
        self.configure(1)
        self.register()
        status, _ = await self.serve_early_caller()
        self.assertIn(b" 200 ", status)

    # Guards against callers that are taken by an instance that is to stop already.
    async def test_instance_that_is_to_stop_does_not_listen(self):
        self.configure(1)
        self.register()
        self.stop.set()
        self.task = asyncio.create_task(self.instance.serve(self.stop))
        async with asyncio.timeout(3.0):
            await self.task
        self.assertFalse(self.instance.parts.server.is_listening)
        self.assertFalse(self.instance.ready)

    async def test_unavailable_store_does_not_delay_callers(self):
        self.store.down = True
        status, seconds = await self.serve_early_caller()
        self.assertIn(b" 503 ", status)
        self.assertLess(seconds, 1.0)


if __name__ == "__main__":
    unittest.main()
