"""Tests of what targets ask for in their answers: no requests for a time, or ever."""

import asyncio
import dataclasses
import json
import unittest
from unittest import mock

from carobladder.forwarding import sends
from carobladder.telemetry import TargetLeaving, TargetPaused
from tests.forwarding.fixtures import Instance, Target, answer, build_target
from tests.forwarding.test_handler import ForwardingTest, echo, refuse

LEAVING = "Server-Leaving: 1\r\n"
NOT_RUN = "Carobladder-Not-Executed: 1\r\n"


def leave(status: str = "200 OK"):
    """Return a script of a target that says in its answers that it leaves."""

    async def script(request: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(answer(request, b"last", status, LEAVING))

    return script


def pause(seconds: str, status: str = "503 Service Unavailable"):
    """Return a script of a target that refuses and asks for a pause."""
    return refuse(status, f"{NOT_RUN}Retry-After: {seconds}\r\n")


class LeavingTargetTest(ForwardingTest):
    """Guard against requests to a target that has said that it leaves."""

    async def start_leaving(self) -> tuple[Instance, Target, Target]:
        """Return an instance that one of its two targets told that it leaves."""
        instance = await self.start(leave(), echo)
        leaving, staying = self.targets
        while not leaving.requests:
            await instance.call("/safe/x")
        return instance, leaving, staying

    async def test_target_that_says_so_gets_no_more_requests(self):
        instance, leaving, staying = await self.start_leaving()
        before = len(staying.requests)
        for _ in range(10):
            status, _, body = await instance.call("/unsafe/x")
            self.assertEqual((status, body), (200, b"none"))
        self.assertEqual(len(leaving.requests), 1)
        self.assertEqual(len(staying.requests), before + 10)

    async def test_entry_of_the_store_that_says_ready_does_not_undo_it(self):
        instance, leaving, _ = await self.start_leaving()
        entry = build_target("i-0", leaving.server.address)
        instance.targets.apply(dataclasses.replace(entry, cold_seconds=1.0), 5.0)
        for _ in range(5):
            await instance.call("/safe/x")
        self.assertEqual(len(leaving.requests), 1)

    async def test_entry_that_lapsed_while_the_store_was_away_does_not_undo_it(self):
        instance, leaving, _ = await self.start_leaving()
        instance.targets.discard("i-0")
        instance.targets.apply(build_target("i-0", leaving.server.address), 5.0)
        for _ in range(5):
            await instance.call("/safe/x")
        self.assertEqual(len(leaving.requests), 1)

    async def test_new_run_under_the_same_id_is_another_target(self):
        instance, leaving, _ = await self.start_leaving()
        entry = build_target("i-0", leaving.server.address)
        instance.targets.apply(dataclasses.replace(entry, started_ms=2), 5.0)
        for _ in range(20):
            await instance.call("/safe/x")
        self.assertEqual(len(leaving.requests), 2)

    async def test_service_of_which_all_leave_is_refused(self):
        instance = await self.start(leave())
        status, _, _ = await instance.call("/unsafe/x")
        self.assertEqual(status, 200)
        status, headers, _ = await instance.call("/unsafe/x")
        self.assertEqual(status, 503)
        self.assertIn("retry-after", headers)
        self.assertEqual(self.count_requests(), 1)

    async def test_answer_of_another_target_at_the_address_says_nothing(self):
        instance = await self.start(leave("421 Misdirected Request"))
        with mock.patch.object(sends, "emit") as emit:
            await instance.call("/unsafe/x")
        self.assertFalse(instance.targets.find("i-0").leaving)
        events = [call.args[0] for call in emit.call_args_list]
        self.assertFalse([e for e in events if isinstance(e, TargetLeaving)])

    async def test_it_is_logged_once_with_the_request(self):
        instance = await self.start(leave(), leave())
        with mock.patch.object(sends, "emit") as emit:
            for _ in range(4):
                await instance.call("/unsafe/x")
        events = [call.args[0] for call in emit.call_args_list]
        leaving = [event for event in events if isinstance(event, TargetLeaving)]
        self.assertEqual({event.target for event in leaving}, {"i-0", "i-1"})
        self.assertEqual([event.request_id for event in leaving], ["ab12", "ab12"])


class PausedTargetTest(ForwardingTest):
    """Guard against requests to a target that has asked for a pause."""

    async def test_target_gets_nothing_until_its_time_is_over(self):
        instance = await self.start(pause("30"), echo)
        paused, _ = self.targets
        while not paused.requests:
            await instance.call("/safe/x")
        for _ in range(20):
            status, _, _ = await instance.call("/safe/x")
            self.assertEqual(status, 200)
        self.assertEqual(len(paused.requests), 1)

    async def test_target_serves_again_when_its_time_is_over(self):
        instance = await self.start(pause("0.6"))
        for _ in range(3):
            status, _, _ = await instance.call("/unsafe/x")
            self.assertEqual(status, 503)
        self.assertEqual(self.count_requests(), 1)
        await asyncio.sleep(0.7)
        await instance.call("/unsafe/x")
        self.assertEqual(self.count_requests(), 2)

    async def test_all_paused_is_refused_with_the_shortest_time(self):
        instance = await self.start(pause("30"), pause("7"))
        status, _, _ = await instance.call("/safe/x")
        self.assertEqual(status, 503)
        self.assertEqual(self.count_requests(), 2)
        for path in ("/safe/x", "/unsafe/x"):
            status, headers, body = await instance.call(path)
            self.assertEqual(status, 503)
            self.assertGreater(float(headers["retry-after"]), 6.5)
            self.assertLess(float(headers["retry-after"]), 14.0)
            self.assertIn("targets_paused", json.dumps(json.loads(body)))
        self.assertEqual(self.count_requests(), 2)

    async def test_times_that_cannot_be_meant_are_bounded(self):
        for text, least, most in (
            ("-5", 0.0, 0.0),
            ("1e300", 30.0, 60.0),
            ("nan", 0.0, 0.0),
            ("inf", 0.0, 0.0),
            ("soon", 0.0, 0.0),
            ("Fri, 04 Dec 2026 10:00:00 GMT", 0.0, 0.0),
        ):
            with self.subTest(text=text):
                instance = await self.start(pause(text))
                await instance.call("/unsafe/x")
                target = instance.targets.find("i-0")
                left = target.read_pause(instance.clock.monotonic())
                self.assertTrue(least <= left <= most, left)

    async def test_only_a_refusal_asks_for_a_pause(self):
        instance = await self.start(pause("5", "200 OK"), pause("5", "500 Broken"))
        await instance.call("/safe/x")
        await instance.call("/safe/x")
        for target in instance.targets.list_all():
            self.assertEqual(target.read_pause(instance.clock.monotonic()), 0.0)

    async def test_shorter_time_of_a_later_refusal_does_not_end_a_pause(self):
        instance = await self.start(echo)
        target = instance.targets.find("i-0")
        target.note_pause(5.0, 10.0)
        target.note_pause(1.0, 10.1)
        self.assertAlmostEqual(target.read_pause(11.0), 4.0)

    async def test_it_is_logged_with_the_request(self):
        instance = await self.start(pause("5"))
        with mock.patch.object(sends, "emit") as emit:
            await instance.call("/unsafe/x")
        events = [call.args[0] for call in emit.call_args_list]
        (paused,) = [event for event in events if isinstance(event, TargetPaused)]
        self.assertEqual((paused.target, paused.request_id), ("i-0", "ab12"))


class LateDecisionTest(ForwardingTest):
    """Guard against a send that was decided before the target asked for none.

    The instance may have been paused between the decision and the send.
    """

    async def send_late(self, ask) -> None:
        """Let the first target ask for nothing while connections to it are made."""
        instance = await self.start(echo, echo)
        first = instance.targets.list_all()[0]
        connect = instance.client._connect

        async def connect_slowly(address: str, limit_at: float):
            connection = await connect(address, limit_at)
            if address == first.entry.address:
                ask(first, instance.clock.monotonic())
            return connection

        with mock.patch.object(instance.client, "_connect", connect_slowly):
            for _ in range(6):
                status, _, _ = await instance.call("/unsafe/x")
                self.assertEqual(status, 200)
        self.assertEqual(self.targets[0].requests, [])
        self.assertEqual(first.health.failures, 0)

    async def test_target_that_left_meanwhile(self):
        await self.send_late(lambda target, now: target.note_leaving())

    async def test_target_that_asked_for_a_pause_meanwhile(self):
        await self.send_late(lambda target, now: target.note_pause(30.0, now))


if __name__ == "__main__":
    unittest.main()
