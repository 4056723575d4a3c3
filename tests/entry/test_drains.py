"""Tests of requests in a drain whose end is known from the signal on."""

import asyncio
import unittest

import msgspec

from carobladder.entry.draining import (
    DRAIN_NOTICE_SECONDS,
    NOTICE_MARGIN_SECONDS,
    SHUTDOWN_MARGIN_SECONDS,
)
from tests.entry.fixtures import SAFE_ROUTE, PlatformInstanceCase
from tests.forwarding.fixtures import HOST, KEY, build_response

GRACE_SECONDS = 4.0
# Shorter than the notice.
SHORT_GRACE_SECONDS = 2
# Longer than the grace time, as the timeouts of streams are.
TIMEOUT_MS = 9000
SLOW_SECONDS = 1.2
# Less than what a slow request takes is left of the grace time then.
LATE_SIGNAL_SECONDS = 2.6
OLD_SIGNAL_SECONDS = 3.2
# Less than the notice.
EARLIER_SECONDS = 1.5
# The events state times in ms.
ROUNDING_SECONDS = 0.001
END_SECONDS = 10.0


class DrainTest(PlatformInstanceCase):
    """Guard against requests that are taken although the end will cut them."""

    async def start_instance(self) -> None:
        """Start the instance with one route whose timeout is long."""
        await super().start_instance()
        await self.wait_until_listening()
        self.configure(1, routes=[{**SAFE_ROUTE, "timeoutMs": TIMEOUT_MS}])
        self.register()

    async def call_slowly(self, path: str = "/a/x") -> int:
        """Send a request whose own limit ends after the grace time."""
        headers = (
            ("Host", HOST),
            ("Carobladder-Request-Id", "ab12"),
            ("X-Api-Key", KEY),
        )
        found = await self.client.fetch(
            "GET",
            f"127.0.0.1:{self.instance.parts.server.port}",
            path,
            headers=headers,
            timeout_seconds=END_SECONDS,
        )
        return found.status

    def answer_after(self, seconds: float) -> None:
        """Let the target answer each request after a time."""

        async def script(request: bytes, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(seconds)
            writer.write(build_response(request, b"ok"))

        self.target._script = script

    def request_stop(self, seconds_ago: float = 0.0) -> None:
        """Begin the drain of an end signal that arrived some time ago."""
        self.instance.stop_requested_at = self.clock.monotonic() - seconds_ago
        self.stop.set()

    async def test_request_that_usually_fits_is_served(self):
        self.answer_after(0.0)
        await self.wait_for(200)
        self.request_stop()
        await asyncio.sleep(0.1)
        self.assertEqual(await self.call_slowly(), 200)

    async def test_request_that_lately_took_longer_is_refused(self):
        self.answer_after(SLOW_SECONDS)
        await self.wait_for(200)
        count = len(self.target.requests)
        self.request_stop(LATE_SIGNAL_SECONDS)
        await asyncio.sleep(0.1)
        self.assertEqual(await self.call_slowly(), 503)
        self.assertEqual(len(self.target.requests), count)

    async def test_request_of_an_unknown_duration_is_refused(self):
        async with asyncio.timeout(END_SECONDS):
            while not self.instance.ready:
                await asyncio.sleep(0.05)
        self.request_stop()
        await asyncio.sleep(0.1)
        self.assertEqual(await self.call_slowly(), 503)
        self.assertEqual(len(self.target.requests), 0)

    # Guards against a notice, and times for requests, that begin once the signal is
    # handled.
    async def test_times_of_a_drain_count_from_its_signal(self):
        self.answer_after(0.0)
        await self.wait_for(200)
        with self.assertLogs("carobladder", "INFO") as logs:
            self.request_stop(EARLIER_SECONDS)
            await asyncio.sleep(0.1)
        (event,) = (r for r in logs.records if r.getMessage() == "draining")
        notice_seconds = DRAIN_NOTICE_SECONDS - EARLIER_SECONDS
        self.assertLessEqual(event.notice_seconds, notice_seconds + ROUNDING_SECONDS)
        limit_seconds = GRACE_SECONDS - SHUTDOWN_MARGIN_SECONDS - EARLIER_SECONDS
        self.assertLessEqual(event.limit_seconds, limit_seconds + ROUNDING_SECONDS)
        end = self.instance.parts.server._state.end
        left_seconds = end.notice_ends_at - self.clock.monotonic()
        self.assertLessEqual(left_seconds, notice_seconds + NOTICE_MARGIN_SECONDS)

    # Guards against a notice that outlasts a grace time that is shorter than it.
    async def test_notice_fits_into_a_short_grace_time(self):
        settings = self.instance._settings
        self.instance._settings = msgspec.structs.replace(
            settings, shutdown_grace_seconds=SHORT_GRACE_SECONDS
        )
        self.answer_after(0.0)
        await self.wait_for(200)
        with self.assertLogs("carobladder", "INFO") as logs:
            self.request_stop()
            await asyncio.sleep(0.1)
        (event,) = (r for r in logs.records if r.getMessage() == "draining")
        seconds = SHORT_GRACE_SECONDS - SHUTDOWN_MARGIN_SECONDS
        self.assertLessEqual(event.notice_seconds, seconds + ROUNDING_SECONDS)

    # Guards against a process that is killed in the middle of its drain.
    async def test_notice_ends_with_the_grace_time(self):
        self.answer_after(0.0)
        await self.wait_for(200)
        began = self.clock.monotonic()
        self.request_stop(OLD_SIGNAL_SECONDS)
        async with asyncio.timeout(END_SECONDS):
            await self.task
        self.assertLess(
            self.clock.monotonic() - began, GRACE_SECONDS - OLD_SIGNAL_SECONDS
        )


if __name__ == "__main__":
    unittest.main()
