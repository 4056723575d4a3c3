"""Tests of the duties of a fleet under faults, on a virtual clock."""

import asyncio
import unittest

from tests.entry.duty_simulation import TIMES, DutyFleet

SIZE = 8
START_SECONDS = 14.0


class DutyFaultTest(unittest.IsolatedAsyncioTestCase):
    """Guard against reports that contradict, are missing, late or wrong."""

    async def asyncSetUp(self):
        self.fleet = None
        # The debug mode of the loop, which counts slow callbacks, doubles the time.
        asyncio.get_running_loop().set_debug(False)

    async def asyncTearDown(self):
        if self.fleet is not None:
            await self.fleet.stop()

    async def start(self, seed: int, steps=None) -> DutyFleet:
        fleet = DutyFleet(SIZE, seed, steps)
        if self.fleet is not None:
            await self.fleet.stop()
        self.fleet = fleet
        await fleet.run(START_SECONDS + seed % 5 + 0.37 * seed)
        self.assertEqual(len(fleet.list_holders()), 1)
        self.first = min(fleet.cloud.usage)
        return fleet

    def check(self, fleet: DutyFleet, *, missing: int = 0, error: float = 0.0) -> None:
        self.assertEqual(fleet.cloud.violations, [])
        self.assertLessEqual(len(fleet.find_missing(self.first)), missing)
        wrong = {w: e for w, e in fleet.find_errors().items() if e > error}
        self.assertEqual(wrong, {})
        self.assertLess(max(fleet.lateness.values()), TIMES.late_seconds)

    async def test_calm_fleet_reports_exactly_and_soon_with_one_call_a_window(self):
        fleet = await self.start(0)
        calls, windows = fleet.store_calls, len(fleet.cloud.usage)
        await fleet.run(40.0)
        self.check(fleet)
        later = sorted(fleet.lateness)[2:]
        self.assertLess(max(fleet.lateness[window] for window in later), 1.5)
        reported = len(fleet.cloud.usage) - windows
        self.assertLessEqual(fleet.store_calls - calls, reported + 1)

    async def test_killed_holder_is_replaced_before_a_window_is_late(self):
        for seed in range(1, 7):
            with self.subTest(seed=seed):
                fleet = await self.start(seed)
                fleet.list_holders()[0].kill()
                await fleet.run(25.0)
                # The counts of the killed instance are lost.
                self.check(fleet, error=0.13)

    async def test_paused_holder_sends_nothing_after_its_successor(self):
        for seed in range(1, 5):
            with self.subTest(seed=seed):
                fleet = await self.start(seed)
                holder = fleet.list_holders()[0]
                pause = 2.0 + 1.5 * seed
                holder.clock.paused_until = fleet.clock.boottime() + pause
                await fleet.run(30.0)
                self.check(fleet, error=0.13)
                self.assertEqual(len(fleet.list_holders()), 1)

    async def test_stopped_holder_hands_over_within_a_second(self):
        for seed in range(1, 5):
            with self.subTest(seed=seed):
                fleet = await self.start(seed)
                holder = fleet.list_holders()[0]
                await self.release(fleet, holder)
                await fleet.run(1.2)
                (successor,) = fleet.list_holders()
                self.assertIsNot(successor, holder)
                self.assertTrue(successor.lease.is_ready(fleet.clock.boottime()))
                await fleet.run(20.0)
                self.check(fleet)

    async def release(self, fleet, member) -> None:
        fleet._spawn(member.keeper.release())
        await fleet.run(0.2)

    async def test_holder_cut_off_from_the_store_stops_to_act(self):
        fleet = await self.start(3)
        holder = fleet.list_holders()[0]
        holder.topic.is_cut_off = True
        await fleet.run(4.0)
        calls = len(fleet.cloud.calls)
        await fleet.run(20.0)
        self.assertEqual(fleet.cloud.violations, [])
        later = [call.holder for call in fleet.cloud.calls[calls:]]
        self.assertNotIn(holder.name, later)

    async def test_store_outage_delays_reports_only(self):
        for seed in range(1, 4):
            with self.subTest(seed=seed):
                fleet = await self.start(seed)
                fleet.store.silent = True
                await fleet.run(3.0)
                calls = len(fleet.cloud.calls)
                await fleet.run(2.0)
                self.assertEqual(len(fleet.cloud.calls), calls)
                fleet.store.silent = False
                await fleet.run(20.0)
                self.check(fleet)

    async def test_api_that_limits_or_fails_gets_the_same_counts_later(self):
        for status in (429, 503):
            with self.subTest(status=status):
                fleet = await self.start(2)
                fleet.cloud.refuse_status = status
                await fleet.run(6.0)
                fleet.cloud.refuse_status = None
                await fleet.run(20.0)
                self.check(fleet)

    async def test_lost_messages_delay_counts_only(self):
        fleet = await self.start(4)
        fleet.lost_part = 0.3
        await fleet.run(40.0)
        self.check(fleet)

    async def test_stepped_clock_does_not_move_counts(self):
        fleet = await self.start(5)
        for index, step in enumerate((3.0, -4.0, 2.0)):
            fleet.members[index].clock.step_seconds = step
        await fleet.run(30.0)
        self.check(fleet)

    async def test_instances_that_start_with_a_stepped_clock_follow_the_fleet(self):
        """The first candidate would else record windows before they have ended.

        Until it has heard of the others, the first three windows may be wrong.
        """
        for step in (7.0, -6.0):
            with self.subTest(step=step):
                fleet = await self.start(6, {0: step, 4: -step})
                await fleet.run(30.0)
                self.first += 3
                self.assertEqual(fleet.cloud.violations, [])
                self.assertEqual(fleet.find_missing(self.first), [])
                errors = fleet.find_errors()
                wrong = [w for w, e in errors.items() if e > TIMES.tolerance]
                self.assertEqual([w for w in wrong if w >= self.first], [])

    async def test_restored_store_costs_a_few_windows_at_most(self):
        for seed in range(1, 7):
            with self.subTest(seed=seed):
                fleet = await self.start(seed)
                copy = fleet.store.state.take_copy()
                await fleet.run(4.0 + 2.0 * seed)
                fleet.store.state.restore(copy)
                await fleet.run(0.3)
                for member in fleet.members:
                    member.eras.note(fleet.store.state.era)
                await fleet.run(30.0)
                self.check(fleet, missing=2)
                self.assertEqual(len(fleet.list_holders()), 1)
