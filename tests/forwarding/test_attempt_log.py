"""Tests of what the log and the metrics tell about an answer that broke off."""

import asyncio
from unittest import mock

from carobladder.telemetry import AttemptFailed
from tests.forwarding.fixtures import build_stream_head, encode_chunk, encode_event
from tests.forwarding.test_handler import ForwardingTest, reset_connection

PROMPT = "aa:800,bb:410,cc:250"


async def break_off_at_head(request: bytes, writer: asyncio.StreamWriter) -> None:
    """Reset the connection after the head of a stream."""
    writer.write(build_stream_head(request))
    await writer.drain()
    await asyncio.sleep(0.02)
    writer.transport.abort()


async def break_off_after_event(request: bytes, writer: asyncio.StreamWriter) -> None:
    """Reset the connection after the first event of a stream."""
    writer.write(build_stream_head(request) + encode_chunk(encode_event(1)))
    await writer.drain()
    await asyncio.sleep(0.02)
    writer.transport.abort()


class AttemptLogTest(ForwardingTest):
    """Guard against ends of targets whose requests cannot be compared afterwards."""

    async def read_line(self, script) -> AttemptFailed:
        """Return the log line of a stream that this script breaks off."""
        self.instance = await self.start(script)
        with mock.patch("carobladder.forwarding.attemptlog.emit") as emit:
            await self.instance.call("/stream/x", Carobladder_Prompt_Prefix=PROMPT)
        events = [call.args[0] for call in emit.call_args_list]
        (line,) = [event for event in events if isinstance(event, AttemptFailed)]
        return line

    async def test_line_names_the_shared_parts_and_the_progress(self):
        for script, progress in (
            (reset_connection, "waiting"),
            (break_off_at_head, "begun"),
            (break_off_after_event, "streaming"),
        ):
            with self.subTest(progress=progress):
                line = await self.read_line(script)
                self.assertEqual((line.parts, line.progress), ("aa,bb", progress))
                counted = f'broken_answers_total{{progress="{progress}"}} 1.0'
                self.assertIn(counted, self.instance.metrics.render().decode())

    async def test_line_tells_silence_of_the_answer_from_silence_of_the_target(self):
        line = await self.read_line(break_off_after_event)
        self.assertLess(line.silent_seconds, 1.0)
        self.assertLess(line.target_heard_seconds, 1.0)
        line = await self.read_line(reset_connection)
        self.assertLess(line.silent_seconds, 1.0)
        # No answer of this target has ever come.
        self.assertIsNone(line.target_heard_seconds)
