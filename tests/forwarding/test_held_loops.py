"""Tests of requests that a process handles after its event loop was held.

The loop is held by code of the test, as by a paused process.
"""

import asyncio
import socket
import time
import unittest

from tests.forwarding.fixtures import Instance, build_request, read_header
from tests.forwarding.test_handler import ForwardingTest, echo

HELD_SECONDS = 0.6
BUDGET_MS = 300
LONG_BUDGET_MS = 1500
SETTLE_SECONDS = 0.2


def hold() -> None:
    """Keep the event loop from running."""
    time.sleep(HELD_SECONDS)


class HeldLoopTest(ForwardingTest):
    """Guard against requests that are passed on after their time is over."""

    async def start_connected(self) -> Instance:
        """Start an instance that keeps a connection to its target."""
        instance = await self.start(echo)
        self.assertEqual((await instance.call("/unsafe/x"))[0], 200)
        return instance

    def send_unread(self, instance: Instance, budget_ms: int) -> socket.socket:
        """Send a request that the loop reads only when it runs again."""
        caller = socket.create_connection(("127.0.0.1", instance.server.port))
        self.addCleanup(caller.close)
        caller.sendall(build_request("/unsafe/x", Carobladder_Deadline=str(budget_ms)))
        caller.setblocking(False)
        return caller

    # Guards against a request that runs although it was answered that its time is over.
    async def test_time_that_ends_between_choice_and_write_withholds_the_request(self):
        instance = await self.start_connected()
        prompts = instance.server._state.handler._forwarder.sender.prompts
        find_source = prompts.find_source

        async def find_slowly(*arguments):
            hold()
            return await find_source(*arguments)

        prompts.find_source = find_slowly
        before = self.count_requests()
        status, _, _ = await instance.call(
            "/unsafe/x", Carobladder_Deadline=str(BUDGET_MS)
        )
        self.assertEqual((status, self.count_requests() - before), (503, 0))

    # Guards against targets that are handed more time than their callers wait.
    async def test_time_in_the_socket_counts(self):
        instance = await self.start_connected()
        self.send_unread(instance, LONG_BUDGET_MS)
        hold()
        await asyncio.sleep(SETTLE_SECONDS)
        passed_ms = float(
            read_header(self.targets[0].requests[-1], "carobladder-deadline")
        )
        self.assertLess(passed_ms, LONG_BUDGET_MS - 1000 * HELD_SECONDS / 2)

    # Guards against work for callers that have left while the loop was held.
    async def test_request_whose_caller_has_left_meanwhile_is_not_sent(self):
        instance = await self.start_connected()
        before = self.count_requests()
        caller = self.send_unread(instance, LONG_BUDGET_MS)
        caller.close()
        hold()
        await asyncio.sleep(SETTLE_SECONDS)
        self.assertEqual(self.count_requests() - before, 0)


if __name__ == "__main__":
    unittest.main()
