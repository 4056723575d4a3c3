"""Tests of what a send tells about the version of its target."""

import asyncio

from carobladder.fleet import NEW_ARM, OLD_ARM, RolloutOrder
from carobladder.moves.evidence import Counts
from tests.forwarding.fixtures import (
    HOST,
    Instance,
    build_stream_head,
    build_target,
    encode_chunk,
    encode_event,
)
from tests.forwarding.test_handler import ForwardingTest, echo, stay_silent

ORDER = RolloutOrder("stock", "v2", 30.0, 5)
EVENTS = 7
USUAL_GAP_SECONDS = 0.005
SLOW_GAP_SECONDS = 0.2


def send_stream(gap_seconds: float, events: int = EVENTS, *, ends: bool = True):
    """Return a script that streams events with gaps, and may break off after them."""

    async def script(request: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(build_stream_head(request))
        for number in range(1, events + 1):
            writer.write(encode_chunk(encode_event(number)))
            await writer.drain()
            await asyncio.sleep(gap_seconds)
        if ends:
            writer.write(encode_chunk(b""))
        else:
            writer.transport.abort()

    return script


class SendOutcomeTest(ForwardingTest):
    """Guard against a faulty version whose answers look sound when they begin."""

    async def start_move(self, old, new) -> Instance:
        """Return an instance that knows the usual latencies of the old version.

        From now on only the target of the new version gets requests.
        """
        instance = await self.start(old, new)
        instance.targets.discard("i-1")
        for path in ("/stream/x", "/unsafe/x"):
            for _ in range(3):
                await instance.call(path)
        address = self.targets[1].server.address
        new_entry = build_target("i-1", address, version="v2")
        # The target started long ago, so that its first bytes count.
        instance.targets.apply(new_entry, instance.clock.monotonic() - 60.0)
        instance.targets.discard("i-0")
        instance.moves.take_order(ORDER, 0.0)
        return instance

    def count(self, instance: Instance, arm: str = NEW_ARM) -> Counts:
        """Return the sum of a version's counts over all routes."""
        counts = instance.tallies.collect().to_report("front-1").counts
        return sum((c for key, c in counts.items() if key.arm == arm), Counts())

    async def test_stream_with_slow_events_is_counted_before_its_end(self):
        instance = await self.start_move(
            send_stream(USUAL_GAP_SECONDS), send_stream(SLOW_GAP_SECONDS, 300)
        )
        call = asyncio.create_task(instance.call("/stream/x"))
        async with asyncio.timeout(10.0):
            while not self.count(instance).slow_gap:
                await asyncio.sleep(0.02)
        self.assertFalse(call.done())
        expected = Counts(requests=1, slow_gap=1, paced=1, bad=1)
        self.assertEqual(self.count(instance), expected)
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)

    async def test_stream_with_usual_events_is_not_slow(self):
        script = send_stream(USUAL_GAP_SECONDS)
        instance = await self.start_move(script, script)
        await instance.call("/stream/x")
        counts = self.count(instance)
        self.assertEqual((counts.requests, counts.errors), (1, 0))

    async def test_stream_that_breaks_off_is_one_failed_request(self):
        usual = send_stream(USUAL_GAP_SECONDS)
        broken = send_stream(USUAL_GAP_SECONDS, ends=False)
        instance = await self.start_move(usual, broken)
        await instance.call("/stream/x")
        counts = self.count(instance)
        self.assertEqual((counts.requests, counts.errors), (1, 1))

    async def test_request_that_ends_unanswered_with_its_deadline_is_slow(self):
        instance = await self.start_move(send_stream(USUAL_GAP_SECONDS), stay_silent)
        await instance.call("/stream/x", Carobladder_Deadline="1500")
        expected = Counts(requests=1, slow_first=1, bad=1)
        self.assertEqual(self.count(instance), expected)

    async def test_request_whose_caller_leaves_early_says_nothing(self):
        instance = await self.start_move(echo, stay_silent)
        route = instance.table.find_route(HOST, "/open/x")
        instance.tallies.note_answer(
            instance.targets.apply(build_target("i-9", "127.0.0.1:1"), 0.0),
            route,
            failed=False,
            first_byte_seconds=5.0,
            now=instance.clock.monotonic(),
        )
        instance.targets.discard("i-9")
        call = asyncio.create_task(instance.call("/open/x"))
        while not self.targets[1].requests:
            await asyncio.sleep(0.001)
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
        self.assertEqual(self.count(instance), Counts())

    async def test_old_version_is_counted_by_the_same_rules(self):
        instance = await self.start(send_stream(USUAL_GAP_SECONDS))
        await instance.call("/stream/x")
        instance.moves.take_order(ORDER, 0.0)
        await instance.call("/stream/x")
        self.assertEqual(self.count(instance, OLD_ARM).requests, 1)
        self.assertEqual(self.count(instance), Counts())
