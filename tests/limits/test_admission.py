"""Tests of the admission task in virtual time."""

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

FOREVER = 1e9
STEP_SECONDS = 0.005
BOUND = 1.2
STEPS_OF_VARIANT = 3_000


def _allow(target_id: str, slots: int, sequence: int = 1, ready: bool = True):
    return Allowance(
        target_id, "o", 1, sequence, slots, FOREVER, ready, False, "b", 0, slots
    )


class _Bench:
    """Hold an admission task over a book that is filled by hand."""

    def __init__(self, slots: dict[str, int], max_waiting: int = 1000) -> None:
        self.clock = VirtualClock()
        self.book = AllowanceBook()
        self.states = {t: TargetState(t, "m", "1", "dc", "a") for t in slots}
        self.asked: list[str] = []
        self.queue = FairQueue(max_waiting)
        for target_id, count in slots.items():
            self.book.apply(_allow(target_id, count), 0.0)
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


A, B = Team("a"), Team("b")
SHORT, QUICK, LONG = RequestClass.SHORT, RequestClass.QUICK, RequestClass.LONG


class AdmissionTest(unittest.IsolatedAsyncioTestCase):
    """Guard against requests that wait for ever, skip the queue or miss slots."""

    def make(self, **slots: int) -> _Bench:
        bench = _Bench(slots)
        task = asyncio.create_task(bench.admission.run())
        self.addCleanup(task.cancel)
        return bench

    def start(self, bench: _Bench, *arguments, **changes) -> asyncio.Task:
        request = bench.request(*arguments, **changes)
        return asyncio.create_task(bench.admission.acquire(request))

    async def test_first_free_target_in_order_is_taken(self):
        bench = self.make(t0=1, t1=1)
        taken = [await self.start(bench, A, SHORT) for _ in range(2)]
        self.assertEqual([p.target.target_id for p in taken], ["t0", "t1"])

    async def test_waits_for_the_first_target_while_it_could_serve(self):
        bench = self.make(t0=1, t1=1)
        first = await self.start(bench, A, SHORT)
        waiting = self.start(bench, A, SHORT, sticky_seconds=0.5)
        await bench.advance(0.3)
        self.assertFalse(waiting.done())
        first.release()
        await bench.advance(0.05)
        self.assertEqual(waiting.result().target.target_id, "t0")
        overflow = self.start(bench, A, SHORT, sticky_seconds=0.5)
        await bench.advance(0.6)
        self.assertEqual(overflow.result().target.target_id, "t1")

    async def test_does_not_wait_for_a_first_target_that_is_not_ready(self):
        bench = self.make(t0=1, t1=1)
        bench.book.apply(_allow("t0", 0, sequence=2, ready=False), 0.0)
        permit = await self.start(bench, A, SHORT, sticky_seconds=5.0)
        self.assertEqual(permit.target.target_id, "t1")

    async def test_asks_for_more_targets_the_longer_it_waits(self):
        bench = self.make(t0=0, t1=0, t2=0, t3=0)
        waiting = self.start(bench, A, QUICK)
        await bench.advance(STEP_SECONDS)
        self.assertEqual(set(bench.asked), {"t0"})
        self.assertEqual(bench.admission.describe_demand("t0").wanted, 2)
        await bench.advance(0.1)
        self.assertEqual(set(bench.asked), {"t0", "t1", "t2", "t3"})
        waiting.cancel()
        await bench.advance(STEP_SECONDS)
        self.assertEqual(len(bench.queue), 0)

    async def test_passed_deadline_is_refused_with_a_retry_time(self):
        bench = self.make(t0=0)
        waiting = self.start(bench, A, SHORT, deadline=0.1)
        await bench.advance(0.15)
        with self.assertRaises(NoCapacityError) as caught:
            await waiting
        self.assertGreaterEqual(caught.exception.retry_after_seconds, 1.0)

    async def test_hopeless_request_is_refused_at_once(self):
        bench = self.make(t0=1)
        held = await self.start(bench, A, SHORT)
        queued = [self.start(bench, A, SHORT, deadline=99.0) for _ in range(9)]
        await bench.advance(0.5)
        held.release()
        await bench.advance(0.5)
        late = self.start(bench, A, SHORT, deadline=2.0)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        with self.assertRaises(NoCapacityError):
            late.result()
        for task in queued:
            task.cancel()

    async def test_leaving_target_gets_nothing_and_voids_permits(self):
        bench = self.make(t0=2)
        permit = await self.start(bench, A, SHORT)
        self.assertTrue(permit.is_valid())
        bench.states["t0"] = TargetState("t0", "m", "1", "dc", "a", leaving=True)
        self.assertFalse(permit.is_valid())
        with self.assertRaises(NoCapacityError):
            await self.start(bench, A, SHORT)

    async def test_new_boot_id_voids_permits(self):
        bench = self.make(t0=2)
        permit = await self.start(bench, A, SHORT)
        bench.book.note_boot("t0", "other")
        self.assertFalse(permit.is_valid())
        self.assertEqual(bench.book.count_free("t0", 0.0), 0)

    async def test_full_queue_displaces_the_team_that_waits_most(self):
        bench = _Bench({"t0": 0}, max_waiting=3)
        surge = [self.start(bench, A, SHORT) for _ in range(3)]
        await asyncio.sleep(0)
        quiet = self.start(bench, B, SHORT)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.assertIsInstance(surge[2].exception(), NoCapacityError)
        self.assertFalse(quiet.done())
        with self.assertRaises(NoCapacityError):
            await self.start(bench, A, SHORT)
        for task in (*surge, quiet):
            task.cancel()


