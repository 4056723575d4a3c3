"""Tests of the plain service."""

import asyncio

from standins.client import fetch_json
from standins.service import ServiceApp, ServiceOptions
from tests.standins.support import StandInTest

KEY = {"Idempotency-Key": "key-1"}
ITEM = {"item": "remnant-7"}


class ServiceTest(StandInTest):
    """Guard against a service that hides a doubled or lost booking."""

    async def asyncSetUp(self):
        self.app = ServiceApp(ServiceOptions(), self.clock)
        self.address = await self.serve(self.app)

    async def test_repeated_key_books_twice_and_both_show(self):
        for _ in range(2):
            await self.call("POST", self.address, "/bookings", ITEM, KEY)
        answer = await self.call("GET", self.address, "/effects")
        shown = [effect["key"] for effect in answer.body["effects"]]
        self.assertEqual(shown, ["key-1", "key-1"])

    async def test_lookup_tells_whether_a_key_was_booked(self):
        path = "/bookings/key-1"
        self.assertEqual((await self.call("GET", self.address, path)).status, 404)
        booked = await self.call("POST", self.address, "/bookings", ITEM, KEY)
        found = await self.call("GET", self.address, path)
        self.assertEqual(found.body, booked.body)

    async def test_lookup_finds_bookings_of_a_sibling(self):
        options = ServiceOptions(siblings=[self.address])
        other = await self.serve(ServiceApp(options, self.clock))
        await self.call("POST", self.address, "/bookings", ITEM, KEY)
        found = await self.call("GET", other, "/bookings/key-1")
        self.assertEqual(found.status, 200)

    async def test_lookup_without_answer_of_a_sibling_is_no_denial(self):
        options = ServiceOptions(siblings=[self.address])
        other = await self.serve(ServiceApp(options, self.clock))
        await self.post_faults(self.address, {"kind": "close"})
        found = await self.call("GET", other, "/bookings/key-1")
        self.assertEqual(found.status, 503)

    async def test_slow_answer_leaves_the_effect_behind_a_lost_caller(self):
        await self.post_faults(self.address, {"kind": "slow_answer", "seconds": 60})
        call = fetch_json("POST", self.address, "/bookings", ITEM, KEY)
        caller = asyncio.ensure_future(call)
        for _ in range(5):
            await self.settle()
            self.clock.advance(0.01)
        self.assertFalse(caller.done())
        caller.cancel()
        await self.settle()
        self.assertEqual([effect.key for effect in self.app.effects], ["key-1"])
        self.clock.advance(120)

    async def test_booking_goes_on_when_its_caller_has_left(self):
        await self.post_faults(self.address, {"kind": "slow", "seconds": 1})
        call = fetch_json("POST", self.address, "/bookings", ITEM, KEY)
        caller = asyncio.ensure_future(call)
        await self.settle()
        caller.cancel()
        await self.settle()
        self.assertEqual(self.app.effects, [])
        self.clock.advance(1)
        await self.settle()
        self.clock.advance(1)
        await self.settle()
        self.assertEqual(len(self.app.effects), 1)

    async def test_bad_booking_and_unknown_path_have_no_effect(self):
        bad = await self.call("POST", self.address, "/bookings", {"item": 3})
        unknown = await self.call("POST", self.address, "/other", ITEM)
        self.assertEqual((bad.status, unknown.status), (400, 404))
        self.assertEqual(self.app.effects, [])

    async def test_stock_and_load_reports(self):
        stock = await self.call("GET", self.address, "/stock/wool")
        self.assertEqual(stock.body["item"], "wool")
        load = await self.call("GET", self.address, "/load")
        self.assertEqual(load.body["boot_id"], load.headers["x-boot-id"])
