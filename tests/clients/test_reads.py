"""Tests of the work and the memory that bytes of servers cost at once."""

import asyncio
import contextlib
import gc
import unittest
import weakref
from collections import Counter
from unittest import mock

from carobladder.clients.connection import ClientConnection
from carobladder.clients.http import HttpClient
from carobladder.clients.reads import ReadFlow
from carobladder.clock import SystemClock
from carobladder.exceptions import ConnectionBrokenError, MemoryExceededError
from carobladder.memory import MemoryBudget
from tests.gateway.scripted_servers import ScriptedServer, read_head

_TIMEOUT_SECONDS = 20.0
_HEAD = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
_TINY_CHUNK = b"1\r\nz\r\n"
_CONNECTIONS = 12
# What one connection may pass on in one iteration, and all together once each has
# been read from.
_MAX_BYTES = 16_384
_MAX_EVENTS = 128
_MAX_CONNECTIONS = 8


class Iterations:
    """Counter of the iterations of the event loop, which it keeps busy."""

    def __init__(self) -> None:
        self.number = 0
        self._loop = asyncio.get_running_loop()
        self._handle = self._loop.call_soon(self._count)

    def _count(self) -> None:
        self.number += 1
        self._handle = self._loop.call_soon(self._count)

    def stop(self) -> None:
        """Stop counting."""
        self._handle.cancel()


async def send_tiny_chunks_without_end(reader, writer, number):
    """Send chunks of one byte until the connection closes."""
    await read_head(reader)
    writer.write(_CHUNKED)
    while True:
        writer.write(_TINY_CHUNK * 5000)
        await writer.drain()


async def send_body_without_end(reader, writer, number):
    """Send a body without a length until the connection closes."""
    await read_head(reader)
    writer.write(_HEAD + b"\r\n")
    while True:
        writer.write(b"z" * 100_000)
        await writer.drain()


class ReadTurnsTest(unittest.IsolatedAsyncioTestCase):
    """Guard against servers with bytes always ready that take the event loop."""

    async def asyncSetUp(self):
        self.client = HttpClient(SystemClock())
        self.addCleanup(self.client.close)
        self.iterations = Iterations()
        self.addCleanup(self.iterations.stop)
        self.bytes: Counter[tuple[int, int]] = Counter()
        self.events: Counter[tuple[int, int]] = Counter()

    async def receive(self, address: str, number: int, size: int) -> None:
        """Read this many bytes of an answer without end; count them by iteration."""
        received = 0

        def take(data: bytes) -> bool:
            nonlocal received
            received += len(data)
            self.bytes[self.iterations.number, number] += len(data)
            self.events[self.iterations.number, number] += 1
            return received < size

        answer = await self.client.open(
            "GET", address, "/", timeout_seconds=_TIMEOUT_SECONDS
        )
        async with answer:
            self.assertFalse(await answer.push(take, _TIMEOUT_SECONDS))

    async def receive_all(self, script, size: int) -> list[int]:
        """Return how many connections passed bytes on in each iteration.

        The first ones of each connection are left out.
        """
        async with ScriptedServer(script) as server, asyncio.timeout(_TIMEOUT_SECONDS):
            await asyncio.gather(
                *(self.receive(server.address, i, size) for i in range(_CONNECTIONS))
            )
        seen = set()
        counts: Counter[int] = Counter()
        for iteration, number in sorted(self.bytes):
            if number in seen:
                counts[iteration] += 1
            seen.add(number)
        return list(counts.values())

    # Guards against reading all that a socket has while other requests wait.
    async def test_bytes_in_one_iteration_are_bounded(self):
        counts = await self.receive_all(send_body_without_end, 1_000_000)
        self.assertLessEqual(max(self.bytes.values()), _MAX_BYTES)
        self.assertLessEqual(max(counts), _MAX_CONNECTIONS)

    # Guards against small chunks, each of which costs as much as a large one.
    async def test_events_in_one_iteration_are_bounded(self):
        counts = await self.receive_all(send_tiny_chunks_without_end, 10_000)
        self.assertLessEqual(max(self.events.values()), 2 * _MAX_EVENTS)
        self.assertLessEqual(max(counts), _MAX_CONNECTIONS)

    # Guards against turns that go to the same connections again and again.
    async def test_all_connections_get_turns(self):
        await self.receive_all(send_body_without_end, 1_000_000)
        last = {number: iteration for iteration, number in sorted(self.bytes)}
        first_to_end, last_to_end = min(last.values()), max(last.values())
        self.assertLess(last_to_end, 3 * first_to_end)


class WholeAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Guard against bytes that are lost where reading or parsing pauses."""

    async def asyncSetUp(self):
        self.client = HttpClient(SystemClock())
        self.addCleanup(self.client.close)

    async def open(self, server: ScriptedServer):
        return await self.client.open(
            "GET", server.address, "/", timeout_seconds=_TIMEOUT_SECONDS
        )

    # Guards against answers that are cut as their server closes behind them.
    async def test_many_chunks_before_the_end_of_the_connection_are_complete(self):
        for count in (1, 127, 128, 129, 5000):
            content = b"".join(b"1\r\n%c\r\n" % (97 + i % 26) for i in range(count))

            async def send(reader, writer, number, content=content):
                await read_head(reader)
                writer.write(_CHUNKED + content + b"0\r\n\r\n")

            expected = bytes(97 + i % 26 for i in range(count))
            async with ScriptedServer(send) as server:
                with self.subTest(count=count, by="read_all"):
                    answer = await self.open(server)
                    body = await answer.read_all(_TIMEOUT_SECONDS)
                    self.assertEqual(body, expected)
                with self.subTest(count=count, by="push"):
                    self.assertEqual(await self.push(server, 0.0), expected)
                with self.subTest(count=count, by="push to a slow caller"):
                    self.assertEqual(await self.push(server, 0.001), expected)

    async def push(self, server: ScriptedServer, pause_seconds: float) -> bytes:
        """Return a body that is passed on in parts, with pauses between them."""
        received = bytearray()

        def take(data: bytes) -> bool:
            received.extend(data)
            return not pause_seconds or len(received) % 100 != 0

        answer = await self.open(server)
        while not await answer.push(take, _TIMEOUT_SECONDS):
            await asyncio.sleep(pause_seconds)
        return bytes(received)

    # Guards against a connection that is kept with its reading paused.
    async def test_connection_serves_the_next_request_after_a_large_answer(self):
        async def send(reader, writer, number):
            while True:
                await read_head(reader)
                content = b"%d" % number * 50_000
                writer.write(_HEAD + b"Content-Length: 50000\r\n\r\n" + content)

        async with ScriptedServer(send) as server:
            for _ in range(5):
                answer = await self.open(server)
                body = await answer.read_all(_TIMEOUT_SECONDS)
                self.assertEqual(body, b"0" * 50_000)


class UnreadBytesTest(unittest.IsolatedAsyncioTestCase):
    """Guard against unread bytes and partial heads that nothing counts."""

    async def asyncSetUp(self):
        self.memory = MemoryBudget(400_000)
        self.client = HttpClient(SystemClock(), memory=self.memory)
        self.addCleanup(self.client.close)

    async def open(self, address: str):
        return await self.client.open(
            "GET", address, "/", timeout_seconds=_TIMEOUT_SECONDS
        )

    # Guards against many incomplete heads, each within its bound.
    async def test_incomplete_heads_are_bounded_together(self):
        async def send(reader, writer, number):
            await read_head(reader)
            writer.write(_HEAD + b"x: " + b"y" * 60_000)
            await reader.read()

        async with ScriptedServer(send) as server:
            tasks = [asyncio.create_task(self.open(server.address)) for _ in range(20)]
            async with asyncio.timeout(_TIMEOUT_SECONDS):
                while not any(task.done() for task in tasks):
                    await asyncio.sleep(0.01)
                    self.assertLessEqual(
                        self.memory.used_bytes, self.memory.limit_bytes
                    )
            for task in tasks:
                task.cancel()
            ended = await asyncio.gather(*tasks, return_exceptions=True)
        self.assertTrue(any(isinstance(each, MemoryExceededError) for each in ended))
        self.assertEqual(self.memory.used_bytes, 0)

    # Guards against reading on while the caller of an answer takes no bytes.
    async def test_unread_bytes_are_counted_and_returned(self):
        async with ScriptedServer(send_body_without_end) as server:
            answer = await self.open(server.address)
            for _ in range(20):
                await asyncio.sleep(0.01)
                self.assertLessEqual(self.memory.used_bytes, 2 * _MAX_BYTES)
            self.assertGreater(self.memory.used_bytes, 0)
            answer.close()
            self.assertEqual(self.memory.used_bytes, 0)

    # Guards against connections that are kept, with their bytes, until a full garbage
    # collection.
    async def test_ended_connection_is_freed_without_garbage_collection(self):
        async def send(reader, writer, number):
            await read_head(reader)
            writer.write(_HEAD + b"x: " + b"y" * 100_000)
            await reader.read()

        gc.disable()
        self.addCleanup(gc.enable)
        connections: list[weakref.ref[ClientConnection]] = []

        class Flow(ReadFlow):
            def start(self, transport):
                connections.append(weakref.ref(transport.get_protocol()))
                super().start(transport)

        with mock.patch("carobladder.clients.connection.ReadFlow", Flow):
            async with ScriptedServer(send) as server:
                with contextlib.suppress(ConnectionBrokenError):
                    await self.open(server.address)
                await asyncio.sleep(0.05)
        self.assertEqual([each() for each in connections], [None])

    # Guards against memory that stays reserved when a server ends its connection.
    async def test_memory_is_returned_when_the_server_breaks_off(self):
        async def send(reader, writer, number):
            await read_head(reader)
            writer.write(_HEAD + b"x: " + b"y" * 10_000)
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.transport.abort()

        async with ScriptedServer(send) as server:
            with self.assertRaises(ConnectionBrokenError):
                await self.open(server.address)
        self.assertEqual(self.memory.used_bytes, 0)


if __name__ == "__main__":
    unittest.main()
