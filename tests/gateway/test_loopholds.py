"""Tests of the times in which the event loop was held."""

import asyncio
import socket
import unittest

from carobladder.clock import VirtualClock
from carobladder.gateway.loopholds import LoopHolds

WAIT_SECONDS = 0.1
HOLD_SECONDS = 5.0
SHORT_HOLD_SECONDS = 0.5


class LoopHoldsTest(unittest.IsolatedAsyncioTestCase):
    """Guard against requests that get less time than their callers wait."""

    async def asyncSetUp(self):
        self.clock = VirtualClock()
        self.holds = LoopHolds(self.clock)
        self.holds.start()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            self.caller = socket.create_connection(listener.getsockname())
            self.sock, _ = listener.accept()
        self.addCleanup(self.caller.close)
        self.addCleanup(self.sock.close)
        self.caller.sendall(b"x")
        await asyncio.sleep(WAIT_SECONDS)

    async def test_bytes_that_wait_without_a_hold_do_not_count(self):
        self.assertEqual(self.holds.find_wait(self.sock), 0.0)

    async def test_wait_is_the_age_of_the_last_bytes(self):
        self.clock.advance(HOLD_SECONDS)
        wait = self.holds.find_wait(self.sock)
        self.assertGreaterEqual(wait, WAIT_SECONDS / 2)
        self.assertLess(wait, HOLD_SECONDS)

    async def test_wait_is_never_longer_than_the_hold(self):
        await asyncio.sleep(SHORT_HOLD_SECONDS)
        self.clock.advance(SHORT_HOLD_SECONDS)
        self.assertLessEqual(self.holds.find_wait(self.sock), SHORT_HOLD_SECONDS)

    async def test_hold_is_over_some_time_after_it(self):
        self.clock.advance(HOLD_SECONDS)
        self.holds._tick()
        self.assertGreater(self.holds.find_wait(self.sock), 0.0)
        for _ in range(4):
            self.clock.advance(WAIT_SECONDS * 2)
            self.holds._tick()
        self.assertEqual(self.holds.find_wait(self.sock), 0.0)

    async def test_wait_on_a_closed_socket_is_unknown(self):
        self.clock.advance(HOLD_SECONDS)
        self.sock.close()
        self.assertEqual(self.holds.find_wait(self.sock), 0.0)


if __name__ == "__main__":
    unittest.main()
