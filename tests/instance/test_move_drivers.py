"""Tests of move drivers in virtual time: crashes, pauses, outages and races."""

import unittest

from carobladder.instance.movedriver import MoveDriver
from carobladder.moves.drivers import Driver, OrderTarget
from carobladder.resources import Catalog, MoveStep
from tests.instance.move_fleet import MoveFleet
from tests.support.virtual import settle

STATES = ("loading", "warming", "stepping", "baking")


class LeaseIgnoringRules(Driver):
    """Faulty variant that does not stop when its lease expires."""

    def may_order(self, target: OrderTarget, now: float) -> bool:
        """Allow an order even after the lease has expired."""
        return target.checks_fencing or now >= self._exclusive_from

    def may_append(self, now: float) -> bool:
        """Allow a record even after the lease has expired."""
        return bool(self.view.holder)


class LeaseIgnoringDriver(MoveDriver):
    """Faulty variant that ignores the expiry of its lease."""

    driver_type = LeaseIgnoringRules


class OutageIgnoringDriver(MoveDriver):
    """Faulty variant that always assumes the log to be available."""

    def is_log_available(self, now: float) -> bool:
        """Report the log as available even during an outage."""
        return True


class UnconditionalCatalog(Catalog):
    """Faulty variant that applies steps regardless of the revision they expect."""

    def _apply_step(self, offset: int, step: MoveStep) -> None:
        progress = self.get_progress(step.kind, step.name)
        assert progress is not None
        revised = MoveStep(
            step.change_id,
            step.who,
            step.at,
            step.kind,
            step.name,
            progress.revision,
            step.state,
            step.step,
            step.detail,
        )
        super()._apply_step(offset, revised)


async def run_with_pauses(driver_class: type[MoveDriver]) -> MoveFleet:
    """Pause drivers until their lease has expired, while a target awaits an order.

    The engines ignore fencing numbers, so that only the leases protect them.
    """
    fleet = MoveFleet(checks=[False] * 4, driver_class=driver_class)
    fleet.declare()
    for _ in range(3):
        for _ in range(120):
            if fleet.list_leaving():
                break
            await fleet.run(0.5)
        paused = fleet.owner
        fleet.pause(paused)
        # Longer than the rest of the lease, but shorter than the time for which the
        # next driver waits.
        await fleet.run(12.5)
        # The driver resumes before it has read the other driver's lease.
        fleet.resume(paused)
        await settle()
        await fleet.run(30.0)
    await fleet.run(400.0, ("finished", "taken-back"))
    return fleet


class DriverTest(unittest.IsolatedAsyncioTestCase):
    """Guard against moves without a driver or with two drivers."""

    async def test_move_to_a_good_version_finishes_and_switches_all_targets(self):
        fleet = MoveFleet()
        fleet.declare()
        state = await fleet.run(400.0, ("finished",))
        self.assertEqual(state, "finished")
        await fleet.run(60.0)
        self.assertEqual({engine.version for engine in fleet.engines.all}, {"v2"})
        model = fleet.members[1].catalog.get("model", "m").spec
        self.assertEqual(dict(model.shares), {"v2": 1.0, "v1": 0.0})
        targets = fleet.members[1].catalog.list_kind("target")
        self.assertEqual(
            {(t.spec.version, t.spec.leaving) for t in targets}, {("v2", False)}
        )

    async def test_a_crashed_driver_is_replaced_in_every_phase(self):
        for state in STATES:
            fleet = MoveFleet()
            fleet.declare()
            await fleet.run(60.0, (state,))
            crashed = fleet.owner
            crashed.crashed = True
            fleet.pause(crashed)
            ended = await fleet.run(400.0, ("finished", "taken-back"))
            self.assertEqual(ended, "finished", state)
            self.assertNotEqual(fleet.owner.name, crashed.name)

    async def test_a_driver_that_resumes_after_its_lease_sends_no_order(self):
        fleet = await run_with_pauses(MoveDriver)
        self.assertEqual(
            (fleet.progress.state, fleet.engines.stale_orders), ("finished", [])
        )

    async def test_pause_check_detects_a_driver_that_ignores_its_lease(self):
        fleet = await run_with_pauses(LeaseIgnoringDriver)
        self.assertNotEqual(fleet.engines.stale_orders, [])

    async def test_fencing_numbers_never_decrease_and_start_with_a_prefetch(self):
        fleet = MoveFleet()
        fleet.declare()
        await fleet.run(400.0, ("finished",))
        for engine in fleet.engines.all:
            for before, after in zip(engine.orders, engine.orders[1:], strict=False):
                self.assertLessEqual(before[0], after[0])
            if engine.orders:
                self.assertEqual(engine.orders[0][1], "prefetch")


class OutageTest(unittest.IsolatedAsyncioTestCase):
    """Guard against a move that continues while the log is unavailable."""

    async def run_outage(self, driver_class: type[MoveDriver]) -> tuple[MoveFleet, int]:
        """Return the fleet after an outage and the number of orders sent during it.

        Sets ``not_held`` to the number of instances that did not report the move as
        held.
        """
        fleet = MoveFleet(driver_class=driver_class)
        fleet.declare()
        await fleet.run(60.0, ("stepping",))
        fleet.log.outage = True
        await fleet.run(13.0)
        before = sum(len(engine.orders) for engine in fleet.engines.all)
        status = [m.driver.describe("version-move", "mv") for m in fleet.members]
        await fleet.run(30.0)
        sent = sum(len(engine.orders) for engine in fleet.engines.all) - before
        held = {"driver_state": "held-by-log"}
        self.not_held = sum(state != held for state in status)
        return fleet, sent

    async def test_the_move_is_held_reports_it_and_resumes(self):
        fleet, sent = await self.run_outage(MoveDriver)
        self.assertEqual((sent, self.not_held), (0, 0))
        self.assertEqual(fleet.progress.state, "stepping")
        fleet.log.outage = False
        state = await fleet.run(400.0, ("finished", "taken-back"))
        self.assertEqual(state, "finished")

    async def test_outage_check_detects_a_driver_that_ignores_the_outage(self):
        await self.run_outage(OutageIgnoringDriver)
        self.assertGreater(self.not_held, 0)


