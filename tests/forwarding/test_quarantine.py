"""Tests of requests with parts that crash targets, at one instance."""

import asyncio
from unittest import mock

from carobladder.quarantine import compute_part_tags
from tests.forwarding.fixtures import build_target
from tests.forwarding.test_attempt_log import (
    break_off_after_event,
    break_off_at_head,
)
from tests.forwarding.test_handler import ForwardingTest, echo, reset_connection
from tests.forwarding.test_outcomes import send_stream

PROMPT = "aa:800,bb:410,cc:250"
FIRST, SECOND, LAST = compute_part_tags("stock", ("aa", "bb", "cc"))
EVENT_GAP_SECONDS = 0.005
# Longer than the checks of a target whose answer broke off.
CHECK_SECONDS = 0.6


class QuarantineTest(ForwardingTest):
    """Guard against targets that end one after the other by requests of one kind."""

    def hold(self, part: int) -> None:
        """Let an instance know of three crashes with a part."""
        now = self.instance.clock.boottime()
        for number in range(3):
            at = now - 3.0 + number
            self.instance.quarantine.note_crash(number, [part], (), at, now)

    async def start_with_prompt(self, *scripts) -> None:
        self.instance = await self.start(*scripts)

    async def call(self, path: str, prompt: str = PROMPT):
        return await self.instance.call(path, Carobladder_Prompt_Prefix=prompt)

    async def test_request_with_a_held_part_is_refused_with_a_true_time(self):
        await self.start_with_prompt(echo)
        self.hold(SECOND)
        status, headers, body = await self.call("/stream/x")
        self.assertEqual(status, 503)
        self.assertIn(b"prompt_quarantined", body)
        self.assertIn(b"part bb", body)
        # Any earlier retry would be refused too.
        self.assertGreater(float(headers["retry-after"]), 13.0)
        self.assertEqual(self.count_requests(), 0)

    async def test_last_part_is_never_held(self):
        await self.start_with_prompt(send_stream(EVENT_GAP_SECONDS))
        self.hold(LAST)
        status, _, _ = await self.call("/stream/x")
        self.assertEqual(status, 200)

    async def test_part_of_another_service_is_not_held(self):
        await self.start_with_prompt(send_stream(EVENT_GAP_SECONDS))
        self.hold(compute_part_tags("other", ("aa",))[0])
        status, _, _ = await self.call("/stream/x")
        self.assertEqual(status, 200)

    async def test_part_held_while_connecting_is_not_sent(self):
        """A permission from before the connection was made may have run out."""
        await self.start_with_prompt(echo)
        client = self.instance.client
        connect = client._connect

        async def connect_late(address: str, deadline: float):
            connection = await connect(address, deadline)
            self.hold(FIRST)
            return connection

        with mock.patch.object(client, "_connect", connect_late):
            status, _, _ = await self.call("/unsafe/x")
        self.assertEqual(status, 503)
        self.assertEqual(self.count_requests(), 0)

    async def test_trial_is_not_sent_once_its_time_is_over(self):
        """An instance that was paused must not use a permission that has run out."""
        await self.start_with_prompt(echo)
        self.hold(FIRST)
        clock = self.instance.clock
        # The quarantine has ended, and this instance has the turn for the trial.
        self.instance.quarantine._holds.find(FIRST).until = clock.boottime() - 0.6
        connect = self.instance.client._connect
        boottime = clock.boottime

        async def connect_late(address: str, deadline: float):
            connection = await connect(address, deadline)
            clock.boottime = lambda: boottime() + 10.0
            return connection

        with mock.patch.object(self.instance.client, "_connect", connect_late):
            status, _, _ = await self.call("/unsafe/x")
        self.assertEqual((status, self.count_requests()), (503, 0))

    async def test_trial_is_sent(self):
        await self.start_with_prompt(echo)
        self.hold(FIRST)
        now = self.instance.clock.boottime()
        self.instance.quarantine._holds.find(FIRST).until = now - 0.6
        status, _, _ = await self.call("/unsafe/x")
        self.assertEqual((status, self.count_requests()), (200, 1))
        self.assertEqual(self.instance.quarantine.count_held(), 0)

    async def test_suspect_of_two_crashes_is_not_sent_again(self):
        await self.start_with_prompt(break_off_at_head, break_off_at_head)
        now = self.instance.clock.boottime()
        self.instance.quarantine.note_crash(1, [FIRST], (), now, now)
        status, _, _ = await self.call("/resumable/x")
        self.assertEqual(status, 502)
        self.assertEqual(self.count_requests(), 1)
        # A repeat that is not sent leaves the retry budget to others.
        self.assertEqual(self.instance.budget.available_retries, 10.0)

    async def test_suspect_of_one_crash_is_sent_again(self):
        await self.start_with_prompt(break_off_at_head, break_off_at_head)
        await self.call("/resumable/x")
        self.assertEqual(self.count_requests(), 2)

    async def test_request_that_only_waited_is_sent_again(self):
        await self.start_with_prompt(reset_connection, reset_connection)
        now = self.instance.clock.boottime()
        self.instance.quarantine.note_crash(1, [FIRST], (), now, now)
        await self.call("/resumable/x")
        self.assertEqual(self.count_requests(), 2)

    async def test_target_that_still_accepts_connections_has_not_crashed(self):
        """Broken connections alone say nothing about what they carried."""
        await self.start_with_prompt(break_off_at_head)
        with mock.patch.object(self.instance.quarantine, "note_crash") as note_crash:
            await self.call("/stream/x")
            await asyncio.sleep(CHECK_SECONDS)
        note_crash.assert_not_called()

    async def end_during_call(self, script=break_off_at_head, **changes: object):
        """Let a target end while it answers; return the mock of the noted crash."""

        async def end(request: bytes, writer: asyncio.StreamWriter) -> None:
            self.targets[0].server._server.close()
            await script(request, writer)

        await self.start_with_prompt(end)
        entry = build_target("i-0", self.targets[0].server.address)
        with mock.patch.object(self.instance.quarantine, "note_crash") as note_crash:
            call = asyncio.create_task(self.call("/stream/x"))
            while not self.targets[0].requests:
                await asyncio.sleep(0.001)
            if changes:
                changed = build_target(entry.target_id, entry.address, **changes)
                self.instance.targets.apply(changed, self.instance.clock.monotonic())
            await call
            await asyncio.sleep(CHECK_SECONDS)
        return note_crash

    async def test_target_that_ends_has_crashed(self):
        note_crash = await self.end_during_call()
        (_, begun, others, _, _), _ = note_crash.call_args
        self.assertEqual((begun, others), ({FIRST, SECOND}, set()))

    async def test_stream_with_events_is_weaker_evidence(self):
        note_crash = await self.end_during_call(break_off_after_event)
        (_, begun, others, _, _), _ = note_crash.call_args
        self.assertEqual((begun, others), (set(), {FIRST, SECOND}))

    async def test_stream_that_goes_on_clears_its_parts_before_its_end(self):
        """Few long streams are whole while targets crash again and again."""
        await self.start_with_prompt(send_stream(0.15, 40))
        now = self.instance.clock.boottime()
        quarantine = self.instance.quarantine
        quarantine.note_crash(1, [FIRST], (), now, now)
        call = asyncio.create_task(self.call("/stream/x"))
        async with asyncio.timeout(5.0):
            while not quarantine.may_repeat([FIRST], 2):
                await asyncio.sleep(0.01)
        self.assertFalse(call.done())
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)

    async def test_planned_end_is_no_crash(self):
        note_crash = await self.end_during_call(draining=True)
        note_crash.assert_not_called()

    async def test_whole_answer_clears_its_parts(self):
        await self.start_with_prompt(send_stream(EVENT_GAP_SECONDS))
        now = self.instance.clock.boottime()
        self.instance.quarantine.note_crash(1, [FIRST], (), now, now)
        await self.call("/stream/x")
        self.assertTrue(self.instance.quarantine.may_repeat([FIRST], 2))
