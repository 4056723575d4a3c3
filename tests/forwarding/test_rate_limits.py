"""Tests of calls to targets that name a rate limit in their responses."""

import asyncio
import unittest

from tests.forwarding.fixtures import Instance, build_response
from tests.forwarding.test_handler import ForwardingTest, echo


def respond_with_limit(per_second: str, status: str = "200 OK"):
    """Return a script that names a rate limit in each response."""

    async def script(request: bytes, writer: asyncio.StreamWriter) -> None:
        extra = f"Server-Limit: {per_second}\r\n"
        writer.write(build_response(request, b"limited", status, extra))

    return script


class LimitedTargetTest(ForwardingTest):
    """Guard against requests beyond the rate that a target has named."""

    async def start_limited(self, *scripts) -> Instance:
        """Return an instance that holds few of the fleet's partitions."""
        instance = await self.start(*scripts)
        while not self.targets[0].requests:
            await instance.call("/safe/x")
        return instance

    async def test_limited_target_gets_its_rate_and_others_the_rest(self):
        instance = await self.start_limited(respond_with_limit("2"), echo)
        limited, other = self.targets
        before = len(other.requests)
        for _ in range(20):
            status, _, _ = await instance.call("/unsafe/x")
            self.assertEqual(status, 200)
        self.assertLessEqual(len(limited.requests), 1 + 2)
        self.assertGreaterEqual(len(other.requests) - before, 18)

    async def test_service_at_its_limit_refuses_at_once_with_a_time(self):
        instance = await self.start_limited(respond_with_limit("0.5"))
        (limited,) = self.targets
        answers = [await instance.call("/unsafe/x") for _ in range(4)]
        self.assertLessEqual(len(limited.requests), 2)
        status, headers, body = answers[-1]
        self.assertEqual(status, 503)
        self.assertIn(b"targets_limited", body)
        self.assertGreater(float(headers["retry-after"]), 0.09)

    async def test_end_of_a_limit_is_learned_from_the_next_response(self):
        limited = True

        async def script(request: bytes, writer: asyncio.StreamWriter) -> None:
            extra = "Server-Limit: 4\r\n" if limited else ""
            writer.write(build_response(request, b"x", extra=extra))

        instance = await self.start_limited(script)
        target = instance.targets.find("i-0")
        self.assertEqual(target.rate_limit, 4.0)
        limited = False
        await asyncio.sleep(0.3)
        await instance.call("/patient/x")
        self.assertIsNone(target.rate_limit)
        for _ in range(10):
            status, _, _ = await instance.call("/unsafe/x")
            self.assertEqual(status, 200)

    async def test_refusal_without_the_header_does_not_end_a_limit(self):
        instance = await self.start(echo)
        target = instance.targets.find("i-0")
        target.note_rate_limit(4.0, instance.clock.boottime())

        async def refuse(request: bytes, writer: asyncio.StreamWriter) -> None:
            extra = "Carobladder-Not-Executed: 1\r\n"
            writer.write(build_response(request, b"", "503 Busy", extra))

        self.targets[0]._script = refuse
        await instance.call("/unsafe/x")
        self.assertEqual(target.rate_limit, 4.0)

    async def test_request_waits_shortly_for_the_rate(self):
        instance = await self.start_limited(respond_with_limit("5"))
        for _ in range(3):
            status, _, _ = await instance.call("/patient/x")
            self.assertEqual(status, 200)


if __name__ == "__main__":
    unittest.main()
