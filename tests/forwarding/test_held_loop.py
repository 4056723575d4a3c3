"""Tests of targets that answer while the event loop is held, in virtual time."""

import asyncio
import unittest

from tests.forwarding.fixtures import build_response
from tests.forwarding.silence import allow_long_answers
from tests.forwarding.streams import VirtualInstance
from tests.support.looptime import in_virtual_time

# The first answer comes just before its target would count as silent.
ANSWER_SECONDS = 0.35
HOLD_SECONDS = 0.2


async def answer_before_hold(request: bytes, writer: asyncio.StreamWriter) -> None:
    """Answer a request and hold the loop before the answer is read."""
    await asyncio.sleep(ANSWER_SECONDS)
    writer.write(build_response(request, b"whole"))
    asyncio.get_running_loop().hold(HOLD_SECONDS)


async def answer_after_hold(request: bytes, writer: asyncio.StreamWriter) -> None:
    """Hold the loop and answer a request a little later."""
    await asyncio.sleep(ANSWER_SECONDS)
    asyncio.get_running_loop().hold(HOLD_SECONDS)
    await asyncio.sleep(ANSWER_SECONDS)
    writer.write(build_response(request, b"whole"))


class HeldLoopTest(unittest.TestCase):
    """Guard against a wrong statement on whether a target is silent."""

    async def count_reports(self, script) -> int:
        """Return how often the target of an unsafe request was reported as silent."""
        async with VirtualInstance(script) as instance:
            allow_long_answers(instance)
            fields = {"Carobladder_Deadline": "5000"}
            status, _, _ = await instance.call("/unsafe/x", b"a", **fields)
            self.assertEqual(status, 200)
            return len(instance.reported_silent)

    # Guards against suspecting a target whose answer waits to be read.
    @in_virtual_time
    async def test_answer_at_hand_is_no_silence(self):
        self.assertEqual(await self.count_reports(answer_before_hold), 0)

    # Guards against trusting a silent target since the loop was held meanwhile.
    @in_virtual_time
    async def test_silence_beyond_a_hold_is_reported(self):
        self.assertEqual(await self.count_reports(answer_after_hold), 1)


if __name__ == "__main__":
    unittest.main()
