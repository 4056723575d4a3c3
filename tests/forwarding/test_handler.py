"""Tests of forwarding against scripted targets over loopback."""

import asyncio
import contextlib
import re
import unittest

from carobladder.fleet import Condition
from tests.forwarding.fixtures import (
    Instance,
    Target,
    answer,
    build_request,
    build_target,
    chunk,
    event,
    read_field,
    start_events,
)


async def echo(request: bytes, writer: asyncio.StreamWriter) -> None:
    """Answer with the body of the request."""
    writer.write(answer(request, request.partition(b"\r\n\r\n")[2] or b"none"))


def refuse(status: str, extra: str = ""):
    """Return a script that answers with a status."""

    async def script(request: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(answer(request, b"no", status, extra))

    return script


async def reset(request: bytes, writer: asyncio.StreamWriter) -> None:
    """Close the connection without an answer."""
    writer.transport.abort()


async def stay_silent(request: bytes, writer: asyncio.StreamWriter) -> None:
    """Take the request and do nothing."""
    await asyncio.Event().wait()


NOT_RUN = "Carobladder-Not-Executed: 1\r\n"


class ForwardingTest(unittest.IsolatedAsyncioTestCase):
    """Run an instance in front of scripted targets."""

    async def start(self, *scripts) -> Instance:
        """Start targets and an instance; the targets stay in ``self.targets``."""
        self.targets = [Target(script) for script in scripts]
        addresses = []
        for target in self.targets:
            server = await self.enterAsyncContext(target.server)
            addresses.append(server.address)
        return await self.enterAsyncContext(Instance(*addresses))

    def count_requests(self) -> int:
        """Return the requests that reached any target."""
        return sum(len(target.requests) for target in self.targets)


class RequestTest(ForwardingTest):
    """Guard against requests that are changed, mixed up or wrongly refused."""

    async def test_request_and_answer_pass_unchanged(self):
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
            self.assertEqual(read_field(request, name), value)
        self.assertEqual(read_field(request, "x-api-key"), "")
        left_ms = int(read_field(request, "carobladder-deadline"))
        self.assertTrue(1000 < left_ms <= 1500)

    async def test_headers_of_the_fleet_are_not_taken_from_the_caller(self):
        instance = await self.start(echo)
        await instance.call(
            "/open/x",
            Carobladder_Tenant="forged",
            Carobladder_Expect_Instance="forged",
            Carobladder_Hold="forged",
            Kv_From="forged",
        )
        self.assertNotIn(b"forged", self.targets[0].requests[0])

    async def test_connection_headers_are_dropped_but_not_the_host(self):
        instance = await self.start(echo)
        data = build_request("/unsafe/x", b"a", close=False, X_Hop="1")
        data = data.replace(b"\r\n\r\n", b"\r\nConnection: close, x-hop, host\r\n\r\n")
        await instance.exchange(data)
        (request,) = self.targets[0].requests
        self.assertEqual(read_field(request, "x-hop"), "")
        self.assertEqual(read_field(request, "host"), "shop.example")

    async def test_unknown_route_and_key(self):
        instance = await self.start(echo)
        status, _, _ = await instance.call("/elsewhere/x")
        self.assertEqual(status, 404)
        for key in ("wrong", None):
            status, _, _ = await instance.call("/safe/x", X_Api_Key=key)
            self.assertEqual(status, 401)
        status, _, _ = await instance.call("/open/x", X_Api_Key=None)
        self.assertEqual(status, 200)
        self.assertEqual(self.count_requests(), 1)

    async def test_without_a_configuration_nothing_is_denied(self):
        instance = await self.start(echo)
        instance.table = None
        status, headers, _ = await instance.call("/elsewhere/x")
        self.assertEqual(status, 503)
        self.assertLess(float(headers["retry-after"]), 0.5)

    async def test_old_knowledge_closes_the_fence_for_keys(self):
        instance = await self.start(echo)
        instance.freshness._synced_at -= 5.0
        status, _, _ = await instance.call("/safe/x")
        self.assertEqual(status, 503)
        status, _, _ = await instance.call("/elsewhere/x")
        self.assertEqual(status, 503)
        status, _, _ = await instance.call("/open/x")
        self.assertEqual(status, 200)

    async def test_service_without_targets_is_refused_at_once(self):
        instance = await self.start(echo)
        loop = asyncio.get_running_loop()
        started = loop.time()
        status, headers, _ = await instance.call("/lost/x")
        self.assertEqual(status, 503)
        self.assertLess(loop.time() - started, 0.3)
        self.assertLessEqual(float(headers["retry-after"]), 0.5)

    async def test_two_lengths_are_rejected_and_the_connection_closed(self):
        instance = await self.start(echo)
        raw = await instance.exchange(
            b"POST /safe/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 4\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /safe/y HTTP/1.1\r\n\r\n"
        )
        self.assertEqual(re.findall(rb"HTTP/1.1 \d+", raw), [b"HTTP/1.1 400"])
        self.assertEqual(self.count_requests(), 0)

    async def test_garbage_is_not_echoed(self):
        instance = await self.start(echo)
        raw = await instance.exchange(b"\x00\xff\x07" * 700 + b"\r\n\r\n")
        self.assertTrue(raw.startswith(b"HTTP/1.1 400 "))
        self.assertLess(len(raw), 500)

    async def test_head_sent_byte_by_byte_gets_its_408(self):
        instance = await self.start(echo)
        reader, writer = await instance.connect()

        async def drip() -> None:
            for byte in build_request("/safe/x"):
                writer.write(bytes([byte]))
                await asyncio.sleep(0.05)

        task = asyncio.create_task(drip())
        async with asyncio.timeout(5.0):
            raw = await reader.read()
        task.cancel()
        writer.close()
        self.assertTrue(raw.startswith(b"HTTP/1.1 408 "))


class RepeatTest(ForwardingTest):
    """Guard against calls that run twice and against false promises of "not run"."""

    async def test_reset_after_the_write_is_not_repeated(self):
        instance = await self.start(reset, reset)
        status, _, _ = await instance.call("/unsafe/x", b"a")
        self.assertEqual(status, 502)
        self.assertEqual(self.count_requests(), 1)

    async def test_safe_call_is_repeated_within_its_attempts(self):
        instance = await self.start(reset, reset, reset)
        status, _, _ = await instance.call("/safe/x")
        self.assertEqual(status, 502)
        self.assertEqual(self.count_requests(), 2)

    async def test_safe_call_moves_from_a_failing_target(self):
        instance = await self.start(refuse("500 Oops"), echo)
        for _ in range(6):
            status, _, _ = await instance.call("/safe/x")
            self.assertEqual(status, 200)

    async def test_safe_call_asks_the_only_target_again_after_its_failure(self):
        """A failed answer of the last target of a service ended calls with a 502."""
        answers = iter([refuse("500 Oops"), echo])

        async def fail_once(request: bytes, writer) -> None:
            await next(answers)(request, writer)

        instance = await self.start(fail_once)
        status, _, _ = await instance.call("/safe/x")
        self.assertEqual(status, 200)

    async def test_last_failure_of_the_only_target_passes_unchanged(self):
        instance = await self.start(refuse("500 Oops"))
        status, headers, _ = await instance.call("/safe/x")
        self.assertEqual(status, 500)
        self.assertEqual(headers["carobladder-response-signature"], "sig")
        self.assertEqual(self.count_requests(), 2)

    async def test_only_target_that_broke_off_is_not_asked_again(self):
        instance = await self.start(reset)
        status, _, _ = await instance.call("/safe/x")
        self.assertEqual(status, 502)
        self.assertEqual(self.count_requests(), 1)

    async def test_targets_own_mark_allows_another_target(self):
        instance = await self.start(refuse("503 Full", NOT_RUN), echo)
        for _ in range(6):
            status, _, _ = await instance.call("/unsafe/x", b"a")
            self.assertEqual(status, 200)

    async def test_misdirected_call_has_not_run(self):
        instance = await self.start(refuse("421 Other"), echo)
        for _ in range(6):
            status, _, _ = await instance.call("/unsafe/x", b"a")
            self.assertEqual(status, 200)

    async def test_target_whose_address_another_one_has_is_not_asked_again(self):
        """Each further request there would use up the retry budget."""
        instance = await self.start(refuse("421 Other"), echo)
        instance.budget.set_burst(1.0)
        for _ in range(8):
            status, _, _ = await instance.call("/unsafe/x", b"a")
            self.assertEqual(status, 200)
        self.assertEqual(len(self.targets[0].requests), 1)

    async def test_all_targets_full_is_a_true_refusal(self):
        instance = await self.start(refuse("503 Full", NOT_RUN))
        status, headers, _ = await instance.call("/unsafe/x", b"a")
        self.assertEqual(status, 503)
        self.assertNotIn("carobladder-response-signature", headers)
        self.assertGreater(float(headers["retry-after"]), 0.0)

    async def test_unmarked_503_must_not_promise_that_a_booking_did_not_run(self):
        instance = await self.start(refuse("503 Busy"))
        status, headers, _ = await instance.call("/unsafe/x", b"a")
        self.assertEqual(status, 502)
        self.assertNotIn("carobladder-response-signature", headers)

    async def test_targets_failure_passes_unchanged(self):
        instance = await self.start(refuse("500 Oops"))
        status, headers, body = await instance.call("/unsafe/x", b"a")
        self.assertEqual((status, body), (500, b"no"))
        self.assertEqual(headers["carobladder-response-signature"], "sig")

    async def test_dead_address_costs_no_attempt(self):
        instance = await self.start(echo)
        dead = Target(echo)
        async with dead.server as server:
            address = server.address

        instance.targets.apply(build_target("i-9", address), 0.0)
        for _ in range(6):
            status, _, _ = await instance.call("/unsafe/x", b"a")
            self.assertEqual(status, 200)

    async def test_silent_target_ends_at_the_routes_time_without_a_promise(self):
        instance = await self.start(stay_silent)
        loop = asyncio.get_running_loop()
        started = loop.time()
        status, _, _ = await instance.call("/short/x", b"a")
        self.assertEqual(status, 504)
        self.assertLess(loop.time() - started, 0.45)

    async def test_silent_target_is_suspected_and_a_safe_call_goes_elsewhere(self):
        instance = await self.start(stay_silent, echo)
        for _ in range(4):
            status, _, _ = await instance.call("/safe/x")
            self.assertEqual(status, 200)
        silent = instance.targets.find("i-0")
        condition = silent.health.classify(instance.clock.monotonic())
        self.assertIsNot(condition, Condition.SOUND)
        self.assertLessEqual(len(self.targets[0].requests), 1)
        self.assertIn(silent, instance.silent)

    async def test_retry_budget_bounds_repeats(self):
        instance = await self.start(refuse("500 Oops"), refuse("500 Oops"))
        instance.budget.set_burst(2.0)
        for _ in range(10):
            await instance.call("/safe/x")
        self.assertLessEqual(self.count_requests(), 10 + 2 + 10 * 0.2)


class PatienceTest(ForwardingTest):
    """Guard against giving up targets that are only slow with some requests."""

    async def test_limit_of_a_short_request_says_nothing_of_its_target(self):
        """Seen on calm days: a route whose limit is shorter than its work takes.

        Each of its requests made the instance leave a sound target alone.
        """

        async def work(request: bytes, writer) -> None:
            if b"/short" not in request:
                await echo(request, writer)

        instance = await self.start(work)
        for _ in range(3):
            short = asyncio.create_task(
                instance.call("/unsafe/short", b"a", Carobladder_Deadline="430")
            )
            await asyncio.sleep(0.05)
            self.assertEqual((await instance.call("/safe/x"))[0], 200)
            self.assertEqual((await short)[0], 504)
        self.assertEqual(instance.targets.find("i-0").health.failures, 0)

    async def test_route_that_takes_long_is_given_as_long(self):
        """The limit of a slow route may grow beyond what other routes take."""

        async def work(request: bytes, writer) -> None:
            if b"/slow" not in request:
                await echo(request, writer)

        instance = await self.start(work)
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

    async def test_engine_that_reads_long_prompts_is_not_suspected(self):
        """Many first requests come at once and nothing is in the cache yet."""

        async def read_first(request: bytes, writer) -> None:
            await asyncio.sleep(0.6)
            writer.write(start_events(request) + chunk(event(1)) + b"0\r\n\r\n")

        instance = await self.start(read_first)
        calls = [
            instance.call(
                "/resumable/x", b"a", Carobladder_Prompt_Prefix=f"aa:9,{number}:5"
            )
            for number in range(6)
        ]
        for status, _, _ in await asyncio.gather(*calls):
            self.assertEqual(status, 200)
        target = instance.targets.find("i-0")
        self.assertEqual(target.health.failures, 0)
        self.assertEqual(self.count_requests(), 6)


class GarbledAnswerTest(ForwardingTest):
    """Guard against answers that belong to another request or are cut."""

    async def test_late_answer_of_another_request_is_skipped(self):
        async def script(request: bytes, writer) -> None:
            other = request.replace(b"ab12", b"ffff")
            writer.write(answer(other, b"other") + answer(request, b"mine"))

        instance = await self.start(script)
        status, headers, body = await instance.call("/unsafe/x", b"a")
        self.assertEqual((status, body), (200, b"mine"))
        self.assertEqual(headers["carobladder-request-id"], "ab12")

    async def test_extra_answer_does_not_reach_the_next_request(self):
        async def script(request: bytes, writer) -> None:
            writer.write(answer(request, b"one") + answer(request, b"two"))

        instance = await self.start(script)
        for number in range(3):
            _, headers, body = await instance.call(
                "/unsafe/x", b"a", Carobladder_Request_Id=f"id{number}"
            )
            self.assertEqual(body, b"one")
            self.assertEqual(headers["carobladder-request-id"], f"id{number}")

    async def test_success_without_signature_is_no_success(self):
        async def script(request: bytes, writer) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

        instance = await self.start(script)
        status, _, _ = await instance.call("/unsafe/x", b"a")
        self.assertEqual(status, 502)

    async def test_cut_body_is_no_success(self):
        async def script(request: bytes, writer) -> None:
            writer.write(answer(request, b"x" * 100)[:-40])
            await writer.drain()
            writer.close()

        instance = await self.start(script)
        status, _, _ = await instance.call("/unsafe/x", b"a")
        self.assertEqual(status, 502)

    async def test_bytes_that_are_no_answer(self):
        async def script(request: bytes, writer) -> None:
            writer.write(b"\x00\x01garbage\r\n\r\n")

        instance = await self.start(script, echo)
        for _ in range(4):
            status, _, _ = await instance.call("/safe/x")
            self.assertEqual(status, 200)


class StreamTest(ForwardingTest):
    """Guard against streams with missing, repeated or joined events."""

    def script(self, events, cut: bool = False, partial: bytes = b""):
        """Return a script that sends events after the one the request names."""

        async def run(request: bytes, writer) -> None:
            last = int(read_field(request, "last-event-id") or 0)
            writer.write(start_events(request))
            for number in events:
                if number > last:
                    writer.write(chunk(event(number)))
                    await writer.drain()
                    await asyncio.sleep(0.002)
            if partial:
                writer.write(chunk(partial))
            if cut:
                await writer.drain()
                writer.transport.abort()
            else:
                writer.write(b"0\r\n\r\n")

        return run

    def read_chunks(self, body: bytes) -> tuple[bytes, bool]:
        """Return the data of a chunked body and whether it is complete."""
        data = b""
        while body:
            size, _, rest = body.partition(b"\r\n")
            if int(size, 16) == 0:
                return data, True
            data += rest[: int(size, 16)]
            body = rest[int(size, 16) + 2 :]
        return data, False

    async def test_whole_stream(self):
        instance = await self.start(self.script(range(1, 6)))
        status, headers, body = await instance.call("/stream/x", b"a")
        self.assertEqual(status, 200)
        self.assertEqual(headers["carobladder-response-signature"], "sig")
        expected = b"".join(event(number) for number in range(1, 6))
        self.assertEqual(self.read_chunks(body), (expected, True))

    async def test_broken_stream_is_cut_and_not_run_again(self):
        instance = await self.start(*[self.script(range(1, 4), cut=True)] * 2)
        raw = await instance.exchange(build_request("/stream/x", b"a"))
        _, complete = self.read_chunks(raw.partition(b"\r\n\r\n")[2])
        self.assertFalse(complete)
        self.assertEqual(self.count_requests(), 1)

    async def test_stream_that_ends_inside_an_event_is_not_complete(self):
        instance = await self.start(self.script(range(1, 4), partial=b"id: 4\nda"))
        raw = await instance.exchange(build_request("/stream/x", b"a"))
        data, complete = self.read_chunks(raw.partition(b"\r\n\r\n")[2])
        self.assertFalse(complete)
        self.assertNotIn(b"id: 4", data)

    async def test_stalled_stream_that_sends_a_byte_now_and_then_is_left(self):
        """Each byte used to begin the longest pause anew."""

        async def stall(request: bytes, writer) -> None:
            writer.write(start_events(request) + chunk(event(1)) + chunk(b"id: 2\nda"))
            while not writer.is_closing():
                await asyncio.sleep(0.2)
                writer.write(chunk(b"t"))

        instance = await self.start(stall, self.script(range(1, 4)))
        loop = asyncio.get_running_loop()
        for number in range(4):
            began = loop.time()
            _, _, body = await instance.call(
                "/resumable/x",
                b"a",
                Carobladder_Deadline="4000",
                Carobladder_Request_Id=f"id{number}",
            )
            data, complete = self.read_chunks(body)
            self.assertTrue(complete)
            self.assertEqual(data, b"".join(event(n) for n in range(1, 4)))
            self.assertLess(loop.time() - began, 1.8)
        self.assertGreaterEqual(len(self.targets[0].requests), 1)

    async def test_slow_but_sound_stream_is_not_cut(self):
        """Its events are further apart than usual, and each comes in parts."""

        async def crawl(request: bytes, writer) -> None:
            writer.write(start_events(request))
            for number in range(1, 4):
                data = event(number)
                await asyncio.sleep(0.3)
                writer.write(chunk(data[:4]))
                await asyncio.sleep(0.3)
                writer.write(chunk(data[4:]))
            writer.write(b"0\r\n\r\n")

        instance = await self.start(crawl)
        for route in ("stream", "resumable"):
            _, _, body = await instance.call(
                f"/{route}/x", b"a", Carobladder_Deadline="4000"
            )
            data, complete = self.read_chunks(body)
            self.assertTrue(complete)
            self.assertEqual(data, b"".join(event(n) for n in range(1, 4)))
        self.assertEqual(self.count_requests(), 2)

    async def test_resumable_stream_goes_on_at_another_target(self):
        broken = self.script(range(1, 4), cut=True, partial=b"id: 4\nda")
        instance = await self.start(broken, self.script(range(1, 9)))
        whole = b"".join(event(number) for number in range(1, 9))
        for number in range(4):
            prompt = f"{number}:100,ff{number}:5"
            status, _, body = await instance.call(
                "/resumable/x", b"a", Carobladder_Prompt_Prefix=prompt
            )
            self.assertEqual(status, 200)
            self.assertEqual(self.read_chunks(body), (whole, True))
        self.assertGreater(len(self.targets[0].requests), 0)

    async def test_resumed_stream_that_repeats_events_is_cut(self):
        async def repeat(request: bytes, writer) -> None:
            writer.write(start_events(request))
            writer.write(chunk(event(2)) + b"0\r\n\r\n")

        broken = self.script(range(1, 4), cut=True)
        instance = await self.start(broken, repeat)
        for _ in range(6):
            raw = await instance.exchange(build_request("/resumable/x", b"a"))
            data, complete = self.read_chunks(raw.partition(b"\r\n\r\n")[2])
            if data.startswith(event(1)):
                self.assertFalse(complete)
                self.assertEqual(data.count(b"id: 2\n"), 1)

    async def test_target_is_told_when_the_caller_leaves(self):
        closed = asyncio.Event()

        async def endless(request: bytes, writer) -> None:
            writer.write(start_events(request))
            with contextlib.suppress(ConnectionError):
                for number in range(1, 10_000):
                    writer.write(chunk(event(number)))
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
