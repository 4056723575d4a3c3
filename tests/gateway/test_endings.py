"""Tests of what is logged and counted at the end of callers' connections."""

import asyncio
import os
import socket

from carobladder.gateway.endings import (
    count_unread_bytes,
)
from tests.gateway.test_connections import EMPTY_REQUEST, HEAD, ConnectionTest

TIMEOUT_SECONDS = 5.0


class ConnectionEndTest(ConnectionTest):
    """Guard against connections that end with a request and leave no trace."""

    async def wait_for_end(self) -> None:
        """Wait until the server has closed its connections."""
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await self.state.no_connections.wait()

    def count_ends(self, reason: str, progress: str) -> float:
        """Return the number of connections that ended so."""
        return self.gateway.count(
            "connection_ends_total", reason=reason, progress=progress
        )

    async def test_bytes_that_wait_in_the_socket_are_logged(self):
        await self.start()
        sock = self.writer.get_extra_info("socket")
        os.write(sock.fileno(), EMPTY_REQUEST)
        with self.assertLogs("carobladder", "INFO") as logs:
            self.connection.abort()
            await self.wait_for_end()
        (record,) = logs.records
        self.assertEqual(record.getMessage(), "connection_cut")
        self.assertEqual(record.reason, "instance_ended")
        self.assertEqual(record.progress, "head")
        self.assertEqual(record.unread_bytes, len(EMPTY_REQUEST))
        self.assertEqual(self.count_ends("instance_ended", "head"), 1)

    async def test_unfinished_body_of_a_caller_that_leaves_is_logged(self):
        await self.start()
        self.writer.write(HEAD + b"Content-Length: 9\r\n\r\nabc")
        await asyncio.sleep(0.02)
        with self.assertLogs("carobladder", "INFO") as logs:
            self.writer.close()
            await self.wait_for_end()
        (record,) = logs.records
        self.assertEqual((record.reason, record.progress), ("caller_closed", "body"))

    # Guards against an early refusal that looks like a request without an answer.
    async def test_rest_of_a_body_that_was_refused_is_no_other_request(self):
        await self.start(max_body_bytes=8)
        chunk = b"20\r\n" + b"x" * 32 + b"\r\n"
        with self.assertNoLogs("carobladder", "INFO"):
            answer = await self.exchange(
                HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + 2 * chunk
            )
            self.assertIn(b" 413 ", answer[:20])
            self.writer.write(chunk)
            await asyncio.sleep(0.02)
            self.writer.close()
            await self.wait_for_end()
        self.assertEqual(self.count_ends("refused", "none"), 1)

    async def test_request_that_is_handled_at_the_end_of_the_instance_is_logged(self):
        async def wait_for_ever(request, responder) -> None:
            await asyncio.Event().wait()

        await self.start(wait_for_ever)
        self.writer.write(EMPTY_REQUEST)
        await asyncio.sleep(0.02)
        with self.assertLogs("carobladder", "INFO") as logs:
            self.connection.abort()
            await self.wait_for_end()
        self.assertEqual(logs.records[0].progress, "handling")

    async def test_ends_without_a_request_are_counted_and_not_logged(self):
        await self.start(idle_seconds=0.05)
        with self.assertNoLogs("carobladder", "INFO"):
            await self.wait_for_end()
            await self.connect()
            await self.exchange(
                HEAD + b"Connection: close\r\nContent-Length: 0\r\n\r\n"
            )
            await self.wait_for_end()
        self.assertEqual(self.count_ends("idle_timeout", "none"), 1)
        self.assertEqual(self.count_ends("answered", "none"), 1)


class UnreadCountTest(ConnectionTest):
    """Guard against figures of the kernel that are read wrongly."""

    async def test_unread_bytes_of_a_closed_socket_are_none(self):
        left, right = socket.socketpair()
        with left, right:
            left.sendall(b"abc")
            self.assertEqual(count_unread_bytes(right), 3)
        self.assertEqual(count_unread_bytes(right), 0)
