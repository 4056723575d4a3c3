"""Helpers of the stand-in tests: virtual time and in-process servers."""

import asyncio
import json
import unittest
from collections.abc import Coroutine
from typing import Any

from carobladder.clock import VirtualClock
from standins.client import JsonAnswer, fetch_json, open_stream
from standins.http import App, start_app

COMPLETIONS = "/v1/chat/completions"


class StandInTest(unittest.IsolatedAsyncioTestCase):
    """Run stand-ins inside the test on a virtual clock."""

    def setUp(self) -> None:
        self.clock = VirtualClock()

    async def serve(self, app: App) -> str:
        return await self.enterAsyncContext(start_app(app))

    async def drive(self, work: Coroutine[Any, Any, Any], step: float = 0.01) -> Any:
        """Advance the clock until the work is done."""
        task = asyncio.ensure_future(work)
        while not task.done():
            await self.settle()
            self.clock.advance(step)
        return await task

    async def settle(self) -> None:
        """Let the tasks and sockets of this process come to rest."""
        for _ in range(20):
            await asyncio.sleep(0)

    async def call(self, method: str, address: str, path: str, *rest) -> JsonAnswer:
        return await self.drive(fetch_json(method, address, path, *rest))

    async def post_faults(self, address: str, *rules: dict[str, Any], **more) -> None:
        body = {"rules": list(rules), **more}
        answer = await self.call("POST", address, "/faults", body)
        self.assertEqual(answer.status, 200, answer.body)


async def read_stream(
    address: str, body: dict[str, Any], headers: dict[str, str] | None = None
) -> tuple[list[str], str, bool]:
    """Return the event ids, the text, and whether the stream was whole."""
    ids: list[str] = []
    text = ""
    try:
        async with open_stream(address, COMPLETIONS, body, headers) as stream:
            async for event in stream.events():
                if event.data == "[DONE]":
                    return ids, text, True
                ids.append(event.event_id)
                for choice in json.loads(event.data)["choices"]:
                    text += choice["delta"].get("content", "")
    except ConnectionError:
        pass
    return ids, text, False
