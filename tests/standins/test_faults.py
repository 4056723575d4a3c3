"""Tests of the fault rules and the faults that all stand-ins share."""

import unittest

from standins.faults import FaultInjector, FaultRule, FaultSet
from standins.service import ServiceApp, ServiceOptions
from tests.standins.support import StandInTest

FACTS = {"method": "POST", "path": "/bookings"}


def load(seed: int = 1, **rule) -> FaultInjector:
    """Return an injector with one rule."""
    injector = FaultInjector()
    injector.load(FaultSet(seed=seed, rules=(FaultRule(**rule),)))
    return injector


def fire(injector: FaultInjector, times: int, kind: str = "refuse") -> list[bool]:
    """Return for each of the requests whether the rule fired."""
    return [injector.pick(kind, FACTS) is not None for _ in range(times)]


class FaultInjectorTest(unittest.TestCase):
    """Guard against faults that fire at other requests than a test means."""

    def test_after_and_count_choose_the_requests(self):
        injector = load(kind="refuse", after=1, count=2)
        self.assertEqual(fire(injector, 5), [False, True, True, False, False])

    def test_method_path_and_kind_must_match(self):
        self.assertEqual(fire(load(kind="refuse", method="GET"), 1), [False])
        self.assertEqual(fire(load(kind="refuse", path="/stock"), 1), [False])
        self.assertEqual(fire(load(kind="slow"), 1), [False])

    def test_same_seed_gives_the_same_faults(self):
        first, second = (fire(load(7, kind="refuse", share=0.5), 50) for _ in range(2))
        self.assertEqual(first, second)
        self.assertIn(True, first)
        self.assertIn(False, first)


class SharedFaultsTest(StandInTest):
    """Guard against a fault that has an effect, or leaves out one, unnoticed."""

    async def asyncSetUp(self):
        self.app = ServiceApp(ServiceOptions(), self.clock)
        self.address = await self.serve(self.app)

    async def book(self):
        return await self.call("POST", self.address, "/bookings", {"item": "glass"})

    async def test_invalid_fault_set_is_refused(self):
        for body in ({"rules": [{"kind": "typo"}]}, {"rulez": []}, {"rules": 3}):
            answer = await self.call("POST", self.address, "/faults", body)
            self.assertEqual(answer.status, 400)

    async def test_empty_fault_set_removes_the_rules(self):
        await self.post_faults(self.address, {"kind": "refuse"})
        self.assertEqual((await self.book()).status, 503)
        await self.post_faults(self.address)
        self.assertEqual((await self.book()).status, 201)

    async def test_refusal_has_no_effect(self):
        await self.post_faults(self.address, {"kind": "refuse", "status": 429})
        self.assertEqual((await self.book()).status, 429)
        self.assertEqual(self.app.effects, [])

    async def test_close_comes_before_any_effect(self):
        await self.post_faults(self.address, {"kind": "close", "count": 1})
        with self.assertRaises(ConnectionError):
            await self.book()
        self.assertEqual(self.app.effects, [])
        self.assertEqual((await self.book()).status, 201)

    async def test_hang_ends_without_answer_or_effect(self):
        await self.post_faults(self.address, {"kind": "hang", "seconds": 5})
        with self.assertRaises(ConnectionError):
            await self.book()
        self.assertGreaterEqual(self.clock.monotonic(), 5)
        self.assertEqual(self.app.effects, [])

    async def test_slow_delays_the_answer(self):
        await self.post_faults(self.address, {"kind": "slow", "seconds": 5})
        self.assertEqual((await self.book()).status, 201)
        self.assertGreaterEqual(self.clock.monotonic(), 5)

    async def test_lost_answer_comes_after_the_effect(self):
        await self.post_faults(self.address, {"kind": "lose_answer"})
        with self.assertRaises(ConnectionError):
            await self.book()
        self.assertEqual(len(self.app.effects), 1)

    async def test_faults_report_how_often_each_rule_fired(self):
        await self.post_faults(self.address, {"kind": "refuse"})
        await self.book()
        answer = await self.call("GET", self.address, "/faults")
        self.assertEqual(answer.body["rules"][0]["fired"], 1)
