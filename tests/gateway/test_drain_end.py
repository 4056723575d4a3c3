"""Tests of requests that a drain finds unfinished at its end."""

import asyncio

from tests.gateway.test_connections import HEAD, ConnectionTest

LIMIT_SECONDS = 0.6
TIMEOUT_SECONDS = 5.0
BODY = b"x" * 10


class DrainEndTest(ConnectionTest):
    """Guard against requests that end with neither an answer nor a refusal."""

    # Guards against a reset while the last bytes of a body are on their way.
    async def test_request_that_is_being_read_is_refused(self):
        await self.start()
        head = HEAD + b"Content-Length: %d\r\n\r\n" % len(BODY)
        self.writer.write(head + BODY[:5])
        await asyncio.sleep(0.02)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            finished = await self.gateway.server.finish_drain(LIMIT_SECONDS)
            try:
                status = await self.reader.readline()
            except ConnectionResetError:
                status = b"connection reset"
        self.assertFalse(finished)
        self.assertIn(b" 503 ", status)
