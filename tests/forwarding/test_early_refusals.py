"""Tests of requests that are refused before their bodies are read."""

import asyncio
import re
import unittest

from carobladder.gateway.ports import ServerEnd
from carobladder.gateway.requests import RequestLimits
from tests.forwarding.fixtures import Instance, build_request, encode_chunk
from tests.forwarding.test_handler import ForwardingTest, echo

BODY_BYTES = 1_000_000
PIECE_COUNT = 20
# An answer that waits for the body takes as long as the caller may send it.
AT_ONCE_SECONDS = 0.5
READ_SECONDS = 5.0
# Longer than an answer needs, and than the time for which bytes are discarded after
# the last of them.
SEND_SECONDS = 2.0


class EarlyRefusalTest(ForwardingTest):
    """Guard against bodies that are read though their heads are refused."""

    async def start_wide(self) -> Instance:
        """Start an instance that reads long bodies."""
        instance = await self.start(echo)
        limits = RequestLimits(read_seconds=READ_SECONDS)
        instance.server.set_limits(limits)
        return instance

    def build_refused_heads(self, instance: Instance) -> list[tuple[int, bytes]]:
        """Return heads that are refused, with the statuses of their answers."""
        return [
            (404, build_head("/elsewhere/x")),
            (401, build_head("/safe/x", X_Api_Key="wrong")),
            (401, build_head("/safe/x", X_Api_Key=None)),
        ]

    async def exchange_part(self, instance: Instance, data: bytes) -> bytes:
        """Return what the instance sends soon after a part of a request."""
        reader, writer = await instance.connect()
        self.addCleanup(writer.close)
        writer.write(data)
        async with asyncio.timeout(AT_ONCE_SECONDS):
            return await reader.read()

    # Guards against callers without a key or a route that make the instance keep bytes.
    async def test_refused_head_is_answered_before_its_body(self):
        instance = await self.start_wide()
        for status, head in self.build_refused_heads(instance):
            for part in (b"", b"x" * 1000, b"x" * (BODY_BYTES - 1)):
                with self.subTest(status=status, part=len(part)):
                    answer = await self.exchange_part(instance, head + part)
                    self.assertIn(b" %d " % status, answer[:20])
        self.assertEqual(self.count_requests(), 0)

    async def test_late_request_is_refused_before_its_body(self):
        instance = await self.start_wide()
        now = instance.clock.monotonic()
        instance.server._state.end = ServerEnd(now + 0.1, now)
        answer = await self.exchange_part(instance, build_head("/safe/x"))
        self.assertIn(b" 503 ", answer[:20])
        self.assertIn(b"shutting_down", answer)
        retry = re.search(rb"(?i)retry-after: (\S+)", answer)
        self.assertLessEqual(float(retry[1]), 0.1)

    # Guards against a caller that is asked for a body that is not wanted.
    async def test_caller_that_expects_100_continue_gets_the_refusal_instead(self):
        instance = await self.start_wide()
        for size in (10, BODY_BYTES):
            for key, first in (("wrong", b" 401 "), ("key-1", b" 100 ")):
                with self.subTest(size=size, key=key):
                    fields = {"Expect": "100-continue", "X_Api_Key": key}
                    reader, writer = await instance.connect()
                    writer.write(build_head("/safe/x", size, **fields))
                    async with asyncio.timeout(AT_ONCE_SECONDS):
                        head = await reader.readuntil(b"\r\n\r\n")
                    self.assertIn(first, head[:20])
                    writer.close()

    async def test_refused_chunks_are_answered_before_their_end(self):
        instance = await self.start_wide()
        head = build_head("/safe/x", None, X_Api_Key="wrong")
        answer = await self.exchange_part(instance, head + encode_chunk(b"x" * 200_000))
        self.assertIn(b" 401 ", answer[:20])

    # Guards against an answer that differs from the one after a whole body.
    async def test_early_refusal_is_answered_logged_and_counted_as_a_late_one(self):
        instance = await self.start_wide()
        late = build_request("/safe/x", b"x" * 10, X_Api_Key="wrong")
        early = build_head("/safe/x", X_Api_Key="wrong", Connection="close")
        answers, records, counts = [], [], []
        for data in (late, early):
            with self.assertLogs("carobladder", "INFO") as logs:
                answer = await self.exchange_part(instance, data)
            (refused,) = (
                record
                for record in logs.records
                if record.getMessage() == "request_refused"
            )
            answers.append(answer)
            records.append((refused.request_id, refused.cause, refused.status))
            counts.append(count_refusals(instance))
        self.assertEqual(answers[0], answers[1])
        self.assertEqual(records, [("ab12", "bad_credentials", 401)] * 2)
        self.assertEqual(counts, [1, 2])

    # Guards against an answer that is lost as the connection is reset under a caller
    # that still sends.
    async def test_caller_that_sends_its_body_slowly_gets_the_whole_refusal(self):
        instance = await self.start_wide()
        reader, writer = await instance.connect()
        self.addCleanup(writer.close)
        writer.write(build_head("/safe/x", X_Api_Key="wrong"))
        for _ in range(PIECE_COUNT):
            writer.write(b"x" * (BODY_BYTES // PIECE_COUNT))
            await writer.drain()
            await asyncio.sleep(SEND_SECONDS / PIECE_COUNT)
        answer = await reader.read()
        self.assertIn(b" 401 ", answer[:20])
        self.assertTrue(answer.endswith(b"}"))

    # Guards against closing a connection that its caller may use again.
    async def test_refusal_of_a_short_body_keeps_its_connection(self):
        instance = await self.start_wide()
        reader, writer = await instance.connect()
        self.addCleanup(writer.close)
        for status, path in ((b" 404 ", "/elsewhere/x"), (b" 200 ", "/safe/x")):
            writer.write(build_request(path, b"x" * 1000, close=False))
            head = await reader.readuntil(b"\r\n\r\n")
            self.assertIn(status, head[:20])
            length = re.search(rb"(?i)content-length: (\d+)", head)
            await reader.readexactly(int(length[1]))

    # Guards against a refusal for a reason that is over once the body has arrived.
    async def test_request_is_not_refused_early_for_what_may_pass(self):
        instance = await self.start_wide()
        synced_at = instance.freshness._synced_at
        instance.freshness._synced_at = synced_at - 5.0
        reader, writer = await instance.connect()
        self.addCleanup(writer.close)
        writer.write(build_head("/safe/x", Connection="close"))
        await asyncio.sleep(0.05)
        instance.freshness._synced_at = synced_at
        writer.write(b"x" * BODY_BYTES)
        self.assertIn(b" 200 ", (await reader.read())[:20])
        self.assertEqual(self.count_requests(), 1)


def build_head(path: str, size: int | None = BODY_BYTES, **fields) -> bytes:
    """Return the head of a request with a body of this size, or in chunks for None."""
    if size is None:
        fields["Transfer_Encoding"] = "chunked"
    else:
        fields["Content_Length"] = str(size)
    return build_request(path, close=False, **fields)


def count_refusals(instance: Instance) -> float:
    """Return the number of requests that were refused for their keys."""
    text = instance.metrics.render().decode()
    pattern = r"^carobladder_\w*refus\w*_total{[^}]*bad_credentials[^}]*} (\S+)$"
    return sum(float(value) for value in re.findall(pattern, text, re.MULTILINE))


if __name__ == "__main__":
    unittest.main()
