"""Tests of callers that leave while their requests are handled."""

import asyncio
import itertools
import socket
import struct
import unittest

from carobladder.gateway.intake import MAX_PIPELINED_BYTES
from carobladder.gateway.ports import Answer, Request, Responder
from tests.gateway.fakes import TEST_TIMEOUT_SECONDS
from tests.gateway.test_connections import EMPTY_REQUEST, HEAD, ConnectionTest

MAX_BODY_BYTES = 4_194_304
SIZES = (65_536, 66_000, 300_000, MAX_BODY_BYTES)
PIECE_COUNT = 10
# A server must stop its work on a request half a second after its caller has left.
NOTICE_SECONDS = 0.5
# The most that the transport passes on in one call.
READ_BYTES = 262_144
# With it, closing a socket resets its connection at once.
NO_LINGER = struct.pack("ii", 1, 0)


def build_request(size: int, framing: str) -> bytes:
    """Return a request with a body of this size."""
    body = b"x" * size
    if framing == "length":
        return HEAD + b"Content-Length: %d\r\n\r\n%s" % (size, body)
    half = size // 2
    chunks = b"".join(
        b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in (body[:half], body[half:])
    )
    return HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


class LongRequestTest(ConnectionTest):
    """Base class of tests with long requests that are handled for some time."""

    async def start_waiting(self) -> None:
        """Start a server that handles requests with a body until ``self.go_on``."""
        self.begun, self.go_on = asyncio.Event(), asyncio.Event()
        self.cancelled = asyncio.Event()

        async def answer(request: Request, responder: Responder) -> None:
            if request.body:
                self.begun.set()
                try:
                    await self.go_on.wait()
                except asyncio.CancelledError:
                    self.cancelled.set()
                    raise
            size = b"%d" % len(request.body)
            await responder.send_answer(Answer(200, (), size))

        await self.start(answer)

    async def send(self, data: bytes, *, slowly: bool = False) -> None:
        """Send bytes at once or in pieces, and wait until a body is handled."""
        step = len(data) // PIECE_COUNT if slowly else len(data)
        for start in range(0, len(data), step):
            self.writer.write(data[start : start + step])
            await asyncio.sleep(0.005)
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            await self.begun.wait()
        await asyncio.sleep(0.02)
        self.assertFalse(self.cancelled.is_set())


class LeavingCallerTest(LongRequestTest):
    """Guard against work that goes on for a caller that has left."""

    async def check_notice(self) -> None:
        """Leave, and check that the request is cancelled in time."""
        self.writer.close()
        async with asyncio.timeout(NOTICE_SECONDS):
            await self.cancelled.wait()

    # Guards against a connection that is not read while a request with more bytes than
    # may be pipelined is handled.
    async def test_caller_with_a_long_body_is_seen_to_leave(self):
        cases = itertools.product(SIZES, ("length", "chunks"), (False, True))
        for size, framing, slowly in cases:
            with self.subTest(size=size, framing=framing, slowly=slowly):
                await self.start_waiting()
                await self.send(build_request(size, framing), slowly=slowly)
                await self.check_notice()

    async def test_caller_with_a_long_body_on_a_kept_connection_is_seen_to_leave(self):
        for framing in ("length", "chunks"):
            with self.subTest(framing):
                await self.start_waiting()
                await self.exchange(EMPTY_REQUEST)
                await self.send(build_request(100_000, framing))
                await self.check_notice()

    async def test_caller_that_waits_for_100_continue_is_seen_to_leave(self):
        await self.start_waiting()
        expect = b"Expect: 100-continue\r\nContent-Length: 100000\r\n\r\n"
        self.writer.write(HEAD + expect)
        self.assertIn(b" 100 ", await self.reader.readuntil(b"\r\n\r\n"))
        await self.send(b"x" * 100_000)
        await self.check_notice()

    async def test_caller_with_a_pipelined_request_is_seen_to_leave(self):
        for size in (0, 60_000, 65_536, 100_000):
            with self.subTest(size):
                await self.start_waiting()
                first = build_request(100_000, "length")
                await self.send(first + build_request(size, "length"))
                await self.check_notice()

    # Guards against a paused connection whose end the transport does not see.
    async def test_caller_that_fills_the_bound_is_seen_to_leave(self):
        for size in (MAX_PIPELINED_BYTES + 1, 100_000):
            with self.subTest(size):
                await self.start_waiting()
                await self.send(build_request(10, "length"))
                self.writer.write(build_request(size, "length"))
                await asyncio.sleep(0.05)
                self.assertFalse(self.connection._transport.is_reading())
                await self.check_notice()

    async def test_caller_that_resets_a_paused_connection_is_seen_to_leave(self):
        await self.start_waiting()
        await self.send(build_request(10, "length"))
        self.writer.write(b"x" * 5_000_000)
        await asyncio.sleep(0.05)
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        self.writer.transport.abort()
        async with asyncio.timeout(NOTICE_SECONDS):
            await self.cancelled.wait()


class PipelineTest(LongRequestTest):
    """Guard against keeping what is sent without end, and losing what is answered."""

    async def test_bytes_of_a_caller_that_goes_on_sending_are_bounded(self):
        for size in (10, 100_000):
            with self.subTest(size):
                await self.start_waiting()
                await self.send(build_request(size, "length"))
                self.writer.write(b"x" * 20_000_000)
                await asyncio.sleep(0.3)
                unparsed_bytes = len(self.connection._http.trailing_data[0])
                self.assertGreater(unparsed_bytes, 0)
                self.assertLessEqual(unparsed_bytes, MAX_PIPELINED_BYTES + READ_BYTES)
                self.assertFalse(self.cancelled.is_set())
                self.go_on.set()
                self.assertTrue((await self.read_answer()).endswith(b"%d" % size))

    async def test_pipelined_requests_with_long_bodies_are_answered(self):
        await self.start_waiting()
        sizes = (100_000, 70_000, 1_000_000, 1, 300_000)
        data = b"".join(build_request(size, "length") for size in sizes)
        await self.send(data)
        await asyncio.sleep(0.3)
        self.assertFalse(self.cancelled.is_set())
        self.go_on.set()
        for size in sizes:
            self.assertTrue((await self.read_answer()).endswith(b"\r\n%d" % size))


if __name__ == "__main__":
    unittest.main()
