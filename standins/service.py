"""Plain service that books, records each effect and looks up stock."""

import asyncio
import secrets
from dataclasses import dataclass, field
from typing import Annotated, Any
from urllib.parse import unquote

import cappa

from carobladder.clock import Clock
from standins.client import fetch_json
from standins.http import App, Exchange, RequestError, run_app

__all__ = ["Effect", "ServiceApp", "ServiceOptions"]


@cappa.command(name="standins.service")
@dataclass(frozen=True)
class ServiceOptions:
    """Serve bookings and stock look-ups."""

    listen: Annotated[str, cappa.Arg(long=True, help="IP:PORT.")] = "127.0.0.1:0"
    bookings_path: Annotated[str, cappa.Arg(long=True, help="Path of bookings.")] = (
        "/bookings"
    )
    stock_path: Annotated[str, cappa.Arg(long=True, help="Path of stock look-ups.")] = (
        "/stock"
    )
    work_seconds: Annotated[
        float, cappa.Arg(long=True, help="Time that a call takes.")
    ] = 0.005
    bearable: Annotated[
        int, cappa.Arg(long=True, help="Calls at once that it can bear.")
    ] = 32
    siblings: Annotated[
        list[str],
        cappa.Arg(long=True, help="IP:PORT of servers that share the bookings."),
    ] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Effect:
    """Record one booking that took effect."""

    booking: int
    key: str
    item: str


class ServiceApp(App):
    """Run each call that arrives, without any check for repeated keys.

    A real service behind the fleet has no such check either; a doubled booking
    must show in ``GET /effects``.
    """

    def __init__(self, options: ServiceOptions, clock: Clock | None = None) -> None:
        super().__init__(clock)
        self._options = options
        self._boot_id = secrets.token_hex(8)
        self._running = 0
        self.effects: list[Effect] = []

    def answer_headers(self) -> tuple[tuple[str, str], ...]:
        """Return the boot id header."""
        return (("X-Boot-Id", self._boot_id),)

    async def handle(self, exchange: Exchange) -> None:
        """Book, look up or report."""
        path = exchange.request.path
        if path == "/load":
            await exchange.answer(200, self._report_load())
        elif path == "/effects":
            effects = [self._describe(effect) for effect in self.effects]
            await exchange.answer(200, {"effects": effects})
        else:
            self._running += 1
            try:
                await self._work(exchange)
            finally:
                self._running -= 1

    def _report_load(self) -> dict[str, Any]:
        return {
            "boot_id": self._boot_id,
            "ready": True,
            "cold": False,
            "running": self._running,
            "waiting": 0,
            "bearable": self._options.bearable,
            "version": "",
        }

    async def _work(self, exchange: Exchange) -> None:
        request = exchange.request
        bookings, stock = self._options.bookings_path, self._options.stock_path
        await self.clock.sleep(self._options.work_seconds)
        if request.method == "POST" and request.path == bookings:
            await self._book(exchange)
        elif request.method == "GET" and request.path.startswith(bookings + "/"):
            await self._look_up(exchange, request.path.removeprefix(bookings + "/"))
        elif request.method == "GET" and request.path.startswith(stock + "/"):
            item = unquote(request.path.removeprefix(stock + "/"))
            await exchange.answer(200, {"item": item, "pieces": 100 + len(item)})
        else:
            raise RequestError(404, "unknown path")

    async def _book(self, exchange: Exchange) -> None:
        body = exchange.request.json()
        if not isinstance(body, dict) or not isinstance(body.get("item"), str):
            raise RequestError(400, "send {'item': text}")
        key = exchange.request.headers.get("idempotency-key", "")
        effect = Effect(len(self.effects) + 1, key, body["item"])
        self.effects.append(effect)
        if slow := self.faults.pick("slow_answer", exchange.request.facts()):
            await self.clock.sleep(slow.seconds)
        await exchange.answer(201, self._describe(effect))

    async def _look_up(self, exchange: Exchange, key: str) -> None:
        found = [self._describe(e) for e in self.effects if e.key == unquote(key)]
        if not found and exchange.request.query.get("local") != "1":
            found = await self._ask_siblings(key)
        if not found:
            raise RequestError(404, "no booking with this key")
        await exchange.answer(200, found[0])

    async def _ask_siblings(self, key: str) -> list[dict[str, Any]]:
        path = f"{self._options.bookings_path}/{key}?local=1"
        try:
            answers = await asyncio.gather(
                *(fetch_json("GET", other, path) for other in self._options.siblings)
            )
        except OSError:
            # The sibling may hold the booking, so its silence is not a denial.
            raise RequestError(503, "a server that shares bookings is down") from None
        return [answer.body for answer in answers if answer.status == 200]

    def _describe(self, effect: Effect) -> dict[str, Any]:
        return {
            "booking": f"{self._boot_id}-{effect.booking}",
            "key": effect.key,
            "item": effect.item,
        }


def main() -> None:
    """Run the service as a process of its own."""
    options = cappa.parse(ServiceOptions)
    run_app(ServiceApp(options), options.listen)


if __name__ == "__main__":
    main()
