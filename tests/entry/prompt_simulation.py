"""Simulated fleet whose engines cache prompts, on a virtual clock."""

import asyncio
import random

from carobladder.clock import VirtualClock
from carobladder.entry.prompts import PromptDirectory
from carobladder.fleet import KeyedRecord, PeerDirectory, TargetTable, encode_datagram
from carobladder.placement.rendezvous import score_member
from tests.fleet.builders import build_entry

# Part of the requests that the first engine in the ranking is too loaded to take.
OVERFLOW_SHARE = 0.25
STEP_SECONDS = 0.1
# A draining engine keeps its prompts for this long.
DRAIN_SECONDS = 3.0
PROMPT_TOKENS = 1000
_KEY = b"k" * 32


class Instance:
    """One instance with its tables of engines, peers and prompts."""

    def __init__(self, number: int, clock: VirtualClock, seed: int) -> None:
        self.name = f"front-{number}"
        self.table = TargetTable()
        self.peers = PeerDirectory(self.name, f"{self.name}:1", clock)
        self.prompts = PromptDirectory(
            self.table, self.peers, clock, random.Random(seed)
        )


class PromptFleet:
    """Fleet that sends requests for prompts and counts repeated prefills.

    A prefill is repeated if another engine has the prompt cached but it isn't copied
    from there. With ``uses_directory`` the instances query the owners of prompts; else
    each knows only its own requests and estimates the source. Messages to and from
    ``unreachable`` instances are lost.
    """

    def __init__(
        self, instances: int, engines: int, seed: int, uses_directory: bool
    ) -> None:
        self.clock = VirtualClock()
        self.clock.advance(100.0)
        self.repeated_prefills = 0
        self.messages = 0
        self.message_bytes = 0
        self.unreachable: set[str] = set()
        self.instances = [Instance(n, self.clock, seed + n) for n in range(instances)]
        self._by_name = {instance.name: instance for instance in self.instances}
        self._generator = random.Random(seed)
        self._cached: dict[str, set[int]] = {}
        self._draining: dict[str, float] = {}
        self._engines_added = 0
        for instance in self.instances:
            self._connect(instance, uses_directory)
        for _ in range(engines):
            self.add_engine(joined_at=0.0)

    def add_engine(self, joined_at: float | None = None) -> str:
        """Register an engine with all instances and return its id."""
        self._engines_added += 1
        engine = f"i-{self._engines_added}"
        self._cached[engine] = set()
        seen_at = self.clock.monotonic() if joined_at is None else joined_at
        for instance in self.instances:
            instance.table.apply(build_entry(engine), seen_at)
        return engine

    def drain_engine(self, engine: str) -> None:
        """Drain an engine, which is removed after ``DRAIN_SECONDS``."""
        now = self.clock.monotonic()
        self._draining[engine] = now + DRAIN_SECONDS
        for instance in self.instances:
            instance.table.apply(build_entry(engine, draining=True), now)

    def list_engines(self) -> list[str]:
        """Return the engines that are not draining."""
        return [engine for engine in self._cached if engine not in self._draining]

    async def advance(
        self, seconds: float, per_second: float, prompts: list[int]
    ) -> None:
        """Advance the clock and send requests for prompts drawn from the list."""
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
        cached = self._cached[engine]
        copied = source is not None and prompt in self._cached.get(source.target_id, ())
        if prompt not in cached and not copied and self._is_cached(prompt):
            self.repeated_prefills += 1
        cached.add(prompt)

    def _connect(self, instance: Instance, uses_directory: bool) -> None:
        for other in self.instances:
            if other is not instance:
                value = f"{other.name}:1 {_KEY.hex()}".encode()
                instance.peers.apply_record(KeyedRecord(0, other.name, value))
        if uses_directory:
            instance.prompts.set_sender(
                lambda message, name: self._deliver(message, instance.name, name)
            )

    def _deliver(self, message: object, sender: str, receiver: str) -> None:
        self.messages += 1
        self.message_bytes += len(encode_datagram(message, sender, _KEY))
        if sender in self.unreachable or receiver in self.unreachable:
            return
        handle_message = self._by_name[receiver].prompts.handle_message
        asyncio.get_running_loop().call_soon(handle_message, message, sender)

    def _is_cached(self, prompt: int) -> bool:
        return any(prompt in cached for cached in self._cached.values())

    def _remove(self, engine: str) -> None:
        del self._draining[engine], self._cached[engine]
        for instance in self.instances:
            instance.table.discard(engine)
