"""Tests of how long an instance waits for events, in virtual time."""

import asyncio
import socket
import unittest
from dataclasses import replace

from carobladder.routing import RouteTable
from tests.forwarding.fixtures import (
    Instance,
    build_request,
    build_stream_head,
    encode_chunk,
    encode_event,
    read_header,
)
from tests.forwarding.silence import allow_long_answers
from tests.forwarding.streams import VirtualInstance, build_script, decode_chunks
from tests.support.looptime import in_virtual_time

EVENTS = range(1, 4)
WHOLE = b"".join(encode_event(number) for number in EVENTS)
# Above the pause after which a resumable stream is left.
PAUSE_SECONDS = 1.8
# Pauses between the bytes of targets that end no event, and the time in which another
# target must have gone on.
BYTE_PAUSES_SECONDS = (0.2, 0.5, 1.5)
RESUMED_SECONDS = 1.8
# Time for which the loop is held, longer than a connection may take.
HOLD_SECONDS = 0.35
ITERATIONS = 40
LARGE_EVENT_BYTES = 30_000
LARGE_EVENTS = range(1, 200)


async def fall_silent(request: bytes, writer: asyncio.StreamWriter) -> None:
    """Respond with one event and nothing more."""
    writer.write(build_stream_head(request) + encode_chunk(encode_event(1)))
    await asyncio.Event().wait()


async def send_in_parts(request: bytes, writer: asyncio.StreamWriter) -> None:
    """Respond with the events after the request's Last-Event-ID, each in two parts."""
    writer.write(build_stream_head(request))
    for number in EVENTS:
        if number > int(read_header(request, "last-event-id") or 0):
            data = encode_event(number)
            await asyncio.sleep(0.05)
            writer.write(encode_chunk(data[:4]))
            await asyncio.sleep(0.05)
            writer.write(encode_chunk(data[4:]))
    writer.write(b"0\r\n\r\n")


async def send_slowly(request: bytes, writer: asyncio.StreamWriter) -> None:
    """Respond with events that are far apart, and each arrives in several parts."""
    writer.write(build_stream_head(request))
    for number in EVENTS:
        data = encode_event(number)
        await asyncio.sleep(0.3)
        writer.write(encode_chunk(data[:4]))
        await asyncio.sleep(0.3)
        writer.write(encode_chunk(data[4:]))
    writer.write(b"0\r\n\r\n")


async def process_prompt(request: bytes, writer: asyncio.StreamWriter) -> None:
    """Respond with one event after the time that a long prompt takes."""
    await asyncio.sleep(0.6)
    writer.write(
        build_stream_head(request) + encode_chunk(encode_event(1)) + b"0\r\n\r\n"
    )


