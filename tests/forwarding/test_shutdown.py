"""Tests of requests that arrive, wait or are at a target as an instance shuts down."""

import asyncio
import unittest

from carobladder.gateway.requests import RequestLimits
from tests.forwarding.fixtures import Instance, build_request, build_response
from tests.forwarding.test_handler import ForwardingTest
from tests.forwarding.test_rate_limits import respond_with_limit

# Time for the accepted requests from the end of listening on, and the times after it
# at which the last byte of a request arrives.
LIMIT_SECONDS = 1.6
EARLY_SECONDS = 0.1
LATE_SECONDS = 0.9
WORK_SECONDS = 1.0
RESPONSE_SECONDS = 4.0
BODY = b"0123456789"


def answer_after(seconds: float):
    """Return a script that answers each request after a time."""

    async def script(request: bytes, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(seconds)
        writer.write(build_response(request, b"done"))

    return script


class ShutdownTest(ForwardingTest):
    """Guard against requests that are cut without a response at a planned end."""

    async def send_in_parts(
        self, instance: Instance, path: str, split: int, pause: float, budget_ms: int
    ) -> bytes:
        """Send a request in two parts with a pause, and return the response."""
        reader, writer = await instance.connect()
        data = build_request(path, BODY, Carobladder_Deadline=str(budget_ms))
        writer.write(data[:split])
        await asyncio.sleep(pause)
        writer.write(data[split:])
        try:
            async with asyncio.timeout(RESPONSE_SECONDS):
                return await reader.read()
        except ConnectionResetError:
            return b""
        finally:
            writer.close()

    async def shut_down(self, instance: Instance) -> None:
        instance.server.begin_drain()
        await instance.server.finish_drain(LIMIT_SECONDS)
        await instance.server.close()

    async def run_shutdown(
        self,
        seconds: float,
        work: float,
        path: str,
        split: int = -3,
    ) -> bytes:
        """Return the response to a request whose last byte arrives in the shutdown."""
        instance = await self.start(answer_after(work))
        instance.server.set_limits(RequestLimits(read_seconds=5.0))
        call = asyncio.create_task(
            self.send_in_parts(instance, path, split, 0.05 + seconds, 3000)
        )
        await asyncio.sleep(0.05)
        await self.shut_down(instance)
        return await call

    # Guards against requests that are taken late and cut at the end.
    async def test_request_completed_late_is_refused_and_not_sent(self):
        for path in ("/unsafe/x", "/safe/x", "/stream/x"):
            for split in (-3, 10):
                with self.subTest(path=path, split=split):
                    answer = await self.run_shutdown(
                        LATE_SECONDS, WORK_SECONDS, path, split
                    )
                    self.assertIn(b" 503 ", answer[:20])
                    self.assertIn(b"ab12", answer)
                    self.assertIn(b"retry-after: 0.", answer.lower())
                    self.assertIn(b"connection: close", answer.lower())
                    self.assertEqual(self.count_requests(), 0)

    async def test_request_completed_early_is_answered(self):
        answer = await self.run_shutdown(EARLY_SECONDS, WORK_SECONDS, "/unsafe/x")
        self.assertTrue(answer.endswith(b"done"))

    # Guards against refusing what can still be served by the only instance left.
    async def test_late_request_whose_time_ends_before_the_instance_is_answered(self):
        instance = await self.start(answer_after(1.2))
        first = asyncio.create_task(instance.call("/unsafe/x"))
        await asyncio.sleep(0.05)
        drain = asyncio.create_task(instance.server.finish_drain(RESPONSE_SECONDS))
        await asyncio.sleep(0.7)
        answer = await self.send_in_parts(instance, "/unsafe/x", 0, 0.0, 2400)
        self.assertIn(b" 200 ", answer[:20])
        self.assertEqual((await first)[0], 200)
        self.assertTrue(await drain)

    # Guards against requests that end without a response though it cannot be known
    # whether they ran.
    async def test_request_at_a_target_at_the_end_gets_a_response_without_promise(self):
        for path in ("/unsafe/x", "/safe/x"):
            with self.subTest(path=path):
                answer = await self.run_shutdown(EARLY_SECONDS, 9.0, path)
                self.assertIn(answer[9:12], (b"502", b"504"))

    # Guards against waiting requests that are cut although they have not run.
    async def test_request_that_waits_at_the_end_is_refused(self):
        instance = await self.start(respond_with_limit("0.3"))
        for _ in range(2):
            await instance.call("/patient/x")
        call = asyncio.create_task(instance.call("/patient/x"))
        await asyncio.sleep(0.05)
        await self.shut_down(instance)
        status, headers, _ = await call
        self.assertEqual(status, 503)
        self.assertIn("retry-after", headers)


if __name__ == "__main__":
    unittest.main()
