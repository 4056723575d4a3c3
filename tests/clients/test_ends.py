"""Tests of responses whose server keeps their end back."""

import asyncio
import unittest

from carobladder.clients.http import HttpClient
from carobladder.clock import SystemClock
from tests.gateway.scripted_servers import ScriptedServer, read_head

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CONTENT = b"content"
CHUNK = b"7\r\ncontent\r\n"
MOST_AWAITED = 64
CALLS = MOST_AWAITED + 6


class AnswerEndsTest(unittest.IsolatedAsyncioTestCase):
    """Guard against ends that are awaited without a bound, or after the shutdown."""

    async def asyncSetUp(self):
        self.open_connections = 0
        self.server = await self.enterAsyncContext(ScriptedServer(self.keep_end_back))
        self.client = HttpClient(SystemClock())
        self.addCleanup(self.client.close)

    async def keep_end_back(self, reader, writer, number) -> None:
        """Send a response without its end until the client closes the connection."""
        self.open_connections += 1
        try:
            await read_head(reader)
            writer.write(HEAD + CHUNK)
            await reader.read()
        finally:
            self.open_connections -= 1

    async def leave_ends(self, count: int) -> None:
        """Receive the content of some responses and leave their ends to the client."""
        answers = [
            await self.client.open(
                "GET", self.server.address, "/", timeout_seconds=1.0, fresh=True
            )
            for _ in range(count)
        ]
        for answer in answers:
            self.assertEqual(await answer.read(1.0), CONTENT)
            answer.leave_end()
        await asyncio.sleep(0.1)

    # Guards against connections that pile up behind silent servers.
    async def test_number_of_awaited_ends_is_bounded(self):
        await self.leave_ends(CALLS)
        self.assertEqual(self.open_connections, MOST_AWAITED)

    # Guards against connections to servers that outlive the client.
    async def test_awaited_ends_are_given_up_as_the_client_closes(self):
        await self.leave_ends(3)
        self.assertEqual(self.open_connections, 3)
        self.client.close()
        await asyncio.sleep(0.1)
        self.assertEqual(self.open_connections, 0)

    # Guards against an end that is given up before it can be awaited.
    async def test_awaited_end_is_given_up_before_its_task_has_begun(self):
        answer = await self.client.open(
            "GET", self.server.address, "/", timeout_seconds=1.0
        )
        await answer.read(1.0)
        answer.leave_end()
        self.client.close()
        await asyncio.sleep(0.1)
        self.assertEqual(self.open_connections, 0)


if __name__ == "__main__":
    unittest.main()
