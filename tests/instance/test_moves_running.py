"""Tests of moves on complete instances with simulated services, on loopback."""

import asyncio
import unittest
from datetime import UTC, datetime, timedelta

from standins.client import fetch_json
from tests.instance.cluster import ADMIN_KEY, MODEL, TEST_TIMEOUT_SECONDS, LocalFleet

OUTAGE = {"rules": [{"kind": "refuse"}]}


class OutageReportTest(unittest.IsolatedAsyncioTestCase):
    """Guard against an outage of the log that is not reported to operators."""

    async def asyncSetUp(self):
        self.fleet = LocalFleet(instances=2, engines=1)
        await self.enterAsyncContext(self.fleet)
        versions = {"versions": ["v1", "v2"], "shares": {"v1": 1.0}}
        await self.fleet.put("model", MODEL, versions)
        start = datetime.now(UTC) + timedelta(hours=1)
        move = {
            "model": MODEL,
            "from": "v1",
            "to": "v2",
            "start": start.isoformat(),
            "finish_by": (start + timedelta(hours=3)).isoformat(),
        }
        await self.fleet.put("version-move", "mv", move)

    async def read_status(self, number: int):
        headers = {"Authorization": f"Bearer {ADMIN_KEY}"}
        path = "/admin/v1/version-move/mv"
        address = self.fleet.address(number)
        return (await fetch_json("GET", address, path, headers=headers)).body["status"]

    async def open_watch(self, number: int) -> asyncio.StreamReader:
        """Return the reader of what an instance reports to a watch."""
        host, _, port = self.fleet.address(number).rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        writer.write(
            b"GET /admin/v1/watch HTTP/1.1\r\nHost: x\r\n"
            b"Authorization: Bearer " + ADMIN_KEY.encode() + b"\r\n\r\n"
        )
        return reader

    async def wait_log_event(self, reader: asyncio.StreamReader) -> str:
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while True:
                line = await reader.readline()
                if b'"type":"log"' in line:
                    return "down" if b'"down"' in line else "up"

    # Each instance judges the log by its own last read, so both reports are awaited.
    async def test_status_and_watch_report_an_outage_and_its_end(self):
        readers = [await self.open_watch(number) for number in range(2)]
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while "claiming" in str(await self.read_status(0)):
                await asyncio.sleep(0.1)
        await fetch_json("POST", self.fleet.log_address, "/faults", OUTAGE)
        for number, reader in enumerate(readers):
            self.assertEqual(await self.wait_log_event(reader), "down")
            status = await self.read_status(number)
            self.assertEqual(status["driver_state"], "held-by-log")
            self.assertEqual((status["share"], status["verdict"]), (0.0, "clear"))
        await fetch_json("POST", self.fleet.log_address, "/faults", {})
        for reader in readers:
            self.assertEqual(await self.wait_log_event(reader), "up")
