"""Tests of late calls that get no copy."""

import asyncio
import unittest
from unittest import mock

from carobladder.quarantine import (
    PartQuarantine,
    QuarantineDecision,
    compute_part_tags,
)
from carobladder.routing import Configuration, RouteTable
from tests.forwarding.hedgedinstances import (
    HedgedInstance,
    LateTarget,
    render_metrics,
)
from tests.support.looptime import in_virtual_time


class WithholdTest(unittest.TestCase):
    """Guard against copies that must not be sent."""

    async def check_no_copy(self, fleet, change, reason: str, path="/safe/x", **fields):
        """Check that a change before the delay withholds the copy."""
        async with fleet as instance:
            call = asyncio.create_task(instance.call(path, b"a", **fields))
            await asyncio.sleep(0.05)
            change(instance)
            status, _, _ = await call
            self.assertEqual((status, fleet.count_requests()), (200, 1))
            self.assertEqual(fleet.sent, [])
            if reason:
                expected = f'copies_withheld_total{{reason="{reason}"}} 1.0'
                self.assertIn(expected, render_metrics(instance))

    def build(self, **changes) -> HedgedInstance:
        """Return a fleet whose first target answers late."""
        return HedgedInstance(LateTarget(0.4), LateTarget(0.0), **changes)

    @in_virtual_time
    async def test_share_of_zero_sends_no_copy_and_takes_the_path_of_a_plain_send(self):
        def fail(*args):
            raise AssertionError("a race was started")

        with mock.patch("carobladder.forwarding.calls.SendRace", fail):
            await self.check_no_copy(self.build(hedge_share=0.0), lambda i: None, "")

    @in_virtual_time
    async def test_requests_that_run_once_get_no_copy(self):
        for path in ("/unsafe/x", "/open/x"):
            await self.check_no_copy(self.build(), lambda i: None, "", path)

    @in_virtual_time
    async def test_drain_withholds_the_copy(self):
        await self.check_no_copy(
            self.build(), lambda i: i.server.begin_drain(), "configuration"
        )

    @in_virtual_time
    async def test_new_configuration_or_revoked_key_withholds_the_copy(self):
        def revoke(instance):
            before = instance.table.configuration
            instance.table = RouteTable(
                Configuration(2, before.routes, before.services, ())
            )

        await self.check_no_copy(self.build(), revoke, "configuration")

    @in_virtual_time
    async def test_outdated_knowledge_of_keys_withholds_the_copy(self):
        def outdate(instance):
            instance.freshness._synced_at -= 5.0

        await self.check_no_copy(self.build(), outdate, "configuration")

    @in_virtual_time
    async def test_leaving_target_gets_no_copy(self):
        await self.check_no_copy(
            self.build(), lambda i: i.targets.find("i-1").note_leaving(), "no target"
        )

    @in_virtual_time
    async def test_spent_budget_withholds_the_copy(self):
        def spend(instance):
            while instance.budget.withdraw_copy():
                pass

        await self.check_no_copy(self.build(), spend, "budget")

    @in_virtual_time
    async def test_copy_is_sent_once_the_reason_against_it_has_passed(self):
        fleet = HedgedInstance(LateTarget(1.0), LateTarget(0.0, b"fast"))
        async with fleet as instance:
            while instance.budget.withdraw_copy():
                pass
            call = asyncio.create_task(instance.call("/safe/x", b"a"))
            await asyncio.sleep(0.3)
            self.assertEqual(fleet.sent, [])
            for _ in range(20):
                instance.budget.record_request()
            _, _, body = await call
            self.assertEqual((body, fleet.outcomes), (b"fast", ["won"]))
            self.assertLess(fleet.sent[0].waited_seconds, 0.4)

    @in_virtual_time
    async def test_blocked_event_loop_withholds_the_copy(self):
        fleet = HedgedInstance(LateTarget(0.25), LateTarget(0.0))
        await self.check_no_copy(
            fleet,
            lambda i: asyncio.get_running_loop().hold(0.15),
            "event loop blocked",
        )

    @in_virtual_time
    async def test_suspected_part_of_a_prompt_withholds_the_copy(self):
        def suspect(instance):
            now = instance.clock.boottime()
            (part,) = compute_part_tags("stock", ("aa",))
            instance.quarantine.note_crash(7, [part], (), now, now)

        fields = {"Carobladder_Prompt_Prefix": "aa:800,bb:410"}
        await self.check_no_copy(self.build(), suspect, "prompt part", **fields)

    @in_virtual_time
    async def test_trial_of_a_held_part_gets_no_copy(self):
        fleet = self.build()
        decision = QuarantineDecision(trial_until=float("inf"))
        trial = mock.patch.object(PartQuarantine, "decide", return_value=decision)
        fields = {"Carobladder_Prompt_Prefix": "aa:800,bb:410"}
        with trial:
            await self.check_no_copy(fleet, lambda i: None, "prompt part", **fields)

    @in_virtual_time
    async def test_target_that_goes_while_the_copy_connects_gets_no_copy(self):
        fleet = HedgedInstance(LateTarget(0.6), LateTarget(0.0))
        async with fleet as instance:
            client_open = instance.client.open

            async def open_slowly(*args, confirm, **options):
                if args[1] == fleet.targets[1].server.address:
                    await asyncio.sleep(0.1)
                    instance.targets.set_emptied("dc-1", True)
                return await client_open(*args, confirm=confirm, **options)

            instance.client.open = open_slowly
            status, _, _ = await instance.call("/safe/x", b"a")
            self.assertEqual((status, fleet.count_requests()), (200, 1))
            self.assertEqual(fleet.outcomes, ["failed"])
            self.assertEqual(fleet.count_in_flight(), [0, 0])
