"""Tests of copies of streams whose first event is late."""

import asyncio
import unittest

from tests.forwarding.fixtures import build_request, read_header
from tests.forwarding.hedgedinstances import (
    BreakingTarget,
    HedgedInstance,
    LateStream,
    LateTarget,
    set_attempts,
)
from tests.forwarding.silence import is_whole
from tests.support.looptime import in_virtual_time

REQUEST = build_request("/resumable/x", b"a")


class HedgedStreamTest(unittest.TestCase):
    """Guard against late first events, and events that are lost, mixed or repeated."""

    async def stream(self, *scripts, request: bytes = REQUEST, attempts: int = 2):
        """Return the fleet, the response to a stream and the seconds that it took."""
        fleet = HedgedInstance(*scripts)
        async with fleet as instance:
            set_attempts(instance, attempts)
            for target in instance.targets.list_all()[2:]:
                # Passed over by copies, as it is busier than the others.
                target.health.peers_in_flight = 3
            began = instance.clock.monotonic()
            response = await instance.exchange(request)
            seconds = instance.clock.monotonic() - began
            await asyncio.sleep(0.05)
            self.assertEqual(fleet.count_in_flight(), [0] * len(scripts))
        return fleet, response, seconds

    @in_virtual_time
    async def test_copy_sends_the_first_event_of_a_late_stream(self):
        slow = LateStream(1.0)
        fleet, response, seconds = await self.stream(slow, LateStream(0.02))
        self.assertTrue(is_whole(response))
        self.assertEqual(fleet.outcomes, ["won"])
        self.assertLess(seconds, 0.3)
        self.assertEqual(len(slow.closed_at), 1)

    @in_virtual_time
    async def test_stream_without_a_head_gets_a_copy_too(self):
        fleet, response, _ = await self.stream(LateTarget(1.0), LateStream(0.02))
        self.assertTrue(is_whole(response))
        self.assertEqual(fleet.outcomes, ["won"])

    @in_virtual_time
    async def test_first_event_of_the_first_send_wins(self):
        fleet, response, _ = await self.stream(LateStream(0.2), LateStream(1.0))
        self.assertTrue(is_whole(response))
        self.assertEqual(fleet.outcomes, ["lost"])

    @in_virtual_time
    async def test_stream_in_time_is_whole_without_a_copy(self):
        fleet, response, _ = await self.stream(LateStream(0.05), LateStream(0.0))
        self.assertTrue(is_whole(response))
        self.assertEqual((fleet.sent, fleet.count_requests()), ([], 1))

    @in_virtual_time
    async def test_stream_that_has_begun_at_its_caller_gets_no_copy(self):
        fleet, response, _ = await self.stream(
            LateStream(0.05, breaks_after=3), LateStream(0.4)
        )
        self.assertTrue(is_whole(response))
        self.assertEqual((fleet.sent, fleet.count_requests()), ([], 2))

    @in_virtual_time
    async def test_winner_that_breaks_off_is_resumed_while_attempts_are_left(self):
        for attempts, is_resumed in ((2, False), (3, True)):
            with self.subTest(attempts=attempts):
                slow, winner = LateStream(1.0), LateStream(0.02, breaks_after=4)
                third = LateStream(0.0)
                fleet, response, _ = await self.stream(
                    slow, winner, third, attempts=attempts
                )
                self.assertEqual(is_whole(response), is_resumed)
                self.assertEqual(fleet.count_requests(), attempts)
                self.assertEqual(fleet.outcomes, ["won"])

    @in_virtual_time
    async def test_stream_that_fails_before_its_first_event_leaves_the_copy(self):
        for first in (BreakingTarget(0.2), LateStream(0.2, breaks_after=0)):
            with self.subTest(first=first):
                fleet, response, _ = await self.stream(first, LateStream(0.3))
                self.assertTrue(is_whole(response))
                self.assertEqual(fleet.outcomes, ["won"])

    @in_virtual_time
    async def test_stream_that_runs_once_gets_no_copy(self):
        request = build_request("/stream/x", b"a")
        fleet, response, _ = await self.stream(
            LateStream(0.4), LateStream(0.0), request=request
        )
        self.assertTrue(is_whole(response))
        self.assertEqual(fleet.count_requests(), 1)

    @in_virtual_time
    async def test_event_in_parts_wins_only_once_it_is_complete(self):
        class Parts(LateStream):
            async def answer(self, request, writer):
                writer.write(b"7\r\nid: 1\nd\r\n")
                await asyncio.sleep(1.0)
                writer.write(b"c\r\nata: token 1\r\n2\r\n\n\n\r\n")

        fleet, response, _ = await self.stream(Parts(0.01), LateStream(0.1))
        self.assertTrue(is_whole(response))
        self.assertEqual(fleet.outcomes, ["won"])

    @in_virtual_time
    async def test_error_of_a_stream_is_relayed_whole(self):
        error = LateTarget(0.01, b"bad prompt", "400 Bad Request")
        fleet, response, _ = await self.stream(error, LateStream(0.1))
        self.assertIn(b" 400 ", response[:20])
        self.assertTrue(response.endswith(b"bad prompt"))
        self.assertEqual(fleet.count_requests(), 1)

    @in_virtual_time
    async def test_caller_that_leaves_before_the_first_event_ends_both(self):
        slow = LateStream(9.0), LateStream(9.0)
        fleet = HedgedInstance(*slow)
        async with fleet as instance:
            _, writer = await instance.connect()
            writer.write(REQUEST)
            await asyncio.sleep(0.4)
            self.assertEqual(fleet.count_in_flight(), [1, 1])
            left_at = instance.clock.monotonic()
            writer.close()
            await asyncio.sleep(0.5)
            self.assertEqual(fleet.count_in_flight(), [0, 0])
            for target in slow:
                self.assertLess(target.closed_at[0] - left_at, 0.5)

    @in_virtual_time
    async def test_copy_starts_the_stream_from_its_beginning(self):
        fleet, _, _ = await self.stream(LateStream(1.0), LateStream(0.02))
        (copy,) = fleet.targets[1].requests
        self.assertEqual(read_header(copy, "last-event-id"), "")
