"""Tests of admission control in virtual time."""

import asyncio
import random
import unittest
from unittest import mock

from carobladder.clock import VirtualClock
from carobladder.exceptions import NoCapacityError
from carobladder.gateway.ports import SlotRequest, Team
from carobladder.limits.admission import AdmissionController
from carobladder.limits.allowances import Allowance, AllowanceBook
from carobladder.limits.queues import FairQueue
from carobladder.limits.refusals import RefusalPolicy
from carobladder.targets import CLASS_WEIGHT, RequestClass, TargetState

NEVER = 1e9
STEP_SECONDS = 0.005
MAX_P95_RATIO = 1.2
VARIANT_STEPS = 3_000


def _make_allowance(target_id: str, slots: int, sequence: int = 1, ready: bool = True):
    return Allowance(
        target_id, "o", 1, sequence, slots, NEVER, ready, False, "b", 0, slots
    )


class _AdmissionSetup:
    """Admission controller with allowances that the test sets directly."""

    def __init__(self, slots: dict[str, int], max_waiting: int = 1000) -> None:
        self.clock = VirtualClock()
        self.book = AllowanceBook()
        self.states = {t: TargetState(t, "m", "1", "dc", "a") for t in slots}
        self.asked: list[str] = []
        self.queue = FairQueue(max_waiting)
        for target_id, count in slots.items():
            self.book.apply(_make_allowance(target_id, count), 0.0)
        self.admission = AdmissionController(
            clock=self.clock,
            book=self.book,
            queue=self.queue,
            refusals=RefusalPolicy(random.Random(1)),
            find_target=self.states.get,
            ask=self.asked.extend,
        )

    async def advance(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)
            for _ in range(3):
                await asyncio.sleep(0)

    def request(self, team: Team, kind: RequestClass, **changes) -> SlotRequest:
        values = {
            "ranked": list(self.states),
            "deadline": self.clock.monotonic() + 10.0,
            **changes,
        }
        return SlotRequest(team=team, request_class=kind, pool="m", **values)


TEAM_A, TEAM_B = Team("a"), Team("b")
SHORT, QUICK, LONG = RequestClass.SHORT, RequestClass.QUICK, RequestClass.LONG


class AdmissionTest(unittest.IsolatedAsyncioTestCase):
    """Guard against unused slots and requests that wait forever or overtake others."""

    def make(self, **slots: int) -> _AdmissionSetup:
        setup = _AdmissionSetup(slots)
        task = asyncio.create_task(setup.admission.run())
        self.addCleanup(task.cancel)
        return setup

    def start(self, setup: _AdmissionSetup, *arguments, **changes) -> asyncio.Task:
        request = setup.request(*arguments, **changes)
        return asyncio.create_task(setup.admission.acquire(request))

    async def test_takes_the_first_free_target_in_order(self):
        setup = self.make(t0=1, t1=1)
        taken = [await self.start(setup, TEAM_A, SHORT) for _ in range(2)]
        self.assertEqual([p.target.target_id for p in taken], ["t0", "t1"])

    async def test_waits_for_the_first_target_while_it_could_serve(self):
        setup = self.make(t0=1, t1=1)
        first = await self.start(setup, TEAM_A, SHORT)
        waiting = self.start(setup, TEAM_A, SHORT, sticky_seconds=0.5)
        await setup.advance(0.3)
        self.assertFalse(waiting.done())
        first.release()
        await setup.advance(0.05)
        self.assertEqual(waiting.result().target.target_id, "t0")
        overflow = self.start(setup, TEAM_A, SHORT, sticky_seconds=0.5)
        await setup.advance(0.6)
        self.assertEqual(overflow.result().target.target_id, "t1")

    async def test_does_not_wait_for_an_unready_first_target(self):
        setup = self.make(t0=1, t1=1)
        setup.book.apply(_make_allowance("t0", 0, sequence=2, ready=False), 0.0)
        permit = await self.start(setup, TEAM_A, SHORT, sticky_seconds=5.0)
        self.assertEqual(permit.target.target_id, "t1")

    async def test_asks_more_owners_the_longer_it_waits(self):
        setup = self.make(t0=0, t1=0, t2=0, t3=0)
        waiting = self.start(setup, TEAM_A, QUICK)
        await setup.advance(STEP_SECONDS)
        self.assertEqual(set(setup.asked), {"t0"})
        self.assertEqual(setup.admission.describe_demand("t0").wanted, 2)
        await setup.advance(0.1)
        self.assertEqual(set(setup.asked), {"t0", "t1", "t2", "t3"})
        waiting.cancel()
        await setup.advance(STEP_SECONDS)
        self.assertEqual(len(setup.queue), 0)

    async def test_expired_request_is_refused_with_a_retry_time(self):
        setup = self.make(t0=0)
        waiting = self.start(setup, TEAM_A, SHORT, deadline=0.1)
        await setup.advance(0.15)
        with self.assertRaises(NoCapacityError) as caught:
            await waiting
        self.assertGreaterEqual(caught.exception.retry_after_seconds, 1.0)

    async def test_request_that_cannot_meet_its_deadline_is_refused_at_once(self):
        setup = self.make(t0=1)
        held = await self.start(setup, TEAM_A, SHORT)
        queued = [self.start(setup, TEAM_A, SHORT, deadline=99.0) for _ in range(9)]
        await setup.advance(0.5)
        held.release()
        await setup.advance(0.5)
        late = self.start(setup, TEAM_A, SHORT, deadline=2.0)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        with self.assertRaises(NoCapacityError):
            late.result()
        for task in queued:
            task.cancel()

    async def test_leaving_target_takes_no_requests_and_invalidates_permits(self):
        setup = self.make(t0=2)
        permit = await self.start(setup, TEAM_A, SHORT)
        self.assertTrue(permit.is_valid())
        setup.states["t0"] = TargetState("t0", "m", "1", "dc", "a", leaving=True)
        self.assertFalse(permit.is_valid())
        with self.assertRaises(NoCapacityError):
            await self.start(setup, TEAM_A, SHORT)

    async def test_new_boot_id_invalidates_permits(self):
        setup = self.make(t0=2)
        permit = await self.start(setup, TEAM_A, SHORT)
        setup.book.note_boot("t0", "other")
        self.assertFalse(permit.is_valid())
        self.assertEqual(setup.book.count_free_slots("t0", 0.0), 0)

    async def test_full_queue_drops_a_request_of_the_team_with_most_waiting(self):
        setup = _AdmissionSetup({"t0": 0}, max_waiting=3)
        surge = [self.start(setup, TEAM_A, SHORT) for _ in range(3)]
        await asyncio.sleep(0)
        other_team = self.start(setup, TEAM_B, SHORT)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.assertIsInstance(surge[2].exception(), NoCapacityError)
        self.assertFalse(other_team.done())
        with self.assertRaises(NoCapacityError):
            await self.start(setup, TEAM_A, SHORT)
        for task in (*surge, other_team):
            task.cancel()


