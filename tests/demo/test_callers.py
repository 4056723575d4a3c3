"""Tests of the callers' checks and retries."""

import time
import uuid

from demo import callers
from demo.callers import Balancer, Caller, ChatCall, new_uuid7
from demo.tally import RunTally
from standins.engine import EngineApp, EngineOptions, expected_text
from standins.http import start_app
from standins.service import ServiceApp, ServiceOptions
from tests.standins.support import StandInTest

MESSAGES = [{"role": "user", "content": "one two three"}]
SERVICE = ServiceOptions(work_seconds=0)


class UnknownOutcomes(ServiceApp):
    """Answer the first bookings as the fleet does for an unknown outcome."""

    def __init__(self, times: int) -> None:
        super().__init__(SERVICE)
        self._left = times
        self.keys: list[str] = []

    async def handle(self, exchange) -> None:
        self.keys.append(exchange.request.headers["idempotency-key"])
        self._left -= 1
        if self._left >= 0:
            await exchange.answer(502, {"error": {"outcome": "unknown"}})
        else:
            await super().handle(exchange)


class CallerTest(StandInTest):
    """Guard against callers that accept a cut, wrong or repeated answer."""

    def setUp(self):
        super().setUp()
        self.tally = RunTally()

    async def serve_engine(self) -> str:
        options = EngineOptions(warm_tokens=0, step_ms=0.1, step_ms_per_request=0)
        return await self.enterAsyncContext(start_app(EngineApp(options)))

    def caller(self, *addresses: str, killed: str = "", version: str = "1") -> Caller:
        balancer = Balancer(addresses, seed=1)
        if killed:
            balancer.note_killed(killed)
        return Caller(balancer, self.tally, frozenset({version}))

    def chat(self, stream: bool = True) -> ChatCall:
        return ChatCall("chats", "quick", "team", "quotes", MESSAGES, 6, stream)

    async def test_whole_answers_are_counted(self):
        caller = self.caller(await self.serve_engine())
        wanted = expected_text("quotes", "1", MESSAGES, 6)
        for stream in (True, False):
            self.assertEqual(await caller.complete(self.chat(stream)), wanted)
        tally = self.tally.kinds["chats"]
        self.assertEqual((tally.requests, tally.whole, tally.retries), (2, 2, 0))
        self.assertEqual(tally.prompt_tokens, 2 * 5)
        self.assertTrue(all(0 < t < 60 for t in tally.first_token_seconds))
        self.assertEqual(self.tally.list_failures(), [])

    async def test_text_of_an_undeclared_version_fails(self):
        caller = self.caller(await self.serve_engine(), version="2")
        await caller.complete(self.chat())
        self.assertIn("wrong text", self.tally.list_failures()[0])

    async def test_refusal_is_retried_and_counted(self):
        address = await self.serve_engine()
        await self.post_faults(address, {"kind": "refuse", "count": 2})
        self.assertTrue(await self.caller(address).complete(self.chat()))
        tally = self.tally.kinds["chats"]
        self.assertEqual((tally.whole, tally.refusals), (1, 2))
        self.assertEqual(self.tally.list_failures(), [])

    async def test_cut_answer_of_a_live_instance_fails(self):
        address = await self.serve_engine()
        rule = {"kind": "break_stream", "tokens": 2, "count": 1}
        await self.post_faults(address, rule)
        self.assertTrue(await self.caller(address).complete(self.chat()))
        self.assertIn("live instance", self.tally.list_failures()[0])

    async def test_cut_answer_of_a_killed_instance_is_retried(self):
        address = await self.serve_engine()
        rule = {"kind": "break_stream", "tokens": 2, "count": 1}
        await self.post_faults(address, rule)
        caller = self.caller(address, killed=address)
        self.assertTrue(await caller.complete(self.chat()))
        self.assertEqual(self.tally.kinds["chats"].retries, 1)
        self.assertEqual(self.tally.list_failures(), [])

    async def test_giving_up_fails(self):
        address = await self.serve_engine()
        await self.post_faults(address, {"kind": "refuse"})
        before = callers._GIVE_UP_SECONDS
        self.addCleanup(setattr, callers, "_GIVE_UP_SECONDS", before)
        callers._GIVE_UP_SECONDS = 0.2
        self.assertEqual(await self.caller(address).complete(self.chat()), "")
        self.assertIn("gave up", self.tally.list_failures()[0])

    async def test_booking_is_repeated_with_the_same_key(self):
        app = ServiceApp(SERVICE)
        address = await self.enterAsyncContext(start_app(app))
        rule = {"kind": "lose_answer", "count": 1}
        await self.post_faults(address, rule)
        caller = self.caller(address, killed=address)
        await caller.book("bookings", "team", "/bookings", "item-1")
        self.assertEqual(len({effect.key for effect in app.effects}), 1)
        self.assertEqual(len(app.effects), 2)
        self.assertIn("item-1", self.tally.booked)

    async def book_unknown(self, times: int, killed: str) -> ServiceApp:
        app = UnknownOutcomes(times)
        address = await self.enterAsyncContext(start_app(app))
        caller = self.caller(address, killed=killed)
        await caller.book("bookings", "team", "/bookings", "item-1")
        return app

    async def test_unknown_outcome_is_asked_again_with_the_same_key(self):
        app = await self.book_unknown(1, killed="other")
        self.assertEqual(len(set(app.keys)), 1)
        self.assertEqual((self.tally.reordered, len(app.effects)), (0, 1))
        self.assertEqual(self.tally.failures, [])

    async def test_item_is_ordered_again_if_its_outcome_stays_unknown(self):
        app = await self.book_unknown(2, killed="other")
        self.assertEqual(len(set(app.keys)), 2)
        self.assertEqual((self.tally.reordered, len(app.effects)), (1, 1))
        self.assertEqual(self.tally.kinds["bookings"].requests, 1)

    async def test_unknown_outcome_without_a_killed_instance_fails(self):
        await self.book_unknown(1, killed="")
        self.assertIn("live instance", self.tally.failures[0])

    async def test_look_up_is_checked(self):
        address = await self.enterAsyncContext(start_app(ServiceApp(SERVICE)))
        await self.caller(address).look_up("stock", "team", "/stock/wool")
        self.assertEqual(self.tally.kinds["stock"].whole, 1)


class KeyTest(StandInTest):
    """Guard against keys that the fleet would refuse."""

    def test_key_is_a_version_7_uuid_of_now(self):
        key = uuid.UUID(new_uuid7())
        self.assertEqual((key.version, key.variant), (7, uuid.RFC_4122))
        self.assertLess(abs((key.int >> 80) / 1000 - time.time()), 60)


class BalancerTest(StandInTest):
    """Guard against retries through the instance that just failed."""

    def test_other_instance_is_chosen_if_there_is_one(self):
        balancer = Balancer(["a", "b", "c"], seed=1)
        self.assertEqual({balancer.choose("a") for _ in range(50)}, {"b", "c"})
        balancer.remove("b")
        self.assertEqual({balancer.choose("a") for _ in range(50)}, {"c"})
        balancer.remove("c")
        self.assertEqual(balancer.choose("a"), "a")