def stall_after(data: bytes, pause_seconds: float):
    """Return a script that sends data and then single bytes that end no event."""

    async def stall(request: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(build_stream_head(request) + encode_chunk(data))
        while not writer.is_closing():
            await asyncio.sleep(pause_seconds)
            writer.write(encode_chunk(b"t"))

    return stall


async def send_large_events(request: bytes, writer: asyncio.StreamWriter) -> None:
    """Respond with large events as fast as the caller reads them."""
    writer.write(build_stream_head(request))
    for number in LARGE_EVENTS:
        text = b"y" * LARGE_EVENT_BYTES
        writer.write(encode_chunk(b"id: %d\ndata: %s\n\n" % (number, text)))
        await writer.drain()
    writer.write(b"0\r\n\r\n")


def allow_attempts(instance: Instance, attempts: int) -> None:
    """Let a resumable stream go to this number of targets."""
    assert instance.table is not None
    configuration = instance.table.configuration
    routes = tuple(
        replace(route, attempts=attempts) if route.resumable else route
        for route in configuration.routes
    )
    instance.table = RouteTable(replace(configuration, routes=routes))


async def call_stream(instance: Instance, **fields: str) -> tuple[bytes, bool]:
    """Return the data of a resumable stream and whether it is complete."""
    fields = {"Carobladder_Deadline": "6000", **fields}
    _, _, body = await instance.call("/resumable/x", b"a", **fields)
    return decode_chunks(body)


async def read_after_pause(instance: Instance) -> bytes:
    """Return the answer to a caller that reads nothing for a while after its head."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, ("127.0.0.1", instance.server.port))
    reader, writer = await asyncio.open_connection(sock=sock, limit=4096)
    writer.write(build_request("/resumable/x", b"a", Carobladder_Deadline="6000"))
    head = await reader.readuntil(b"\r\n\r\n")
    await asyncio.sleep(PAUSE_SECONDS)
    try:
        return head + await reader.read()
    finally:
        writer.close()


class SoundStreamTest(unittest.TestCase):
    """Guard against leaving sound targets."""

    # Guards against a stream that is cut although it ends within its route's timeout.
    # The events are far apart, and each arrives in several parts.
    @in_virtual_time
    async def test_slow_stream_is_not_cut(self):
        streams = VirtualInstance(send_slowly)
        async with streams as instance:
            for route in ("stream", "resumable"):
                fields = {"Carobladder_Deadline": "4000"}
                _, _, body = await instance.call(f"/{route}/x", b"a", **fields)
                self.assertEqual(decode_chunks(body), (WHOLE, True))
            self.assertEqual(streams.count_requests(), 2)

    # Guards against a target that is left at its first bytes, since the target before
    # it was silent.
    @in_virtual_time
    async def test_target_that_resumes_a_stream_has_its_own_time(self):
        streams = VirtualInstance(fall_silent, send_in_parts, send_in_parts)
        async with streams as instance:
            allow_long_answers(instance)
            allow_attempts(instance, 3)
            for number in range(6):
                prompt = f"{number}:100,ff{number}:5"
                answer = await call_stream(instance, Carobladder_Prompt_Prefix=prompt)
                self.assertEqual(answer, (WHOLE, True))
                if streams.targets[0].requests:
                    break
            self.assertEqual(len(streams.targets[0].requests), 1)
            self.assertEqual(streams.count_requests(), number + 2)

    # Guards against a target that is left since its caller did not read.
    @in_virtual_time
    async def test_pause_of_the_caller_is_no_silence_of_the_target(self):
        streams = VirtualInstance(send_large_events, send_large_events)
        async with streams as instance:
            allow_long_answers(instance)
            answer = await read_after_pause(instance)
            data, complete = decode_chunks(answer.partition(b"\r\n\r\n")[2])
            self.assertTrue(complete)
            self.assertEqual(data.count(b"id: "), len(LARGE_EVENTS))
            self.assertEqual(streams.count_requests(), 1)

    # Guards against an engine that is suspected or left, since many first requests
    # arrive at once while the prompt cache is still empty.
    @in_virtual_time
    async def test_engine_that_processes_long_prompts_is_not_suspected(self):
        streams = VirtualInstance(process_prompt)
        async with streams as instance:
            calls = [
                instance.call(
                    "/resumable/x", b"a", Carobladder_Prompt_Prefix=f"aa:9,{number}:5"
                )
                for number in range(6)
            ]
            for status, _, _ in await asyncio.gather(*calls):
                self.assertEqual(status, 200)
            self.assertEqual(instance.targets.find("i-0").health.failures, 0)
            self.assertEqual(instance.reported_silent, [])
            self.assertEqual(streams.count_requests(), 6)


class StalledStreamTest(unittest.TestCase):
    """Guard against waiting for targets whose bytes end no event."""

    async def check_resumed(self, data: bytes, pause_seconds: float) -> None:
        """Check that each stream goes on in time after a target has sent ``data``."""
        stall = stall_after(data, pause_seconds)
        streams = VirtualInstance(stall, build_script(EVENTS))
        async with streams as instance:
            allow_long_answers(instance)
            loop = asyncio.get_running_loop()
            for number in range(4):
                began = loop.time()
                fields = {"Carobladder_Request_Id": f"id{number}"}
                answer = await call_stream(instance, **fields)
                self.assertEqual(answer, (WHOLE, True))
                self.assertLess(loop.time() - began, RESUMED_SECONDS)
            self.assertGreaterEqual(len(streams.targets[0].requests), 1)

    # Guards against bytes that restart the wait for an event, or are needed to end it.
    @in_virtual_time
    async def test_stream_with_bytes_but_no_whole_events_is_resumed_elsewhere(self):
        for pause_seconds in BYTE_PAUSES_SECONDS:
            with self.subTest(pause_seconds):
                data = encode_event(1) + b"id: 2\nda"
                await self.check_resumed(data, pause_seconds)

    # Guards against bytes that restart the wait for the first event.
    @in_virtual_time
    async def test_stream_whose_first_event_does_not_end_goes_elsewhere(self):
        for pause_seconds in BYTE_PAUSES_SECONDS:
            with self.subTest(pause_seconds):
                await self.check_resumed(b"id: 1\nda", pause_seconds)


class BrokenStreamTest(unittest.TestCase):
    """Guard against an answer that looks complete, and against none."""

    # Guards against an event that is passed on in part. The loop is held at each moment
    # of the request, as a target whose connection was made meanwhile was given up.
    @in_virtual_time
    async def test_stream_that_ends_inside_an_event_is_cut(self):
        loop = asyncio.get_running_loop()
        for iterations in range(ITERATIONS):
            with self.subTest(iterations):
                script = build_script(EVENTS, partial=b"id: 4\nda")
                async with VirtualInstance(script) as instance:
                    loop.hold_after(iterations, HOLD_SECONDS)
                    raw = await instance.exchange(build_request("/stream/x", b"a"))
                    data, complete = decode_chunks(raw.partition(b"\r\n\r\n")[2])
                    self.assertFalse(complete)
                    self.assertEqual(data, WHOLE)
                    await asyncio.sleep(HOLD_SECONDS)


if __name__ == "__main__":
    unittest.main()
