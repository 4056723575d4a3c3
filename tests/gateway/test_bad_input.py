"""Tests of invalid requests, which must have no effect other than their refusal."""

import asyncio
import unittest

import msgspec

from tests.gateway.engines import Engine
from tests.gateway.fakes import (
    BOOKING_KEY,
    CHAT,
    MODEL,
    TEST_TIMEOUT_SECONDS,
    Gateway,
    read_error,
)

CHAT_PATH = "/v1/chat/completions"


async def exchange(gateway: Gateway, data: bytes) -> bytes:
    """Send raw bytes and return all bytes until the gateway closes the connection."""
    host, _, port = gateway.address.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(data)
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            return await reader.read()
    finally:
        writer.close()


def read_raw_error(raw: bytes) -> tuple[int, dict[str, str]]:
    """Return the status and the error of a raw response."""
    head, _, body = raw.partition(b"\r\n\r\n")
    return int(head.split()[1]), msgspec.json.decode(body)["error"]


class BadInputTest(unittest.IsolatedAsyncioTestCase):
    """Guard against unclear or uncounted errors and effects of invalid requests."""

    async def asyncSetUp(self):
        self.engine = Engine()
        server = await self.enterAsyncContext(self.engine.server())
        self.gateway = await self.enterAsyncContext(
            Gateway(server.address, max_body_bytes=2000, read_seconds=0.1)
        )

    async def asyncTearDown(self):
        self.assertEqual(self.engine.requests, [])
        self.assertEqual(self.gateway.admission.permits, [])
        self.assertEqual(self.gateway.bookings.answers, {})

    def check(self, status, error, expected_status, code, outcome="not_run"):
        self.assertEqual((status, error["code"]), (expected_status, code))
        self.assertEqual(error["outcome"], outcome)
        self.assertTrue(error["message"])
        self.assertTrue(error["remedy"])
        self.assertEqual(self.gateway.count("refusals_total", reason=code), 1)

    async def check_raw(self, data, expected_status, code):
        raw = await exchange(self.gateway, data)
        self.check(*read_raw_error(raw), expected_status, code)
        self.assertIn(b"\r\nX-Request-Id: ", raw)

    def check_answer(self, answer, expected_status, code, outcome="not_run"):
        error = read_error(answer)
        self.check(answer.status, error, expected_status, code, outcome)

    async def test_oversized_complete_header(self):
        await self.check_raw(
            b"GET /healthz HTTP/1.1\r\nHost: x\r\nX-A: %s\r\n\r\n" % (b"a" * 20_000),
            431,
            "header_too_large",
        )

    async def test_unterminated_oversized_header(self):
        await self.check_raw(
            b"GET / HTTP/1.1\r\nX-A: " + b"a" * 200_000, 431, "header_too_large"
        )

    async def test_oversized_declared_body_is_refused_before_it_is_read(self):
        await self.check_raw(
            b"POST /stock HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n"
            b"Content-Length: 2001\r\n\r\n",
            413,
            "body_too_large",
        )

    async def test_oversized_chunked_body(self):
        await self.check_raw(
            b"POST /stock HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"800\r\n" + b"a" * 0x800 + b"\r\n800\r\n" + b"a" * 0x800 + b"\r\n",
            413,
            "body_too_large",
        )

    async def test_malformed_request_line(self):
        await self.check_raw(b"NONSENSE\r\n\r\n", 400, "malformed_request")

    async def test_conflicting_lengths_cannot_smuggle_a_request(self):
        await self.check_raw(
            b"POST /stock HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
            b"Content-Length: 30\r\n\r\nabc",
            400,
            "malformed_request",
        )

    async def test_dot_segments_cannot_leave_the_path_prefix(self):
        await self.check_raw(
            b"GET /stock/%2e%2e/bookings HTTP/1.1\r\nHost: x\r\n\r\n",
            400,
            "malformed_request",
        )

    async def test_caller_that_stalls_in_the_header(self):
        await self.check_raw(b"POST /stock HTTP/1.1\r\nHos", 408, "request_timeout")

    async def test_caller_that_stalls_in_the_body(self):
        await self.check_raw(
            b"POST /stock HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nab",
            408,
            "request_timeout",
        )

    async def test_missing_credentials(self):
        self.check_answer(await self.gateway.chat(key=""), 401, "bad_credentials")

    async def test_unknown_team(self):
        answer = await self.gateway.chat(key="other-team")
        self.check_answer(answer, 401, "bad_credentials")

    async def test_body_that_is_not_a_completion_request(self):
        answer = await self.gateway.call("POST", CHAT_PATH, b'{"model": 3')
        self.check_answer(answer, 400, "malformed_request")

    async def test_deeply_nested_body(self):
        nested = b"[" * 100 + b"]" * 100
        body = b'{"model": "quoter", "messages": [], "x": ' + nested + b"}"
        answer = await self.gateway.call("POST", CHAT_PATH, body)
        self.check_answer(answer, 400, "malformed_request")

    async def test_body_nested_beyond_the_recursion_limit(self):
        async with Gateway() as gateway:
            body = b'{"model": "quoter", "x": ' + b"[" * 100_000
            answer = await gateway.call("POST", CHAT_PATH, body)
        self.assertEqual(answer.status, 400)

    async def test_unknown_model(self):
        body = msgspec.json.encode({**CHAT, "model": "unknown"})
        answer = await self.gateway.call("POST", CHAT_PATH, body)
        self.check_answer(answer, 404, "unknown_model")

    async def test_unknown_path(self):
        self.check_answer(await self.gateway.call("GET", "/no"), 404, "unknown_path")

    async def test_wrong_method_gets_the_allowed_one(self):
        answer = await self.gateway.call("GET", CHAT_PATH)
        self.check_answer(answer, 405, "method_not_allowed")
        self.assertEqual(dict(answer.headers)["allow"], "POST")

    async def test_unknown_class(self):
        answer = await self.gateway.chat(X_Request_Class="huge")
        self.check_answer(answer, 400, "malformed_request")

    async def test_missing_idempotency_key(self):
        answer = await self.gateway.call("POST", "/bookings", b"{}")
        self.check_answer(answer, 400, "idempotency_key")

    async def test_unknown_outcome(self):
        answer = await self.gateway.call("GET", f"/v1/outcomes/{BOOKING_KEY}")
        self.check_answer(answer, 404, "unknown_outcome", "unknown")

    async def test_expired_deadline(self):
        answer = await self.gateway.chat(X_Deadline_Ms="0")
        self.check_answer(answer, 504, "deadline_exceeded")

    async def test_expired_deadline_of_a_booking(self):
        answer = await self.gateway.call(
            "POST", "/bookings", Idempotency_Key=BOOKING_KEY, X_Deadline_Ms="-5"
        )
        self.check_answer(answer, 504, "deadline_exceeded")

    async def test_instance_without_a_configuration(self):
        self.gateway.directory.ready = False
        self.check_answer(await self.gateway.chat(), 503, "not_ready")

    async def test_model_without_targets(self):
        self.gateway.directory.addresses.clear()
        self.check_answer(await self.gateway.chat(), 503, "not_ready")

    async def test_prompt_parts_that_are_not_text_are_accepted(self):
        parts = [{"type": "image_url", "image_url": {"url": "data:,"}}]
        messages = [{"role": "user", "content": parts}]
        body = msgspec.json.encode({"model": MODEL, "messages": messages})
        self.gateway.directory.addresses.clear()
        answer = await self.gateway.call("POST", CHAT_PATH, body)
        self.check_answer(answer, 503, "not_ready")
