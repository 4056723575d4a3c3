"""Tests of connections that a drain finds in the accept queue."""

import asyncio
import contextlib
import socket

from carobladder.gateway.ports import Answer
from tests.gateway.test_connections import HEAD, ConnectionTest, echo

CALLERS = 20
TIMEOUT_SECONDS = 5.0
REQUEST = HEAD + b"Connection: close\r\nContent-Length: 0\r\n\r\n"


class AcceptQueueTest(ConnectionTest):
    """Guard against requests that a planned stop resets before they are accepted."""

    async def start(self, handle=echo, **limits: float) -> None:
        """Start a server, and note its port, which it forgets at its end."""
        await super().start(handle, **limits)
        self.port = self.gateway.server.port

    def connect_without_loop(self, data: bytes) -> socket.socket:
        """Connect and send while the event loop can't accept."""
        caller = socket.create_connection(("127.0.0.1", self.port))
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

    async def queue_callers(self) -> list[socket.socket]:
        """Return callers in the accept queue of a server without connections."""
        await self.start()
        # A drain waits for open connections, and the loop accepts others meanwhile.
        self.writer.close()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await self.state.no_connections.wait()
        return [self.connect_without_loop(REQUEST) for _ in range(CALLERS)]

    async def check_answered(self, callers: list[socket.socket]) -> None:
        """Check that each caller gets an answer."""
        async with asyncio.timeout(TIMEOUT_SECONDS):
            answers = [await self.read_to_end(caller) for caller in callers]
        whole = [answer for answer in answers if answer.startswith(b"HTTP/1.1 ")]
        self.assertEqual(len(whole), CALLERS)

    # Guards against the reset of connections that the kernel accepted before a drain
    # closed the listener.
    async def test_requests_in_the_accept_queue_are_answered(self):
        callers = await self.queue_callers()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            finished = await self.gateway.server.finish_drain(TIMEOUT_SECONDS)
        self.assertTrue(finished)
        await self.check_answered(callers)

    # Guards against the reset of what is in the queue as the listener is closed.
    async def test_queue_of_a_listener_that_is_closed_is_taken_over(self):
        callers = await self.queue_callers()
        with self.assertLogs("carobladder", "INFO") as logs:
            # The loop has no iteration in which it could accept them itself.
            await self.gateway.server._stop_listening()
        (closed,) = (r for r in logs.records if r.getMessage() == "listener_closed")
        self.assertEqual(closed.accepted, CALLERS)
        await self.check_answered(callers)

    # Guards against an instance that runs on for seconds, with the requests that it
    # took over, and refuses connections meanwhile.
    async def test_caller_beside_a_request_that_was_taken_over_is_answered(self):
        begun, release = asyncio.Event(), asyncio.Event()

        async def wait_for_release(request, responder) -> None:
            begun.set()
            await release.wait()
            await responder.send_answer(Answer(200, (), b"done"))

        await self.start(wait_for_release)
        self.writer.close()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await self.state.no_connections.wait()
            first = self.connect_without_loop(REQUEST)
            drain = asyncio.create_task(
                self.gateway.server.finish_drain(TIMEOUT_SECONDS)
            )
            await begun.wait()
            try:
                second = self.connect_without_loop(REQUEST)
            except ConnectionRefusedError:
                self.fail("the instance runs and refuses connections")
            finally:
                release.set()
            for caller in (first, second):
                self.assertIn(b" 200 ", await self.read_to_end(caller))
            self.assertTrue(await drain)
