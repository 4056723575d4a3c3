"""Tests of plain services and bookings."""

import asyncio
import unittest

from carobladder.exceptions import NoCapacityError
from tests.gateway.engines import read_request
from tests.gateway.fakes import BOOKING_KEY, TEST_TIMEOUT_SECONDS, Gateway, read_error
from tests.gateway.scripted_servers import ScriptedServer

UNUSED_ADDRESS = "127.0.0.1:1"


class Service:
    """Service that responds to each call, or closes after reading it if ``cut``."""

    def __init__(self):
        self.requests = []
        self.cut = False
        self.status = 200
        self.release = asyncio.Event()
        self.release.set()
        self.arrived = asyncio.Event()

    async def serve(self, reader, writer, number):
        """Handle one connection."""
        while True:
            self.requests.append(await read_request(reader))
            self.arrived.set()
            await self.release.wait()
            if self.cut:
                return
            writer.write(
                b"HTTP/1.1 %d X\r\nContent-Length: 6\r\nX-Boot-Id: b1\r\n"
                b"Connection: X-Hop\r\nX-Hop: private\r\n\r\nbooked" % self.status
            )
            await writer.drain()


class ServiceTest(unittest.IsolatedAsyncioTestCase):
    """Guard against duplicate bookings and leaked credentials."""

    async def asyncSetUp(self):
        self.service = Service()
        self.server = await self.enterAsyncContext(ScriptedServer(self.service.serve))
        self.gateway = await self.enterAsyncContext(Gateway(self.server.address))

    async def book(self, **headers):
        headers.setdefault("Idempotency_Key", BOOKING_KEY)
        return await self.gateway.call("POST", "/bookings?slot=3", b"cut", **headers)

    async def test_call_is_forwarded_without_the_team_key(self):
        answer = await self.gateway.call("GET", "/stock/7?all=1", X_Extra="1")
        request = self.service.requests[0]
        self.assertEqual((answer.status, answer.body), (200, b"booked"))
        self.assertEqual(request.head, "GET /stock/7?all=1 HTTP/1.1")
        self.assertEqual(request.headers["x-extra"], "1")
        self.assertNotIn("authorization", request.headers)
        self.assertNotIn("x-hop", dict(answer.headers))
        self.assertEqual(
            request.headers["x-request-id"], dict(answer.headers)["x-request-id"]
        )

    async def test_repeatable_call_is_retried_on_another_target(self):
        self.gateway.directory.addresses.insert(0, UNUSED_ADDRESS)
        statuses = [(await self.gateway.call("GET", "/stock")).status for _ in range(8)]
        self.assertEqual(statuses, [200] * 8)

    async def test_booking_runs_once_per_key(self):
        answers = [await self.book() for _ in range(2)]
        self.assertEqual([answer.body for answer in answers], [b"booked"] * 2)
        self.assertEqual(len(self.service.requests), 1)
        outcome = await self.gateway.call("GET", f"/v1/outcomes/{BOOKING_KEY}")
        self.assertEqual(outcome.body, b"booked")

    async def test_booking_with_a_lost_response_is_not_retried(self):
        self.service.cut = True
        self.gateway.directory.addresses.append(self.server.address)
        answer = await self.book()
        self.assertEqual(answer.status, 502)
        self.assertEqual(read_error(answer)["outcome"], "unknown")
        self.assertEqual(len(self.service.requests), 1)

    async def test_error_response_to_a_booking_is_relayed(self):
        self.service.status = 503
        self.gateway.directory.addresses.append(self.server.address)
        self.assertEqual((await self.book()).status, 503)
        self.assertEqual(len(self.service.requests), 1)

    async def test_booking_that_was_not_written_is_retried(self):
        self.gateway.directory.addresses.insert(0, UNUSED_ADDRESS)
        self.assertEqual((await self.book()).body, b"booked")

    async def test_booking_without_capacity_is_reported_as_not_run(self):
        self.gateway.admission.refusals = [NoCapacityError("full", 1.0)]
        answer = await self.book()
        self.assertEqual(answer.status, 429)
        self.assertEqual(read_error(answer)["outcome"], "not_run")
        self.assertEqual(self.service.requests, [])

    async def test_booking_completes_after_its_caller_disconnects(self):
        self.service.release.clear()
        call = asyncio.create_task(self.book())
        await self.service.arrived.wait()
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
        self.service.release.set()
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            await self.gateway.services.finish_bookings()
        self.assertEqual(self.gateway.bookings.answers[BOOKING_KEY].body, b"booked")
