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


async def _read_start(caller: socket.socket) -> bytes:
    """Return the first bytes of an answer, nothing if the connection has none."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(READ_SECONDS):
            return (await loop.sock_recv(caller, 4096))[:8]
    except (ConnectionResetError, TimeoutError):
        return b""
