"""Tests of streams whose target keeps their end back."""

import asyncio
from collections import Counter
from unittest import mock

from tests.forwarding.fixtures import Instance, build_request
from tests.forwarding.late_ends import (
    FIRST_END_SECONDS,
    STREAM_END,
    close_after_head,
    keep_end_back,
    keep_first_end_back,
    send_without_end,
)
from tests.forwarding.silence import TIME_LIMIT_MS, allow_long_answers, is_whole
from tests.forwarding.test_handler import ForwardingTest

PATHS = ("/stream/x", "/resumable/x")
SILENCES_SECONDS = (0.5, 1.0, 1.9)


class LateEndTest(ForwardingTest):
    """Guard against streams that suffer from an end that comes late."""

    async def asyncSetUp(self):
        patch = mock.patch("carobladder.forwarding.handler.emit")
        self.emit = self.enterContext(patch)

    def count_events(self) -> Counter[str]:
        """Return how often each kind of event was logged since the last call."""
        events = [call.args[0] for call in self.emit.call_args_list]
        self.emit.reset_mock()
        return Counter(type(event).__name__ for event in events)

    def count_runs(self) -> int:
        """Return the number of streams that targets began."""
        requests = [request for target in self.targets for request in target.requests]
        return sum(b" /resumable/" in request for request in requests)

    async def connect(self, instance: Instance):
        """Return the reader and writer of a new connection."""
        reader, writer = await instance.connect()
        self.addCleanup(writer.close)
        return reader, writer

    def build_request(self, path: str) -> bytes:
        """Return a request that keeps the connection open."""
        deadline = str(TIME_LIMIT_MS)
        return build_request(path, b"a", close=False, Carobladder_Deadline=deadline)

    # Guards against a request that is lost or counts twice behind a late end.
    async def test_requests_on_a_kept_connection_are_answered(self):
        for path in PATHS:
            for seconds in SILENCES_SECONDS:
                with self.subTest(path=path, seconds=seconds):
                    instance = await self.start(keep_end_back(seconds))
                    allow_long_answers(instance)
                    reader, writer = await self.connect(instance)
                    writer.write(self.build_request(path) * 2)
                    for _ in range(2):
                        answer = await reader.readuntil(STREAM_END)
                        self.assertTrue(is_whole(answer))
                    self.assertEqual(self.count_events(), {"RequestAnswered": 2})
                    self.assertEqual(self.targets[0].server.connections, 1)

    # Guards against a stream without an end that counts as answered.
    async def test_timeout_before_the_end_is_one_refusal(self):
        for path in PATHS:
            with self.subTest(path=path):
                instance = await self.start(keep_end_back(3.0))
                answer = await instance.exchange(build_request(path, b"a"))
                self.assertFalse(answer.endswith(STREAM_END))
                self.assertEqual(self.count_events(), {"RequestRefused": 1})

    # Guards against a stream that a drain cuts since only its end is missing.
    async def test_stream_without_an_end_outlasts_the_begin_of_a_drain(self):
        for path in PATHS:
            with self.subTest(path=path):
                instance = await self.start(keep_end_back(1.0))
                reader, writer = await self.connect(instance)
                writer.write(self.build_request(path))
                await asyncio.sleep(0.2)
                self.assertTrue(await instance.server.finish_drain(4.0))
                self.assertTrue(is_whole(await reader.read()))
                self.assertEqual(self.count_events(), {"RequestAnswered": 1})

    # Guards against a connection to a target that goes on with another stream's end.
    async def test_connection_of_a_stream_without_an_end_is_not_reused(self):
        instance = await self.start(keep_end_back(1.9))
        _, writer = await self.connect(instance)
        writer.write(self.build_request("/stream/x"))
        await asyncio.sleep(0.2)
        writer.transport.abort()
        await asyncio.sleep(0.1)
        self.assertEqual(self.count_events(), {"CallerLeft": 1})
        allow_long_answers(instance)
        reader, writer = await self.connect(instance)
        writer.write(self.build_request("/stream/x"))
        self.assertTrue(is_whole(await reader.readuntil(STREAM_END)))
        self.assertEqual(self.targets[0].server.connections, 2)

    async def call_resumable(self, *scripts) -> list[bytes]:
        """Return the answers of two targets, each of which gets the first request."""
        answers = []
        for order in (scripts, scripts[::-1]):
            instance = await self.start(*order)
            allow_long_answers(instance)
            for _ in range(3):
                request = build_request(
                    "/resumable/x", b"a", Carobladder_Deadline=str(TIME_LIMIT_MS)
                )
                answers.append(await instance.exchange(request))
        return answers

    # Guards against a stream that is cut though its caller lacks the end only.
    async def test_stream_resumed_after_its_last_event_is_whole(self):
        for answer in await self.call_resumable(send_without_end, keep_end_back(0.0)):
            self.assertTrue(is_whole(answer))
        self.assertEqual(self.count_events(), {"RequestAnswered": 6})

    # Guards against a stream that is cut as its target is left while it is silent.
    async def test_stream_left_before_its_end_is_whole(self):
        instance = await self.start(keep_first_end_back, keep_first_end_back)
        allow_long_answers(instance)
        reader, writer = await self.connect(instance)
        writer.write(self.build_request("/resumable/x"))
        answer = asyncio.create_task(reader.readuntil(STREAM_END))
        async with asyncio.timeout(FIRST_END_SECONDS - 0.2):
            while not answer.done():
                await instance.call("/safe/x")
                await asyncio.sleep(0.05)
        self.assertTrue(is_whole(await answer))
        self.assertEqual(self.count_runs(), 2)

    # Guards against a stream that seems whole since the next target broke off.
    async def test_stream_that_ends_with_its_connection_is_not_whole(self):
        for answer in await self.call_resumable(send_without_end, close_after_head):
            self.assertFalse(answer.endswith(STREAM_END))
