"""Tests of the list of instances and targets."""

from standins.instances import InstancesApp, InstancesOptions
from tests.standins.support import StandInTest

PATH = "/v1/instances"
ENTRY = {"kind": "entry", "address": "127.0.0.1:1", "data_centre": "dc-1"}


class InstancesTest(StandInTest):
    """Guard against a list that shows changes too early or not at all."""

    async def start(self, **options) -> str:
        app = InstancesApp(InstancesOptions(**options), self.clock)
        return await self.serve(app)

    async def put(self, address: str, name: str, **fields):
        body = {**ENTRY, **fields}
        return await self.call("PUT", address, f"{PATH}/{name}", body)

    async def show(self, address: str) -> dict[str, str]:
        answer = await self.call("GET", address, PATH)
        return {entry["id"]: entry["state"] for entry in answer.body["instances"]}

    async def test_changes_show_after_the_lag_and_not_before(self):
        address = await self.start(lag_seconds=100)
        await self.put(address, "entry-1")
        self.assertEqual(await self.show(address), {})
        self.clock.advance(101)
        self.assertEqual(await self.show(address), {"entry-1": "live"})
        await self.put(address, "entry-1", state="leaving")
        self.assertEqual(await self.show(address), {"entry-1": "live"})
        self.clock.advance(101)
        self.assertEqual(await self.show(address), {"entry-1": "leaving"})
        await self.call("DELETE", address, f"{PATH}/entry-1")
        self.clock.advance(101)
        await self.put(address, "entry-2")
        self.assertEqual(await self.show(address), {})

    async def test_readers_disagree_for_the_spread(self):
        address = await self.start(lag_seconds=100, spread_seconds=100)
        await self.put(address, "entry-1")
        self.clock.advance(150)
        views = [await self.show(address) for _ in range(20)]
        self.assertIn({}, views)
        self.assertIn({"entry-1": "live"}, views)
        self.clock.advance(51)
        self.assertEqual(await self.show(address), {"entry-1": "live"})

    async def test_outage_refuses_readers(self):
        address = await self.start(lag_seconds=0)
        await self.post_faults(address, {"kind": "refuse", "method": "GET"})
        answer = await self.call("GET", address, PATH)
        self.assertEqual(answer.status, 503)

    async def test_invalid_entries_are_refused(self):
        address = await self.start(lag_seconds=0)
        self.assertEqual((await self.put(address, "a", state="dead")).status, 400)
        self.assertEqual((await self.put(address, "a", kind="host")).status, 400)
        self.assertEqual(await self.show(address), {})
