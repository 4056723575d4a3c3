"""Tests of the memory that the bodies of requests may use together."""

import asyncio
import re
import unittest

from carobladder.clock import SystemClock
from carobladder.gateway.bodymemory import BodyMemory
from carobladder.gateway.ports import Answer, Request, Responder
from carobladder.memory import MemoryBudget
from tests.gateway.fakes import TEST_TIMEOUT_SECONDS
from tests.gateway.test_connections import HEAD, ConnectionTest

LIMIT_BYTES = 400_000
LONG_BYTES = 150_000
READ_SECONDS = 4.0


class BodyMemoryTest(ConnectionTest):
    """Guard against bodies that together use more than their part of the memory."""

    async def start_bounded(self, **limits: float) -> None:
        """Start a server whose handler waits for ``self.go_on`` with long bodies."""
        self.go_on, self.begun = asyncio.Event(), asyncio.Event()

        async def answer(request: Request, responder: Responder) -> None:
            if len(request.body) > 10:
                self.begun.set()
                await self.go_on.wait()
            await responder.send_answer(Answer(200, (), b"%d" % len(request.body)))

        await self.start(answer, **limits)
        self.budget = MemoryBudget(LIMIT_BYTES)
        self.state.body_memory = BodyMemory(self.budget, SystemClock())

    async def open(self, data: bytes) -> None:
        """Send bytes on a new connection, which answers are read from then on."""
        host, _, port = self.gateway.address.partition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(self.writer.close)
        self.writer.write(data)
        await asyncio.sleep(0.05)

    async def wait_until_free(self) -> None:
        """Wait until no byte is reserved."""
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while self.budget.used_bytes:
                await asyncio.sleep(0.01)

    # Guards against a sum of declared bodies that nothing bounds.
    async def test_long_body_above_the_bound_is_refused_before_it_is_sent(self):
        await self.start_bounded()
        await self.open(build_head(LONG_BYTES) + b"x" * 10)
        for fields in (b"", b"Expect: 100-continue\r\n"):
            with self.subTest(fields):
                await self.open(build_head(LONG_BYTES, fields))
                answer = await self.read_answer()
                self.assertIn(b" 503 ", answer[:20])
                self.assertIn(b"memory_short", answer)
        self.assertEqual(self.budget.used_bytes, LONG_BYTES)

    async def test_short_body_is_read_beside_long_ones(self):
        await self.start_bounded()
        self.go_on.set()
        await self.open(build_head(LONG_BYTES))
        await self.open(build_head(65_536) + b"x" * 65_536)
        self.assertTrue((await self.read_answer()).endswith(b"65536"))

    # Guards against chunks, whose sum no head declares.
    async def test_chunks_above_the_bound_are_refused_as_they_grow(self):
        await self.start_bounded()
        chunk = b"%x\r\n%s\r\n" % (50_000, b"x" * 50_000)
        await self.open(HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunk)
        self.assertEqual(self.budget.used_bytes, 0)
        self.writer.write(chunk * 2)
        await asyncio.sleep(0.05)
        self.assertGreaterEqual(self.budget.used_bytes, 150_000)
        self.writer.write(chunk * 3)
        self.assertIn(b" 503 ", (await self.read_answer())[:20])
        await self.wait_until_free()

    async def test_whole_chunks_within_the_bound_are_handled(self):
        await self.start_bounded()
        self.go_on.set()
        chunk = b"%x\r\n%s\r\n" % (50_000, b"x" * 50_000)
        data = HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunk * 3 + b"0\r\n\r\n"
        await self.open(data)
        self.assertTrue((await self.read_answer()).endswith(b"150000"))
        await self.wait_until_free()

    # Guards against a body that is not counted while it is kept for other attempts.
    async def test_bytes_are_reserved_until_the_request_ends(self):
        await self.start_bounded()
        await self.open(build_head(LONG_BYTES) + b"x" * LONG_BYTES)
        await self.begun.wait()
        self.assertEqual(self.budget.used_bytes, LONG_BYTES)
        self.go_on.set()
        self.assertIn(b" 200 ", (await self.read_answer())[:20])
        await self.wait_until_free()

    # Guards against bytes that stay reserved for requests that are gone.
    async def test_bytes_are_released_when_the_caller_leaves(self):
        for sent in (10, LONG_BYTES):
            with self.subTest(sent=sent):
                await self.start_bounded()
                await self.open(build_head(LONG_BYTES) + b"x" * sent)
                self.assertEqual(self.budget.used_bytes, LONG_BYTES)
                self.writer.close()
                await self.wait_until_free()

    async def test_bytes_are_released_when_the_body_is_late(self):
        await self.start_bounded(read_seconds=0.2)
        await self.open(build_head(LONG_BYTES))
        self.assertEqual(self.budget.used_bytes, LONG_BYTES)
        self.assertIn(b" 408 ", (await self.read_answer())[:20])
        await self.wait_until_free()

    # Guards against a retry time at which the memory is still used.
    async def test_retry_time_is_the_end_of_the_time_for_a_body(self):
        await self.start_bounded(read_seconds=READ_SECONDS)
        await self.open(build_head(LONG_BYTES))
        await self.open(build_head(LONG_BYTES))
        milliseconds = read_retry_milliseconds(await self.read_answer())
        self.assertGreater(milliseconds, (READ_SECONDS - 1) * 1000)
        self.assertLessEqual(milliseconds, 2 * READ_SECONDS * 1000)

    async def test_retry_time_is_short_beside_a_body_that_is_handled(self):
        await self.start_bounded(read_seconds=READ_SECONDS)
        await self.open(build_head(LONG_BYTES) + b"x" * LONG_BYTES)
        await self.begun.wait()
        await self.open(build_head(LONG_BYTES))
        milliseconds = read_retry_milliseconds(await self.read_answer())
        self.assertLessEqual(milliseconds, 600)


def build_head(size: int, fields: bytes = b"") -> bytes:
    """Return the head of a request with a body of this size."""
    return HEAD + fields + b"Content-Length: %d\r\n\r\n" % size


def read_retry_milliseconds(answer: bytes) -> int:
    """Return the time after which a refused request may be sent again."""
    match = re.search(rb"(?i)retry-after-ms: (\d+)", answer)
    return int(match[1])


if __name__ == "__main__":
    unittest.main()
