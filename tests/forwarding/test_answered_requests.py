"""Tests of what is logged and counted for answers that callers take slowly."""

import asyncio
import socket
from collections import Counter
from unittest import mock

from tests.forwarding.fixtures import Instance, build_request, build_response
from tests.forwarding.test_handler import ForwardingTest

# More than the buffers of the sockets of both sides hold.
BODY = bytes(6_000_000)
RECEIVE_BUFFER_BYTES = 65_536
# Time in which the answer is read from the target, and a time until after it.
DEADLINE_MS = 1500
LATER_SECONDS = 1.8
# Time until the answer is in the send buffer, which leaves time before the deadline.
SENT_SECONDS = 0.9
DRAIN_SECONDS = 0.2


async def answer_at_length(request: bytes, writer: asyncio.StreamWriter) -> None:
    """Respond with a large body."""
    writer.write(build_response(request, BODY))


class AnsweredRequestTest(ForwardingTest):
    """Guard against answered requests that count as refused or as left."""

    async def asyncSetUp(self):
        patch = mock.patch("carobladder.forwarding.handler.emit")
        self.emit = self.enterContext(patch)

    def count_events(self) -> Counter[str]:
        """Return how often each kind of event was logged by the handler."""
        events = [call.args[0] for call in self.emit.call_args_list]
        return Counter(type(event).__name__ for event in events)

    def check_answered(
        self, instance: Instance, requests: int = 1, route: str = "unsafe"
    ) -> None:
        """Check that the requests were logged and counted as answered."""
        self.assertEqual(self.count_events(), {"RequestAnswered": requests})
        metrics = instance.metrics.render().decode()
        self.assertNotIn("refusals_total{", metrics)
        count = f'carobladder_request_seconds_count{{route="{route}"}} {requests}.0'
        self.assertIn(count, metrics)

    def build_call(self) -> bytes:
        """Return a request with a deadline on a connection that stays open."""
        fields = {"Carobladder_Deadline": str(DEADLINE_MS)}
        return build_request("/unsafe/x", b"a", close=False, **fields)

    async def call_slowly(self, instance: Instance):
        """Return the reader and writer of a caller that reads no answer yet."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, ("127.0.0.1", instance.server.port))
        reader, writer = await asyncio.open_connection(sock=sock)
        self.addCleanup(writer.close)
        writer.write(self.build_call())
        return reader, writer

    async def read_answer(self, reader: asyncio.StreamReader) -> bytes:
        """Return the body of the next answer of a connection."""
        await reader.readuntil(b"\r\n\r\n")
        return await reader.readexactly(len(BODY))

    # Guards against a refusal that is counted since the caller reads slowly.
    async def test_timeout_while_the_answer_is_taken_refuses_nothing(self):
        instance = await self.start(answer_at_length)
        reader, writer = await self.call_slowly(instance)
        await asyncio.sleep(LATER_SECONDS)
        writer.write(self.build_call())
        for _ in range(2):
            self.assertEqual(await self.read_answer(reader), BODY)
        self.check_answered(instance, requests=2)

    # Guards against an answer that counts twice as its caller leaves.
    async def test_caller_that_leaves_with_an_answer_on_its_way_is_answered(self):
        instance = await self.start(answer_at_length)
        _, writer = await self.call_slowly(instance)
        await asyncio.sleep(SENT_SECONDS)
        writer.transport.abort()
        await asyncio.sleep(LATER_SECONDS - SENT_SECONDS)
        self.check_answered(instance)

    # Guards against an answer that counts as left since the instance ends.
    async def test_end_of_the_instance_while_the_answer_is_taken_cuts_nothing(self):
        instance = await self.start(answer_at_length)
        reader, _ = await self.call_slowly(instance)
        await asyncio.sleep(SENT_SECONDS)
        await instance.server.finish_drain(DRAIN_SECONDS)
        self.assertEqual(await self.read_answer(reader), BODY)
        self.check_answered(instance)
