"""Tests of move drivers in virtual time: deaths, pauses, outages and races."""

import unittest

from carobladder.instance.movedriver import MoveDriver
from carobladder.moves.drivers import Driver, OrderTarget
from carobladder.resources import Catalog, MoveStep
from tests.instance.move_fleet import MoveFleet
from tests.support.virtual import settle

STATES = ("loading", "warming", "stepping", "baking")


class ImpatientRules(Driver):
    """Broken variant: does not stop at the end of its lease."""

    def may_order(self, target: OrderTarget, now: float) -> bool:
        """Allow an order whenever a lease was once accepted."""
        return target.checks_fencing or now >= self._exclusive_from

    def may_append(self, now: float) -> bool:
        """Allow a record whenever a lease was once accepted."""
        return bool(self.view.holder)


class ImpatientDriver(MoveDriver):
    """Broken variant: drives with rules that ignore the end of a lease."""

    lease_rules = ImpatientRules


class DeafDriver(MoveDriver):
    """Broken variant: takes the log to be up at all times."""

    def is_log_up(self, now: float) -> bool:
        """Return true."""
        return True


class UnconditionalCatalog(Catalog):
    """Broken variant: applies steps whatever revision they expect."""

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


async def run_pause(rules: type[MoveDriver]) -> MoveFleet:
    """Pause drivers past their lease while a target waits for its order.

    The engines ignore fencing numbers, so only the leases protect them.
    """
    fleet = MoveFleet(checks=[False] * 4, rules=rules)
    fleet.declare()
    for _ in range(3):
        for _ in range(120):
            if fleet.list_leaving():
                break
            await fleet.run(0.5)
        paused = fleet.owner
        fleet.pause(paused)
        # Longer than the rest of the lease, shorter than its successor's wait.
        await fleet.run(12.5)
        # It wakes before it has read of the other's lease.
        fleet.wake(paused)
        await settle()
        await fleet.run(30.0)
    await fleet.run(400.0, ("finished", "taken-back"))
    return fleet


class DriverTest(unittest.IsolatedAsyncioTestCase):
    """Guard against moves without a driver, or with two."""

    async def test_a_good_version_finishes_and_takes_all_targets(self):
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

    async def test_a_dead_driver_is_replaced_in_every_phase(self):
        for state in STATES:
            fleet = MoveFleet()
            fleet.declare()
            await fleet.run(60.0, (state,))
            dead = fleet.owner
            dead.dead = True
            fleet.pause(dead)
            ended = await fleet.run(400.0, ("finished", "taken-back"))
            self.assertEqual(ended, "finished", state)
            self.assertNotEqual(fleet.owner.name, dead.name)

    async def test_a_driver_that_wakes_after_its_lease_gives_no_order(self):
        fleet = await run_pause(MoveDriver)
        self.assertEqual((fleet.progress.state, fleet.engines.late), ("finished", []))

    async def test_check_of_pauses_catches_a_driver_that_ignores_its_lease(self):
        fleet = await run_pause(ImpatientDriver)
        self.assertNotEqual(fleet.engines.late, [])

    async def test_orders_carry_the_number_and_a_new_driver_raises_it_first(self):
        fleet = MoveFleet()
        fleet.declare()
        await fleet.run(400.0, ("finished",))
        for engine in fleet.engines.all:
            for before, after in zip(engine.orders, engine.orders[1:], strict=False):
                self.assertLessEqual(before[0], after[0])
            if engine.orders:
                self.assertEqual(engine.orders[0][1], "prefetch")


class OutageTest(unittest.IsolatedAsyncioTestCase):
    """Guard against a move that goes on while the log is down."""

    async def run_outage(self, rules: type[MoveDriver]) -> tuple[MoveFleet, int]:
        """Return the fleet after an outage and the orders given during it."""
        fleet = MoveFleet(rules=rules)
        fleet.declare()
        await fleet.run(60.0, ("stepping",))
        fleet.log.outage = True
        await fleet.run(13.0)
        before = sum(len(engine.orders) for engine in fleet.engines.all)
        status = [m.driver.describe("version-move", "mv") for m in fleet.members]
        await fleet.run(30.0)
        given = sum(len(engine.orders) for engine in fleet.engines.all) - before
        held = {"driver_state": "held-by-log"}
        self.unheld = sum(state != held for state in status)
        return fleet, given

    async def test_the_move_holds_says_so_and_goes_on(self):
        fleet, given = await self.run_outage(MoveDriver)
        self.assertEqual((given, self.unheld), (0, 0))
        self.assertEqual(fleet.progress.state, "stepping")
        fleet.log.outage = False
        state = await fleet.run(400.0, ("finished", "taken-back"))
        self.assertEqual(state, "finished")

    async def test_check_of_the_report_catches_a_driver_that_misses_the_outage(self):
        await self.run_outage(DeafDriver)
        self.assertGreater(self.unheld, 0)


class RaceTest(unittest.IsolatedAsyncioTestCase):
    """Guard against operators that are overtaken, reverted or obeyed twice."""

    async def run_race(self, catalog: type[Catalog]) -> MoveFleet:
        """Change the intent at every step while answers of the log are lost."""
        fleet = MoveFleet(catalog=catalog)
        fleet.declare()
        for first, second in (("pause", "run"), ("run", "pause")) * 8:
            await fleet.run(2.0)
            fleet.log.lose_answers = 2
            # The driver decides on the first change when the second is made.
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

    async def test_no_step_overtakes_an_operator_and_none_counts_twice(self):
        fleet = await self.run_race(Catalog)
        self.assertEqual(fleet.count_unordered(), 0)
        self.assertEqual(fleet.progress.state, "finished")
        states = [m.catalog.get_progress("version-move", "mv") for m in fleet.members]
        self.assertEqual(states[0], states[1])

    async def test_check_of_races_catches_a_catalog_without_preconditions(self):
        fleet = await self.run_race(UnconditionalCatalog)
        self.assertGreater(fleet.count_unordered(), 0)

    async def test_pause_holds_and_back_restores_the_old_version(self):
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

    async def test_a_target_that_an_operator_takes_out_is_left_alone(self):
        fleet = MoveFleet()
        spec = {"pool": "m", "data_centre": "dc-0", "address": "127.0.0.1:1"}
        fleet.put("target", "t0", {**spec, "leaving": True})
        fleet.declare()
        self.assertEqual(await fleet.run(400.0, ("finished",)), "finished")
        await fleet.run(30.0)
        self.assertEqual(fleet.engines.all[0].orders, [])
        self.assertTrue(fleet.members[0].catalog.get("target", "t0").spec.leaving)


class DataCentreTest(unittest.IsolatedAsyncioTestCase):
    """Guard against a data centre that is emptied or refilled without its steps."""

    async def run_move(self, fleet: MoveFleet, direction: str) -> list[str]:
        """Return the states that the move passes through."""
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
            shown = f"{progress.state} {progress.step}"
            if [shown] != states[-1:]:
                states.append(shown)
        return states

    async def test_it_leaves_closes_and_returns_by_steps(self):
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
        self.assertEqual(fleet.members[0].watch.list_returning(), {})

    async def test_requests_in_flight_delay_the_empty_state(self):
        fleet = MoveFleet()
        fleet.put("data-centre", "dc-0", {"region": "r"})
        fleet.engines.all[0].running = 1
        self.assertEqual((await self.run_move(fleet, "leave"))[-1], "leaving 0")
        fleet.engines.all[0].running = 0
        await fleet.run(5.0)
        progress = fleet.members[0].catalog.get_progress("data-centre-move", "leave")
        self.assertEqual(progress.state, "empty")
