"""Tests of the program's memory while faulty targets send bytes without end."""

import asyncio
import unittest

from tests.entry.program import EntryProgramCase, answer, build_program_route
from tests.forwarding.fixtures import build_stream_head, encode_chunk

_CALLERS = 250
_CALL_SECONDS = 4.0
# Below the size at which the end of a single event is given up.
_EVENT_BYTES = 1_000_000
_PIECE = encode_chunk(b"x" * 20_000)


async def send_event_without_end(request: bytes, writer) -> None:
    """Send most of one event and fall silent."""
    writer.write(build_stream_head(request))
    for _ in range(_EVENT_BYTES // 20_000):
        writer.write(_PIECE)
        await writer.drain()
    await asyncio.sleep(_CALL_SECONDS)


class EndlessEventTest(EntryProgramCase):
    """Guard against streams that together make the process outgrow its memory."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.start_target("i-0", "faulty", send_event_without_end)
        await self.start_target("i-1", "faulty", send_event_without_end)
        await self.start_target("i-2", "sound", answer)
        routes = [
            build_program_route("faulty", "faulty", resumable=False),
            build_program_route("sound", "sound", kind="safe"),
        ]
        self.configure(routes, ["faulty", "sound"])
        await self.start_program()

    # Guards against a sum of incomplete events that nothing bounds.
    async def test_incomplete_events_stay_within_the_memory(self):
        statuses: list[bytes] = []
        neighbour = asyncio.create_task(self.call_neighbour(_CALL_SECONDS, statuses))
        await asyncio.gather(
            *(self.call("/faulty/x", _CALL_SECONDS) for _ in range(_CALLERS))
        )
        neighbour.cancel()
        self.assertIsNone(self.process.returncode)
        self.assertLess(self.read_peak_mb(), self.MEMORY_MB)
        self.assertEqual(set(statuses), {b"200"})


if __name__ == "__main__":
    unittest.main()
