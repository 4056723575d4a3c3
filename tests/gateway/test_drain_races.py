"""Tests of requests that arrive in the event loop iterations in which a drain ends."""

import asyncio
import socket

from tests.gateway import test_connections
from tests.gateway.test_connections import HEAD

TIMEOUT_SECONDS = 5.0
READ_SECONDS = 1.0
REQUEST = HEAD + b"Connection: close\r\nContent-Length: 0\r\n\r\n"

# Event loop iterations in which the loop accepts a connection and adds it.
ITERATIONS = 6
CALLERS = 5
LIMIT_SECONDS = 0.2


class AcceptRaceTest(test_connections.ConnectionTest):
    """Guard against connections that are lost between the queue and the server."""

    def connect_without_loop(self) -> socket.socket:
        """Connect and send a request while the event loop can't accept."""
        caller = socket.create_connection(("127.0.0.1", self.gateway.server.port))
        self.addCleanup(caller.close)
        caller.sendall(REQUEST)
        caller.setblocking(False)
        return caller

    async def drain_with_callers(self, iterations: int, limit_seconds: float) -> None:
        """Drain so many iterations after callers have connected; check the answers."""
        await self.start()
        self.writer.close()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await self.state.no_connections.wait()
        callers = [self.connect_without_loop() for _ in range(CALLERS)]
        for _ in range(iterations):
            await asyncio.sleep(0)
        await self.gateway.server.finish_drain(limit_seconds)
        answers = await asyncio.gather(*map(_read_start, callers))
        self.assertEqual(answers, [b"HTTP/1.1"] * CALLERS)

    # Guards against the reset of a connection that the loop has accepted and the
    # server not, as its listener closes.
    async def test_connection_that_is_accepted_as_the_listener_closes_is_answered(self):
        for iterations in range(ITERATIONS):
            with self.subTest(iterations=iterations):
                await self.drain_with_callers(iterations, TIMEOUT_SECONDS)

    # Guards against the reset of connections as a drain has no time left.
    async def test_accept_queue_is_taken_over_at_the_time_limit(self):
        await self.drain_with_callers(0, 0.0)


class UnreadRequestTest(test_connections.ConnectionTest):
    """Guard against requests that end with the instance while they are read."""

    # Guards against a cut instead of a refusal that tells that nothing ran.
    async def test_request_whose_body_is_not_complete_at_the_end_is_refused(self):
        await self.start()
        self.writer.write(HEAD + b"Content-Length: 2\r\n\r\na")
        await asyncio.sleep(0.02)
        await self.gateway.server.finish_drain(LIMIT_SECONDS)
        self.assertIn(b" 503 ", (await self.read_answer())[:20])

    # Guards against a cut of a whole request that waits in the parser.
    async def test_request_that_arrives_as_the_drain_ends_is_answered(self):
        await self.start()
        connection = self.connection
        receive = connection.data_received

        def receive_and_end(data: bytes) -> None:
            """Act like a drain whose time is over in the same iteration."""
            receive(data)
            self.state.ended = True
            connection.end_request()

        connection._transport.get_protocol().data_received = receive_and_end
        answer = await self.exchange(REQUEST)
        self.assertIn(answer[9:12], (b"200", b"503"))


async def _read_start(caller: socket.socket) -> bytes:
    """Return the first bytes of an answer, nothing if the connection has none."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(READ_SECONDS):
            return (await loop.sock_recv(caller, 4096))[:8]
    except (ConnectionResetError, TimeoutError):
        return b""
