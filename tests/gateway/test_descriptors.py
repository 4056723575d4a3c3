"""Tests of callers that connect while a process has no file descriptor left."""

import asyncio
import contextlib
import os
import resource
import socket

from tests.gateway.test_connections import HEAD, ConnectionTest

REQUEST = HEAD + b"Content-Length: 0\r\n\r\n"
MAX_DESCRIPTORS = 200
# Descriptors that are left for connections.
FREE = 3
CALLERS = 8
ANSWER_SECONDS = 1.0
MAX_LOG_LINES = 10 * CALLERS


class DescriptorTest(ConnectionTest):
    """Guard against callers that are connected while nobody can accept them."""

    def use_up_descriptors(self) -> None:
        """Leave a few descriptors until the test ends."""
        limits = resource.getrlimit(resource.RLIMIT_NOFILE)
        self.addCleanup(resource.setrlimit, resource.RLIMIT_NOFILE, limits)
        resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS, limits[1]))
        used: list[int] = []
        with contextlib.suppress(OSError):
            while True:
                used.append(os.dup(0))
        for _ in range(FREE):
            os.close(used.pop())
        for descriptor in used:
            self.addCleanup(os.close, descriptor)

    async def call(self, caller: socket.socket) -> bytes:
        """Return the first bytes for a caller, or nothing at a close."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(ConnectionResetError):
            await loop.sock_connect(caller, ("127.0.0.1", self.gateway.server.port))
            await loop.sock_sendall(caller, REQUEST)
            return await loop.sock_recv(caller, 100)
        return b""

    # Guards against an event loop that is held by the log of each failed accept, too.
    async def test_caller_without_a_descriptor_is_refused(self):
        await self.start()
        callers = [socket.socket() for _ in range(CALLERS)]
        for caller in callers:
            caller.setblocking(False)
            self.addCleanup(caller.close)
        self.use_up_descriptors()
        with self.assertLogs("asyncio") as logs:
            calls = [asyncio.create_task(self.call(caller)) for caller in callers]
            _, waiting = await asyncio.wait(calls, timeout=ANSWER_SECONDS)
            for call in waiting:
                call.cancel()
            # The logger has a line if nothing else is logged.
            asyncio.log.logger.error("end")
        self.assertEqual(len(waiting), 0)
        self.assertLess(len(logs.records), MAX_LOG_LINES)
