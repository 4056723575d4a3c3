"""Tests of calls that run at most once under faults, in virtual time."""

import asyncio
import random
import unittest
from collections import Counter
from datetime import timedelta

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from carobladder.bookings import (
    BookingRunner,
    ClaimLedger,
    ClaimReader,
    ClaimWriter,
    Withdrawal,
)
from carobladder.clock import VirtualClock
from carobladder.exceptions import (
    CallerError,
    ConnectionBrokenError,
    IdempotencyKeyError,
    NotReadyError,
    Outcome,
    OutcomeUnknownError,
)
from carobladder.gateway.ports import ServiceAnswer, ServiceRoute, Team
from tests.bookings.test_keys import make_key
from tests.support.logs import FakeLog, LogFaults
from tests.support.virtual import drive, settle

TEAM = Team("sales")
ROUTE = ServiceRoute("orders", "/orders", repeatable=False)
ROUTE_WITH_LOOKUP = ServiceRoute("orders", "/orders", False, "/orders/{key}")
WINDOW = timedelta(minutes=30)


class FakeService:
    """Service that counts the effects of calls and can lose its responses."""

    def __init__(self, clock: VirtualClock, source: random.Random) -> None:
        self.clock = clock
        self.random = source
        self.effects: Counter[str] = Counter()
        self.effects_by_call: Counter[int] = Counter()
        self.lose_answer = 0.0
        self.refuse = 0.0
        self.lookup_declared = False
        self.delay_seconds = 0.2

    async def book(self, key: str, call_id: int = 0) -> ServiceAnswer:
        if self.random.random() < self.refuse:
            raise ConnectionBrokenError("connection refused", request_written=False)
        await self.clock.sleep(self.random.random() * self.delay_seconds)
        self.effects[key] += 1
        self.effects_by_call[call_id] += 1
        await self.clock.sleep(self.random.random() * self.delay_seconds)
        if self.random.random() < self.lose_answer:
            raise ConnectionBrokenError("closed", request_written=True)
        return ServiceAnswer(201, (("content-type", "text/plain"),), key.encode())

    def find_route(self, service: str) -> ServiceRoute | None:
        return ROUTE_WITH_LOOKUP if self.lookup_declared else ROUTE

    async def look_up(self, route: ServiceRoute, key: str) -> ServiceAnswer | None:
        if not self.effects[key]:
            return None
        return ServiceAnswer(200, (), key.encode())


class Instance:
    """Claim reader, claim writer and booking runner of one instance."""

    def __init__(self, name: str, clock: VirtualClock, log: FakeLog, service) -> None:
        self.reader = ClaimReader(log, clock, WINDOW)
        self.writer = ClaimWriter(log, clock, linger_seconds=0.02)
        self.runner = BookingRunner(
            name, clock, self.reader, self.writer, service, WINDOW
        )
        self.service = service
        self.tasks = [
            asyncio.ensure_future(self.reader.run()),
            asyncio.ensure_future(self.writer.run()),
        ]

    async def book(
        self, key: str, route: ServiceRoute = ROUTE, body: str = "", call_id: int = 0
    ) -> ServiceAnswer:
        return await self.runner.run_once(
            TEAM,
            route,
            key,
            lambda: self.service.book(key, call_id),
            fingerprint=body,
        )

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()


class SimulatedFleet:
    """Several instances with one log and one service."""

    def __init__(self, seed_value: int, count: int = 3, instance=Instance) -> None:
        self.clock = VirtualClock()
        self.random = random.Random(seed_value)
        self.log = FakeLog(self.clock, self.random)
        self.service = FakeService(self.clock, self.random)
        self.instances = [
            instance(f"entry-{at}", self.clock, self.log, self.service)
            for at in range(count)
        ]

    def new_key(self) -> str:
        return make_key(self.clock.now(), self.random.getrandbits(62))

    async def warm_up(self) -> None:
        await drive(self.clock, self.clock.sleep(0.2))

    async def stop(self) -> None:
        for instance in self.instances:
            instance.stop()
        await settle()


