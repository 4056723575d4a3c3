"""Tests of requests that come as a drain closes their connections."""

import asyncio
import contextlib
import socket
import time

from carobladder.gateway.ports import Answer
from tests.gateway.test_connections import HEAD, ConnectionTest

LIMIT_SECONDS = 0.6
REFUSAL_SECONDS = 0.2
# Time from the close of the listener to a request of a connection in its queue.
FOLLOW_SECONDS = 0.03
TIMEOUT_SECONDS = 5.0
# Longer than a drain leaves connections that nobody has used.
ANNOUNCED_SECONDS = 1
BODY = b"x" * 10
REQUEST = HEAD + b"Content-Length: 0\r\n\r\n"
CALLERS = 10


def block(seconds: float) -> None:
    """Keep the event loop busy."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        pass


class DrainEndTest(ConnectionTest):
    """Guard against requests that end with neither an answer nor a refusal."""

    async def read_status(self, reader: asyncio.StreamReader) -> bytes:
        """Return the status line, or nothing if the connection was closed."""
        with contextlib.suppress(ConnectionResetError):
            async with asyncio.timeout(TIMEOUT_SECONDS):
                return await reader.readline()
        return b""

    def connect_without_loop(self) -> socket.socket:
        """Connect and send a request in the last moment of a drain."""
        caller = socket.create_connection(("127.0.0.1", self.gateway.server.port))
        self.addCleanup(caller.close)
        caller.sendall(REQUEST)
        caller.setblocking(False)
        return caller

    async def read_from(self, caller: socket.socket) -> bytes:
        """Return the first bytes of an answer, or nothing."""
        with contextlib.suppress(ConnectionResetError):
            async with asyncio.timeout(TIMEOUT_SECONDS):
                return await asyncio.get_running_loop().sock_recv(caller, 4096)
        return b""

    # Guards against a close while the last bytes of a body are on their way.
    async def test_request_that_is_being_read_is_refused(self):
        await self.start()
        head = HEAD + b"Content-Length: %d\r\n\r\n" % len(BODY)
        self.writer.write(head + BODY[:5])
        await asyncio.sleep(0.02)
        self.assertFalse(await self.gateway.server.finish_drain(LIMIT_SECONDS))
        self.assertIn(b" 503 ", await self.read_status(self.reader))

    # Guards against a close of connections that were accepted at the last moment.
    async def test_requests_that_arrive_at_the_end_are_refused(self):
        async def wait(request, responder) -> None:
            await asyncio.Event().wait()

        await self.start(wait)
        self.writer.write(REQUEST)
        await asyncio.sleep(0.02)
        drain = asyncio.create_task(self.gateway.server.finish_drain(LIMIT_SECONDS))
        await asyncio.sleep(LIMIT_SECONDS - 0.01)
        # The event loop finds the requests and the end of the drain together.
        block(0.02)
        callers = [self.connect_without_loop() for _ in range(CALLERS)]
        self.assertFalse(await drain)
        for caller in callers:
            self.assertIn(b"HTTP/1.1 ", await self.read_from(caller))

    # Guards against a listener that is closed while the last requests are refused.
    async def test_callers_are_answered_until_the_last_request_has_ended(self):
        async def refuse_slowly(request, responder) -> None:
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                await asyncio.sleep(REFUSAL_SECONDS)
                raise

        await self.start(refuse_slowly)
        self.writer.write(REQUEST)
        await asyncio.sleep(0.02)
        drain = asyncio.create_task(self.gateway.server.finish_drain(LIMIT_SECONDS))
        await asyncio.sleep(LIMIT_SECONDS + REFUSAL_SECONDS / 2)
        caller = self.connect_without_loop()
        self.assertIn(b" 503 ", await self.read_from(caller))
        self.assertFalse(await drain)

    # Guards against a close before the idle time is over that the answer before named.
    async def test_connection_is_open_until_its_announced_time(self):
        await self.start(idle_seconds=TIMEOUT_SECONDS)
        self.state.keep_alive_seconds = ANNOUNCED_SECONDS
        answer = await self.exchange(REQUEST)
        self.assertIn(b"keep-alive: timeout=%d" % ANNOUNCED_SECONDS, answer.lower())
        drain = asyncio.create_task(self.gateway.server.finish_drain(TIMEOUT_SECONDS))
        await asyncio.sleep(ANNOUNCED_SECONDS - 0.2)
        self.assertIn(b" 200 ", (await self.exchange(REQUEST))[:20])
        self.assertTrue(await drain)

    # Guards against a process that ends before it has read what it took over.
    async def test_request_that_follows_just_after_the_close_is_refused(self):
        async def wait(request, responder) -> None:
            await asyncio.Event().wait()

        await self.start(wait)
        self.writer.write(REQUEST)
        await asyncio.sleep(0.02)
        server = self.gateway.server
        close_listener = server._close_listener
        caller = socket.socket()
        self.addCleanup(caller.close)

        async def connect_and_close() -> bool:
            """Act like a caller that connects as the listener is closed."""
            caller.connect(("127.0.0.1", server.port))
            caller.setblocking(False)
            has_taken_over = await close_listener()
            loop = asyncio.get_running_loop()
            loop.call_later(FOLLOW_SECONDS, caller.sendall, REQUEST)
            return has_taken_over

        server._close_listener = connect_and_close
        self.assertFalse(await server.finish_drain(LIMIT_SECONDS))
        # The process ends here, so the refusal must have been sent.
        self.assertIn(b" 503 ", caller.recv(4096))

    # Guards against a close right after an answer whose headers announced none.
    async def test_next_request_after_an_answer_without_notice_is_answered(self):
        release = asyncio.Event()

        async def answer_slowly(request, responder) -> None:
            if release.is_set():
                await responder.send_answer(Answer(200, (), b"next"))
                return
            await responder.start_stream(200, ())
            await responder.send_chunk(b"first")
            await release.wait()
            await responder.end_stream()

        await self.start(answer_slowly)
        self.writer.write(REQUEST)
        head = await self.reader.readuntil(b"\r\n\r\n")
        self.assertNotIn(b"connection: close", head.lower())
        self.gateway.server.begin_drain()
        release.set()
        await self.reader.readuntil(b"0\r\n\r\n")
        self.writer.write(REQUEST)
        self.assertIn(b" 200 ", await self.read_status(self.reader))
