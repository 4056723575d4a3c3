"""Tests of targets that announce in a response that they leave or need a pause."""

import asyncio
import dataclasses
import json
import unittest
from unittest import mock

from carobladder.forwarding import sends
from carobladder.telemetry import TargetLeaving, TargetPaused
from tests.forwarding.fixtures import (
    Instance,
    ScriptedTarget,
    build_response,
    build_target,
)
from tests.forwarding.test_handler import ForwardingTest, echo, respond_with_status

LEAVING = "Server-Leaving: 1\r\n"
NOT_RUN = "Carobladder-Not-Executed: 1\r\n"


def respond_leaving(status: str = "200 OK"):
    """Return a script that announces in each response that the target leaves."""

    async def script(request: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(build_response(request, b"last", status, LEAVING))

    return script


def respond_with_pause(seconds: str, status: str = "503 Service Unavailable"):
    """Return a script that refuses each request and asks for a pause."""
    return respond_with_status(status, f"{NOT_RUN}Retry-After: {seconds}\r\n")


class LeavingTargetTest(ForwardingTest):
    """Guard against requests to a target that has announced that it leaves."""

    async def start_leaving(self) -> tuple[Instance, ScriptedTarget, ScriptedTarget]:
        """Return an instance, a target that has announced leaving, and another one."""
        instance = await self.start(respond_leaving(), echo)
        leaving, staying = self.targets
        while not leaving.requests:
            await instance.call("/safe/x")
        return instance, leaving, staying

    async def test_leaving_target_gets_no_more_requests(self):
        instance, leaving, staying = await self.start_leaving()
        before = len(staying.requests)
        for _ in range(10):
            status, _, body = await instance.call("/unsafe/x")
            self.assertEqual((status, body), (200, b"none"))
        self.assertEqual(len(leaving.requests), 1)
        self.assertEqual(len(staying.requests), before + 10)

    async def test_ready_entry_in_the_store_does_not_override_leaving(self):
        instance, leaving, _ = await self.start_leaving()
        entry = build_target("i-0", leaving.server.address)
        instance.targets.apply(dataclasses.replace(entry, cold_seconds=1.0), 5.0)
        for _ in range(5):
            await instance.call("/safe/x")
        self.assertEqual(len(leaving.requests), 1)

    async def test_entry_that_expired_and_returned_does_not_override_leaving(self):
        instance, leaving, _ = await self.start_leaving()
        instance.targets.discard("i-0")
        instance.targets.apply(build_target("i-0", leaving.server.address), 5.0)
        for _ in range(5):
            await instance.call("/safe/x")
        self.assertEqual(len(leaving.requests), 1)

    async def test_restarted_target_with_the_same_id_gets_requests(self):
        instance, leaving, _ = await self.start_leaving()
        entry = build_target("i-0", leaving.server.address)
        instance.targets.apply(dataclasses.replace(entry, started_ms=2), 5.0)
        for _ in range(20):
            await instance.call("/safe/x")
        self.assertEqual(len(leaving.requests), 2)

    async def test_service_whose_targets_all_leave_gets_503(self):
        instance = await self.start(respond_leaving())
        status, _, _ = await instance.call("/unsafe/x")
        self.assertEqual(status, 200)
        status, headers, _ = await instance.call("/unsafe/x")
        self.assertEqual(status, 503)
        self.assertIn("retry-after", headers)
        self.assertEqual(self.count_requests(), 1)

    async def test_leaving_header_of_a_misdirected_response_is_ignored(self):
        instance = await self.start(respond_leaving("421 Misdirected Request"))
        with mock.patch.object(sends, "emit") as emit:
            await instance.call("/unsafe/x")
        self.assertFalse(instance.targets.find("i-0").leaving)
        events = [call.args[0] for call in emit.call_args_list]
        self.assertFalse([e for e in events if isinstance(e, TargetLeaving)])

    async def test_leaving_is_logged_once_with_the_request_id(self):
        instance = await self.start(respond_leaving(), respond_leaving())
        with mock.patch.object(sends, "emit") as emit:
            for _ in range(4):
                await instance.call("/unsafe/x")
        events = [call.args[0] for call in emit.call_args_list]
        leaving = [event for event in events if isinstance(event, TargetLeaving)]
        self.assertEqual({event.target for event in leaving}, {"i-0", "i-1"})
        self.assertEqual([event.request_id for event in leaving], ["ab12", "ab12"])


class PausedTargetTest(ForwardingTest):
    """Guard against requests to a target that has asked for a pause."""

    async def test_paused_target_gets_no_requests(self):
        instance = await self.start(respond_with_pause("30"), echo)
        paused, _ = self.targets
        while not paused.requests:
            await instance.call("/safe/x")
        for _ in range(20):
            status, _, _ = await instance.call("/safe/x")
            self.assertEqual(status, 200)
        self.assertEqual(len(paused.requests), 1)

    async def test_target_gets_requests_after_its_pause(self):
        instance = await self.start(respond_with_pause("0.6"))
        for _ in range(3):
            status, _, _ = await instance.call("/unsafe/x")
            self.assertEqual(status, 503)
        self.assertEqual(self.count_requests(), 1)
        await asyncio.sleep(0.7)
        await instance.call("/unsafe/x")
        self.assertEqual(self.count_requests(), 2)

    async def test_all_targets_paused_gets_503_with_the_shortest_pause(self):
        instance = await self.start(respond_with_pause("30"), respond_with_pause("7"))
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

    async def test_implausible_pauses_are_bounded(self):
        for text, least, most in (
            ("-5", 0.0, 0.0),
            ("1e300", 30.0, 60.0),
            ("nan", 0.0, 0.0),
            ("inf", 0.0, 0.0),
            ("soon", 0.0, 0.0),
            ("Fri, 04 Dec 2026 10:00:00 GMT", 0.0, 0.0),
        ):
            with self.subTest(text=text):
                instance = await self.start(respond_with_pause(text))
                await instance.call("/unsafe/x")
                target = instance.targets.find("i-0")
                remaining = target.read_pause(instance.clock.monotonic())
                self.assertTrue(least <= remaining <= most, remaining)

    async def test_retry_after_counts_only_in_a_refusal(self):
        instance = await self.start(
            respond_with_pause("5", "200 OK"), respond_with_pause("5", "500 Broken")
        )
        await instance.call("/safe/x")
        await instance.call("/safe/x")
        for target in instance.targets.list_all():
            self.assertEqual(target.read_pause(instance.clock.monotonic()), 0.0)

    async def test_later_shorter_pause_does_not_shorten_a_pause(self):
        instance = await self.start(echo)
        target = instance.targets.find("i-0")
        target.note_pause(5.0, 10.0)
        target.note_pause(1.0, 10.1)
        self.assertAlmostEqual(target.read_pause(11.0), 4.0)

    async def test_pause_is_logged_with_the_request_id(self):
        instance = await self.start(respond_with_pause("5"))
        with mock.patch.object(sends, "emit") as emit:
            await instance.call("/unsafe/x")
        events = [call.args[0] for call in emit.call_args_list]
        (paused,) = [event for event in events if isinstance(event, TargetPaused)]
        self.assertEqual((paused.target, paused.request_id), ("i-0", "ab12"))


class ChangeWhileConnectingTest(ForwardingTest):
    """Guard against a send to a target that became unavailable after its selection.

    The instance may be suspended between the selection and the send.
    """

    async def send_while_connecting(self, announce) -> None:
        """Call ``announce`` for the first target during each connection to it."""
        instance = await self.start(echo, echo)
        self.table = instance.targets
        first = instance.targets.list_all()[0]
        connect = instance.client._connect

        async def connect_slowly(address: str, deadline: float):
            connection = await connect(address, deadline)
            if address == first.entry.address:
                announce(first, instance.clock.monotonic())
            return connection

        with mock.patch.object(instance.client, "_connect", connect_slowly):
            for _ in range(6):
                status, _, _ = await instance.call("/unsafe/x")
                self.assertEqual(status, 200)
        self.assertEqual(self.targets[0].requests, [])
        self.assertEqual(first.health.failures, 0)

    async def test_target_that_starts_leaving_gets_no_request(self):
        await self.send_while_connecting(lambda target, now: target.note_leaving())

    async def test_target_that_requests_a_pause_gets_no_request(self):
        await self.send_while_connecting(
            lambda target, now: target.note_pause(30.0, now)
        )

    # Guards against a request to a target that leaves without saying so.
    async def test_target_whose_entry_is_removed_gets_no_request(self):
        await self.send_while_connecting(
            lambda target, now: self.table.drop(target.target_id, now)
        )

    # Guards against a request to a data centre that operators have closed.
    async def test_target_of_a_data_centre_that_is_closed_gets_no_request(self):
        await self.send_while_connecting(self.close_data_centre)

    # Guards against a request that counts for the run before a restart.
    async def test_target_that_restarts_gets_no_request_of_its_earlier_run(self):
        def restart(target, now):
            if target.entry.started_ms == 1 and self.table.find("i-0") is target:
                entry = dataclasses.replace(target.entry, started_ms=2, draining=True)
                self.table.apply(entry, now)

        await self.send_while_connecting(restart)

    def close_data_centre(self, target, now):
        """Move the target to a data centre of its own and close that."""
        entry = dataclasses.replace(target.entry, data_centre="dc-2")
        self.table.apply(entry, now)
        self.table.set_emptied("dc-2", True)


if __name__ == "__main__":
    unittest.main()
