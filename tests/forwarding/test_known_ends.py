"""Tests of requests that are judged by the known end of their instance."""

import asyncio
import unittest

from carobladder.gateway.ports import ServerEnd
from tests.forwarding.fixtures import Instance, build_request, build_response
from tests.forwarding.test_handler import NOT_RUN, ForwardingTest, echo

# Each request could end before the instance if it took as long as the one before it
# seemed to take, and its own limit of 2 s ends later.
LEFT_SECONDS = 0.8
WORK_SECONDS = 1.2
LEAVES_AFTER_SECONDS = 1.0


async def work(request: bytes, writer: asyncio.StreamWriter) -> None:
    """Answer after a time that is longer than what is left."""
    await asyncio.sleep(WORK_SECONDS)
    writer.write(build_response(request, b"done"))


async def refuse(request: bytes, writer: asyncio.StreamWriter) -> None:
    """Refuse the request at once, as a busy target does."""
    writer.write(build_response(request, b"", "503 Busy", f"{NOT_RUN}\r\n"))


class JudgedDurationTest(ForwardingTest):
    """Guard against requests that are sent although the known end will cut them."""

    def begin_drain(self, instance: Instance, notice: float = LEFT_SECONDS) -> None:
        """Tell the instance an end, and a notice, by default one that lasts as long."""
        now = instance.clock.monotonic()
        instance.server.begin_drain(ServerEnd(now + LEFT_SECONDS, now + notice))

    async def check_refused(self, instance: Instance) -> None:
        """Check that a request of the drain is refused and not sent."""
        self.targets[0]._script = work
        before = self.count_requests()
        status, headers, _ = await instance.call("/unsafe/x")
        self.assertEqual((status, self.count_requests() - before), (503, 0))
        self.assertIn("retry-after", headers)

    # Guards against a refusal that counts as the duration of a request.
    async def test_route_with_refusals_alone_has_no_known_duration(self):
        instance = await self.start(refuse)
        status, _, _ = await instance.call("/unsafe/x")
        self.assertEqual(status, 503)
        self.begin_drain(instance)
        await self.check_refused(instance)

    # Guards against long requests that are not known, as their callers left them.
    async def test_request_that_its_caller_left_counts_with_its_time(self):
        instance = await self.start(echo)
        self.assertEqual((await instance.call("/unsafe/x"))[0], 200)
        self.targets[0]._script = work
        _, writer = await instance.connect()
        writer.write(build_request("/unsafe/x"))
        await asyncio.sleep(LEAVES_AFTER_SECONDS)
        writer.close()
        await asyncio.sleep(0.05)
        self.begin_drain(instance)
        await self.check_refused(instance)

    # Guards against long requests that are not known, as none has ended yet.
    async def test_request_that_still_runs_counts_with_its_time(self):
        instance = await self.start(echo)
        self.assertEqual((await instance.call("/unsafe/x"))[0], 200)
        self.targets[0]._script = work
        running = asyncio.create_task(instance.call("/unsafe/x"))
        await asyncio.sleep(LEAVES_AFTER_SECONDS)
        self.begin_drain(instance)
        await self.check_refused(instance)
        await running

    # Guards against requests that are taken at a risk once callers are sent elsewhere.
    async def test_quick_route_is_refused_after_the_notice(self):
        instance = await self.start(echo)
        self.assertEqual((await instance.call("/unsafe/x"))[0], 200)
        self.begin_drain(instance, notice=0.0)
        await self.check_refused(instance)

    async def test_request_whose_route_answers_in_time_is_sent(self):
        instance = await self.start(echo)
        self.assertEqual((await instance.call("/unsafe/x"))[0], 200)
        self.begin_drain(instance)
        self.assertEqual((await instance.call("/unsafe/x"))[0], 200)


if __name__ == "__main__":
    unittest.main()
