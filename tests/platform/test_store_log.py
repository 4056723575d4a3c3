"""Tests of StoreLog against scripted responses and the simulated store."""

import json
import struct
import unittest

from carobladder.clients.log import Batch, LogRecord
from carobladder.clients.ports import HttpAnswer
from carobladder.exceptions import (
    ConnectionBrokenError,
    LogUnavailableError,
    OffsetDroppedError,
)
from carobladder.platform.store import PlatformStore, StoreLog
from standins.store import join_page
from tests.platform.fake_store import FakeStore


class ScriptedFetcher:
    """HTTP client that records requests and always gives the same result."""

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


def json_answer(status: int, body: object) -> HttpAnswer:
    """Return a response with a JSON body."""
    return HttpAnswer(status, (), json.dumps(body).encode())


def open_log(result: HttpAnswer | Exception) -> tuple[StoreLog, ScriptedFetcher]:
    """Return a log whose store always gives this result, and its HTTP client."""
    fetcher = ScriptedFetcher(result)
    return StoreLog(PlatformStore(fetcher, "127.0.0.1:1", 2.0)), fetcher


class AppendTest(unittest.IsolatedAsyncioTestCase):
    """Guard against reporting an append as refused that may have taken effect."""

    async def append_error(self, result: HttpAnswer | Exception) -> LogUnavailableError:
        log, _ = open_log(result)
        with self.assertRaises(LogUnavailableError) as caught:
            await log.append("config", [b"x"])
        return caught.exception

    async def test_append_sends_the_records_and_returns_the_first_offset(self):
        log, fetcher = open_log(json_answer(200, {"offset": 7, "end": 9}))
        self.assertEqual(await log.append("config", [b"a", b"bc"]), 7)
        method, path, body, _ = fetcher.requests[0]
        self.assertEqual(method, "POST")
        self.assertEqual(path, "/-/log-append?topic=config&part=0")
        self.assertEqual(body, struct.pack(">I1sI2s", 1, b"a", 2, b"bc"))

    async def test_append_without_a_valid_response_may_have_taken_effect(self):
        for result in (
            ConnectionBrokenError("reset", request_written=True),
            json_answer(500, {}),
            json_answer(502, {}),
            HttpAnswer(200, (), b"{"),
        ):
            with self.subTest(result=result):
                error = await self.append_error(result)
                self.assertTrue(error.may_have_taken_effect)

    async def test_refused_append_has_no_effect(self):
        for result in (
            ConnectionBrokenError("refused", request_written=False),
            json_answer(503, {}),
            json_answer(507, {}),
            json_answer(429, {}),
            json_answer(413, {}),
        ):
            with self.subTest(result=result):
                error = await self.append_error(result)
                self.assertFalse(error.may_have_taken_effect)


class ReadTest(unittest.IsolatedAsyncioTestCase):
    """Guard against records that are in a response but do not reach the reader."""

    async def test_long_poll_extends_the_timeout(self):
        page = join_page(4, 1, ["é".encode()])
        log, fetcher = open_log(HttpAnswer(200, (), page))
        batch = await log.read("config", 3, 10.0)
        self.assertEqual(batch, Batch((LogRecord(3, "é".encode()),), 4, 1))
        _, path, _, timeout_seconds = fetcher.requests[0]
        self.assertIn("from=3", path)
        self.assertIn("waitMs=10000", path)
        self.assertEqual(timeout_seconds, 12.0)

    async def test_next_offset_follows_the_last_record_of_a_partial_page(self):
        page = join_page(9, 0, [b"a", b"b"])
        log, _ = open_log(HttpAnswer(200, (), page))
        self.assertEqual((await log.read("config", 3)).next_offset, 5)

    async def test_reading_a_dropped_offset_raises_with_the_oldest_offset(self):
        log, _ = open_log(json_answer(410, {"first": 9}))
        with self.assertRaises(OffsetDroppedError) as caught:
            await log.read("config", 3)
        self.assertEqual(caught.exception.oldest_offset, 9)

    async def test_outages_and_truncated_responses_raise_log_unavailable(self):
        page = join_page(4, 0, [b"abc"])
        for result in (
            json_answer(503, {}),
            HttpAnswer(200, (), b"[]"),
            HttpAnswer(200, (), page[:-1]),
            ConnectionBrokenError("reset", request_written=True),
        ):
            log, _ = open_log(result)
            with self.subTest(result=result), self.assertRaises(LogUnavailableError):
                await log.read("config", 3)

    async def test_binary_records_are_read_back_unchanged(self):
        log = StoreLog(FakeStore().client)
        records = [bytes(range(256)), b"", b"\xff\x00"]
        self.assertEqual(await log.append("config", records), 0)
        batch = await log.read("config", 0)
        self.assertEqual([record.data for record in batch.records], records)
