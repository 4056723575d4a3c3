"""Tests of the HTTP client and its connection pool."""

import asyncio
import socket
import unittest

from carobladder.clients.http import HttpClient
from carobladder.clock import VirtualClock
from carobladder.exceptions import ConnectionBrokenError, MemoryExceededError
from carobladder.memory import MemoryBudget
from tests.gateway.scripted_servers import ScriptedServer, plain_answer, read_head

TEST_TIMEOUT_SECONDS = 30.0


async def answer_forever(reader, writer, number):
    """Respond to each request with the number of its connection."""
    while True:
        await read_head(reader)
        writer.write(plain_answer(b"%d" % number))


async def answer_once_then_close(reader, writer, number):
    """Close each connection when a second request arrives on it."""
    await read_head(reader)
    writer.write(plain_answer(b"%d" % number))
    await read_head(reader)


class HttpClientTest(unittest.IsolatedAsyncioTestCase):
    """Guard against mixed up responses and wrong statements on whether a call ran."""

    def setUp(self):
        self.clock = VirtualClock()
        self.client = HttpClient(self.clock)

    async def asyncTearDown(self):
        self.client.close()

    async def fetch(self, server, method="GET", **options):
        options.setdefault("timeout_seconds", TEST_TIMEOUT_SECONDS)
        answer = await self.client.fetch(method, server.address, "/", **options)
        return answer.body

    async def fail(self, server, method="GET", **options):
        with self.assertRaises(ConnectionBrokenError) as caught:
            await self.fetch(server, method, **options)
        return caught.exception

    # Guards against an address of another writer that ends the task that connects.
    async def test_port_out_of_range_is_reported_like_a_refused_connection(self):
        for port in (65_536, 99_999, 10**30):
            address = f"127.0.0.1:{port}"
            with self.assertRaises(ConnectionBrokenError):
                await self.client.fetch("GET", address, "/", timeout_seconds=1.0)
            self.assertFalse(await self.client.probe(address))

    async def test_connection_is_reused_after_a_complete_response(self):
        async with ScriptedServer(answer_forever) as server:
            bodies = [await self.fetch(server) for _ in range(3)]
        self.assertEqual(bodies, [b"0", b"0", b"0"])

    async def test_connection_is_not_reused_after_the_idle_timeout(self):
        async with ScriptedServer(answer_forever) as server:
            await self.fetch(server)
            self.clock.advance(60.0)
            self.assertEqual(await self.fetch(server), b"1")

    async def test_repeatable_call_is_retried_after_a_stale_connection(self):
        async with ScriptedServer(answer_once_then_close) as server:
            await self.fetch(server)
            self.assertEqual(await self.fetch(server), b"1")

    async def test_unrepeatable_call_is_not_retried_after_a_stale_connection(self):
        async with ScriptedServer(answer_once_then_close) as server:
            await self.fetch(server)
            error = await self.fail(server, "POST", body=b"x")
            self.assertTrue(error.request_written)
            self.assertEqual(server.connections, 1)

    async def test_fresh_call_uses_no_pooled_connection(self):
        async with ScriptedServer(answer_once_then_close) as server:
            await self.fetch(server)
            body = await self.fetch(server, "POST", body=b"x", fresh=True)
            self.assertEqual(body, b"1")

    async def test_refused_connection_reports_that_nothing_was_written(self):
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{unused.getsockname()[1]}"
            with self.assertRaises(ConnectionBrokenError) as caught:
                await self.client.fetch(
                    "GET", address, "/", timeout_seconds=TEST_TIMEOUT_SECONDS
                )
        self.assertFalse(caught.exception.request_written)

    async def test_silent_server_causes_a_timeout_after_writing(self):
        async def stay_silent(reader, writer, number):
            await reader.read()

        async with ScriptedServer(stay_silent) as server:
            error = await self.fail(server, timeout_seconds=0.05)
        self.assertTrue(error.request_written)

    async def test_truncated_response_is_an_error(self):
        async def cut(reader, writer, number):
            await read_head(reader)
            writer.write(plain_answer(b"whole")[:-2])

        async with ScriptedServer(cut) as server:
            self.assertTrue((await self.fail(server)).request_written)

    async def test_half_read_stream_is_closed_and_not_reused(self):
        closed = asyncio.Event()

        async def stream(reader, writer, number):
            await read_head(reader)
            if number:
                writer.write(plain_answer(b"second"))
                return
            writer.write(plain_answer(b"x" * 100)[:-50])
            await reader.read()
            closed.set()

        async with ScriptedServer(stream) as server:
            answer = await self.client.open(
                "GET", server.address, "/", timeout_seconds=TEST_TIMEOUT_SECONDS
            )
            async with answer:
                await answer.read(TEST_TIMEOUT_SECONDS)
            self.assertEqual(await self.fetch(server), b"second")
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                await closed.wait()

    async def test_late_response_to_a_cancelled_request_is_discarded(self):
        release = asyncio.Event()

        async def answer_late(reader, writer, number):
            await read_head(reader)
            if number == 0:
                await release.wait()
            writer.write(plain_answer(b"%d" % number))
            await reader.read()

        async with ScriptedServer(answer_late) as server:
            first = asyncio.create_task(self.fetch(server))
            await server.connected.wait()
            first.cancel()
            await asyncio.gather(first, return_exceptions=True)
            release.set()
            self.assertEqual(await self.fetch(server), b"1")

    async def test_unsolicited_bytes_are_not_taken_for_a_response(self):
        sent = asyncio.Event()

        async def answer_twice(reader, writer, number):
            await read_head(reader)
            writer.write(plain_answer(b"%d" % number))
            await writer.drain()
            if number == 0:
                writer.write(plain_answer(b"stray"))
                await reader.read()
                sent.set()
            await reader.read()

        async with ScriptedServer(answer_twice) as server:
            self.assertEqual(await self.fetch(server), b"0")
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                await sent.wait()
            self.assertEqual(await self.fetch(server), b"1")

    async def test_large_response_is_complete_after_paused_reading(self):
        async def send_much(reader, writer, number):
            await read_head(reader)
            writer.write(plain_answer(b"y" * 5_000_000))
            await writer.drain()

        async with ScriptedServer(send_much) as server:
            answer = await self.client.open(
                "GET", server.address, "/", timeout_seconds=TEST_TIMEOUT_SECONDS
            )
            await asyncio.sleep(0.05)
            async with answer:
                self.assertEqual(
                    len(await answer.read_all(TEST_TIMEOUT_SECONDS)), 5_000_000
                )