class RunOnceTest(unittest.IsolatedAsyncioTestCase):
    """Guard against a wrong outcome of a single call under one fault."""

    async def asyncSetUp(self):
        self.fleet = SimulatedFleet(1)
        await self.fleet.warm_up()
        self.key = self.fleet.new_key()

    async def asyncTearDown(self):
        await self.fleet.stop()

    async def book(self, at: int = 0, **options):
        work = self.fleet.instances[at].book(self.key, **options)
        return await drive(self.fleet.clock, work)

    def count(self) -> int:
        return self.fleet.service.effects[self.key]

    async def test_retry_through_other_instance_gets_the_recorded_answer(self):
        first = await self.book(0)
        await drive(self.fleet.clock, self.fleet.clock.sleep(1))
        self.assertEqual(await self.book(1), first)
        self.assertEqual(self.count(), 1)

    async def test_concurrent_calls_at_all_instances_run_once(self):
        both = asyncio.gather(*(i.book(self.key) for i in self.fleet.instances))

        async def wait():
            return await both

        answers = await drive(self.fleet.clock, wait())
        self.assertEqual(len(set(answers)), 1)
        self.assertEqual(self.count(), 1)

    async def test_lost_service_answer_is_unknown_and_not_repeated(self):
        self.fleet.service.lose_answer = 1.0
        with self.assertRaises(OutcomeUnknownError):
            await self.book(0)
        with self.assertRaises(OutcomeUnknownError):
            await self.book(1)
        self.assertEqual(self.count(), 1)

    async def test_lookup_resolves_a_lost_service_answer(self):
        self.fleet.service.lose_answer = 1.0
        answer = await self.book(0, route=ROUTE_WITH_LOOKUP)
        self.assertEqual(answer.status, 200)

    async def find_outcome(self):
        return await drive(
            self.fleet.clock,
            self.fleet.instances[1].runner.find_outcome(TEAM, self.key),
        )

    async def test_outcome_of_a_key_that_was_never_used_is_none(self):
        self.assertIsNone(await self.find_outcome())

    async def test_outcome_of_a_lost_answer_is_unknown_until_looked_up(self):
        self.fleet.service.lose_answer = 1.0
        with self.assertRaises(OutcomeUnknownError):
            await self.book(0)
        with self.assertRaises(OutcomeUnknownError):
            await self.find_outcome()
        self.fleet.service.lookup_declared = True
        self.assertEqual((await self.find_outcome()).status, 200)

    async def test_refused_connection_is_not_run_and_frees_the_key(self):
        self.fleet.service.refuse = 1.0
        with self.assertRaises(NotReadyError) as caught:
            await self.book(0)
        self.assertEqual(caught.exception.outcome, Outcome.NOT_RUN)
        self.fleet.service.refuse = 0.0
        await drive(self.fleet.clock, self.fleet.clock.sleep(1))
        self.assertEqual((await self.book(1)).status, 201)
        self.assertEqual(self.count(), 1)

    async def test_log_outage_is_not_run(self):
        self.fleet.log.faults.outage = True
        with self.assertRaises(NotReadyError):
            await self.book(0)
        self.fleet.log.faults.outage = False
        await drive(self.fleet.clock, self.fleet.clock.sleep(3))
        self.assertEqual(self.count(), 0)

    async def test_lost_append_answer_is_not_run_and_frees_the_key(self):
        self.fleet.log.faults.lose_answer = 1.0
        with self.assertRaises(NotReadyError):
            await self.book(0)
        self.assertEqual(self.count(), 0)
        self.fleet.log.faults.lose_answer = 0.0
        await drive(self.fleet.clock, self.fleet.clock.sleep(3))
        self.assertEqual((await self.book(1)).status, 201)

    async def test_pause_after_claim_sends_nothing(self):
        instance = self.fleet.instances[0]
        original = instance.runner._append_and_read

        async def pause_after(attempt):
            entry = await original(attempt)
            self.fleet.clock.advance(6.0)
            return entry

        instance.runner._append_and_read = pause_after
        with self.assertRaises(NotReadyError):
            await self.book(0)
        self.assertEqual(self.count(), 0)

    async def test_other_request_with_the_same_key_is_refused(self):
        await self.book(0, body="one")
        await drive(self.fleet.clock, self.fleet.clock.sleep(1))
        with self.assertRaises(IdempotencyKeyError):
            await self.book(1, body="two")

    async def test_new_instance_reads_claims_from_the_log(self):
        await self.book(0)
        await drive(self.fleet.clock, self.fleet.clock.sleep(1))
        fresh = Instance(
            "entry-9", self.fleet.clock, self.fleet.log, self.fleet.service
        )
        self.fleet.instances.append(fresh)
        await self.fleet.warm_up()
        self.assertEqual((await self.book(3)).status, 201)
        self.assertEqual(self.count(), 1)

    async def test_claims_are_appended_in_batches(self):
        instance = self.fleet.instances[0]
        keys = [self.fleet.new_key() for _ in range(50)]
        before = self.fleet.log.appends

        async def book_all():
            await asyncio.gather(*(instance.book(key) for key in keys))

        await drive(self.fleet.clock, book_all())
        self.assertEqual(sum(self.fleet.service.effects.values()), 50)
        self.assertLess(self.fleet.log.appends - before, 50)


class LedgerTest(unittest.TestCase):
    """Guard against a ledger that depends on the order of delayed records."""

    def test_withdrawal_is_accepted_before_its_claim(self):
        withdrawal = Withdrawal("sales", "k", "c1")
        ledger = ClaimLedger()
        ledger.apply(0, withdrawal)
        self.assertIsNone(ledger.find("sales", "k"))


