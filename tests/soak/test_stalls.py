"""Tests of the times in which a busy machine gives processes no turn."""

import asyncio
import contextlib
import subprocess
import sys
import time
import unittest
from pathlib import Path
from unittest import mock

from tests.soak.processes import wait_for_end
from tests.soak.records import Stall
from tests.soak.stalls import StallWatch, sum_stalls

BUSY_SECONDS = 0.2
WATCH_SECONDS = 0.3


def block(seconds: float) -> None:
    """Keep the event loop busy."""
    time.sleep(seconds)


def start_process() -> subprocess.Popen[bytes]:
    """Start a process that ends at once."""
    return subprocess.Popen([sys.executable, "-c", ""])


def has_times(pid: int) -> bool:
    """Return whether the kernel still tells the times of a process."""
    return Path(f"/proc/{pid}/schedstat").exists()


class StallWatchTest(unittest.IsolatedAsyncioTestCase):
    """Guard against waits that are not seen, or seen longer than they were."""

    def setUp(self):
        self.stalls: list[Stall] = []
        self.began = time.monotonic()
        self.watch = StallWatch(self.stalls, self.began)

    def sum(self, instance: str) -> float:
        """Return the seconds of all stalls so far."""
        return sum_stalls(self.stalls, instance, -1.0, 60.0)

    # Guards against waits in short pieces that are passed over, and against what a
    # process waited before the run.
    def test_short_waits_add_up_from_the_first_look_on(self):
        waits = [5.0, 5.04, 5.08, 5.08]
        with mock.patch("tests.soak.stalls._read_wait", side_effect=waits):
            for _ in waits:
                self.watch.look("front-0", 1)
                time.sleep(0.05)
        self.assertAlmostEqual(self.sum("front-0"), 0.08)
        self.assertEqual(self.sum("front-1"), 0.0)

    # Guards against a busy event loop of the soak, taken for slow instances.
    async def test_own_event_loop_is_watched(self):
        watching = asyncio.create_task(self.watch.run(dict))
        await asyncio.sleep(0)
        block(BUSY_SECONDS)
        await asyncio.sleep(WATCH_SECONDS)
        watching.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await watching
        self.assertGreater(self.sum(""), BUSY_SECONDS / 2)

    # Guards against the wait of a process that ends, which is lost once it is reaped.
    async def test_process_that_has_ended_can_be_looked_at(self):
        process = start_process()
        await wait_for_end(process)
        self.assertTrue(has_times(process.pid))
        self.watch.look("front-0", process.pid)
        self.assertEqual(process.wait(), 0)


if __name__ == "__main__":
    unittest.main()
