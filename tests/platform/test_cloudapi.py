"""Tests of the client of the platform's API for usage and numbers of servers."""

import json
import unittest

from carobladder.clients.http import HttpClient
from carobladder.clock import SystemClock
from carobladder.duties import CallOutcome, CallPermit
from carobladder.platform.cloudapi import CloudApi
from tests.forwarding.fixtures import ScriptedTarget


class CloudApiTest(unittest.IsolatedAsyncioTestCase):
    """Guard against calls in a wrong format and outcomes that are misread."""

    async def start(self, status: str) -> CloudApi:
        async def answer(request, writer):
            if not status:
                writer.transport.abort()
                return
            writer.write(f"HTTP/1.1 {status}\r\nContent-Length: 2\r\n\r\n{{}}".encode())

        self.target = ScriptedTarget(answer)
        server = await self.enterAsyncContext(self.target.server)
        client = HttpClient(SystemClock())
        self.addCleanup(client.close)
        return CloudApi(client, server.address, 1.0)

    def permit(self, *, confirmed=True):
        return CallPermit("front-1", 12_884_901_889, lambda: confirmed)

    async def test_calls_have_the_published_format(self):
        api = await self.start("200 OK")
        counts = {"hule930": 412, "fida11": 412}
        outcomes = [
            await api.report_usage(self.permit(), 353_445_120, counts),
            await api.order_targets(self.permit(), "huvo11a", "cl-central-a", 6),
        ]
        self.assertEqual(outcomes, [CallOutcome.ACCEPTED] * 2)
        usage, scale = self.target.requests
        head, _, body = usage.partition(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"POST /usage HTTP/1.1\r\n"))
        self.assertIn(b"carobladder-duty-holder: front-1", head.lower())
        self.assertIn(b"carobladder-fencing-token: 12884901889", head.lower())
        expected = {"windowId": 353_445_120, "counts": counts}
        self.assertEqual(json.loads(body), expected)
        head, _, body = scale.partition(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"POST /scale HTTP/1.1\r\n"))
        self.assertEqual(
            json.loads(body),
            {"service": "huvo11a", "zone": "cl-central-a", "desiredCount": 6},
        )

    async def test_statuses_are_told_apart(self):
        for status, outcome in (
            ("409 Conflict", CallOutcome.OUTDATED_TOKEN),
            ("429 Too Many Requests", CallOutcome.LIMITED),
            ("400 Bad Request", CallOutcome.REFUSED),
            ("503 Service Unavailable", CallOutcome.UNANSWERED),
            ("", CallOutcome.UNANSWERED),
        ):
            with self.subTest(status):
                api = await self.start(status)
                found = await api.report_usage(self.permit(), 1, {})
                self.assertIs(found, outcome)

    async def test_call_is_withheld_once_the_lease_is_over(self):
        api = await self.start("200 OK")
        found = await api.report_usage(self.permit(confirmed=False), 1, {})
        self.assertIs(found, CallOutcome.NOT_SENT)
        self.assertEqual(self.target.requests, [])

    async def test_unreachable_api_has_received_nothing(self):
        api = CloudApi(HttpClient(SystemClock()), "127.0.0.1:1", 1.0)
        found = await api.report_usage(self.permit(), 1, {})
        self.assertIs(found, CallOutcome.NOT_SENT)
