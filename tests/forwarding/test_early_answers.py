"""Tests of targets that answer before they have read a long body, and read on later."""

import asyncio

from carobladder.gateway.requests import RequestLimits
from tests.forwarding.fixtures import (
    Instance,
    build_request,
    build_response,
    read_header,
)
from tests.forwarding.test_handler import ForwardingTest
from tests.gateway.scripted_servers import ScriptedServer, read_head

PAUSE_SECONDS = 1.5
AT_ONCE_SECONDS = 0.7
# Sizes that sockets take in only in part, and that they take in while the target reads
# nothing.
SIZES = (8_000_000, 700_000)


def build_body(size: int) -> bytes:
    """Return a body in which each part of 8 bytes is different."""
    return b"".join(b"%08d" % number for number in range(size // 8))


class EarlyTarget:
    """Target that answers a long body first and reads it some time later.

    ``bodies`` are the bodies of the requests in the order in which they were read.
    """

    def __init__(self) -> None:
        self.bodies: list[bytes] = []
        self.has_read = asyncio.Event()
        self.server = ScriptedServer(self._serve)

    async def _serve(self, reader, writer, number) -> None:
        while True:
            head = await read_head(reader)
            writer.write(build_response(head, b"answered"))
            size = int(read_header(head, "content-length") or 0)
            if size > min(SIZES) / 2:
                await asyncio.sleep(PAUSE_SECONDS)
            self.bodies.append(await reader.readexactly(size))
            if size > min(SIZES) / 2:
                self.has_read.set()


class EarlyAnswerTest(ForwardingTest):
    """Guard against bodies that are changed or cut, and requests that wait for them."""

    async def start_early(self) -> EarlyTarget:
        """Return a target in use by an instance to which a caller is connected."""
        target = EarlyTarget()
        server = await self.enterAsyncContext(target.server)
        self.instance = await self.enterAsyncContext(Instance(server.address))
        self.instance.server.set_limits(RequestLimits(max_body_bytes=2 * max(SIZES)))
        self.reader, self.writer = await self.instance.connect()
        self.addCleanup(self.writer.close)
        return target

    async def call(self, body: bytes) -> bytes:
        """Return the answer to a request on the caller's connection."""
        self.writer.write(build_request("/unsafe/x", body, close=False))
        await self.reader.readuntil(b"\r\n\r\n")
        return await self.reader.readexactly(len(b"answered"))

    # Guards against a request that waits behind a body that is not read, and against
    # its bytes in that body.
    async def test_next_request_does_not_wait_and_the_body_arrives_unchanged(self):
        for size in SIZES:
            with self.subTest(size=size):
                target = await self.start_early()
                body = build_body(size)
                self.assertEqual(await self.call(body), b"answered")
                async with asyncio.timeout(AT_ONCE_SECONDS):
                    for text in (b"one", b"two"):
                        self.assertEqual(await self.call(text), b"answered")
                async with asyncio.timeout(2 * PAUSE_SECONDS):
                    await target.has_read.wait()
                self.assertEqual(target.bodies, [b"one", b"two", body])
