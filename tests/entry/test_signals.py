"""Tests of signals that arrive as the program begins to listen."""

import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PORT_KEYS = ("listen", "readiness_listen", "metrics_listen", "peer_listen")
STEP_SECONDS = 0.01
LISTEN_SECONDS = 10.0
LOG_SECONDS = 10.0


def find_free_addresses(count: int) -> list[str]:
    """Return free addresses, each IP:PORT."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    addresses = [f"127.0.0.1:{each.getsockname()[1]}" for each in sockets]
    for each in sockets:
        each.close()
    return addresses


class FirstSignalTest(unittest.TestCase):
    """Guard against instances that a signal ends before they handle it."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.log = Path(folder.name) / "log"
        self.settings = Path(folder.name) / "settings.toml"
        *addresses, store = find_free_addresses(len(PORT_KEYS) + 1)
        self.address = addresses[0]
        pairs = zip(PORT_KEYS, addresses, strict=True)
        self.settings.write_text(
            "\n".join(f'{key} = "{at}"' for key, at in pairs)
            + f'\nstore_address = "{store}"\n'
            + 'instance = "front-1"\ndata_centre = "dc-1"\nretry_slack = 58\n'
        )
        self.process = self.start()
        self.addCleanup(self.end)

    def start(self) -> subprocess.Popen[bytes]:
        """Start the program."""
        environment = {**os.environ, "CAROBLADDER_SETTINGS": str(self.settings)}
        with self.log.open("wb") as log:
            return subprocess.Popen(
                [sys.executable, "-m", "carobladder.entry"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def end(self) -> None:
        """End the process if it still runs."""
        self.process.kill()
        self.process.wait()

    def wait_until_listening(self) -> None:
        """Wait for the listener."""
        host, _, port = self.address.rpartition(":")
        end = time.monotonic() + LISTEN_SECONDS
        while True:
            try:
                socket.create_connection((host, int(port))).close()
                return
            except OSError:
                self.assertLess(time.monotonic(), end)
                time.sleep(STEP_SECONDS)

    def wait_for_log(self, event: str) -> str:
        """Wait for an event and return its line."""
        end = time.monotonic() + LOG_SECONDS
        while time.monotonic() < end:
            for line in self.log.read_text().splitlines():
                if f'"{event}"' in line:
                    return line
            self.assertIsNone(self.process.poll(), "the process has ended")
            time.sleep(STEP_SECONDS)
        self.fail(f"no {event}: {self.log.read_text()}")

    # An instance that a reload ends, and that misses the changed settings.
    def test_reload_as_the_program_listens_applies_the_settings(self):
        self.wait_until_listening()
        text = self.settings.read_text()
        self.settings.write_text(text.replace("= 58", "= 59"))
        self.process.send_signal(signal.SIGHUP)
        self.wait_for_log("settings_reloaded")
        self.assertIsNone(self.process.poll())

    # Callers in the accept queue whose connections are reset by a stop.
    def test_stop_as_the_program_listens_drains(self):
        self.wait_for_log("instance_started")
        self.process.send_signal(signal.SIGTERM)
        self.wait_for_log("draining")
        self.assertEqual(self.process.wait(LOG_SECONDS), 0)


if __name__ == "__main__":
    unittest.main()
