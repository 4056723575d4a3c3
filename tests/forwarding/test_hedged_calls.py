"""Tests of copies of late calls."""

import asyncio
import unittest
from unittest import mock

from carobladder.fleet import Condition, Prediction
from tests.forwarding.fixtures import build_request, read_header
from tests.forwarding.hedgedinstances import (
    LATE_SECONDS,
    BreakingTarget,
    HedgedInstance,
    LateTarget,
    PausingTarget,
    render_metrics,
    set_attempts,
)
from tests.support.looptime import in_virtual_time


class WinnerTest(unittest.TestCase):
    """Guard against late answers while another target would answer at once."""

    @in_virtual_time
    async def test_copy_answers_a_late_call(self):
        slow, fast = LateTarget(1.0, b"slow"), LateTarget(0.02, b"fast")
        fleet = HedgedInstance(slow, fast)
        async with fleet as instance:
            status, _, body = await instance.call("/safe/x", b"a")
            self.assertEqual((status, body), (200, b"fast"))
            (sent,) = fleet.sent
            self.assertEqual((sent.first_target, sent.target), ("i-0", "i-1"))
            self.assertLess(sent.waited_seconds, LATE_SECONDS + 0.02)
            self.assertEqual(fleet.outcomes, ["won"])
            self.assertIn(
                'copies_sent_total{service="stock"} 1.0', render_metrics(instance)
            )
            self.assertIn(
                'copies_ended_total{outcome="won"} 1.0', render_metrics(instance)
            )

    @in_virtual_time
    async def test_first_send_that_answers_sooner_wins(self):
        first, other = LateTarget(0.2, b"first"), LateTarget(1.0, b"other")
        fleet = HedgedInstance(first, other)
        async with fleet as instance:
            _, _, body = await instance.call("/safe/x", b"a")
            self.assertEqual(body, b"first")
            self.assertEqual(fleet.outcomes, ["lost"])

    @in_virtual_time
    async def test_call_in_time_gets_no_copy(self):
        fleet = HedgedInstance(LateTarget(0.1), LateTarget(0.1))
        async with fleet as instance:
            for _ in range(5):
                await instance.call("/safe/x", b"a")
            self.assertEqual((fleet.count_requests(), fleet.sent), (5, []))

    @in_virtual_time
    async def test_complete_answer_wins_over_one_that_has_only_begun(self):
        fleet = HedgedInstance(PausingTarget(0.2), LateTarget(0.2, b"fast"))
        async with fleet as instance:
            _, _, body = await instance.call("/safe/x", b"a")
            self.assertEqual(body, b"fast")
            self.assertEqual(fleet.count_in_flight(), [0, 0])

    @in_virtual_time
    async def test_copy_states_its_own_target_and_the_time_left_then(self):
        fleet = HedgedInstance(LateTarget(1.0), LateTarget(0.02))
        async with fleet as instance:
            await instance.call("/safe/x", b"a", Carobladder_Deadline="1400")
            (first,), (copy,) = (target.requests for target in fleet.targets)
            self.assertEqual(read_header(copy, "carobladder-expect-instance"), "i-1")
            self.assertEqual(read_header(copy, "carobladder-tenant"), "team-1")
            left_ms = [
                int(read_header(request, "carobladder-deadline"))
                for request in (first, copy)
            ]
            self.assertAlmostEqual(left_ms[0] - left_ms[1], 150, delta=15)


