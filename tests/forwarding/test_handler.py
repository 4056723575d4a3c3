"""Tests of request forwarding to scripted targets over loopback."""

import asyncio
import contextlib
import re
import unittest

from carobladder.clock import Clock
from carobladder.fleet import Condition
from tests.forwarding.fixtures import (
    Instance,
    ScriptedTarget,
    build_request,
    build_response,
    build_stream_head,
    build_target,
    encode_chunk,
    encode_event,
    read_header,
)
from tests.forwarding.streams import build_script, decode_chunks


async def echo(request: bytes, writer: asyncio.StreamWriter) -> None:
    """Respond with the body of the request."""
    writer.write(build_response(request, request.partition(b"\r\n\r\n")[2] or b"none"))


def respond_with_status(status: str, extra: str = ""):
    """Return a script that responds with a status."""

    async def script(request: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(build_response(request, b"no", status, extra))

    return script


async def reset_connection(request: bytes, writer: asyncio.StreamWriter) -> None:
    """Close the connection without a response."""
    writer.transport.abort()


async def stay_silent(request: bytes, writer: asyncio.StreamWriter) -> None:
    """Accept the request and never respond."""
    await asyncio.Event().wait()


NOT_RUN = "Carobladder-Not-Executed: 1\r\n"


class ForwardingTest(unittest.IsolatedAsyncioTestCase):
    """Base class of tests that run an instance in front of scripted targets."""

    async def start(self, *scripts) -> Instance:
        """Start an instance and its targets, which are kept in ``self.targets``."""
        return await self.start_with_clock(None, *scripts)

    async def start_with_clock(self, clock: Clock | None, *scripts) -> Instance:
        """Start an instance with a clock, by default that of the system."""
        self.targets = [ScriptedTarget(script) for script in scripts]
        addresses = []
        for target in self.targets:
            server = await self.enterAsyncContext(target.server)
            addresses.append(server.address)
        return await self.enterAsyncContext(Instance(*addresses, clock=clock))

    def count_requests(self) -> int:
        """Return the number of requests that reached any target."""
        return sum(len(target.requests) for target in self.targets)


class RequestTest(ForwardingTest):
    """Guard against requests that are altered, mixed up or wrongly refused."""

    async def test_request_and_response_are_forwarded_unchanged(self):
        instance = await self.start(echo)
        status, headers, body = await instance.call(
            "/unsafe/x?q=%20a&b", b"hello", X_Own="1", Carobladder_Model="m"
        )
        self.assertEqual((status, body), (200, b"hello"))
        self.assertEqual(headers["carobladder-response-signature"], "sig")
        self.assertEqual(headers["carobladder-request-id"], "ab12")
        (request,) = self.targets[0].requests
        self.assertTrue(request.startswith(b"POST /unsafe/x?q=%20a&b HTTP/1.1\r\n"))
        for name, value in (
            ("host", "shop.example"),
            ("x-own", "1"),
            ("carobladder-model", "m"),
            ("carobladder-tenant", "team-1"),
            ("carobladder-expect-instance", "i-0"),
            ("carobladder-request-priority", "3"),
        ):
            self.assertEqual(read_header(request, name), value)
        self.assertEqual(read_header(request, "x-api-key"), "")
        left_ms = int(read_header(request, "carobladder-deadline"))
        self.assertTrue(1000 < left_ms <= 1500)

    async def test_fleet_headers_of_the_caller_are_dropped(self):
        instance = await self.start(echo)
        await instance.call(
            "/open/x",
            Carobladder_Tenant="forged",
            Carobladder_Expect_Instance="forged",
            Carobladder_Hold="forged",
            Kv_From="forged",
        )
        self.assertNotIn(b"forged", self.targets[0].requests[0])

    async def test_connection_headers_are_dropped_but_host_is_kept(self):
        instance = await self.start(echo)
        data = build_request("/unsafe/x", b"a", close=False, X_Hop="1")
        data = data.replace(b"\r\n\r\n", b"\r\nConnection: close, x-hop, host\r\n\r\n")
        await instance.exchange(data)
        (request,) = self.targets[0].requests
        self.assertEqual(read_header(request, "x-hop"), "")
        self.assertEqual(read_header(request, "host"), "shop.example")

    async def test_unknown_route_gets_404_and_unknown_key_401(self):
        instance = await self.start(echo)
        status, _, _ = await instance.call("/elsewhere/x")
        self.assertEqual(status, 404)
        for key in ("wrong", None):
            status, _, _ = await instance.call("/safe/x", X_Api_Key=key)
            self.assertEqual(status, 401)
        status, _, _ = await instance.call("/open/x", X_Api_Key=None)
        self.assertEqual(status, 200)
        self.assertEqual(self.count_requests(), 1)

    async def test_unknown_path_without_a_configuration_gets_503(self):
        instance = await self.start(echo)
        instance.table = None
        status, headers, _ = await instance.call("/elsewhere/x")
        self.assertEqual(status, 503)
        self.assertLess(float(headers["retry-after"]), 0.5)

    async def test_outdated_configuration_refuses_requests_with_keys(self):
        instance = await self.start(echo)
        instance.freshness._synced_at -= 5.0
        status, _, _ = await instance.call("/safe/x")
        self.assertEqual(status, 503)
        status, _, _ = await instance.call("/elsewhere/x")
        self.assertEqual(status, 503)
        status, _, _ = await instance.call("/open/x")
        self.assertEqual(status, 200)

    async def test_service_without_targets_gets_503_at_once(self):
        instance = await self.start(echo)
        loop = asyncio.get_running_loop()
        started = loop.time()
        status, headers, _ = await instance.call("/lost/x")
        self.assertEqual(status, 503)
        self.assertLess(loop.time() - started, 0.3)
        self.assertLessEqual(float(headers["retry-after"]), 0.5)

    async def test_conflicting_lengths_get_400_and_close_the_connection(self):
        instance = await self.start(echo)
        raw = await instance.exchange(
            b"POST /safe/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 4\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /safe/y HTTP/1.1\r\n\r\n"
        )
        self.assertEqual(re.findall(rb"HTTP/1.1 \d+", raw), [b"HTTP/1.1 400"])
        self.assertEqual(self.count_requests(), 0)

    async def test_invalid_bytes_are_not_echoed(self):
        instance = await self.start(echo)
        raw = await instance.exchange(b"\x00\xff\x07" * 700 + b"\r\n\r\n")
        self.assertTrue(raw.startswith(b"HTTP/1.1 400 "))
        self.assertLess(len(raw), 500)

    async def test_slow_request_head_gets_408(self):
        instance = await self.start(echo)
        reader, writer = await instance.connect()

        async def send_slowly() -> None:
            for byte in build_request("/safe/x"):
                writer.write(bytes([byte]))
                await asyncio.sleep(0.05)

        task = asyncio.create_task(send_slowly())
        async with asyncio.timeout(5.0):
            raw = await reader.read()
        task.cancel()
        writer.close()
        self.assertTrue(raw.startswith(b"HTTP/1.1 408 "))


class RetryTest(ForwardingTest):
    """Guard against calls that run twice, or are wrongly reported as not run."""

    async def test_unsafe_call_is_not_retried_after_a_reset(self):
        instance = await self.start(reset_connection, reset_connection)
        status, _, _ = await instance.call("/unsafe/x", b"a")
        self.assertEqual(status, 502)
        self.assertEqual(self.count_requests(), 1)

    async def test_safe_call_is_retried_up_to_its_attempts(self):
        instance = await self.start(
            reset_connection, reset_connection, reset_connection
        )
        status, _, _ = await instance.call("/safe/x")
        self.assertEqual(status, 502)
        self.assertEqual(self.count_requests(), 2)

    async def test_safe_call_is_retried_on_another_target(self):
        instance = await self.start(respond_with_status("500 Oops"), echo)
        for _ in range(6):
            status, _, _ = await instance.call("/safe/x")
            self.assertEqual(status, 200)

    async def test_safe_call_is_retried_on_the_only_target_after_an_error(self):
        """An error response of the only target used to end the call with a 502."""
        scripts = iter([respond_with_status("500 Oops"), echo])

        async def fail_once(request: bytes, writer) -> None:
            await next(scripts)(request, writer)

        instance = await self.start(fail_once)
        status, _, _ = await instance.call("/safe/x")
        self.assertEqual(status, 200)

    async def test_last_error_of_the_only_target_is_forwarded_unchanged(self):
        instance = await self.start(respond_with_status("500 Oops"))
        status, headers, _ = await instance.call("/safe/x")
        self.assertEqual(status, 500)
        self.assertEqual(headers["carobladder-response-signature"], "sig")
        self.assertEqual(self.count_requests(), 2)

    async def test_only_target_is_not_retried_after_a_reset(self):
        instance = await self.start(reset_connection)
        status, _, _ = await instance.call("/safe/x")
        self.assertEqual(status, 502)
        self.assertEqual(self.count_requests(), 1)

    async def test_not_executed_header_allows_another_target(self):
        instance = await self.start(respond_with_status("503 Full", NOT_RUN), echo)
        for _ in range(6):
            status, _, _ = await instance.call("/unsafe/x", b"a")
            self.assertEqual(status, 200)

    async def test_misdirected_call_is_sent_to_another_target(self):
        instance = await self.start(respond_with_status("421 Other"), echo)
        for _ in range(6):
            status, _, _ = await instance.call("/unsafe/x", b"a")
            self.assertEqual(status, 200)

    async def test_target_whose_address_was_reused_gets_one_request(self):
        """Each further request to the target would be charged to the retry budget."""
        instance = await self.start(respond_with_status("421 Other"), echo)
        instance.budget.set_burst(1.0)
        for _ in range(8):
            status, _, _ = await instance.call("/unsafe/x", b"a")
            self.assertEqual(status, 200)
        self.assertEqual(len(self.targets[0].requests), 1)

    async def test_all_targets_full_gets_503(self):
        instance = await self.start(respond_with_status("503 Full", NOT_RUN))
        status, headers, _ = await instance.call("/unsafe/x", b"a")
        self.assertEqual(status, 503)
        self.assertNotIn("carobladder-response-signature", headers)
        self.assertGreater(float(headers["retry-after"]), 0.0)

    async def test_503_without_not_executed_header_becomes_502(self):
        instance = await self.start(respond_with_status("503 Busy"))
        status, headers, _ = await instance.call("/unsafe/x", b"a")
        self.assertEqual(status, 502)
        self.assertNotIn("carobladder-response-signature", headers)

    async def test_error_of_an_unsafe_call_is_forwarded_unchanged(self):
        instance = await self.start(respond_with_status("500 Oops"))
        status, headers, body = await instance.call("/unsafe/x", b"a")
        self.assertEqual((status, body), (500, b"no"))
        self.assertEqual(headers["carobladder-response-signature"], "sig")

    async def test_refused_connection_uses_no_attempt(self):
        instance = await self.start(echo)
        dead = ScriptedTarget(echo)
        async with dead.server as server:
            address = server.address

        instance.targets.apply(build_target("i-9", address), 0.0)
        for _ in range(6):
            status, _, _ = await instance.call("/unsafe/x", b"a")
            self.assertEqual(status, 200)

    async def test_silent_target_gets_504_at_the_timeout_of_the_route(self):
        instance = await self.start(stay_silent)
        loop = asyncio.get_running_loop()
        started = loop.time()
        status, _, _ = await instance.call("/short/x", b"a")
        self.assertEqual(status, 504)
        self.assertLess(loop.time() - started, 0.45)

    async def test_silent_target_is_suspected_and_safe_calls_are_retried(self):
        instance = await self.start(stay_silent, echo)
        for _ in range(4):
            status, _, _ = await instance.call("/safe/x")
            self.assertEqual(status, 200)
        silent = instance.targets.find("i-0")
        condition = silent.health.classify(instance.clock.monotonic())
        self.assertIsNot(condition, Condition.SOUND)
        self.assertLessEqual(len(self.targets[0].requests), 1)
        self.assertIn(silent, instance.reported_silent)

    async def test_retry_budget_bounds_retries(self):
        instance = await self.start(
            respond_with_status("500 Oops"), respond_with_status("500 Oops")
        )
        instance.budget.set_burst(2.0)
        for _ in range(10):
            await instance.call("/safe/x")
        self.assertLessEqual(self.count_requests(), 10 + 2 + 10 * 0.2)


class SilenceTimeoutTest(ForwardingTest):
    """Guard against suspecting targets that are slow only for some requests."""

    async def test_short_deadline_does_not_make_a_target_suspect(self):
        """Requests with a deadline shorter than their work leave the target healthy.

        Each such request used to exclude a healthy target for a pause.
        """

        async def answer_other_routes(request: bytes, writer) -> None:
            if b"/short" not in request:
                await echo(request, writer)

        instance = await self.start(answer_other_routes)
        for _ in range(3):
            short = asyncio.create_task(
                instance.call("/unsafe/short", b"a", Carobladder_Deadline="430")
            )
            await asyncio.sleep(0.05)
            self.assertEqual((await instance.call("/safe/x"))[0], 200)
            self.assertEqual((await short)[0], 504)
        self.assertEqual(instance.targets.find("i-0").health.failures, 0)

    async def test_silence_timeout_follows_a_slow_route(self):
        """The deadline of a slow route may be far above the latency of other routes."""

        async def answer_other_routes(request: bytes, writer) -> None:
            if b"/slow" not in request:
                await echo(request, writer)

        instance = await self.start(answer_other_routes)
        for milliseconds in (350, 1200):
            slow = asyncio.create_task(
                instance.call(
                    "/unsafe/slow", b"a", Carobladder_Deadline=str(milliseconds)
                )
            )
            await asyncio.sleep(0.05)
            self.assertEqual((await instance.call("/safe/x"))[0], 200)
            self.assertEqual((await slow)[0], 504)
        self.assertEqual(instance.targets.find("i-0").health.failures, 0)


class MalformedResponseTest(ForwardingTest):
    """Guard against responses that are truncated or belong to another request."""

    async def test_late_response_to_another_request_is_skipped(self):
        async def script(request: bytes, writer) -> None:
            other = request.replace(b"ab12", b"ffff")
            writer.write(
                build_response(other, b"other") + build_response(request, b"mine")
            )

        instance = await self.start(script)
        status, headers, body = await instance.call("/unsafe/x", b"a")
        self.assertEqual((status, body), (200, b"mine"))
        self.assertEqual(headers["carobladder-request-id"], "ab12")

    async def test_extra_response_does_not_reach_the_next_request(self):
        async def script(request: bytes, writer) -> None:
            writer.write(
                build_response(request, b"one") + build_response(request, b"two")
            )

        instance = await self.start(script)
        for number in range(3):
            _, headers, body = await instance.call(
                "/unsafe/x", b"a", Carobladder_Request_Id=f"id{number}"
            )
            self.assertEqual(body, b"one")
            self.assertEqual(headers["carobladder-request-id"], f"id{number}")

    async def test_response_without_signature_becomes_502(self):
        async def script(request: bytes, writer) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

        instance = await self.start(script)
        status, _, _ = await instance.call("/unsafe/x", b"a")
        self.assertEqual(status, 502)

    async def test_truncated_body_becomes_502(self):
        async def script(request: bytes, writer) -> None:
            writer.write(build_response(request, b"x" * 100)[:-40])
            await writer.drain()
            writer.close()

        instance = await self.start(script)
        status, _, _ = await instance.call("/unsafe/x", b"a")
        self.assertEqual(status, 502)

    async def test_safe_call_is_retried_after_an_invalid_response(self):
        async def script(request: bytes, writer) -> None:
            writer.write(b"\x00\x01garbage\r\n\r\n")

        instance = await self.start(script, echo)
        for _ in range(4):
            status, _, _ = await instance.call("/safe/x")
            self.assertEqual(status, 200)


class StreamTest(ForwardingTest):
    """Guard against streams with missing, repeated or joined events."""

    async def test_complete_stream_is_forwarded(self):
        instance = await self.start(build_script(range(1, 6)))
        status, headers, body = await instance.call("/stream/x", b"a")
        self.assertEqual(status, 200)
        self.assertEqual(headers["carobladder-response-signature"], "sig")
        expected = b"".join(encode_event(number) for number in range(1, 6))
        self.assertEqual(decode_chunks(body), (expected, True))

    async def test_broken_stream_is_cut_and_not_retried(self):
        instance = await self.start(*[build_script(range(1, 4), cut=True)] * 2)
        raw = await instance.exchange(build_request("/stream/x", b"a"))
        _, complete = decode_chunks(raw.partition(b"\r\n\r\n")[2])
        self.assertFalse(complete)
        self.assertEqual(self.count_requests(), 1)

    async def test_broken_resumable_stream_continues_at_another_target(self):
        broken = build_script(range(1, 4), cut=True, partial=b"id: 4\nda")
        instance = await self.start(broken, build_script(range(1, 9)))
        whole = b"".join(encode_event(number) for number in range(1, 9))
        for number in range(4):
            prompt = f"{number}:100,ff{number}:5"
            status, _, body = await instance.call(
                "/resumable/x", b"a", Carobladder_Prompt_Prefix=prompt
            )
            self.assertEqual(status, 200)
            self.assertEqual(decode_chunks(body), (whole, True))
        self.assertGreater(len(self.targets[0].requests), 0)

    async def test_resumed_stream_that_repeats_events_is_cut(self):
        async def repeat(request: bytes, writer) -> None:
            writer.write(build_stream_head(request))
            writer.write(encode_chunk(encode_event(2)) + b"0\r\n\r\n")

        broken = build_script(range(1, 4), cut=True)
        instance = await self.start(broken, repeat)
        for _ in range(6):
            raw = await instance.exchange(build_request("/resumable/x", b"a"))
            data, complete = decode_chunks(raw.partition(b"\r\n\r\n")[2])
            if data.startswith(encode_event(1)):
                self.assertFalse(complete)
                self.assertEqual(data.count(b"id: 2\n"), 1)

    async def test_target_connection_closes_when_the_caller_disconnects(self):
        closed = asyncio.Event()

        async def endless(request: bytes, writer) -> None:
            writer.write(build_stream_head(request))
            with contextlib.suppress(ConnectionError):
                for number in range(1, 10_000):
                    writer.write(encode_chunk(encode_event(number)))
                    await writer.drain()
                    await asyncio.sleep(0.002)
            closed.set()

        instance = await self.start(endless)
        reader, writer = await instance.connect()
        writer.write(build_request("/stream/x", b"a"))
        await reader.readuntil(b"id: 5\n")
        writer.transport.abort()
        async with asyncio.timeout(0.5):
            await closed.wait()
        await asyncio.sleep(0)
        self.assertEqual(instance.targets.find("i-0").health.in_flight, 0)