class SlowLinkTest(unittest.IsolatedAsyncioTestCase):
    """Guard against large responses that never complete over a slow link.

    At 5 to 10 Mbit/s, a configuration of 1,900 routes took longer than the timeout of
    a call. An instance that started read it repeatedly and refused all requests.
    """

    async def fetch(self, pause_seconds: float, pieces: int) -> bytes:
        async def trickle(reader, writer, number):
            await read_head(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % pieces)
            for _ in range(pieces):
                await asyncio.sleep(pause_seconds)
                writer.write(b"x")

        client = HttpClient(VirtualClock(), body_timeout_seconds=3.0)
        self.addCleanup(client.close)
        async with ScriptedServer(trickle) as server:
            answer = await client.fetch("GET", server.address, "/", timeout_seconds=0.3)
        return answer.body

    async def test_body_that_arrives_slowly_is_complete(self):
        self.assertEqual(await self.fetch(0.05, 16), b"x" * 16)

    async def test_body_that_stops_or_takes_too_long_fails(self):
        for pause_seconds, pieces in ((1.2, 2), (0.05, 100)):
            with self.assertRaises(ConnectionBrokenError):
                await self.fetch(pause_seconds, pieces)


class EndlessAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Guard against faulty servers that send bytes until the client closes."""

    async def asyncSetUp(self):
        self.client = HttpClient(VirtualClock(), memory=MemoryBudget(2_000_000))
        self.addCleanup(self.client.close)

    async def read(self, start: bytes, piece: bytes) -> tuple[float, int]:
        """Return the time until an endless response fails, and the bytes sent."""
        sent = 0

        async def send(reader, writer, number):
            nonlocal sent
            await read_head(reader)
            writer.write(start)
            while True:
                writer.write(piece)
                sent += len(piece)
                await writer.drain()

        loop = asyncio.get_running_loop()
        began = loop.time()
        async with ScriptedServer(send) as server:
            with self.assertRaises(ConnectionBrokenError) as caught:
                answer = await self.client.open(
                    "GET", server.address, "/", timeout_seconds=TEST_TIMEOUT_SECONDS
                )
                await answer.read_all(TEST_TIMEOUT_SECONDS)
        self.assertTrue(caught.exception.request_written)
        self.assertEqual(self.client.memory.used_bytes, 0)
        return loop.time() - began, sent

    async def test_endless_bytes(self):
        head = b"HTTP/1.1 200 OK\r\n"
        chunked = head + b"Transfer-Encoding: chunked\r\n\r\n"
        cases = {
            "head": (head, b"x-a: " + b"y" * 500 + b"\r\n"),
            "head line": (head + b"x: ", b"y" * 500),
            "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
            "chunk head": (chunked + b"1;", b"z" * 500),
            "chunks": (chunked, b"ff\r\n" + b"z" * 255 + b"\r\n"),
            "trailer": (chunked + b"0\r\n", b"x-a: " + b"y" * 500 + b"\r\n"),
            "body without a length": (head + b"\r\n", b"z" * 1000),
            "no answer": (b"", b"\x00\xff" * 500),
        }
        for name, (start, piece) in cases.items():
            with self.subTest(name):
                seconds, sent = await self.read(start, piece)
                self.assertLess(seconds, TEST_TIMEOUT_SECONDS / 3)
                self.assertLess(sent, 30_000_000)

    async def test_concurrent_responses_stay_within_the_memory_limit(self):
        """Check that one response fits, but not four of its size at once."""
        release = asyncio.Event()

        async def send(reader, writer, number):
            await read_head(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n")
            writer.write(b"z" * 800_000)
            await release.wait()
            writer.write(b"z" * 100_000)

        async with ScriptedServer(send) as server:

            async def fetch() -> bool:
                try:
                    await self.client.fetch(
                        "GET", server.address, "/", timeout_seconds=TEST_TIMEOUT_SECONDS
                    )
                except ConnectionBrokenError:
                    return False
                return True

            tasks = [asyncio.create_task(fetch()) for _ in range(4)]
            await asyncio.sleep(0.3)
            self.assertLessEqual(self.client.memory.used_bytes, 2_000_000)
            release.set()
            whole = [await task for task in tasks]
        self.assertIn(True, whole)
        self.assertIn(False, whole)
        self.assertEqual(self.client.memory.used_bytes, 0)

    # Guards against a sound answer that ends because endless ones take the memory.
    async def test_small_answer_beside_endless_ones_is_complete(self):
        async def send(reader, writer, number):
            if b" /small " in await read_head(reader):
                writer.write(plain_answer(b"y" * 20_000))
                return
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
            while True:
                writer.write(b"z" * 1000)
                await writer.drain()

        async with ScriptedServer(send) as server:

            async def fetch(path: str) -> bytes:
                answer = await self.client.fetch(
                    "GET", server.address, path, timeout_seconds=TEST_TIMEOUT_SECONDS
                )
                return answer.body

            endless = [asyncio.create_task(fetch("/endless")) for _ in range(20)]
            for _ in range(10):
                self.assertEqual(len(await fetch("/small")), 20_000)
            ended = await asyncio.gather(*endless, return_exceptions=True)
        for error in ended:
            self.assertIsInstance(error, MemoryExceededError)
        self.assertEqual(self.client.memory.used_bytes, 0)
