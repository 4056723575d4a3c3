"""Smallest entry instance that the demonstration's harness can run against.

It forwards to declared targets by round robin, without any limit or claim.
"""

import itertools
import json
import os
from typing import Any

from carobladder.clients.http import HttpClient
from carobladder.clock import SystemClock
from carobladder.platform.store import PlatformStore, StoreLog
from carobladder.settings.check import load_settings
from standins.client import fetch_json, open_stream
from standins.http import App, Exchange, RequestError, run_app

_STREAM = "stub"


class StubEntry(App):
    """Keep declarations in the log and forward requests."""

    cancel_on_close = True

    def __init__(self, log_address: str) -> None:
        super().__init__()
        client = HttpClient(SystemClock())
        self._log = StoreLog(PlatformStore(client, log_address, 5.0))
        self._turn = itertools.count()
        self._targets: dict[str, dict[str, Any]] = {}

    async def handle(self, exchange: Exchange) -> None:
        request = exchange.request
        if request.path in ("/healthz", "/readyz"):
            await exchange.answer(200, {})
        elif request.path.startswith("/admin/v1/"):
            await self._declare(exchange)
        elif request.path == "/v1/chat/completions":
            await self._forward_chat(exchange)
        else:
            address = await self._choose(request.path.split("/")[1])
            headers = {"Idempotency-Key": request.headers.get("idempotency-key", "")}
            body = request.json() if request.body else None
            answer = await fetch_json(
                request.method, address, request.path, body, headers
            )
            await exchange.answer(answer.status, answer.body)

    async def _declare(self, exchange: Exchange) -> None:
        name = exchange.request.path.removeprefix("/admin/v1/")
        record = json.dumps([name, exchange.request.json()["spec"]])
        await self._log.append(_STREAM, [record.encode()])
        await exchange.answer(200, {})

    async def _choose(self, pool: str) -> str:
        if not self._targets:
            batch = await self._log.read(_STREAM, 0)
            records = [json.loads(record.data) for record in batch.records]
            self._targets = {n: s for n, s in records if n.startswith("target/")}
        found = [s["address"] for s in self._targets.values() if s["pool"] == pool]
        if not found:
            raise RequestError(404, f"no target of {pool}")
        return found[next(self._turn) % len(found)]

    async def _forward_chat(self, exchange: Exchange) -> None:
        body = exchange.request.json()
        address = await self._choose(body["model"])
        path = exchange.request.path
        if not body["stream"]:
            answer = await fetch_json("POST", address, path, body)
            await exchange.answer(answer.status, answer.body)
            return
        async with open_stream(address, path, body) as stream:
            if stream.status != 200:
                raise RequestError(503, "engine refused")
            await exchange.start_events()
            async for event in stream.events():
                line = f"id: {event.event_id}\n" if event.event_id else ""
                await exchange.send(f"{line}data: {event.data}\n\n".encode())
            await exchange.end()


def main() -> None:
    """Serve with the settings of the environment."""
    settings = load_settings({}, os.environ)
    entry = StubEntry(settings.log_url.removeprefix("http://"))
    run_app(entry, settings.listen)


if __name__ == "__main__":
    main()