class _SurgeRun:
    """Load of a quiet team, seven base teams and two surging teams."""

    def __init__(self) -> None:
        self.setup = _AdmissionSetup({f"t{i}": 16 for i in range(4)}, max_waiting=300)
        # Separate random generators keep the quiet team's load equal in all runs.
        names = ("quiet", "base", "surge")
        self.generators = {name: random.Random(name) for name in names}
        self.times: list[float] = []
        self.tasks: set[asyncio.Task] = set()

    async def serve(self, team: Team, work: RequestClass, seconds: float) -> None:
        started = self.setup.clock.monotonic()
        try:
            request = self.setup.request(team, work)
            permit = await self.setup.admission.acquire(request)
        except NoCapacityError:
            if team.name == "quiet":
                self.times.append(NEVER)
            return
        await self.setup.clock.sleep(seconds)
        permit.release()
        if team.name == "quiet":
            self.times.append(self.setup.clock.monotonic() - started)

    def arrive(
        self, generator_name: str, team: str, work: RequestClass, rate: float
    ) -> None:
        generator = self.generators[generator_name]
        if generator.random() < rate * STEP_SECONDS:
            # Requests of heavier classes run longer.
            seconds = CLASS_WEIGHT[work] * generator.uniform(0.2, 0.6)
            task = asyncio.create_task(self.serve(Team(team), work, seconds))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def run(
        self, kind: RequestClass, surge: RequestClass | None, steps: int
    ) -> None:
        runner = asyncio.create_task(self.setup.admission.run())
        for step in range(steps):
            self.arrive("quiet", "quiet", kind, 2.0 / CLASS_WEIGHT[kind])
            for index in range(7):
                self.arrive("base", f"base-{index}", QUICK, 2.0)
            if surge and step > 600:
                for index in range(2):
                    self.arrive("surge", f"surge-{index}", surge, 160.0)
            await self.setup.advance(STEP_SECONDS)
        for task in [runner, *self.tasks]:
            task.cancel()


class SurgeTest(unittest.IsolatedAsyncioTestCase):
    """Guard against a surge of one team that slows down the others.

    The last two tests weaken the queue and check that the bound then fails.
    """

    async def measure(
        self, kind: RequestClass, surge: RequestClass | None, steps: int = 12_000
    ) -> float:
        """Return the quiet team's p95 of waiting plus service time in seconds."""
        run = _SurgeRun()
        await run.run(kind, surge, steps)
        return sorted(run.times)[int(0.95 * len(run.times))]

    async def test_quiet_team_keeps_its_p95_in_a_surge(self):
        for kind in (SHORT, QUICK, LONG):
            baseline = await self.measure(kind, None)
            self.assertLessEqual(
                await self.measure(kind, SHORT), MAX_P95_RATIO * baseline
            )

    async def test_quiet_team_keeps_its_p95_in_a_surge_of_long_requests(self):
        baseline = await self.measure(LONG, None)
        self.assertLessEqual(await self.measure(LONG, LONG), MAX_P95_RATIO * baseline)

    async def test_bound_fails_with_first_come_first_served(self):
        baseline = await self.measure(QUICK, None, VARIANT_STEPS)
        with (
            mock.patch.object(FairQueue, "_rank", lambda _, w: (0, w.arrival)),
            mock.patch.object(FairQueue, "is_above_share", lambda *_: False),
        ):
            with_surge = await self.measure(QUICK, QUICK, VARIANT_STEPS)
        self.assertGreater(with_surge, MAX_P95_RATIO * baseline)

    async def test_bound_fails_with_class_priority_alone(self):
        baseline = await self.measure(LONG, None, VARIANT_STEPS)
        with mock.patch.object(FairQueue, "is_above_share", lambda *_: False):
            with_surge = await self.measure(LONG, SHORT, VARIANT_STEPS)
        self.assertGreater(with_surge, MAX_P95_RATIO * baseline)
