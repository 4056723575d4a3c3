"""Tests of the log client against a scripted HTTP interface."""

import asyncio
import json
import unittest

from carobladder.clients.log import Batch, LogClient, LogRecord
from carobladder.clients.ports import HttpAnswer
from carobladder.exceptions import (
    ConnectionBrokenError,
    LogUnavailableError,
    OffsetDroppedError,
)


class ScriptedFetcher:
    """Give one prepared answer and keep the request."""

    def __init__(self, result: HttpAnswer | Exception) -> None:
        self.result = result
        self.requests: list[tuple[str, str, bytes, float]] = []

    async def fetch(
        self, method, address, path, *, headers=(), body=b"", timeout_seconds
    ):
        self.requests.append((method, path, body, timeout_seconds))
        if isinstance(self.result, Exception):
            raise self.result
        return self.result


def answer(status: int, body: object) -> HttpAnswer:
    """Return an answer with a JSON body."""
    return HttpAnswer(status, (), json.dumps(body).encode())


class AppendTest(unittest.TestCase):
    """Guard against calling an append refused that may have taken effect."""

    def append_error(self, result: HttpAnswer | Exception) -> LogUnavailableError:
        client = LogClient(ScriptedFetcher(result), "127.0.0.1:1")
        with self.assertRaises(LogUnavailableError) as caught:
            asyncio.run(client.append("config", [b"x"]))
        return caught.exception

    def test_returns_first_offset_and_sends_the_records(self):
        fetcher = ScriptedFetcher(answer(200, {"first_offset": 7}))
        client = LogClient(fetcher, "127.0.0.1:1")
        self.assertEqual(asyncio.run(client.append("config", [b"a", b"b"])), 7)
        method, path, body, _ = fetcher.requests[0]
        self.assertEqual((method, path), ("POST", "/v1/streams/config/records"))
        self.assertEqual(json.loads(body), {"records": ["a", "b"]})

    def test_lost_answers_may_have_taken_effect(self):
        for result in (
            ConnectionBrokenError("reset", request_written=True),
            answer(500, {}),
            HttpAnswer(200, (), b"{"),
        ):
            with self.subTest(result=result):
                self.assertTrue(self.append_error(result).may_have_taken_effect)

    def test_refusals_have_no_effect(self):
        for result in (
            ConnectionBrokenError("refused", request_written=False),
            answer(503, {}),
            answer(413, {}),
        ):
            with self.subTest(result=result):
                self.assertFalse(self.append_error(result).may_have_taken_effect)

    def test_binary_records_are_refused_before_anything_is_sent(self):
        fetcher = ScriptedFetcher(answer(200, {"first_offset": 0}))
        with self.assertRaises(ValueError):
            asyncio.run(LogClient(fetcher, "x").append("config", [b"\xff"]))
        self.assertEqual(fetcher.requests, [])


class ReadTest(unittest.TestCase):
    """Guard against records lost between an answer and its reader."""

    def read(self, fetcher: ScriptedFetcher, wait_seconds: float = 0.0) -> Batch:
        client = LogClient(fetcher, "127.0.0.1:1", timeout_seconds=2)
        return asyncio.run(client.read("config", 3, wait_seconds))

    def test_long_poll_extends_the_time_limit(self):
        body = {
            "records": [{"offset": 3, "data": "é"}],
            "next_offset": 4,
            "oldest_offset": 1,
        }
        fetcher = ScriptedFetcher(answer(200, body))
        batch = self.read(fetcher, 10.0)
        self.assertEqual(batch, Batch((LogRecord(3, "é".encode()),), 4, 1))
        _, path, _, timeout_seconds = fetcher.requests[0]
        self.assertIn("from=3", path)
        self.assertIn("wait_ms=10000", path)
        self.assertEqual(timeout_seconds, 12.0)

    def test_dropped_offset_tells_the_oldest(self):
        with self.assertRaises(OffsetDroppedError) as caught:
            self.read(ScriptedFetcher(answer(410, {"oldest_offset": 9})))
        self.assertEqual(caught.exception.oldest_offset, 9)

    def test_outages_are_typed(self):
        for result in (
            answer(503, {}),
            HttpAnswer(200, (), b"[]"),
            ConnectionBrokenError("reset", request_written=True),
        ):
            with self.subTest(result=result), self.assertRaises(LogUnavailableError):
                self.read(ScriptedFetcher(result))