class LearningTest(unittest.TestCase):
    """Guard against delays that copies shorten, so that more and more are sent."""

    @in_virtual_time
    async def test_delay_is_learned_from_requests_that_win_and_lose(self):
        fleet = HedgedInstance(LateTarget(0.3), LateTarget(0.02))
        async with fleet as instance:
            (route,) = (
                route
                for route in instance.table.configuration.routes
                if route.name == "safe"
            )
            times = mock.patch.object(instance.hedging, "note_first_byte")
            with times as note:
                await instance.call("/safe/x", b"a")
                fleet.targets[0]._script.seconds = 0.05
                await instance.call("/safe/x", b"a")
            seconds = [call.args[1] for call in note.call_args_list]
            self.assertEqual(fleet.outcomes, ["won"])
            self.assertEqual(note.call_args.args[0].route, route)
            # The copy answered after 0.02 s, but the request had waited before.
            self.assertAlmostEqual(seconds[0], LATE_SECONDS + 0.02, delta=0.02)
            self.assertAlmostEqual(seconds[1], 0.05, delta=0.02)


class LoserTest(unittest.TestCase):
    """Guard against traces of a cancelled send at its target."""

    @in_virtual_time
    async def test_loser_is_cancelled_and_says_nothing_of_its_target(self):
        slow, fast = LateTarget(1.2, b"slow"), LateTarget(0.5, b"fast")
        fleet = HedgedInstance(slow, fast)
        async with fleet as instance:
            target = instance.targets.find("i-0")
            usual_seconds = target.health.first_byte_seconds
            await instance.call("/safe/x", b"a")
            await asyncio.sleep(0.05)
            self.assertEqual(fleet.outcomes, ["won"])
            (closed_at,) = slow.closed_at
            self.assertLess(closed_at - fast.begun_at[0], 0.55)
            self.assertEqual(fleet.count_in_flight(), [0, 0])
            self.assertEqual(target.health.first_byte_seconds, usual_seconds)
            self.assertEqual(target.health.error_share, 0.0)

    @in_virtual_time
    async def test_loser_within_the_silence_timeout_is_not_suspected(self):
        fleet = HedgedInstance(LateTarget(1.2), LateTarget(0.02))
        async with fleet as instance:
            await instance.call("/safe/x", b"a")
            await asyncio.sleep(1.5)
            target = instance.targets.find("i-0")
            now = instance.clock.monotonic()
            self.assertIs(target.health.classify(now), Condition.SOUND)
            self.assertEqual(instance.reported_silent, [])
            self.assertEqual(instance.tallies.collect().to_report("front-1").counts, {})

    @in_virtual_time
    async def test_loser_is_no_evidence_whether_its_answer_had_begun_or_not(self):
        for first in (LateTarget(1.2), PausingTarget(0.2)):
            with self.subTest(first=first):
                fleet = HedgedInstance(first, LateTarget(0.1))
                async with fleet as instance:
                    await self.check_no_evidence(instance)
                    self.assertEqual(fleet.outcomes, ["won"])

    async def check_no_evidence(self, instance):
        """Check that nothing is recorded about the target of the first send."""
        target = instance.targets.find("i-0")
        target.health.error_share = 0.5
        target.health.failures = 1
        target.health.paused_until = -1.0
        before = target.health.first_byte_seconds
        prediction = Prediction(0.1, is_certain=False, usual_seconds=0.1)
        outcome = mock.Mock(is_suspect=False, target=target, prediction=prediction)
        outcomes = mock.patch(
            "carobladder.forwarding.sends.SendOutcome", return_value=outcome
        )
        unanswered = mock.patch(
            "carobladder.fleet.timeouts.RouteLatencies.note_unanswered"
        )
        with outcomes, unanswered as note_unanswered:
            call = asyncio.create_task(instance.call("/safe/x", b"a"))
            await asyncio.sleep(0.05)
            # Another request shows that the target is not silent.
            target.health.note_byte(instance.clock.monotonic())
            await call
            await asyncio.sleep(0.05)
        self.assertEqual(outcome.note_first_byte.call_count, 1)
        outcome.note_silence.assert_not_called()
        outcome.note_break.assert_not_called()
        note_unanswered.assert_not_called()
        health = target.health
        recorded = health.first_byte_seconds, health.error_share, health.failures
        self.assertEqual(recorded, (before, 0.5, 1))

    @in_virtual_time
    async def test_late_bytes_of_a_loser_reach_no_other_request(self):
        first = LateTarget(0.3, b"late")
        fleet = HedgedInstance(first, LateTarget(0.02, b"fast"))
        async with fleet as instance:
            await instance.call("/safe/x", b"a")
            first.seconds = 0.0
            first._body = b"new"
            await asyncio.sleep(0.01)
            instance.targets.discard("i-1")
            _, _, body = await instance.call("/unsafe/x", b"b")
            self.assertEqual(body, b"new")
            self.assertEqual(fleet.targets[0].server.connections, 2)

    @in_virtual_time
    async def test_loser_that_is_still_connecting_is_never_written(self):
        fleet = HedgedInstance(LateTarget(0.1), LateTarget(0.02))
        async with fleet as instance:
            client_open = instance.client.open

            async def open_slowly(*args, confirm, **options):
                if args[1] == fleet.targets[0].server.address:
                    await asyncio.sleep(0.3)
                return await client_open(*args, confirm=confirm, **options)

            instance.client.open = open_slowly
            status, _, _ = await instance.call("/safe/x", b"a")
            await asyncio.sleep(0.5)
            self.assertEqual(status, 200)
            self.assertEqual(len(fleet.targets[0].requests), 0)


