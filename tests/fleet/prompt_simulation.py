"""A fleet whose engines keep prompts, without network, on a clock of its own."""

import random

from carobladder.fleet import PromptSharing, PromptWarmth, TargetTable
from carobladder.placement.rendezvous import score_member
from tests.fleet.builders import build_entry

# Part of the requests that the load of the first engine in the ranking sends elsewhere.
OVERFLOW_SHARE = 0.25
STEP_SECONDS = 0.1
# A draining engine goes on serving for so long.
DRAIN_SECONDS = 3.0


class Instance:
    """Hold what one instance knows of engines and prompts."""

    def __init__(self) -> None:
        self.table = TargetTable()
        self.warmth = PromptWarmth(self.table)
        self.prompts = PromptSharing(self.table, self.warmth)


class PromptFleet:
    """Send requests for prompts through instances and count what engines read again.

    With ``tells`` the instances exchange what they know; else each knows only its own
    requests and guesses.
    """

    def __init__(self, instances: int, engines: int, seed: int, tells: bool) -> None:
        self.now = 100.0
        self.read_again = 0
        self.sent_bytes = 0
        self.instances = [Instance() for _ in range(instances)]
        self._generator = random.Random(seed)
        self._tells = tells
        self._held: dict[str, set[int]] = {}
        self._read: set[int] = set()
        self._draining: dict[str, float] = {}
        self._added = 0
        for _ in range(engines):
            self.add_engine(joined_at=0.0)

    def add_engine(self, joined_at: float | None = None) -> str:
        """Register an engine with all instances and return its id."""
        self._added += 1
        engine = f"i-{self._added}"
        self._held[engine] = set()
        for instance in self.instances:
            seen_at = self.now if joined_at is None else joined_at
            instance.table.apply(build_entry(engine), seen_at)
        return engine

    def drain_engine(self, engine: str) -> None:
        """Let an engine finish its work and leave."""
        self._draining[engine] = self.now + DRAIN_SECONDS
        for instance in self.instances:
            instance.table.apply(build_entry(engine, draining=True), self.now)

    def list_engines(self) -> list[str]:
        """Return the engines that take requests."""
        return [engine for engine in self._held if engine not in self._draining]

    def advance(self, seconds: float, per_second: float, prompts: list[int]) -> None:
        """Send requests for prompts drawn from the list."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            for engine, until in list(self._draining.items()):
                if self.now >= until:
                    self._remove(engine)
            for _ in range(round(per_second * STEP_SECONDS)):
                self._send(self._generator.choice(prompts))
            if self._tells:
                self.exchange()

    def exchange(self) -> None:
        """Let each instance tell another one, drawn at random."""
        for instance in self.instances:
            data = instance.prompts.collect()
            self.sent_bytes += len(data)
            peer = self._generator.choice(self.instances)
            if peer is not instance:
                peer.prompts.take(data)

    def count_knowing(self, prompt: int, engine: str) -> int:
        """Return the instances that know that an engine keeps a prompt."""
        return sum(
            any(
                holder.target_id == engine
                for holder in instance.warmth._list_holders(prompt, self.now)
            )
            for instance in self.instances
        )

    def _send(self, prompt: int) -> None:
        instance = self._generator.choice(self.instances)
        ranked = sorted(
            self.list_engines(), key=lambda e: score_member(prompt, e), reverse=True
        )
        overflows = self._generator.random() < OVERFLOW_SHARE
        engine = ranked[min(int(overflows), len(ranked) - 1)]
        target = instance.table.find(engine)
        source = instance.warmth.find_source((prompt,), target, self.now)
        instance.prompts.note_read(prompt, 1000, target)
        held = self._held[engine]
        copied = source is not None and prompt in self._held.get(source.target_id, ())
        if prompt not in held and not copied and self._is_kept(prompt):
            self.read_again += 1
        held.add(prompt)

    def _is_kept(self, prompt: int) -> bool:
        return any(prompt in held for held in self._held.values())

    def _remove(self, engine: str) -> None:
        del self._draining[engine], self._held[engine]
        for instance in self.instances:
            instance.table.discard(engine)
