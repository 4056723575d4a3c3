"""Tests of the store as a log, against a scripted HTTP interface and the stand-in."""

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


def open_log(result: HttpAnswer | Exception) -> tuple[StoreLog, ScriptedFetcher]:
    """Return a log whose store gives this answer."""
    fetcher = ScriptedFetcher(result)
    return StoreLog(PlatformStore(fetcher, "127.0.0.1:1", 2.0)), fetcher


class AppendTest(unittest.IsolatedAsyncioTestCase):
    """Guard against calling an append refused that may have taken effect."""

    async def append_error(self, result: HttpAnswer | Exception) -> LogUnavailableError:
        log, _ = open_log(result)
        with self.assertRaises(LogUnavailableError) as caught:
            await log.append("config", [b"x"])
        return caught.exception

    async def test_returns_first_offset_and_sends_the_records(self):
        log, fetcher = open_log(answer(200, {"offset": 7, "end": 9}))
        self.assertEqual(await log.append("config", [b"a", b"bc"]), 7)
        method, path, body, _ = fetcher.requests[0]
        self.assertEqual(method, "POST")
        self.assertEqual(path, "/-/log-append?topic=config&part=0")
        self.assertEqual(body, struct.pack(">I1sI2s", 1, b"a", 2, b"bc"))

    async def test_lost_answers_may_have_taken_effect(self):
        for result in (
            ConnectionBrokenError("reset", request_written=True),
            answer(500, {}),
            answer(502, {}),
            HttpAnswer(200, (), b"{"),
        ):
            with self.subTest(result=result):
                error = await self.append_error(result)
                self.assertTrue(error.may_have_taken_effect)

    async def test_refusals_have_no_effect(self):
        for result in (
            ConnectionBrokenError("refused", request_written=False),
            answer(503, {}),
            answer(507, {}),
            answer(429, {}),
            answer(413, {}),
        ):
            with self.subTest(result=result):
                error = await self.append_error(result)
                self.assertFalse(error.may_have_taken_effect)


class ReadTest(unittest.IsolatedAsyncioTestCase):
    """Guard against records lost between an answer and its reader."""

    async def test_long_poll_extends_the_time_limit(self):
        page = join_page(4, 1, ["é".encode()])
        log, fetcher = open_log(HttpAnswer(200, (), page))
        batch = await log.read("config", 3, 10.0)
        self.assertEqual(batch, Batch((LogRecord(3, "é".encode()),), 4, 1))
        _, path, _, timeout_seconds = fetcher.requests[0]
        self.assertIn("from=3", path)
        self.assertIn("waitMs=10000", path)
        self.assertEqual(timeout_seconds, 12.0)

    async def test_page_that_does_not_reach_the_end_is_read_on(self):
        page = join_page(9, 0, [b"a", b"b"])
        log, _ = open_log(HttpAnswer(200, (), page))
        self.assertEqual((await log.read("config", 3)).next_offset, 5)

    async def test_dropped_offset_tells_the_oldest(self):
        log, _ = open_log(answer(410, {"first": 9}))
        with self.assertRaises(OffsetDroppedError) as caught:
            await log.read("config", 3)
        self.assertEqual(caught.exception.oldest_offset, 9)

    async def test_outages_and_cut_answers_are_typed(self):
        page = join_page(4, 0, [b"abc"])
        for result in (
            answer(503, {}),
            HttpAnswer(200, (), b"[]"),
            HttpAnswer(200, (), page[:-1]),
            ConnectionBrokenError("reset", request_written=True),
        ):
            log, _ = open_log(result)
            with self.subTest(result=result), self.assertRaises(LogUnavailableError):
                await log.read("config", 3)

    async def test_binary_records_come_back_unchanged(self):
        log = StoreLog(FakeStore().client)
        records = [bytes(range(256)), b"", b"\xff\x00"]
        self.assertEqual(await log.append("config", records), 0)
        batch = await log.read("config", 0)
        self.assertEqual([record.data for record in batch.records], records)
