"""Tests of callers that connect while an instance starts.

If all instances are killed and restarted at once, callers find no other one that
listens.
"""

import asyncio
import os
import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from carobladder.entry import listening
from carobladder.entry.listening import open_early_listener
from carobladder.gateway.listeners import open_listener
from carobladder.settings.entry import SETTINGS_VARIABLE
from tests.entry.fixtures import PlatformInstanceCase
from tests.forwarding.fixtures import build_request

SLOW_MODULES = ("asyncio", "h11", "msgspec", "prometheus_client")


class EarlyListenerTest(unittest.TestCase):
    """Guard against refused connections while the program is loaded."""

    def open(self, text: str | None) -> socket.socket | None:
        """Return the listener opened for a settings file with this text."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.toml"
            if text is not None:
                path.write_text(text)
            with mock.patch.dict(os.environ, CAROBLADDER_SETTINGS=str(path)):
                return open_early_listener()

    def test_callers_connect_before_the_program_is_loaded(self):
        listener = self.open('listen = "127.0.0.1:0"')
        self.addCleanup(listener.close)
        caller = socket.create_connection(listener.getsockname(), timeout=1.0)
        caller.close()

    def test_unusable_settings_open_no_listener(self):
        for text in (None, "not TOML", "listen = 5", 'listen = "nowhere"', "x = 1"):
            with self.subTest(text=text):
                self.assertIsNone(self.open(text))
        with mock.patch.dict(os.environ):
            os.environ.pop("CAROBLADDER_SETTINGS", None)
            self.assertIsNone(open_early_listener())

    def test_settings_variable_matches_the_program(self):
        self.assertEqual(listening._SETTINGS_VARIABLE, SETTINGS_VARIABLE)

    def test_early_modules_load_no_slow_modules(self):
        code = (
            "import sys, carobladder.entry.earlysignals, carobladder.entry.listening\n"
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
    """Guard against refusing callers that connect before the first reads."""

    async def start_instance(self) -> None:
        """Leave the start to each test."""

    async def serve_early_caller(self) -> tuple[bytes, float]:
        """Return the status line for a caller before the start, and the seconds."""
        listener = open_listener("127.0.0.1:0")
        reader, writer = await asyncio.open_connection(*listener.getsockname())
        writer.write(build_request("/a/x", method="GET"))
        began = self.clock.monotonic()
        self.task = asyncio.create_task(self.instance.serve(self.stop, listener))
        async with asyncio.timeout(3.0):
            status = await reader.readline()
        writer.close()
        return status, self.clock.monotonic() - began

    async def test_early_caller_is_served(self):
        self.configure(1)
        self.register()
        status, _ = await self.serve_early_caller()
        self.assertIn(b" 200 ", status)

    async def test_unavailable_store_does_not_delay_callers(self):
        self.store.down = True
        status, seconds = await self.serve_early_caller()
        self.assertIn(b" 503 ", status)
        self.assertLess(seconds, 1.0)


if __name__ == "__main__":
    unittest.main()
