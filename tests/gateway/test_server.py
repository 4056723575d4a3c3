"""Tests of the HTTP server: connections, admin handler and draining."""

import asyncio
import re
import unittest

from carobladder.gateway.server import GatewayServer
from tests.gateway.engines import Engine, whole_stream
from tests.gateway.fakes import TEST_TIMEOUT_SECONDS, Gateway, read_error
from tests.gateway.test_bad_input import exchange

GET = b"GET %s HTTP/1.1\r\nHost: x\r\n%s\r\n"
CLOSE = b"Connection: close\r\n"


class ServerTest(unittest.IsolatedAsyncioTestCase):
    """Guard against mixed up responses, and truncated responses during a drain."""

    async def asyncSetUp(self):
        self.engine = Engine()
        server = await self.enterAsyncContext(self.engine.server())
        self.gateway = await self.enterAsyncContext(Gateway(server.address))

    async def test_pipelined_requests_are_answered_in_order(self):
        raw = await exchange(
            self.gateway,
            GET % (b"/healthz", b"")
            + GET % (b"/unknown", b"")
            + GET % (b"/readyz", CLOSE),
        )
        codes = re.findall(rb"HTTP/1.1 (\d+)", raw)
        self.assertEqual(codes, [b"200", b"401", b"200"])
        ids = [line for line in raw.split(b"\r\n") if line.startswith(b"X-Request-Id")]
        self.assertEqual(len(set(ids)), 3)

    async def test_connection_is_read_after_many_large_requests(self):
        """Guard against a connection that is no longer read after 64 KB of requests.

        A request that arrives in one piece is parsed without waiting for bytes, so the
        count of unread bytes must not grow from one request to the next.
        """
        host, _, port = self.gateway.address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        body = b"b" * 20_000
        request = b"PUT /admin/v1/x HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"
        try:
            for _ in range(10):
                writer.write(request % len(body) + body)
                async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                    head = await reader.readuntil(b"\r\n\r\n")
                    self.assertIn(b" 201 ", head)
                    await reader.readexactly(len(body))
        finally:
            writer.close()

    async def test_response_to_head_has_no_body(self):
        raw = await exchange(
            self.gateway, b"HEAD /healthz HTTP/1.1\r\nHost: x\r\n" + CLOSE + b"\r\n"
        )
        head, _, body = raw.partition(b"\r\n\r\n")
        self.assertIn(b"Content-Length: 3", head)
        self.assertEqual(body, b"")

    async def test_expect_header_gets_a_continue_response(self):
        host, _, port = self.gateway.address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b"POST /admin/v1/x HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n"
            b"Connection: close\r\nContent-Length: 2\r\n\r\n"
        )
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            self.assertIn(b" 100 ", await reader.readuntil(b"\r\n\r\n"))
            writer.write(b"ok")
            answer = await reader.read()
        writer.close()
        self.assertIn(b" 201 ", answer)
        self.assertTrue(answer.endswith(b"ok"))

    async def test_admin_handler_receives_the_body_and_may_stream(self):
        answer = await self.gateway.call("PUT", "/admin/v1/teams/a", b"body")
        self.assertEqual((answer.status, answer.body), (201, b"body"))
        answer = await self.gateway.call("GET", "/admin/v1/watch")
        self.assertEqual(answer.body, b"firstsecond")

    async def test_handler_exception_shows_no_detail_and_an_unknown_outcome(self):
        with self.assertLogs("carobladder", "ERROR"):
            answer = await self.gateway.call("GET", "/admin/v1/fault")
        self.assertEqual(answer.status, 500)
        self.assertEqual(read_error(answer)["outcome"], "unknown")
        self.assertNotIn(b"secret detail", answer.body)

    async def test_instance_that_is_not_ready_is_healthy(self):
        self.gateway.ready = False
        self.assertEqual((await self.gateway.call("GET", "/readyz")).status, 503)
        self.assertEqual((await self.gateway.call("GET", "/healthz")).status, 200)

    async def test_metrics_are_served(self):
        await self.gateway.chat(stream=True)
        answer = await self.gateway.call("GET", "/metrics")
        self.assertIn(
            b'carobladder_first_token_seconds_count{class="quick"} 1.0', answer.body
        )
        self.assertIn(b'carobladder_answers_total{status="200"} 1.0', answer.body)

    async def test_idle_connection_is_closed_without_a_response(self):
        async with Gateway(idle_seconds=0.05) as gateway:
            self.assertEqual(await exchange(gateway, b""), b"")

    async def test_connection_of_a_caller_that_stops_reading_is_aborted(self):
        self.engine.tokens = 100_000
        async with Gateway(
            *self.gateway.directory.addresses, stalled_write_seconds=0.05
        ) as gateway:
            host, _, port = gateway.address.partition(":")
            _, writer = await asyncio.open_connection(host, int(port), limit=1024)
            body = b'{"model":"quoter","stream":true,"messages":[{"role":"u"}]}'
            writer.write(
                b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                b"Authorization: Bearer team-key\r\nContent-Length: %d\r\n\r\n%s"
                % (len(body), body)
            )
            async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
                await gateway.admission.granted.wait()
                await gateway.admission.permits[0].released.wait()
            writer.close()
        self.assertEqual(gateway.count("cancelled_streams_total"), 1)
        self.assertEqual(gateway.admission.permits[0].releases, [False])

    async def test_drain_finishes_streams_and_closes_idle_connections(self):
        await self.gateway.call("GET", "/healthz")
        stream = asyncio.create_task(self.gateway.chat(stream=True))
        server: GatewayServer = self.gateway.server
        await self.gateway.admission.granted.wait()
        self.assertTrue(await server.finish_drain(TEST_TIMEOUT_SECONDS))
        answer = await stream
        self.assertEqual(answer.body, whole_stream(5))
        self.assertIn(("connection", "close"), answer.headers)
        self.assertEqual(self.gateway.count("open_connections"), 0)


