"""Lagging list of live and leaving instances and targets."""

import random
from collections import deque
from dataclasses import dataclass
from typing import Annotated, Any, Literal

import cappa
from pydantic import BaseModel, ConfigDict, ValidationError

from carobladder.clock import Clock
from standins.http import App, Exchange, RequestError, run_app

__all__ = ["Entry", "InstancesApp", "InstancesOptions"]

_PATH = "/v1/instances"


@cappa.command(name="standins.instances")
@dataclass(frozen=True)
class InstancesOptions:
    """Serve the list of instances and targets."""

    listen: Annotated[str, cappa.Arg(long=True, help="IP:PORT.")] = "127.0.0.1:0"
    lag_seconds: Annotated[
        float, cappa.Arg(long=True, help="Time until readers see a change.")
    ] = 1.0
    spread_seconds: Annotated[
        float,
        cappa.Arg(long=True, help="Greatest further lag, fixed for each connection."),
    ] = 0.0
    seed: Annotated[int, cappa.Arg(long=True, help="Seed of the spread.")] = 1


class Entry(BaseModel):
    """Describe an instance or target on the list."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    kind: Literal["entry", "target"]
    address: str
    peer_address: str = ""
    data_centre: str
    state: Literal["live", "leaving"] = "live"


@dataclass(frozen=True, slots=True)
class _Change:
    made: float
    instance_id: str
    entry: Entry | None


class InstancesApp(App):
    """Show each reader the list as it was some time ago."""

    def __init__(self, options: InstancesOptions, clock: Clock | None = None) -> None:
        super().__init__(clock)
        self._options = options
        self._random = random.Random(options.seed)
        self._settled: dict[str, Entry] = {}
        self._changes: deque[_Change] = deque()

    async def handle(self, exchange: Exchange) -> None:
        """Change the list or show it."""
        request = exchange.request
        name = request.path.removeprefix(_PATH + "/")
        if request.method == "GET" and request.path == _PATH:
            view = self._view(self._options.lag_seconds + self._extra_lag(exchange))
            await exchange.answer(200, {"instances": view})
        elif request.path == name or not name:
            raise RequestError(404, f"unknown path; use {_PATH}")
        elif request.method == "PUT":
            self._record(name, _parse_entry(request.json()))
            await exchange.answer(200, {})
        elif request.method == "DELETE":
            self._record(name, None)
            await exchange.answer(200, {})
        else:
            raise RequestError(405, "use GET, PUT or DELETE")

    def _extra_lag(self, exchange: Exchange) -> float:
        # A reader keeps its connection, so a lag fixed for each connection makes
        # readers disagree with each other without any reader going back in time.
        if not self._options.spread_seconds:
            return 0.0
        if exchange.connection_state is None:
            spread = self._random.uniform(0, self._options.spread_seconds)
            exchange.connection_state = spread
        return exchange.connection_state

    def _record(self, name: str, entry: Entry | None) -> None:
        now = self.clock.monotonic()
        self._changes.append(_Change(now, name, entry))
        longest = self._options.lag_seconds + self._options.spread_seconds
        while self._changes[0].made < now - longest:
            _apply(self._settled, self._changes.popleft())

    def _view(self, lag_seconds: float) -> list[dict[str, Any]]:
        limit = self.clock.monotonic() - lag_seconds
        view = dict(self._settled)
        for change in self._changes:
            if change.made <= limit:
                _apply(view, change)
        return [{"id": name, **view[name].model_dump()} for name in sorted(view)]


def _apply(view: dict[str, Entry], change: _Change) -> None:
    if change.entry is None:
        view.pop(change.instance_id, None)
    else:
        view[change.instance_id] = change.entry


def _parse_entry(body: Any) -> Entry:
    try:
        return Entry.model_validate(body)
    except ValidationError as error:
        raise RequestError(400, f"invalid entry: {error}") from None


def main() -> None:
    """Run the list as a process of its own."""
    options = cappa.parse(InstancesOptions)
    run_app(InstancesApp(options), options.listen)


if __name__ == "__main__":
    main()
