"""Tests of the program's memory while callers leave endless streams unread."""

import asyncio
import unittest
from pathlib import Path

from tests.entry.program import EntryProgramCase, build_program_route
from tests.forwarding.fixtures import build_stream_head, encode_chunk

_CALLERS = 150
_CALL_SECONDS = 30.0
_HOLD_SECONDS = 3.0
_EVENT_TEXT = b"x" * 4000


async def send_events_without_end(request: bytes, writer) -> None:
    """Send sound events as fast as they are taken."""
    writer.write(build_stream_head(request))
    number = 0
    while True:
        event = b"id: %d\ndata: %s\n\n" % (number, _EVENT_TEXT)
        writer.write(encode_chunk(event))
        await writer.drain()
        number += 1


class UnreadStreamsTest(EntryProgramCase):
    """Guard against streams that callers leave unread and that outgrow the memory."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        address = await self.start_target("i-0", "endless", send_events_without_end)
        self.target_port = int(address.rpartition(":")[2])
        routes = [
            build_program_route("endless", "endless", resumable=False, timeoutMs=30000)
        ]
        self.configure(routes, ["endless"])
        await self.start_program()

    def read_unread_mb(self) -> float:
        """Return the bytes of the target that the program has not read."""
        ending = f":{self.target_port:04X}"
        total = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            if fields[2].endswith(ending):
                total += int(fields[4].partition(":")[2], 16)
        return total / 1_000_000

    # Guards against bytes of targets that wait in the process and in its sockets.
    async def test_streams_that_are_not_read_stay_within_the_memory(self):
        stalls = [
            self.stall("/endless/x", _CALL_SECONDS, method="GET")
            for _ in range(_CALLERS)
        ]
        await asyncio.gather(*stalls)
        await asyncio.sleep(_HOLD_SECONDS)
        self.assertIsNone(self.process.returncode)
        kept_mb = self.read_peak_mb() + self.read_unread_mb()
        self.assertLess(kept_mb, self.MEMORY_MB)


if __name__ == "__main__":
    unittest.main()
