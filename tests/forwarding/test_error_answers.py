"""Tests of errors and refusals of targets in places where they do not belong."""

import asyncio

from tests.forwarding.fixtures import (
    build_request,
    build_response,
    build_stream_head,
    encode_chunk,
    encode_event,
)
from tests.forwarding.test_handler import NOT_RUN, ForwardingTest, echo
from tests.forwarding.test_outcomes import send_stream

ERROR_TEXT = b"id: 9\ndata: out of memory\n\n"
STREAM_TYPE = "Content-Type: text/event-stream\r\n"


def send_error_as_stream(status: str):
    """Return a script that sends an error with the content type of a stream."""

    async def script(request: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(build_response(request, ERROR_TEXT, status, STREAM_TYPE))

    return script


async def begin_and_break_off(request: bytes, writer: asyncio.StreamWriter) -> None:
    """Send the first event of a stream and reset the connection."""
    writer.write(build_stream_head(request) + encode_chunk(encode_event(1)))
    await writer.drain()
    await asyncio.sleep(0.02)
    writer.transport.abort()


class ErrorStreamTest(ForwardingTest):
    """Guard against errors of targets that callers take for parts of a stream."""

    async def test_error_with_the_type_of_a_stream_keeps_its_status(self):
        for status in ("500 Internal Server Error", "404 Not Found", "418 Teapot"):
            with self.subTest(status=status):
                instance = await self.start(send_error_as_stream(status))
                found, _, body = await instance.call("/stream/x")
                self.assertEqual((found, body), (int(status[:3]), ERROR_TEXT))

    async def test_error_of_the_next_target_is_not_joined_to_a_stream(self):
        """Callers found the text of the error in a stream that ended as complete."""
        for status in ("500 Internal Server Error", "404 Not Found", "206 Partial"):
            with self.subTest(status=status):
                instance = await self.start(
                    begin_and_break_off, send_error_as_stream(status)
                )
                instance.targets.find("i-1").health.first_byte_seconds = 9.0
                _, _, body = await instance.call("/resumable/x")
                self.assertEqual(self.count_requests(), 2)
                self.assertNotIn(b"out of memory", body)
                self.assertFalse(body.endswith(b"0\r\n\r\n"))


class RepeatedRefusalTest(ForwardingTest):
    """Guard against refusals of earlier requests that count for the present one."""

    async def call_twice(self, path: str, refusal_of: str) -> tuple[int, int]:
        """Return two statuses on one connection that a target keeps.

        With the second request the target writes a refusal once more, which states the
        id in ``refusal_of``, or none if that is empty.
        """
        count = 0

        async def script(request: bytes, writer: asyncio.StreamWriter) -> None:
            nonlocal count
            count += 1
            if count == 2:
                refusal = build_response(b"", b"full", "503 Full", NOT_RUN)
                field = f"Carobladder-Request-Id: {refusal_of}\r\n".encode()
                empty_field = b"Carobladder-Request-Id: \r\n"
                writer.write(refusal.replace(empty_field, field if refusal_of else b""))
            await echo(request, writer)

        instance = await self.start(script)
        first, _, _ = await instance.call(path, b"one")
        second = await instance.exchange(
            build_request(path, b"two", Carobladder_Request_Id="cd34")
        )
        return first, int(second.split()[1])

    async def test_refusal_of_an_earlier_request_is_skipped(self):
        statuses = await self.call_twice("/unsafe/x", "ab12")
        self.assertEqual(statuses, (200, 200))

    async def test_refusal_without_an_id_promises_nothing_on_a_kept_connection(self):
        """The request runs, so its caller must not be told that it has not."""
        _, status = await self.call_twice("/unsafe/x", "")
        self.assertEqual(status, 502)

    async def test_refusal_without_an_id_on_a_new_connection_is_believed(self):
        async def refuse(request: bytes, writer: asyncio.StreamWriter) -> None:
            refusal = build_response(b"", b"full", "503 Full", NOT_RUN)
            writer.write(refusal.replace(b"Carobladder-Request-Id: \r\n", b""))

        instance = await self.start(refuse)
        status, _, _ = await instance.call("/unsafe/x")
        self.assertEqual(status, 503)

    async def test_stream_after_events_ends_whole(self):
        instance = await self.start(send_stream(0.005))
        status, _, body = await instance.call("/stream/x")
        self.assertEqual((status, body[-5:]), (200, b"0\r\n\r\n"))
