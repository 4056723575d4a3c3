"""Tests of callers that read slowly and then leave."""

import asyncio
import contextlib
import unittest

from carobladder.gateway.requests import RequestLimits
from tests.forwarding.fixtures import build_request, build_stream_head, encode_chunk
from tests.forwarding.test_handler import ForwardingTest

LONG_BODY = b"x" * 100_000
TOKEN = b"y" * 60_000
# A target writes nothing for this long once all buffers on the way are full.
BLOCKED_SECONDS = 0.3
# Work on a request must end half a second after its caller has left.
NOTICE_SECONDS = 0.5
SETUP_SECONDS = 5.0


class LeavingReaderTest(ForwardingTest):
    """Guard against work for a caller that leaves with its stream unread."""

    async def start_blocked(self, body: bytes) -> asyncio.StreamWriter:
        """Return the writer of a caller whose stream is blocked on all its way."""
        self.closed = asyncio.Event()
        self.event_count = 0

        async def flood(request: bytes, writer: asyncio.StreamWriter) -> None:
            writer.write(build_stream_head(request))
            with contextlib.suppress(ConnectionError):
                while True:
                    self.event_count += 1
                    event = b"id: %d\ndata: %s\n\n" % (self.event_count, TOKEN)
                    writer.write(encode_chunk(event))
                    await writer.drain()
                    await asyncio.sleep(0)
            self.closed.set()

        instance = await self.start(flood)
        instance.server.set_limits(RequestLimits())
        reader, writer = await instance.connect()
        reader._transport.pause_reading()
        fields = {"Carobladder_Deadline": "20000"}
        writer.write(build_request("/stream/x", body, **fields))
        async with asyncio.timeout(SETUP_SECONDS):
            await self.wait_until_blocked()
        self.addCleanup(writer.close)
        return writer

    async def wait_until_blocked(self) -> None:
        """Wait until the target can write no more."""
        count = -1
        while count != self.event_count or not count:
            count = self.event_count
            await asyncio.sleep(BLOCKED_SECONDS)

    # Guards against a target connection that is not read and thus not closed.
    async def test_target_of_a_caller_that_reads_nothing_and_leaves_is_released(self):
        for body in (b"a", LONG_BODY):
            for leave in ("close", "abort"):
                with self.subTest(size=len(body), leave=leave):
                    writer = await self.start_blocked(body)
                    self.assertFalse(self.closed.is_set())
                    getattr(writer.transport, leave)()
                    async with asyncio.timeout(NOTICE_SECONDS):
                        await self.closed.wait()


if __name__ == "__main__":
    unittest.main()
