"""Tests of streams that break off when only their end is missing."""

import asyncio
import unittest

from tests.forwarding.fixtures import (
    build_request,
    build_stream_head,
    encode_chunk,
    encode_event,
    read_header,
)
from tests.forwarding.test_handler import ForwardingTest

EVENTS = b"".join(encode_event(number) for number in (1, 2))
CALLS = 4


class ResumedEndTest(ForwardingTest):
    """Guard against cut streams whose events have all reached the caller."""

    # Guards against a cut though the target that goes on says that nothing is missing.
    async def test_resumed_stream_without_further_events_is_whole(self):
        async def break_off(request: bytes, writer: asyncio.StreamWriter) -> None:
            if read_header(request, "last-event-id"):
                writer.write(build_stream_head(request) + encode_chunk(b""))
                return
            writer.write(build_stream_head(request) + encode_chunk(EVENTS))
            await writer.drain()
            writer.close()

        instance = await self.start(break_off, break_off)
        for _ in range(CALLS):
            raw = await instance.exchange(build_request("/resumable/x", b"a"))
            self.assertIn(EVENTS, raw)
            self.assertTrue(raw.endswith(b"\r\n0\r\n\r\n"), raw[-20:])


if __name__ == "__main__":
    unittest.main()
