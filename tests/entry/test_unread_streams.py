"""Tests of the program's memory while callers leave endless streams unread."""

import asyncio
import socket
import unittest
from pathlib import Path

from tests.entry.program import EntryProgramCase, build_program_route
from tests.forwarding.fixtures import (
    ScriptedTarget,
    build_request,
    build_stream_head,
    encode_chunk,
)

_CALLERS = 150
_RECEIVE_BYTES = 4096
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
        self.target = ScriptedTarget(send_events_without_end)
        server = await self.enterAsyncContext(self.target.server)
        self.target_port = int(server.address.rpartition(":")[2])
        self.register("i-0", "endless", server.address)
        routes = [
            build_program_route("endless", "endless", resumable=False, timeoutMs=30000)
        ]
        self.configure(routes, ["endless"])
        await self.start_program()

    async def stall(self) -> None:
        """Open a stream of which only the first byte is read."""
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        self.addCleanup(sock.close)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BYTES)
        sock.setblocking(False)
        await loop.sock_connect(sock, ("127.0.0.1", self.port))
        fields = {"Carobladder-Deadline": f"{_CALL_SECONDS * 1000:.0f}"}
        request = build_request("/endless/x", method="GET", **fields)
        await loop.sock_sendall(sock, request)
        async with asyncio.timeout(_CALL_SECONDS):
            self.assertEqual(await loop.sock_recv(sock, 1), b"H")

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
        await asyncio.gather(*(self.stall() for _ in range(_CALLERS)))
        await asyncio.sleep(_HOLD_SECONDS)
        self.assertIsNone(self.process.returncode)
        kept_mb = self.read_peak_mb() + self.read_unread_mb()
        self.assertLess(kept_mb, self.MEMORY_MB)


if __name__ == "__main__":
    unittest.main()
