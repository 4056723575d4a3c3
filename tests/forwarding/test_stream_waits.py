"""Tests of how long an instance waits for events, in virtual time."""

import asyncio
import unittest
from dataclasses import replace

from carobladder.routing import RouteTable
from tests.forwarding.fixtures import (
    Instance,
    build_stream_head,
    encode_chunk,
    encode_event,
    read_header,
)
from tests.forwarding.silence import allow_long_answers
from tests.forwarding.streams import VirtualInstance, decode_chunks
from tests.support.looptime import in_virtual_time

EVENTS = range(1, 4)
WHOLE = b"".join(encode_event(number) for number in EVENTS)


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


class SoundStreamTest(unittest.TestCase):
    """Guard against leaving sound targets."""

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


if __name__ == "__main__":
    unittest.main()
