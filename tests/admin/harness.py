"""Operator interface of one instance over the fake log, in virtual time."""

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from datetime import datetime
from typing import Any

from carobladder.admin.api import AdminAnswer, AdminApi, AdminRequest
from carobladder.clock import VirtualClock
from carobladder.exceptions import LogUnavailableError
from carobladder.resources import (
    Catalog,
    ConfigReader,
    ConfiguredDirectory,
    ReaderOptions,
    WatchHistory,
    hash_credential,
)
from tests.resources.fake_log import FakeLog

ADMIN_KEY = "admin-key-for-tests"
TICK_SECONDS = 0.05


class Harness:
    """Run the reader and the clock beside requests."""

    def __init__(
        self,
        start: datetime | None = None,
        log: FakeLog | None = None,
        clock: VirtualClock | None = None,
    ) -> None:
        self.log = log or FakeLog()
        self.clock = clock or VirtualClock(start)
        self.catalog = Catalog()
        self.history = WatchHistory()
        self.directory = ConfiguredDirectory(self.catalog, self.clock)
        self.reading = True
        self.reader = ConfigReader(
            self.log.client,
            self.catalog,
            self.history,
            self.clock,
            options=ReaderOptions(poll_seconds=0),
        )
        self.api = AdminApi(
            self.catalog,
            self.directory,
            self.history,
            self.log.client,
            self.clock,
            ADMIN_KEY,
        )

    def run(self, scenario: Callable[[], Awaitable[None]]) -> None:
        """Run a scenario while the reader reads and time passes."""
        asyncio.run(self._run(scenario))

    async def _run(self, scenario: Callable[[], Awaitable[None]]) -> None:
        background = asyncio.ensure_future(self._pass_time())
        try:
            await self.settle()
            await scenario()
        finally:
            background.cancel()

    async def _pass_time(self) -> None:
        while True:
            if self.reading:
                with contextlib.suppress(LogUnavailableError):
                    await self.reader.step()
            self.clock.advance(TICK_SECONDS)
            for _ in range(5):
                await asyncio.sleep(0)

    async def settle(self) -> None:
        """Give the reader time for a few batches."""
        await self.clock.sleep(5 * TICK_SECONDS)

    async def request(
        self,
        method: str,
        path: str,
        body: Any = None,
        *,
        key: str = ADMIN_KEY,
        query: dict[str, str] | None = None,
        headers: dict[str, str] | None = None,
    ) -> AdminAnswer:
        """Send a request to the handler."""
        return await self.api.handle(
            AdminRequest(
                method,
                f"/admin/v1/{path}",
                query or {},
                {"authorization": f"Bearer {key}", **(headers or {})},
                b"" if body is None else json.dumps(body).encode(),
            )
        )

    async def ask(self, *arguments: Any, **options: Any) -> tuple[int, Any]:
        """Return status and decoded body of a request."""
        answer = await self.request(*arguments, **options)
        return answer.status, json.loads(answer.body)

    async def put_team(self, name: str, **fields: Any) -> tuple[int, Any]:
        """Declare a team as operator."""
        return await self.ask("PUT", f"team/{name}", {"spec": fields})


def make_digest(credential: str) -> str:
    """Return the digest that a resource holds for a credential."""
    return hash_credential(credential)
