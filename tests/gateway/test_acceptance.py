"""Tests of the acceptance of callers' connections."""

import asyncio
import errno
import socket
import unittest

from carobladder.gateway.acceptance import Acceptor
from carobladder.gateway.listeners import open_listener

TIMEOUT_SECONDS = 3.0


class FailingListener:
    """Listener whose next calls of accept fail with given errors."""

    def __init__(self, listener: socket.socket, errors: list[int]) -> None:
        self._listener = listener
        self._errors = errors

    def accept(self):
        if self._errors:
            raise OSError(self._errors.pop(0), "injected")
        return self._listener.accept()

    def fileno(self) -> int:
        return self._listener.fileno()

    def setblocking(self, flag: bool) -> None:
        self._listener.setblocking(flag)


class AcceptorTest(unittest.IsolatedAsyncioTestCase):
    """Guard against callers that are connected while nobody accepts them."""

    def start(self, *errors: int) -> None:
        self.accepted: asyncio.Queue[socket.socket] = asyncio.Queue()
        self.refused = 0
        listener = open_listener("127.0.0.1:0")
        self.addCleanup(listener.close)
        self.address = listener.getsockname()
        acceptor = Acceptor(
            FailingListener(listener, list(errors)),
            self.accepted.put_nowait,
            self.count_refusal,
        )
        acceptor.start()
        self.acceptor = acceptor

    def count_refusal(self) -> None:
        self.refused += 1

    async def connect(self) -> socket.socket:
        caller = socket.socket()
        caller.setblocking(False)
        self.addCleanup(caller.close)
        await asyncio.get_running_loop().sock_connect(caller, self.address)
        return caller

    async def accept(self) -> None:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            sock = await self.accepted.get()
        self.addCleanup(sock.close)

    async def asyncTearDown(self):
        self.acceptor.stop()

    async def test_caller_without_a_descriptor_is_closed_and_the_next_one_accepted(
        self,
    ):
        self.start(errno.EMFILE)
        first = await self.connect()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            end = await asyncio.get_running_loop().sock_recv(first, 1)
        self.assertEqual((end, self.refused), (b"", 1))
        await self.connect()
        await self.accept()
        self.assertEqual(self.refused, 1)

    async def test_error_that_lasts_does_not_end_the_acceptance(self):
        self.start(*[errno.ENOBUFS] * 4)
        await self.connect()
        await self.accept()

    async def test_reset_caller_does_not_delay_the_next_one(self):
        self.start(errno.ECONNABORTED)
        await self.connect()
        await self.accept()
        self.assertEqual(self.refused, 0)

    async def test_stopped_acceptor_leaves_callers_in_the_queue(self):
        self.start()
        self.acceptor.stop()
        await self.connect()
        await asyncio.sleep(0.05)
        self.assertTrue(self.accepted.empty())


if __name__ == "__main__":
    unittest.main()
