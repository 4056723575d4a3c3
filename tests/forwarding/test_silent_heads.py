"""Tests of targets that fall silent in the middle of the head of an answer."""

import asyncio
from contextlib import AsyncExitStack
from unittest import IsolatedAsyncioTestCase

from tests.forwarding.fixtures import build_request, build_response, read_header
from tests.forwarding.late_ends import STREAM_END, stream_events
from tests.forwarding.silence import TIME_LIMIT_MS, is_whole, start_instance
from tests.forwarding.test_handler import ForwardingTest

CALLERS = 2
SILENCE_SECONDS = 1.5
# Within the status line, a header's name, a header's value and the last line end.
PROGRESSES = (7, 20, 45, -2)


def fall_silent(seconds: float, progress: int):
    """Return a script that is silent in the head after some bytes of it."""

    async def script(request: bytes, writer: asyncio.StreamWriter) -> None:
        if b" /resumable/" in request or b" /stream/" in request:
            answer = stream_events(request) + STREAM_END
        else:
            answer = build_response(request, b"whole")
        head, separator, body = answer.partition(b"\r\n\r\n")
        head += separator
        writer.write(head[:progress])
        await writer.drain()
        await asyncio.sleep(seconds)
        writer.write(head[progress:] + body)

    return script


class SilentHeadTest(IsolatedAsyncioTestCase):
    """Guard against answers that are lost, cut or run twice since their head pauses."""

    async def call_all(self, path: str, progress: int):
        """Return the answers that callers get one after the other, and the runs."""
        script = fall_silent(SILENCE_SECONDS, progress)
        request = build_request(
            path, b"a", close=False, Carobladder_Deadline=str(TIME_LIMIT_MS)
        )
        async with AsyncExitStack() as stack:
            instance, targets = await start_instance(stack, script, script)
            answers = await asyncio.gather(
                *(self.call_twice(instance, request) for _ in range(CALLERS))
            )
        runs = sum(len(target.requests) for target in targets)
        return [answer for pair in answers for answer in pair], runs

    async def call_twice(self, instance, request: bytes) -> list[bytes]:
        """Return the answers to two requests on one connection."""
        reader, writer = await instance.connect()
        answers = []
        for _ in range(2):
            writer.write(request)
            head = await reader.readuntil(b"\r\n\r\n")
            if b"text/event-stream" in head:
                answers.append(head + await reader.readuntil(STREAM_END))
            else:
                length = int(read_header(head, "content-length"))
                answers.append(head + await reader.readexactly(length))
        writer.close()
        return answers

    async def check_whole(self, path: str, attempts: int) -> None:
        """Check that all answers are whole and that no run is too many."""
        results = await asyncio.gather(
            *(self.call_all(path, progress) for progress in PROGRESSES)
        )
        for progress, (answers, runs) in zip(PROGRESSES, results, strict=True):
            with self.subTest(path=path, progress=progress):
                self.assertEqual([a for a in answers if not is_whole(a)], [])
                self.assertLessEqual(runs, 2 * CALLERS * attempts)

    # Guards against a second run of a request that may run only once.
    async def test_requests_that_run_once_are_awaited(self):
        await self.check_whole("/unsafe/x", attempts=1)
        await self.check_whole("/stream/x", attempts=1)

    # Guards against lost answers of requests that may be repeated.
    async def test_requests_that_may_be_repeated_are_answered(self):
        await self.check_whole("/safe/x", attempts=2)
        await self.check_whole("/resumable/x", attempts=2)


class EndlessSilenceTest(ForwardingTest):
    """Guard against a head that belongs to one request and ends at another."""

    # Guards against an answer that goes on with the rest of an overdue head.
    async def test_connection_of_an_overdue_head_is_not_used_again(self):
        for path in ("/unsafe/x", "/safe/x", "/stream/x", "/resumable/x"):
            for progress in PROGRESSES:
                with self.subTest(path=path, progress=progress):
                    instance = await self.start(fall_silent(0.6, progress))
                    request = build_request(path, b"a", Carobladder_Deadline="300")
                    answer = await instance.exchange(request)
                    self.assertIn(b" 504 ", answer[:20])
                    answer = await instance.exchange(build_request(path, b"a"))
                    self.assertTrue(is_whole(answer))
                    self.assertEqual(self.targets[0].server.connections, 2)