class _InstanceWithoutClaims(Instance):
    """Faulty variant that sends calls without a claim in the log."""

    async def book(
        self, key: str, route: ServiceRoute = ROUTE, body: str = "", call_id: int = 0
    ) -> ServiceAnswer:
        return await self.service.book(key, call_id)


class _InstanceReportingNotRun(Instance):
    """Faulty variant that reports a call with a lost response as not run."""

    async def book(
        self, key: str, route: ServiceRoute = ROUTE, body: str = "", call_id: int = 0
    ) -> ServiceAnswer:
        try:
            return await super().book(key, route, body, call_id)
        except OutcomeUnknownError as error:
            raise NotReadyError("no answer") from error


async def run_schedule(
    seed_value: int, instance=Instance
) -> tuple[SimulatedFleet, Counter]:
    """Book keys through random instances under random faults.

    Returns the simulated instances and the counts of false outcomes.
    """
    fleet = SimulatedFleet(seed_value, instance=instance)
    await fleet.warm_up()
    fleet.log.faults = LogFaults(
        lose_answer=fleet.random.choice([0.0, 0.3]),
        refuse=fleet.random.choice([0.0, 0.2]),
        delay_seconds=fleet.random.choice([0.0, 0.5]),
    )
    fleet.service.lose_answer = fleet.random.choice([0.0, 0.4])
    fleet.service.refuse = fleet.random.choice([0.0, 0.3])
    wrong: Counter[str] = Counter()
    await drive(fleet.clock, _book_with_retries(fleet, wrong))
    await fleet.stop()
    return fleet, wrong


async def _book_with_retries(fleet: SimulatedFleet, wrong: Counter) -> None:
    callers = [_call_until_done(fleet, wrong) for _ in range(6)]
    await asyncio.gather(_inject_faults(fleet), *callers)


async def _inject_faults(fleet: SimulatedFleet) -> None:
    for _ in range(4):
        await fleet.clock.sleep(fleet.random.random() * 3)
        fault = fleet.random.choice(["outage", "death", "pause"])
        if fault == "outage":
            fleet.log.faults.outage = True
            await fleet.clock.sleep(fleet.random.random() * 4)
            fleet.log.faults.outage = False
        elif fault == "death":
            at = fleet.random.randrange(len(fleet.instances))
            fleet.instances[at].stop()
            kind = type(fleet.instances[at])
            fleet.instances[at] = kind(
                f"fresh-{at}", fleet.clock, fleet.log, fleet.service
            )
        else:
            fleet.clock.advance(7.0)


async def _call_until_done(fleet: SimulatedFleet, wrong: Counter) -> None:
    key = fleet.new_key()
    for _ in range(4):
        ids = [fleet.random.getrandbits(60) for _ in range(2)]
        calls = [
            fleet.random.choice(fleet.instances).book(key, call_id=call_id)
            for call_id in ids
        ]
        results = await asyncio.gather(*calls, return_exceptions=True)
        for call_id, result in zip(ids, results, strict=True):
            _check_result(fleet, key, call_id, result, wrong)
        if any(isinstance(result, ServiceAnswer) for result in results):
            return


def _check_result(
    fleet: SimulatedFleet, key: str, call_id: int, result, wrong: Counter
) -> None:
    if isinstance(result, ServiceAnswer):
        if result.body != key.encode() or not fleet.service.effects[key]:
            wrong["foreign or invented answer"] += 1
    elif isinstance(result, CallerError):
        ran = fleet.service.effects_by_call[call_id]
        if result.outcome is Outcome.NOT_RUN and ran:
            wrong["false 'not run'"] += 1
    elif not isinstance(result, asyncio.CancelledError | ConnectionBrokenError):
        raise result


class AtMostOnceTest(unittest.TestCase):
    """Guard against duplicate bookings under random schedules of faults.

    Two tests use a wrong instance and check that the schedules detect it.
    """

    @seed(20261204)
    @settings(max_examples=60, deadline=None, database=None)
    @given(st.integers(min_value=0, max_value=10**6))
    def test_no_schedule_duplicates_a_booking(self, seed_value):
        fleet, wrong = asyncio.run(run_schedule(seed_value))
        duplicates = {k: n for k, n in fleet.service.effects.items() if n > 1}
        self.assertEqual(duplicates, {})
        self.assertEqual(wrong, Counter())

    def test_check_detects_calls_without_claims(self):
        duplicates = 0
        for seed_value in range(5):
            fleet, _ = asyncio.run(run_schedule(seed_value, _InstanceWithoutClaims))
            duplicates += sum(1 for n in fleet.service.effects.values() if n > 1)
        self.assertGreater(duplicates, 0)

    def test_check_detects_a_false_not_run(self):
        wrong: Counter[str] = Counter()
        for seed_value in range(20):
            wrong += asyncio.run(run_schedule(seed_value, _InstanceReportingNotRun))[1]
        self.assertGreater(wrong["false 'not run'"], 0)
