"""Tests of targets that send an answer twice, or bytes that are no answer."""

import asyncio
import unittest

from tests.forwarding.fixtures import (
    build_request,
    build_response,
    build_stream_head,
    encode_chunk,
    read_header,
)
from tests.forwarding.test_handler import ForwardingTest

# The client holds 32 MiB of one answer at most; the rest waits in sockets.
SENT_BYTES = 60_000_000
PATHS = ("/unsafe/x", "/safe/x", "/stream/x", "/resumable/x")


def answer(request: bytes) -> bytes:
    """Return the answer, whole or as a stream, whose content names its request."""
    text = read_header(request, "carobladder-request-id").encode()
    if b"/x" in request and (b"/stream/" in request or b"/resumable/" in request):
        events = [b"id: %d\ndata: %s\n\n" % (number, text) for number in (1, 2)]
        chunks = b"".join(map(encode_chunk, [*events, b""]))
        return build_stream_head(request) + chunks
    return build_response(request, text * 20)


class RepeatedAnswerTest(ForwardingTest):
    """Guard against a caller that gets the answer to another request."""

    async def call_three_times(self, path: str, wait: float, split: int) -> list[bytes]:
        """Return three answers of a target that sends the first one again.

        The copy comes with the second request, or ``wait`` seconds after the answer if
        that is not 0. It is sent in two parts if ``split`` is not 0.
        """
        first = b""

        async def script(request: bytes, writer: asyncio.StreamWriter) -> None:
            nonlocal first
            if not first:
                first = answer(request)
                writer.write(first)
                if wait:
                    await asyncio.sleep(wait)
                    writer.write(first)
                return
            if not wait and len(self.targets[0].requests) == 2:
                if split:
                    writer.write(first[:split])
                    await asyncio.sleep(0.02)
                writer.write(first[split:])
            writer.write(answer(request))

        instance = await self.start(script)
        answers = []
        for request_id in ("id-one", "id-two", "id-three"):
            request = build_request(path, b"a", Carobladder_Request_Id=request_id)
            answers.append(await instance.exchange(request))
            await asyncio.sleep(0.1 if wait else 0.0)
        return answers

    async def test_copy_of_an_earlier_answer_reaches_nobody(self):
        for path in PATHS:
            for wait, split in ((0.0, 0), (0.0, 30), (0.0, 200), (0.03, 0)):
                with self.subTest(path=path, wait=wait, split=split):
                    answers = await self.call_three_times(path, wait, split)
                    for own, received in zip(
                        (b"id-one", b"id-two", b"id-three"), answers, strict=True
                    ):
                        self.assertIn(b" 200 ", received[:20])
                        self.assertIn(own, received.partition(b"\r\n\r\n")[2])
                        for other in {b"id-one", b"id-two", b"id-three"} - {own}:
                            self.assertNotIn(other, received)

    # Guards against an error that quotes an answer which is longer than its length.
    async def test_late_rest_of_an_earlier_answer_reaches_nobody(self):
        for path in ("/unsafe/x", "/safe/x", "/stream/x"):
            with self.subTest(path):

                async def script(request: bytes, writer: asyncio.StreamWriter) -> None:
                    if len(self.targets[0].requests) % 2 == 0:
                        writer.write(b"secret-of-one\r\n\r\n")
                    writer.write(answer(request))

                instance = await self.start(script)
                first = await instance.exchange(build_request(path, b"a"))
                self.assertIn(b" 200 ", first[:20])
                second = await instance.exchange(build_request(path, b"a"))
                self.assertIn(b" 502 ", second[:20])
                self.assertNotIn(b"secret", second)


class EndlessAnswerTest(ForwardingTest):
    """Guard against answers without end that a caller's request waits for."""

    async def run_endless(self, path: str, start, piece: bytes) -> tuple[bytes, int]:
        """Return the caller's bytes and the number of bytes that the target sent."""
        sent = 0

        async def script(request: bytes, writer: asyncio.StreamWriter) -> None:
            nonlocal sent
            writer.write(start(request))
            while not writer.transport.is_closing():
                writer.write(piece * 50)
                sent += len(piece) * 50
                await writer.drain()
                # Lets the instance run, since a drain below the limit does not wait.
                await asyncio.sleep(0)

        instance = await self.start(script)
        received = await instance.exchange(build_request(path, b"a"))
        return received, sent

    async def test_bytes_that_are_no_answer_end_with_an_error_and_in_bounds(self):
        def head(request: bytes) -> bytes:
            return b"HTTP/1.1 200 OK\r\n"

        cases = {
            "head": (head, b"x-a: " + b"y" * 500 + b"\r\n"),
            "interim answers": (lambda _: b"", b"HTTP/1.1 103 Early\r\n\r\n"),
            "no answer": (lambda _: b"", b"\x00\xff" * 500),
            "chunk head": (lambda r: build_stream_head(r) + b"1;", b"z" * 500),
            "event": (build_stream_head, encode_chunk(b"z" * 500)),
        }
        for path in PATHS:
            for name, (start, piece) in cases.items():
                with self.subTest(name, path=path):
                    received, sent = await self.run_endless(path, start, piece)
                    self.assertIn(received[9:12], (b"502", b"504"))
                    self.assertLess(sent, SENT_BYTES)

    # Guards against bytes beyond the length that join the answer or the next one.
    async def test_bytes_beyond_the_length_reach_nobody(self):
        def start(request: bytes) -> bytes:
            return build_response(request, b"whole")

        for path in ("/unsafe/x", "/safe/x"):
            with self.subTest(path):
                received, _ = await self.run_endless(path, start, b"z" * 500)
                self.assertTrue(received.endswith(b"\r\n\r\nwhole"))


if __name__ == "__main__":
    unittest.main()
