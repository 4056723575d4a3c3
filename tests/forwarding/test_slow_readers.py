"""Tests of callers that take their answers slowly."""

import asyncio
import re
import unittest

from tests.forwarding.fixtures import build_request, build_response
from tests.forwarding.test_handler import ForwardingTest

# More than the buffers of the kernel on both sides.
ANSWER_BYTES = 20_000_000
# Longer than the timeout of the route.
WAIT_SECONDS = 0.5
READ_SECONDS = 10.0


async def answer_long(request: bytes, writer: asyncio.StreamWriter) -> None:
    """Respond with a body that its caller can't take at once."""
    writer.write(build_response(request, b"y" * ANSWER_BYTES))
    await writer.drain()


class SlowReaderTest(ForwardingTest):
    """Guard against times that go on for a request that has its whole answer."""

    # Guards against a request that is logged and counted as answered and as refused.
    async def test_timeout_ends_with_the_answer_and_not_with_its_reading(self):
        instance = await self.start(answer_long)
        reader, writer = await instance.connect()
        self.addCleanup(writer.close)
        with self.assertLogs("carobladder", "INFO") as logs:
            reader._transport.pause_reading()
            writer.write(build_request("/short/x", b"a"))
            await asyncio.sleep(WAIT_SECONDS)
            reader._transport.resume_reading()
            async with asyncio.timeout(READ_SECONDS):
                answer = await reader.read()
        self.assertEqual(len(answer.partition(b"\r\n\r\n")[2]), ANSWER_BYTES)
        events = [record.getMessage() for record in logs.records]
        self.assertEqual(events.count("request_answered"), 1)
        self.assertNotIn("request_refused", events)
        self.assertFalse(re.search(rb"refusals_total{.*} 1", instance.metrics.render()))


if __name__ == "__main__":
    unittest.main()
