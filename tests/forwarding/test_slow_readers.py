"""Tests of callers that take their answers slowly."""

import asyncio
import re
import socket
import unittest

from tests.forwarding.fixtures import build_request, build_response
from tests.forwarding.test_handler import ForwardingTest

# More than the send buffer of the kernel and the receive buffer of the caller.
ANSWER_BYTES = 6_000_000
RECEIVE_BYTES = 65_536
# The answer is sent well within the deadline, and read after it.
DEADLINE_MS = 1000
WAIT_SECONDS = 1.2
READ_SECONDS = 10.0


async def answer_long(request: bytes, writer: asyncio.StreamWriter) -> None:
    """Respond with a body that its caller can't take at once."""
    writer.write(build_response(request, b"y" * ANSWER_BYTES))
    await writer.drain()


class SlowReaderTest(ForwardingTest):
    """Guard against times that go on for a request that has its whole answer."""

    # Guards against a request that is logged and counted as answered and as refused.
    async def test_deadline_ends_with_the_answer_and_not_with_its_reading(self):
        instance = await self.start(answer_long)
        reader, writer = await instance.connect()
        self.addCleanup(writer.close)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        with self.assertLogs("carobladder", "INFO") as logs:
            reader._transport.pause_reading()
            fields = {"Carobladder_Deadline": str(DEADLINE_MS)}
            writer.write(build_request("/unsafe/x", b"a", **fields))
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
