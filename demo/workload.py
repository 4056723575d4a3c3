"""Sessions of one deployment: chats, matches, look-ups and bookings."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial
from typing import Any, Self

from demo.callers import Caller, ChatCall
from demo.deployments import Deployment

__all__ = ["Workload", "WorkloadSize"]

_CATALOGUE_WORDS = 600
_WORDS = ("wool", "oak", "glass", "rail", "grey", "beige", "loop", "hinge", "pile")
# Share of the requests that the large teams send together.
_LARGE_SHARE = 0.7
_PAUSE_SECONDS = (0.2, 0.8)


@dataclass(frozen=True, slots=True)
class WorkloadSize:
    """Count the sessions of each kind; they start spread over ``seconds``."""

    seconds: float = 12.0
    long_chats: int = 40
    quick_chats: int = 80
    matches: int = 120
    look_ups: int = 80
    bookings: int = 80

    @classmethod
    def for_engines(cls, engines: int) -> Self:
        """Return a size that loads each engine to about a third of its slots."""
        return cls(long_chats=8 * engines, quick_chats=12 * engines)


class Workload:
    """Run the sessions of a deployment, in an order fixed by the seed."""

    def __init__(
        self, deployment: Deployment, size: WorkloadSize, caller: Caller, seed: int
    ) -> None:
        self._deployment = deployment
        self._size = size
        self._caller = caller
        self._random = random.Random(seed)

    async def run(self) -> None:
        """Start all sessions and wait until each has ended."""
        size = self._size
        sessions: list[Callable[[], Awaitable[None]]] = []
        for session, count in (
            (self._chat_long, size.long_chats),
            (self._chat_quickly, size.quick_chats),
            (self._match, size.matches),
            (self._look_up, size.look_ups),
            (self._book, size.bookings),
        ):
            sessions += [partial(session, number) for number in range(count)]
        starts = [self._random.uniform(0, size.seconds) for _ in sessions]
        async with asyncio.TaskGroup() as group:
            for start, work in zip(starts, sessions, strict=True):
                group.create_task(_run_later(start, work))

    async def book_through(self, address: str, count: int, gap_seconds: float) -> None:
        """Send bookings through one instance, one after each gap."""
        async with asyncio.TaskGroup() as group:
            for number in range(count):
                group.create_task(self._book(number, "last", address))
                await asyncio.sleep(gap_seconds)

    def _pick_team(self) -> str:
        deployment = self._deployment
        large = self._random.random() < _LARGE_SHARE
        first, last = (
            (0, deployment.large_teams)
            if large
            else (deployment.large_teams, deployment.teams)
        )
        return deployment.team(self._random.randrange(first, last))

    async def _chat_long(self, number: int) -> None:
        team = self._pick_team()
        deployment = self._deployment
        catalogue = _write_catalogue(team)
        messages = [
            {"role": "system", "content": f"catalogue {catalogue}"},
            {"role": "user", "content": f"draft {number} for {team}"},
        ]
        chat_id = f"long-{deployment.name}-{number}"
        call = self._build(deployment.long_kind, "long", team, messages, 160)
        call.chat_id = chat_id
        await self._run_turns(call, 2)

    async def _chat_quickly(self, number: int) -> None:
        team = self._pick_team()
        text = f"question {number} of {team}: " + self._write(30)
        messages = [{"role": "user", "content": text}]
        kind = self._deployment.quick_kind
        call = self._build(kind, "quick", team, messages, 24)
        call.chat_id = f"quick-{self._deployment.name}-{number}"
        await self._run_turns(call, 3)

    async def _match(self, number: int) -> None:
        team = self._pick_team()
        url = f"https://images.invalid/{team}/{number}.jpg"
        content = [
            {"type": "text", "text": f"item {number}: " + self._write(12)},
            {"type": "image_url", "image_url": {"url": url}},
        ]
        messages = [{"role": "user", "content": content}]
        kind = self._deployment.short_kind
        call = self._build(kind, "short", team, messages, 2, stream=False)
        await self._caller.complete(call)

    async def _look_up(self, number: int) -> None:
        path = f"{self._deployment.stock_path}/item-{number}"
        await self._caller.look_up("stock look-ups", self._pick_team(), path)

    async def _book(self, number: int, series: str = "item", address: str = "") -> None:
        deployment = self._deployment
        item = f"{deployment.bookings.name}-{series}-{number}"
        path = deployment.bookings_path
        kind = deployment.bookings.name.replace("-", " ")
        await self._caller.book(kind, self._pick_team(), path, item, address)

    def _build(
        self,
        kind: str,
        request_class: str,
        team: str,
        messages: list[dict[str, Any]],
        max_tokens: int,
        stream: bool = True,
    ) -> ChatCall:
        return ChatCall(
            kind=kind,
            request_class=request_class,
            team=team,
            model=self._deployment.model.name,
            messages=messages,
            max_tokens=max_tokens,
            stream=stream,
        )

    async def _run_turns(self, call: ChatCall, turns: int) -> None:
        # Each turn is sent through an instance of its own choice, so a chat
        # returns through other instances than the one that it began with.
        for turn in range(turns):
            if turn:
                await asyncio.sleep(self._random.uniform(*_PAUSE_SECONDS))
            text = await self._caller.complete(call)
            if not text:
                return
            follow_up = {"role": "user", "content": f"and turn {turn} " + "more " * 5}
            answer = {"role": "assistant", "content": text}
            call.messages = [*call.messages, answer, follow_up]

    def _write(self, count: int) -> str:
        return " ".join(self._random.choice(_WORDS) for _ in range(count))


async def _run_later(seconds: float, session: Callable[[], Awaitable[None]]) -> None:
    await asyncio.sleep(seconds)
    await session()


def _write_catalogue(team: str) -> str:
    """Return the text that all long chats of a team begin with."""
    source = random.Random(team)
    return " ".join(
        f"{source.choice(_WORDS)}{source.randrange(1000)}"
        for _ in range(_CATALOGUE_WORDS)
    )
