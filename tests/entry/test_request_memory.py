"""Tests of the program's memory while many callers send long requests."""

import asyncio
import contextlib
import unittest

from tests.entry.program import EntryProgramCase, answer, build_program_route
from tests.forwarding.fixtures import build_request

_CALLERS = 60
_BODY_BYTES = 4_194_304
_PIECE = b"x" * 65_536
# The program holds all bodies that it reads at the end of this time.
_HOLD_SECONDS = 2.0
_SEND_SECONDS = 5.0
_ANSWER_SECONDS = 8.0


class RequestMemoryCase(EntryProgramCase):
    """Base class of tests that send long bodies to the program, but for their ends."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.start_target("i-0", "sound", answer)
        self.configure([build_program_route("sound", "sound", kind="safe")], ["sound"])
        await self.start_program()

    async def send_bodies(self, **fields) -> list[bytes]:
        """Return the answers to requests whose last bytes come after a while."""
        gate = asyncio.Event()
        asyncio.get_running_loop().call_later(_HOLD_SECONDS, gate.set)
        calls = [self._send_body(gate, fields) for _ in range(_CALLERS)]
        return await asyncio.gather(*calls)

    async def _send_body(self, gate: asyncio.Event, fields: dict[str, str]) -> bytes:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        head = build_request(
            "/sound/x",
            Content_Length=str(_BODY_BYTES),
            **{"Carobladder_Deadline": "9000", **fields},
        )
        read = asyncio.create_task(reader.read())
        with contextlib.suppress(ConnectionError, TimeoutError):
            async with asyncio.timeout(_SEND_SECONDS):
                writer.write(head + _PIECE[:-1])
                for _ in range(_BODY_BYTES // len(_PIECE) - 1):
                    writer.write(_PIECE)
                    await writer.drain()
                await gate.wait()
                writer.write(b"x")
        try:
            async with asyncio.timeout(_ANSWER_SECONDS):
                return await read
        except (TimeoutError, ConnectionError):
            return b""
        finally:
            writer.transport.abort()


class RefusedBodiesTest(RequestMemoryCase):
    """Guard against callers without a key that make the process outgrow its memory."""

    async def test_bodies_of_callers_without_a_key_are_not_kept(self):
        answers = await self.send_bodies(X_Api_Key="wrong")
        self.assertLess(self.read_peak_mb(), self.MEMORY_MB)
        self.assertEqual({each[9:12] for each in answers}, {b"401"})
        self.assertIsNone(self.process.returncode)


class HeldBodiesTest(RequestMemoryCase):
    """Guard against bodies that are sent slowly and outgrow the memory together."""

    async def test_bodies_that_are_sent_slowly_stay_within_the_memory(self):
        statuses: list[bytes] = []
        neighbour = asyncio.create_task(self.call_neighbour(_ANSWER_SECONDS, statuses))
        answers = await self.send_bodies()
        neighbour.cancel()
        self.assertLess(self.read_peak_mb(), self.MEMORY_MB)
        self.assertEqual({each[9:12] for each in answers}, {b"200", b"503"})
        refusals = [each for each in answers if each[9:12] == b"503"]
        self.assertTrue(all(b"retry-after: " in each.lower() for each in refusals))
        self.assertEqual(set(statuses), {b"200"})
        self.assertIsNone(self.process.returncode)


if __name__ == "__main__":
    unittest.main()
