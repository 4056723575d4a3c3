"""Tests of requests that a process handles after its event loop was held.

The loop is held by code of the test, as by a paused process.
"""

import time
import unittest

from tests.forwarding.fixtures import Instance
from tests.forwarding.test_handler import ForwardingTest, echo

HELD_SECONDS = 0.6
BUDGET_MS = 300


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


if __name__ == "__main__":
    unittest.main()
