"""Tests of requests that are answered before their server has read the body."""

import asyncio
import unittest

from carobladder.clients.http import HttpClient
from carobladder.clock import SystemClock
from tests.gateway.scripted_servers import ScriptedServer, plain_answer, read_head

BODY = bytes(9_000_000)
TEST_TIMEOUT_SECONDS = 5.0


class UnsentBodyTest(unittest.IsolatedAsyncioTestCase):
    """Guard against bodies that are cut, and against holding too many of them."""

    async def asyncSetUp(self):
        self.may_read = asyncio.Event()
        self.has_ended = asyncio.Event()
        self.received_bytes: list[int] = []
        self.server = await self.enterAsyncContext(ScriptedServer(self.answer_early))
        self.client = HttpClient(SystemClock())
        self.addCleanup(self.client.close)

    async def answer_early(self, reader, writer, number) -> None:
        """Answer a request and read its body later, up to the end of the connection."""
        await read_head(reader)
        writer.write(plain_answer(b"early"))
        await self.may_read.wait()
        size = 0
        try:
            while data := await reader.read(65_536):
                size += len(data)
        finally:
            self.received_bytes.append(size)
            self.has_ended.set()

    async def call(self, count: int) -> None:
        """Send some requests with long bodies, one after the other."""
        for _ in range(count):
            answer = await self.client.fetch(
                "POST", self.server.address, "/", body=BODY, timeout_seconds=1.0
            )
            self.assertEqual(answer.body, b"early")

    async def read_bodies(self, count: int) -> list[int]:
        """Return the sizes of the bodies that the server gets, the shortest first."""
        self.may_read.set()
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while len(self.received_bytes) < count:
                self.has_ended.clear()
                await self.has_ended.wait()
        return sorted(self.received_bytes)

    # Guards against a body that is cut since its request has been answered.
    async def test_body_is_sent_and_its_connection_closed(self):
        await self.call(1)
        self.assertEqual(await self.read_bodies(1), [len(BODY)])

    # Guards against memory that grows with servers that read nothing.
    async def test_unsent_bytes_are_bounded(self):
        await self.call(4)
        cut, *whole = await self.read_bodies(4)
        self.assertLess(cut, len(BODY))
        self.assertIn(len(BODY), whole)

    # Guards against connections to servers that outlive the client.
    async def test_bodies_are_given_up_as_the_client_closes(self):
        await self.call(1)
        self.client.close()
        await asyncio.sleep(0.1)
        (size,) = await self.read_bodies(1)
        self.assertLess(size, len(BODY))


if __name__ == "__main__":
    unittest.main()
