"""Tests of the program's memory while faulty targets send bytes without end."""

import asyncio
import unittest

from tests.entry.program import EntryProgramCase, build_program_route
from tests.forwarding.fixtures import (
    ScriptedTarget,
    build_response,
    build_stream_head,
    encode_chunk,
)

_CALLERS = 250
_CALL_SECONDS = 4.0
# Below the size at which the end of a single event is given up.
_EVENT_BYTES = 1_000_000
_PIECE = encode_chunk(b"x" * 20_000)
_NEIGHBOUR_SECONDS = 0.05


async def send_event_without_end(request: bytes, writer) -> None:
    """Send most of one event and fall silent."""
    writer.write(build_stream_head(request))
    for _ in range(_EVENT_BYTES // 20_000):
        writer.write(_PIECE)
        await writer.drain()
    await asyncio.sleep(_CALL_SECONDS)


async def answer(request: bytes, writer) -> None:
    """Answer every request."""
    writer.write(build_response(request, b"ok"))


class EndlessEventTest(EntryProgramCase):
    """Guard against streams that together make the process outgrow its memory."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        for key, service, script in (
            ("i-0", "faulty", send_event_without_end),
            ("i-1", "faulty", send_event_without_end),
            ("i-2", "sound", answer),
        ):
            server = await self.enterAsyncContext(ScriptedTarget(script).server)
            self.register(key, service, server.address)
        routes = [
            build_program_route("faulty", "faulty", resumable=False),
            build_program_route("sound", "sound", kind="safe"),
        ]
        self.configure(routes, ["faulty", "sound"])
        await self.start_program()

    async def call_neighbour(self, statuses: list[bytes]) -> None:
        while True:
            answered = await self.call("/sound/x", _CALL_SECONDS)
            statuses.append(answered[9:12])
            await asyncio.sleep(_NEIGHBOUR_SECONDS)

    # Guards against a sum of incomplete events that nothing bounds.
    async def test_incomplete_events_stay_within_the_memory(self):
        statuses: list[bytes] = []
        neighbour = asyncio.create_task(self.call_neighbour(statuses))
        await asyncio.gather(
            *(self.call("/faulty/x", _CALL_SECONDS) for _ in range(_CALLERS))
        )
        neighbour.cancel()
        self.assertIsNone(self.process.returncode)
        self.assertLess(self.read_peak_mb(), self.MEMORY_MB)
        self.assertEqual(set(statuses), {b"200"})


if __name__ == "__main__":
    unittest.main()
