"""Tests of streams whose engine keeps the end of its response back."""

import asyncio
import unittest

from tests.gateway.engines import whole_stream
from tests.gateway.fakes import Gateway
from tests.gateway.late_ends import (
    STREAM_END,
    LateEndEngine,
    build_chat_request,
    read_stream,
)

ANSWER_SECONDS = 0.3
# Longer than the client waits for the end of a response.
OVERDUE_SECONDS = 2.6
STREAM = whole_stream(5)


class LateEndTest(unittest.IsolatedAsyncioTestCase):
    """Guard against requests that wait behind the end of another one's response."""

    async def start(self, engine: LateEndEngine) -> Gateway:
        """Return a gateway with one engine."""
        self.server = await self.enterAsyncContext(engine.server())
        return await self.enterAsyncContext(Gateway(self.server.address))

    async def connect(self, gateway: Gateway):
        """Return the reader and writer of a new connection."""
        host, _, port = gateway.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        return reader, writer

    async def call(self, reader, writer) -> bytes:
        """Return the response to a request, which must not wait."""
        writer.write(build_chat_request())
        async with asyncio.timeout(ANSWER_SECONDS):
            return await read_stream(reader)

    # Guards against a next request that is not read while an engine is silent.
    async def test_next_request_is_answered_at_once(self):
        for seconds in (0.5, 1.0, 1.9):
            with self.subTest(seconds=seconds):
                gateway = await self.start(LateEndEngine(seconds=seconds))
                connection = await self.connect(gateway)
                for _ in range(3):
                    self.assertEqual(await self.call(*connection), STREAM)

    # Guards against a pipelined request that is not read while an engine is silent.
    async def test_pipelined_request_is_answered_at_once(self):
        gateway = await self.start(LateEndEngine(seconds=1.9))
        reader, writer = await self.connect(gateway)
        writer.write(build_chat_request() * 2)
        async with asyncio.timeout(ANSWER_SECONDS):
            for _ in range(2):
                self.assertEqual(await read_stream(reader), STREAM)

    # Guards against slots that are held for a response that its caller has.
    async def test_permit_is_released_before_the_end(self):
        gateway = await self.start(LateEndEngine(seconds=1.9))
        await self.call(*await self.connect(gateway))
        await asyncio.sleep(0)
        self.assertEqual(gateway.admission.permits[0].releases, [False])

    # Guards against answered requests that count as cancelled.
    async def test_caller_that_leaves_before_the_end_has_its_response(self):
        gateway = await self.start(LateEndEngine(seconds=1.9))
        reader, writer = await self.connect(gateway)
        await self.call(reader, writer)
        writer.close()
        await asyncio.sleep(0.1)
        self.assertEqual(gateway.count("cancelled_streams_total"), 0)

    # Guards against a drain that waits for an engine though no request is left.
    async def test_drain_does_not_wait_for_the_end(self):
        gateway = await self.start(LateEndEngine(seconds=1.9))
        reader, writer = await self.connect(gateway)
        await self.call(reader, writer)
        loop = asyncio.get_running_loop()
        before = loop.time()
        gateway.server.begin_drain()
        self.assertEqual(await self.call(reader, writer), STREAM)
        self.assertTrue(await gateway.server.finish_drain(5.0))
        self.assertLess(loop.time() - before, 1.0)

    # Guards against a new connection to the engine for each stream.
    async def test_connection_to_the_engine_is_reused_after_its_end(self):
        gateway = await self.start(LateEndEngine(seconds=0.2))
        connection = await self.connect(gateway)
        await self.call(*connection)
        await asyncio.sleep(0.3)
        self.assertEqual(await self.call(*connection), STREAM)
        self.assertEqual(self.server.connections, 1)

    # Guards against bytes of one response in the response to another request.
    async def test_connection_to_the_engine_is_not_reused_without_a_right_end(self):
        ends = {
            "a byte after the end": {"end": STREAM_END + b"x"},
            "another chunk": {"end": b"1\r\nx\r\n" + STREAM_END},
            "no chunk": {"end": b"zz\r\n"},
            "overdue": {"seconds": OVERDUE_SECONDS},
            "a copy after the end": {"copy_seconds": 0.0},
            "a late copy after the end": {"copy_seconds": 0.1},
        }
        for name, changes in ends.items():
            with self.subTest(name):
                engine = LateEndEngine(**{"seconds": 0.1, **changes})
                gateway = await self.start(engine)
                connection = await self.connect(gateway)
                await self.call(*connection)
                await asyncio.sleep(engine.seconds + 0.3)
                self.assertEqual(await self.call(*connection), STREAM)
                self.assertEqual(self.server.connections, 2)


if __name__ == "__main__":
    unittest.main()
