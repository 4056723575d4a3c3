"""Store of the platform behind the HTTP client interface, with one stream."""

import json
from collections.abc import Coroutine
from typing import Any
from urllib.parse import parse_qs, urlsplit

from carobladder.clients.ports import HttpAnswer
from carobladder.exceptions import ConnectionBrokenError
from carobladder.platform.store import PlatformStore, StoreLog
from standins.store import join_page, split_records


def drive(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine that never waits."""
    try:
        coroutine.send(None)
    except StopIteration as done:
        return done.value
    raise AssertionError("the coroutine waited")


class FakeLog:
    """Keep one stream; ``history`` also holds what retention dropped."""

    def __init__(self, batch_records: int = 3) -> None:
        self.history: list[str] = []
        self.oldest = 0
        self.outage = False
        self.lose_answers = 0
        self.fail_after_loss = False
        self.delay_appends = 0
        self.delayed: list[str] = []
        self._batch_records = batch_records
        self.client = StoreLog(PlatformStore(self, "127.0.0.1:1", 5.0))

    async def fetch(
        self, method, address, path, *, headers=(), body=b"", timeout_seconds
    ):
        """Answer an append or a read by the published protocol."""
        if self.outage:
            return HttpAnswer(503, (), b"{}")
        if method == "POST":
            return self._append([record.decode() for record in split_records(body)])
        query = parse_qs(urlsplit(path).query)
        return self._read(int(query["from"][0]))

    def _append(self, records: list[str]) -> HttpAnswer:
        if self.delay_appends:
            self.delay_appends -= 1
            self.delayed.extend(records)
            raise ConnectionBrokenError("timed out", request_written=True)
        first = len(self.history)
        self.history.extend(records)
        if self.lose_answers:
            self.lose_answers -= 1
            self.outage = self.fail_after_loss
            raise ConnectionBrokenError("answer lost", request_written=True)
        return self._answer(200, {"offset": first, "end": len(self.history)})

    def deliver(self) -> None:
        """Let delayed appends arrive, long after their senders gave up."""
        self.history.extend(self.delayed)
        self.delayed.clear()

    def _read(self, start: int) -> HttpAnswer:
        if start < self.oldest:
            return self._answer(410, {"first": self.oldest})
        found = self.history[start : start + self._batch_records]
        records = [text.encode() for text in found]
        page = join_page(len(self.history), self.oldest, records)
        return HttpAnswer(200, (), page)

    def _answer(self, status: int, body: object) -> HttpAnswer:
        return HttpAnswer(status, (), json.dumps(body).encode())