class FailureTest(unittest.TestCase):
    """Guard against answers that are lost, or runs too many, when a send fails."""

    async def call(self, *scripts, path: str = "/safe/x"):
        """Return the fleet and the answer to one call."""
        fleet = HedgedInstance(*scripts)
        async with fleet as instance:
            status, _, body = await instance.call(path, b"a")
            self.in_flight = fleet.count_in_flight()
            self.metrics = render_metrics(instance)
        self.assertEqual(self.in_flight, [0] * len(scripts))
        return fleet, status, body

    @in_virtual_time
    async def test_second_send_is_awaited_after_a_500_of_the_first(self):
        error = LateTarget(0.2, b"no", "500 Oh")
        fleet, status, body = await self.call(error, LateTarget(0.4, b"good"))
        self.assertEqual((status, body), (200, b"good"))
        self.assertEqual((fleet.count_requests(), fleet.outcomes), (2, ["won"]))
        expected = 'failed_attempts_total{decision="await the other send"} 1.0'
        self.assertIn(expected, self.metrics)

    @in_virtual_time
    async def test_first_send_is_awaited_after_a_failure_of_the_copy(self):
        for copy in (
            LateTarget(0.02, b"no", "500 Oh"),
            LateTarget(0.02, b"no", "503 Busy"),
            BreakingTarget(0.02),
        ):
            with self.subTest(copy=copy):
                fleet, status, body = await self.call(LateTarget(0.6, b"good"), copy)
                self.assertEqual((status, body), (200, b"good"))
                self.assertEqual(fleet.count_requests(), 2)
                self.assertEqual(fleet.outcomes, ["failed"])

    @in_virtual_time
    async def test_two_failures_use_up_two_attempts(self):
        scripts = BreakingTarget(0.3), BreakingTarget(0.3), LateTarget(0.0)
        fleet, status, _ = await self.call(*scripts)
        self.assertEqual((status, fleet.count_requests()), (502, 2))
        self.assertEqual(fleet.outcomes, ["failed"])

    @in_virtual_time
    async def test_two_refusals_of_requests_that_did_not_run_allow_a_third_send(self):
        scripts = (
            LateTarget(0.2, b"no", "503 Busy"),
            LateTarget(0.1, b"no", "503 Busy"),
            LateTarget(0.0, b"good"),
        )
        fleet, status, body = await self.call(*scripts)
        self.assertEqual((status, body, fleet.count_requests()), (200, b"good", 3))

    @in_virtual_time
    async def test_failure_before_the_delay_is_retried_as_without_copies(self):
        scripts = BreakingTarget(0.05), LateTarget(0.4), LateTarget(0.4)
        fleet, status, _ = await self.call(*scripts)
        self.assertEqual((status, fleet.count_requests(), fleet.sent), (200, 2, []))

    @in_virtual_time
    async def test_silent_target_is_suspected_although_a_copy_is_under_way(self):
        fleet = HedgedInstance(LateTarget(9.0), LateTarget(1.2))
        async with fleet as instance:
            status, _, _ = await instance.call("/safe/x", b"a")
            self.assertEqual((status, fleet.outcomes), (200, ["won"]))
            silent = [target.target_id for target in instance.reported_silent]
            self.assertIn("i-0", silent)

    @in_virtual_time
    async def test_silent_target_is_not_left_while_a_copy_is_under_way(self):
        fleet = HedgedInstance(LateTarget(9.0), LateTarget(0.6), LateTarget(0.6))
        async with fleet as instance:
            set_attempts(instance, 3)
            status, _, _ = await instance.call("/safe/x", b"a")
            self.assertEqual((status, fleet.outcomes), (200, ["won"]))
            self.assertEqual(fleet.count_requests(), 2)
            self.assertNotIn("failed_attempts_total{", render_metrics(instance))

    @in_virtual_time
    async def test_silent_copy_is_left_once_the_first_send_has_failed(self):
        fleet = HedgedInstance(
            BreakingTarget(0.2), LateTarget(9.0), LateTarget(0.0, b"third")
        )
        async with fleet as instance:
            set_attempts(instance, 3)
            instance.targets.find("i-1").health.first_byte_seconds = 0.15
            # The third target is busy until the copy has been sent.
            third = instance.targets.find("i-2").health
            third.in_flight = 5
            call = asyncio.create_task(instance.call("/safe/x", b"a"))
            await asyncio.sleep(0.3)
            third.in_flight = 0
            status, _, body = await call
            self.assertEqual((status, body), (200, b"third"))
            self.assertEqual(fleet.count_requests(), 3)

    @in_virtual_time
    async def test_silence_of_the_copy_counts_from_its_own_send(self):
        fleet = HedgedInstance(
            BreakingTarget(0.2), LateTarget(1.0, b"copy"), LateTarget(0.0, b"third")
        )
        async with fleet as instance:
            set_attempts(instance, 3)
            instance.targets.find("i-1").health.first_byte_seconds = 0.15
            # It is heard after the middle of the call, and before that of the copy.
            third = instance.targets.find("i-2").health
            third.in_flight = 5
            call = asyncio.create_task(instance.call("/safe/x", b"a"))
            await asyncio.sleep(0.42)
            third.note_byte(instance.clock.monotonic())
            status, _, body = await call
            self.assertEqual((status, body), (200, b"copy"))
            self.assertEqual(fleet.count_requests(), 2)

    @in_virtual_time
    async def test_deadline_ends_both_sends(self):
        slow = LateTarget(9.0), LateTarget(9.0)
        fleet = HedgedInstance(*slow)
        async with fleet as instance:
            status, _, _ = await instance.call(
                "/safe/x", b"a", Carobladder_Deadline="800"
            )
            await asyncio.sleep(0.05)
            self.assertEqual((status, fleet.outcomes), (504, ["cancelled"]))
            self.assertEqual([len(target.closed_at) for target in slow], [1, 1])
            self.assertEqual(fleet.count_in_flight(), [0, 0])

    @in_virtual_time
    async def test_caller_that_leaves_ends_both_sends(self):
        slow = LateTarget(9.0), LateTarget(9.0)
        fleet = HedgedInstance(*slow)
        async with fleet as instance:
            _, writer = await instance.connect()
            writer.write(build_request("/safe/x", b"a"))
            await asyncio.sleep(0.4)
            self.assertEqual(fleet.count_in_flight(), [1, 1])
            left_at = instance.clock.monotonic()
            writer.close()
            await asyncio.sleep(0.5)
            self.assertEqual(fleet.count_in_flight(), [0, 0])
            for target in slow:
                self.assertLess(target.closed_at[0] - left_at, 0.5)