class _SurgeRun:
    """Offer load of a quiet team, base teams and surging teams."""

    def __init__(self) -> None:
        self.bench = _Bench({f"t{i}": 16 for i in range(4)}, max_waiting=300)
        # Streams of their own keep the quiet team's load equal in all runs.
        names = ("quiet", "base", "surge")
        self.streams = {name: random.Random(name) for name in names}
        self.times: list[float] = []
        self.tasks: set[asyncio.Task] = set()

    async def serve(self, team: Team, work: RequestClass, seconds: float) -> None:
        started = self.bench.clock.monotonic()
        try:
            request = self.bench.request(team, work)
            permit = await self.bench.admission.acquire(request)
        except NoCapacityError:
            if team.name == "quiet":
                self.times.append(FOREVER)
            return
        await self.bench.clock.sleep(seconds)
        permit.release()
        if team.name == "quiet":
            self.times.append(self.bench.clock.monotonic() - started)

    def arrive(self, stream: str, team: str, work: RequestClass, rate: float) -> None:
        generator = self.streams[stream]
        if generator.random() < rate * STEP_SECONDS:
            # Heavier classes run longer, as a draft does against a quick chat.
            seconds = CLASS_WEIGHT[work] * generator.uniform(0.2, 0.6)
            task = asyncio.create_task(self.serve(Team(team), work, seconds))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def run(
        self, kind: RequestClass, surge: RequestClass | None, steps: int
    ) -> None:
        runner = asyncio.create_task(self.bench.admission.run())
        for step in range(steps):
            self.arrive("quiet", "quiet", kind, 2.0 / CLASS_WEIGHT[kind])
            for index in range(7):
                self.arrive("base", f"base-{index}", QUICK, 2.0)
            if surge and step > 600:
                for index in range(2):
                    self.arrive("surge", f"surge-{index}", surge, 160.0)
            await self.bench.advance(STEP_SECONDS)
        for task in [runner, *self.tasks]:
            task.cancel()


class SurgeTest(unittest.IsolatedAsyncioTestCase):
    """Guard against teams whose surge slows down the others."""

    async def measure(
        self, kind: RequestClass, surge: RequestClass | None, steps: int = 12_000
    ) -> float:
        """Return the quiet team's p95 of waiting and service in seconds."""
        run = _SurgeRun()
        await run.run(kind, surge, steps)
        return sorted(run.times)[int(0.95 * len(run.times))]

    async def test_quiet_team_keeps_its_p95_in_a_surge(self):
        for kind in (SHORT, QUICK, LONG):
            calm = await self.measure(kind, None)
            self.assertLessEqual(await self.measure(kind, SHORT), BOUND * calm)

    async def test_quiet_team_keeps_its_p95_of_long_requests_in_a_surge_of_them(self):
        calm = await self.measure(LONG, None)
        self.assertLessEqual(await self.measure(LONG, LONG), BOUND * calm)

    async def test_first_come_first_served_is_caught(self):
        calm = await self.measure(QUICK, None, STEPS_OF_VARIANT)
        with (
            mock.patch.object(FairQueue, "_rank", lambda _, w: (0, w.order)),
            mock.patch.object(FairQueue, "is_above_share", lambda *_: False),
        ):
            surged = await self.measure(QUICK, QUICK, STEPS_OF_VARIANT)
        self.assertGreater(surged, BOUND * calm)

    async def test_class_priority_without_shares_is_caught(self):
        calm = await self.measure(LONG, None, STEPS_OF_VARIANT)
        with mock.patch.object(FairQueue, "is_above_share", lambda *_: False):
            surged = await self.measure(LONG, SHORT, STEPS_OF_VARIANT)
        self.assertGreater(surged, BOUND * calm)
