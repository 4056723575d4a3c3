"""Tests of the log."""

import asyncio

from standins.client import fetch_json
from standins.log import LogApp, LogOptions
from tests.standins.support import StandInTest

PATH = "/v1/streams/config/records"


class LogTest(StandInTest):
    """Guard against a log whose offsets, limits or faults mislead its clients."""

    async def start(self, **options) -> str:
        return await self.serve(LogApp(LogOptions(**options), self.clock))

    async def append(self, address: str, *records: str):
        return await self.call("POST", address, PATH, {"records": list(records)})

    async def read(self, address: str, query: str):
        return await self.call("GET", address, f"{PATH}?{query}")

    async def test_offsets_count_records_of_each_stream(self):
        address = await self.start()
        await self.append(address, "a", "b")
        second = await self.append(address, "c")
        self.assertEqual(second.body, {"first_offset": 2})
        answer = await self.read(address, "from=1&limit=1")
        self.assertEqual(answer.body["records"], [{"offset": 1, "data": "b"}])
        self.assertEqual(answer.body["next_offset"], 2)
        other = await self.call("GET", address, "/v1/streams/claims/records?from=0")
        self.assertEqual(other.body["records"], [])

    async def test_dropped_offset_names_the_oldest(self):
        address = await self.start(retain_records=2)
        await self.append(address, "a", "b", "c")
        answer = await self.read(address, "from=0")
        self.assertEqual((answer.status, answer.body["oldest_offset"]), (410, 1))

    async def test_old_records_are_dropped_but_offsets_go_on(self):
        address = await self.start(retain_seconds=10)
        await self.append(address, "a")
        self.clock.advance(11)
        self.assertEqual((await self.read(address, "from=0")).status, 410)
        self.assertEqual((await self.append(address, "b")).body["first_offset"], 1)

    async def test_append_rate_is_limited_and_recovers(self):
        address = await self.start(append_burst=2, appends_per_second=0.001)
        statuses = [(await self.append(address, "a")).status for _ in range(3)]
        self.assertEqual(statuses, [200, 200, 429])
        self.clock.advance(1000)
        self.assertEqual((await self.append(address, "a")).status, 200)
        answer = await self.read(address, "from=0")
        self.assertEqual(len(answer.body["records"]), 3)

    async def test_long_poll_returns_at_the_append(self):
        address = await self.start()
        path = f"{PATH}?from=0&wait_ms=20000"
        reader = asyncio.ensure_future(fetch_json("GET", address, path))
        await self.settle()
        await self.append(address, "a")
        answer = await self.drive(asyncio.wait_for(reader, 10))
        self.assertEqual(len(answer.body["records"]), 1)
        self.assertLess(self.clock.monotonic(), 20)

    async def test_long_poll_ends_empty_after_its_wait(self):
        address = await self.start()
        answer = await self.read(address, "from=0&wait_ms=2000")
        self.assertEqual((answer.status, answer.body["records"]), (200, []))
        self.assertGreaterEqual(self.clock.monotonic(), 2)

    async def test_lost_answer_leaves_the_record(self):
        address = await self.start()
        await self.post_faults(address, {"kind": "lose_answer", "method": "POST"})
        with self.assertRaises(ConnectionError):
            await self.append(address, "a")
        answer = await self.read(address, "from=0")
        self.assertEqual(len(answer.body["records"]), 1)

    async def test_outage_refuses_appends_and_reads(self):
        address = await self.start()
        await self.post_faults(address, {"kind": "refuse", "path": "/v1"})
        self.assertEqual((await self.append(address, "a")).status, 503)
        self.assertEqual((await self.read(address, "from=0")).status, 503)
        await self.post_faults(address)
        self.assertEqual((await self.read(address, "from=0")).body["records"], [])

    async def test_slowness_delays_appends(self):
        address = await self.start()
        await self.post_faults(address, {"kind": "slow", "seconds": 3})
        await self.append(address, "a")
        self.assertGreaterEqual(self.clock.monotonic(), 3)

    async def test_malformed_appends_and_reads_are_refused(self):
        address = await self.start()
        for body in ([], {"records": []}, {"records": [1]}, {"records": "a"}):
            self.assertEqual((await self.call("POST", address, PATH, body)).status, 400)
        self.assertEqual((await self.read(address, "from=-1")).status, 400)