class KeepAliveTest(unittest.IsolatedAsyncioTestCase):
    """Guard against a request that crosses the close of an idle connection."""

    async def read_answer(self, keep_alive_seconds: int, idle: float = 75.0) -> bytes:
        gateway = await self.enterAsyncContext(Gateway(idle_seconds=idle))
        gateway.server._state.keep_alive_seconds = keep_alive_seconds
        raw = await exchange(
            gateway, GET % (b"/healthz", b"") + GET % (b"/healthz", CLOSE)
        )
        return raw.lower()

    async def test_answers_name_the_idle_time_unless_they_close(self):
        raw = await self.read_answer(2)
        self.assertEqual(raw.count(b"keep-alive: timeout=2\r\n"), 1)
        self.assertLess(raw.index(b"keep-alive"), raw.index(b"connection: close"))

    async def test_announced_time_is_within_the_idle_limit(self):
        raw = await self.read_answer(5, idle=3.5)
        self.assertIn(b"keep-alive: timeout=3\r\n", raw)

    async def test_nothing_is_announced_by_default(self):
        self.assertNotIn(b"keep-alive", await self.read_answer(0))


class DrainRaceTest(unittest.IsolatedAsyncioTestCase):
    """Guard against a drain that closes a connection whose request has arrived."""

    async def asyncSetUp(self):
        self.engine = Engine()
        server = await self.enterAsyncContext(self.engine.server())
        self.gateway = await self.enterAsyncContext(Gateway(server.address))

    async def test_request_that_arrives_during_the_close_is_answered(self):
        state = self.gateway.server._state
        host, _, port = self.gateway.address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        while not state.connections:
            await asyncio.sleep(0)
        (connection,) = state.connections
        await asyncio.sleep(0.01)
        receive = connection.data_received

        def receive_and_close(data: bytes) -> None:
            """Act like a drain timer that fires in the same event loop iteration."""
            receive(data)
            connection.close_if_idle()

        connection._transport.get_protocol().data_received = receive_and_close
        writer.write(GET % (b"/healthz", CLOSE))
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            answer = await reader.read()
        writer.close()
        self.assertIn(b" 200 ", answer)

    async def test_connection_closes_after_a_response_started_before_the_drain(self):
        """Guard against a further request, whose response would be truncated.

        The headers were sent before the drain, without Connection: close.
        """
        host, _, port = self.gateway.address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        request = GET % (b"/admin/v1/watch", b"Authorization: Bearer key\r\n")
        started = asyncio.Event()
        finish = asyncio.Event()

        async def answer_slowly(request, responder) -> None:
            await responder.start_stream(200, ())
            started.set()
            await finish.wait()
            await responder.end_stream()

        self.gateway.server._state.handler = FunctionHandler(answer_slowly)
        writer.write(request)
        await started.wait()
        self.gateway.server.begin_drain()
        finish.set()
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            answer = await reader.read()
        writer.close()
        self.assertTrue(answer.endswith(b"0\r\n\r\n"))
        self.assertNotIn(b"onnection: close", answer)


class FunctionHandler:
    """Handler that calls a function."""

    def __init__(self, handle) -> None:
        self.handle = handle