class RaceTest(unittest.IsolatedAsyncioTestCase):
    """Guard against operator changes that are ignored, reverted or applied twice."""

    async def run_race(self, catalog: type[Catalog]) -> MoveFleet:
        """Change the intent repeatedly while responses of the log are lost."""
        fleet = MoveFleet(catalog=catalog)
        fleet.declare()
        for first, second in (("pause", "run"), ("run", "pause")) * 8:
            await fleet.run(2.0)
            fleet.log.lose_answers = 2
            # The driver has read only the first change when the second is made.
            fleet.declare(first)
            for member in fleet.members:
                member.read()
            fleet.declare(second)
            for member in fleet.members:
                member.driver.tick()
            await settle()
        fleet.declare("run")
        await fleet.run(400.0, ("finished", "taken-back"))
        return fleet

    async def test_no_step_overrides_an_operator_or_is_applied_twice(self):
        fleet = await self.run_race(Catalog)
        self.assertEqual(fleet.count_out_of_order(), 0)
        self.assertEqual(fleet.progress.state, "finished")
        states = [m.catalog.get_progress("version-move", "mv") for m in fleet.members]
        self.assertEqual(states[0], states[1])

    async def test_race_check_detects_a_catalog_without_preconditions(self):
        fleet = await self.run_race(UnconditionalCatalog)
        self.assertGreater(fleet.count_out_of_order(), 0)

    async def test_pause_holds_the_move_and_back_restores_the_old_version(self):
        fleet = MoveFleet()
        fleet.declare()
        await fleet.run(60.0, ("stepping",))
        fleet.declare("pause")
        self.assertEqual(await fleet.run(20.0), "held")
        fleet.declare("run")
        self.assertNotEqual(await fleet.run(2.0), "held")
        fleet.declare("back")
        self.assertEqual(await fleet.run(30.0, ("taken-back",)), "taken-back")
        await fleet.run(60.0)
        targets = fleet.members[0].catalog.list_kind("target")
        self.assertEqual(
            {(t.spec.version, t.spec.leaving) for t in targets}, {("v1", False)}
        )

    async def test_a_target_that_an_operator_drains_is_not_changed(self):
        fleet = MoveFleet()
        spec = {"pool": "m", "data_centre": "dc-0", "address": "127.0.0.1:1"}
        fleet.put("target", "t0", {**spec, "leaving": True})
        fleet.declare()
        self.assertEqual(await fleet.run(400.0, ("finished",)), "finished")
        await fleet.run(30.0)
        self.assertEqual(fleet.engines.all[0].orders, [])
        self.assertTrue(fleet.members[0].catalog.get("target", "t0").spec.leaving)


class DataCentreTest(unittest.IsolatedAsyncioTestCase):
    """Guard against a data centre that is drained or refilled without its steps."""

    async def run_move(self, fleet: MoveFleet, direction: str) -> list[str]:
        """Return the sequence of states of the move."""
        spec = {
            "data_centre": "dc-0",
            "direction": direction,
            "finish_by": fleet.clock.now().timestamp() + 3600,
            "refill_steps": [0.2, 1.0],
            "step_seconds": 3.0,
        }
        fleet.put("data-centre-move", direction, spec)
        catalog = fleet.members[0].catalog
        states: list[str] = []
        for _ in range(60):
            await fleet.run(0.5)
            progress = catalog.get_progress("data-centre-move", direction)
            state = f"{progress.state} {progress.step}"
            if [state] != states[-1:]:
                states.append(state)
        return states

    async def test_a_data_centre_leaves_closes_and_returns_in_steps(self):
        fleet = MoveFleet()
        fleet.put("data-centre", "dc-0", {"region": "r"})
        left = await self.run_move(fleet, "leave")
        self.assertEqual(left[-2:], ["leaving 0", "empty 0"])
        catalog = fleet.members[0].catalog
        self.assertEqual(catalog.get("data-centre", "dc-0").spec.state, "closed")
        returned = await self.run_move(fleet, "return")
        steps = ["returning 0", "returning 1", "refilled 1"]
        self.assertEqual(returned[-3:], steps)
        self.assertEqual(catalog.get("data-centre", "dc-0").spec.state, "open")
        self.assertEqual(fleet.members[0].monitor.list_returning(), {})

    async def test_requests_in_flight_delay_the_empty_state(self):
        fleet = MoveFleet()
        fleet.put("data-centre", "dc-0", {"region": "r"})
        fleet.engines.all[0].running = 1
        self.assertEqual((await self.run_move(fleet, "leave"))[-1], "leaving 0")
        fleet.engines.all[0].running = 0
        await fleet.run(5.0)
        progress = fleet.members[0].catalog.get_progress("data-centre-move", "leave")
        self.assertEqual(progress.state, "empty")
