"""Tests of connections that a drain finds in the accept queue."""

import asyncio
import contextlib
import socket

from carobladder.gateway.ports import Answer
from tests.gateway.test_connections import HEAD, ConnectionTest

CALLERS = 20
TIMEOUT_SECONDS = 5.0
DRAINING_SECONDS = 0.1
REQUEST = HEAD + b"Connection: close\r\nContent-Length: 0\r\n\r\n"


class AcceptQueueTest(ConnectionTest):
    """Guard against requests that a planned stop resets before they are accepted."""

    def connect_without_loop(self, data: bytes) -> socket.socket:
        """Connect and send while the event loop can't accept."""
        caller = socket.create_connection(("127.0.0.1", self.gateway.server.port))
        self.addCleanup(caller.close)
        caller.sendall(data)
        caller.setblocking(False)
        return caller

    async def read_to_end(self, caller: socket.socket) -> bytes:
        """Return all bytes until the connection is closed or reset."""
        data = b""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(ConnectionResetError):
            while part := await loop.sock_recv(caller, 4096):
                data += part
        return data

    # Guards against refused connections while the balancer has no other instance.
    async def test_caller_that_connects_during_a_drain_is_answered(self):
        release = asyncio.Event()

        async def wait_for_release(request, responder) -> None:
            await release.wait()
            await responder.send_answer(Answer(200, (), b"done"))

        await self.start(wait_for_release)
        self.writer.write(REQUEST)
        await asyncio.sleep(0.02)
        drain = asyncio.create_task(self.gateway.server.finish_drain(TIMEOUT_SECONDS))
        await asyncio.sleep(0.02)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            caller = self.connect_without_loop(REQUEST)
            release.set()
            self.assertIn(b" 200 ", await self.read_to_end(caller))
            self.assertTrue(await drain)

    # Guards against the reset of connections that the kernel accepted before a drain
    # closed the listener.
    async def test_requests_in_the_accept_queue_are_answered(self):
        await self.start()
        # A drain waits for open connections, and the loop accepts others meanwhile.
        self.writer.close()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await self.state.no_connections.wait()
        callers = [self.connect_without_loop(REQUEST) for _ in range(CALLERS)]
        async with asyncio.timeout(TIMEOUT_SECONDS):
            with self.assertLogs("carobladder", "INFO") as logs:
                finished = await self.gateway.server.finish_drain(TIMEOUT_SECONDS)
            answers = [await self.read_to_end(caller) for caller in callers]
        self.assertTrue(finished)
        (closed,) = (r for r in logs.records if r.getMessage() == "listener_closed")
        self.assertEqual(closed.accepted, CALLERS)
        whole = [answer for answer in answers if answer.startswith(b"HTTP/1.1 ")]
        self.assertEqual(len(whole), CALLERS)

    # Guards against a closed listener while a caller from the queue is still served.
    async def test_callers_are_answered_while_one_of_the_queue_is_served(self):
        release = asyncio.Event()

        async def wait_for_release(request, responder) -> None:
            await release.wait()
            await responder.send_answer(Answer(200, (), b"done"))

        await self.start(wait_for_release)
        self.writer.close()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await self.state.no_connections.wait()
            first = self.connect_without_loop(REQUEST)
            server = self.gateway.server
            drain = asyncio.create_task(server.finish_drain(TIMEOUT_SECONDS))
            await asyncio.sleep(DRAINING_SECONDS)
            second = self.connect_without_loop(REQUEST)
            await asyncio.sleep(DRAINING_SECONDS)
            release.set()
            for caller in (first, second):
                self.assertIn(b" 200 ", await self.read_to_end(caller))
            self.assertTrue(await drain)
