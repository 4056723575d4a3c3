"""Tests of answers without end that take more memory than is left."""

import asyncio
from unittest import mock

from carobladder.telemetry import AnswerGivenUp
from tests.forwarding.fixtures import (
    build_request,
    build_response,
    build_stream_head,
    encode_chunk,
)
from tests.forwarding.test_handler import ForwardingTest

LIMIT_BYTES = 200_000


async def send_event_without_end(request: bytes, writer: asyncio.StreamWriter) -> None:
    """Send one event until the connection closes."""
    writer.write(build_stream_head(request))
    while True:
        writer.write(encode_chunk(b"x" * 1000))
        await writer.drain()


async def send_large_body(request: bytes, writer: asyncio.StreamWriter) -> None:
    """Send a body that is larger than what one answer may take."""
    writer.write(build_response(request, b"x" * LIMIT_BYTES))


async def send_half_of_an_event(request: bytes, writer: asyncio.StreamWriter) -> None:
    """Send a part of an event and reset the connection."""
    writer.write(build_stream_head(request) + encode_chunk(b"x" * 1000))
    await writer.drain()
    await asyncio.sleep(0.02)
    writer.transport.abort()


class EndlessAnswerTest(ForwardingTest):
    """Guard against answers that end unseen, or that leave their memory reserved."""

    async def start_small(self, script):
        """Return an instance that has little memory for answers."""
        instance = await self.start(script)
        instance.client.memory.limit_bytes = LIMIT_BYTES
        return instance

    async def test_answer_that_is_given_up_is_logged_and_counted(self):
        for path, script in (
            ("/stream/x", send_event_without_end),
            ("/unsafe/x", send_large_body),
        ):
            with self.subTest(path=path):
                instance = await self.start_small(script)
                with mock.patch("carobladder.forwarding.attemptlog.emit") as emit:
                    status, _, _ = await instance.call(path)
                self.assertEqual(status, 502)
                events = [call.args[0] for call in emit.call_args_list]
                (line,) = [each for each in events if isinstance(each, AnswerGivenUp)]
                self.assertEqual((line.request_id, line.target), ("ab12", "i-0"))
                self.assertGreater(line.held_bytes, LIMIT_BYTES // 2)
                self.assertEqual(line.limit_bytes, LIMIT_BYTES)
                counted = 'given_up_answers_total{service="stock"} 1.0'
                self.assertIn(counted, instance.metrics.render().decode())
                self.assertEqual(instance.client.memory.used_bytes, 0)

    async def test_memory_of_an_incomplete_event_is_returned_with_its_attempt(self):
        instance = await self.start_small(send_half_of_an_event)
        await instance.call("/resumable/x")
        self.assertEqual(instance.client.memory.used_bytes, 0)

    async def test_memory_is_returned_when_the_caller_leaves(self):
        instance = await self.start(send_event_without_end)
        _, writer = await instance.connect()
        writer.write(build_request("/stream/x"))
        async with asyncio.timeout(10.0):
            while not instance.client.memory.used_bytes:
                await asyncio.sleep(0.001)
            writer.transport.abort()
            while instance.client.memory.used_bytes:
                await asyncio.sleep(0.001)
