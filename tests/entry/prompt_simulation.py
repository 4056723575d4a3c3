"""A fleet whose engines keep prompts, without network, on a virtual clock."""

import asyncio
import random

from carobladder.clock import VirtualClock
from carobladder.entry.peers import PeerDirectory
from carobladder.entry.prompts import PromptDirectory
from carobladder.fleet import KeyedRecord, TargetTable, encode_datagram
from carobladder.placement.rendezvous import score_member
from tests.fleet.builders import build_entry

# Part of the requests that the load of the first engine in the ranking sends elsewhere.
OVERFLOW_SHARE = 0.25
STEP_SECONDS = 0.1
# A draining engine goes on serving for so long.
DRAIN_SECONDS = 3.0
PROMPT_TOKENS = 1000
_KEY = b"k" * 32


class Instance:
    """Hold what one instance knows of engines and prompts."""

    def __init__(self, number: int, clock: VirtualClock, seed: int) -> None:
        self.name = f"front-{number}"
        self.table = TargetTable()
        self.peers = PeerDirectory(self.name, f"{self.name}:1", clock)
        self.prompts = PromptDirectory(
            self.table, self.peers, clock, random.Random(seed)
        )


class PromptFleet:
    """Send requests for prompts through instances and count what engines read again.

    With ``asks`` the instances ask the homes of prompts; else each knows only its own
    requests and guesses. Messages to and from instances that are ``away`` are lost.
    """

    def __init__(self, instances: int, engines: int, seed: int, asks: bool) -> None:
        self.clock = VirtualClock()
        self.clock.advance(100.0)
        self.read_again = 0
        self.messages = 0
        self.message_bytes = 0
        self.away: set[str] = set()
        self.instances = [Instance(n, self.clock, seed + n) for n in range(instances)]
        self._by_name = {instance.name: instance for instance in self.instances}
        self._generator = random.Random(seed)
        self._held: dict[str, set[int]] = {}
        self._draining: dict[str, float] = {}
        self._added = 0
        for instance in self.instances:
            self._introduce(instance, asks)
        for _ in range(engines):
            self.add_engine(joined_at=0.0)

    def add_engine(self, joined_at: float | None = None) -> str:
        """Register an engine with all instances and return its id."""
        self._added += 1
        engine = f"i-{self._added}"
        self._held[engine] = set()
        seen_at = self.clock.monotonic() if joined_at is None else joined_at
        for instance in self.instances:
            instance.table.apply(build_entry(engine), seen_at)
        return engine

    def drain_engine(self, engine: str) -> None:
        """Let an engine finish its work and leave."""
        now = self.clock.monotonic()
        self._draining[engine] = now + DRAIN_SECONDS
        for instance in self.instances:
            instance.table.apply(build_entry(engine, draining=True), now)

    def list_engines(self) -> list[str]:
        """Return the engines that take requests."""
        return [engine for engine in self._held if engine not in self._draining]

    async def advance(
        self, seconds: float, per_second: float, prompts: list[int]
    ) -> None:
        """Send requests for prompts drawn from the list."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)
            for engine, until in list(self._draining.items()):
                if self.clock.monotonic() >= until:
                    self._remove(engine)
            for _ in range(round(per_second * STEP_SECONDS)):
                await self.send(self._generator.choice(prompts))

    async def send(self, prompt: int) -> None:
        """Send one request through an instance drawn at random."""
        instance = self._generator.choice(self.instances)
        ranked = sorted(
            self.list_engines(), key=lambda e: score_member(prompt, e), reverse=True
        )
        overflows = self._generator.random() < OVERFLOW_SHARE
        engine = ranked[min(int(overflows), len(ranked) - 1)]
        target = instance.table.find(engine)
        source = await instance.prompts.find_source((prompt,), (PROMPT_TOKENS,), target)
        held = self._held[engine]
        copied = source is not None and prompt in self._held.get(source.target_id, ())
        if prompt not in held and not copied and self._is_kept(prompt):
            self.read_again += 1
        held.add(prompt)

    def _introduce(self, instance: Instance, asks: bool) -> None:
        for other in self.instances:
            if other is not instance:
                value = f"{other.name}:1 {_KEY.hex()}".encode()
                instance.peers.take_record(KeyedRecord(0, other.name, value))
        if asks:
            instance.prompts.use_sender(
                lambda message, name: self._deliver(message, instance.name, name)
            )

    def _deliver(self, message: object, sender: str, receiver: str) -> None:
        self.messages += 1
        self.message_bytes += len(encode_datagram(message, sender, _KEY))
        if sender in self.away or receiver in self.away:
            return
        take = self._by_name[receiver].prompts.take
        asyncio.get_running_loop().call_soon(take, message, sender)

    def _is_kept(self, prompt: int) -> bool:
        return any(prompt in held for held in self._held.values())

    def _remove(self, engine: str) -> None:
        del self._draining[engine], self._held[engine]
        for instance in self.instances:
            instance.table.discard(engine)
