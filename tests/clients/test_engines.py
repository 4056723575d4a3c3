"""Tests of the engine client and of the target prober."""

import unittest

from returns.result import Failure

from carobladder.clients.engines import EngineClient, OrderOutcome, TargetProber
from carobladder.clients.ports import HttpAnswer
from carobladder.clock import VirtualClock
from carobladder.exceptions import ConnectionBrokenError
from carobladder.limits.declarations import TargetDeclaration
from carobladder.targets import TargetState

LOAD = b"""{"boot_id": "b1", "ready": true, "cold": true, "running": 2,
    "waiting": 1, "bearable": 5, "version": "1"}"""


class _Fetcher:
    def __init__(self, answer: HttpAnswer | ConnectionBrokenError) -> None:
        self.answer = answer
        self.calls = []

    async def fetch(self, method, address, path, **options):
        self.calls.append((method, address, path, options["body"]))
        if isinstance(self.answer, ConnectionBrokenError):
            raise self.answer
        return self.answer


class EngineClientTest(unittest.IsolatedAsyncioTestCase):
    """Engine responses must map to the right reports and order outcomes."""

    async def test_load_report_is_decoded(self):
        client = EngineClient(_Fetcher(HttpAnswer(200, (), LOAD)))
        report = (await client.read_load("a", 1.0)).unwrap()
        self.assertEqual((report.boot_id, report.bearable), ("b1", 5))

    async def test_boot_id_header_overrides_a_report_from_before_a_restart(self):
        answer = HttpAnswer(200, (("x-boot-id", "b2"),), LOAD)
        report = (await EngineClient(_Fetcher(answer)).read_load("a", 1.0)).unwrap()
        self.assertEqual((report.boot_id, report.cold), ("b2", True))
        self.assertIsNone(report.bearable)

    async def test_unusable_load_report_is_a_failure(self):
        for answer in (HttpAnswer(200, (), b"[]"), HttpAnswer(500, (), LOAD)):
            result = await EngineClient(_Fetcher(answer)).read_load("a", 1.0)
            self.assertIsInstance(result, Failure)

    async def test_status_and_errors_map_to_order_outcomes(self):
        cases = [
            (HttpAnswer(202, (), b"{}"), OrderOutcome.ACCEPTED),
            (HttpAnswer(409, (), b"{}"), OrderOutcome.STALE),
            (HttpAnswer(400, (), b"{}"), OrderOutcome.REFUSED),
            (HttpAnswer(503, (), b"{}"), OrderOutcome.UNKNOWN),
            (ConnectionBrokenError("x", request_written=True), OrderOutcome.UNKNOWN),
            (ConnectionBrokenError("x", request_written=False), OrderOutcome.NOT_SENT),
        ]
        for answer, expected in cases:
            fetcher = _Fetcher(answer)
            outcome = await EngineClient(fetcher).send_order("a", 7, "load", "2")
            self.assertEqual(outcome, expected)
            self.assertEqual(
                fetcher.calls[0][3], b'{"fencing":7,"action":"load","version":"2"}'
            )

    async def test_cache_events_are_decoded_and_transfers_return_bytes_or_failure(self):
        events = b"""{"boot_id": "b1", "next": 9,
            "events": [{"sequence": 8, "type": "stored", "blocks": ["x"]}]}"""
        fetcher = _Fetcher(HttpAnswer(200, (), events))
        read = (await EngineClient(fetcher).read_cache_events("a", 5, 1.0)).unwrap()
        self.assertEqual((read.next, read.events[0].blocks), (9, ("x",)))
        self.assertEqual(fetcher.calls[0][2], "/cache-events?from=5")
        moved = await EngineClient(fetcher).export_cache("a", b"{}")
        self.assertEqual(moved.unwrap(), events)
        broken = ConnectionBrokenError("x", request_written=True)
        failed = await EngineClient(_Fetcher(broken)).import_cache("a", b"{}")
        self.assertIsInstance(failed, Failure)

    async def test_prober_records_none_for_an_unresponsive_target(self):
        declared = TargetDeclaration(TargetState("t1", "m", "1", "dc-1", "a"))
        recorded = []
        for answer in (
            HttpAnswer(200, (), LOAD),
            ConnectionBrokenError("x", request_written=True),
        ):
            prober = TargetProber(
                EngineClient(_Fetcher(answer)),
                VirtualClock(),
                0.5,
                lambda: [declared],
                lambda target, probe: recorded.append((target, probe)),
            )
            await prober.probe_all()
        self.assertEqual(recorded[0][1].bearable, 5)
        self.assertEqual(recorded[1], ("t1", None))
