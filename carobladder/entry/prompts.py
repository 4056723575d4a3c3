"""Questions to other instances about which target keeps a prompt."""

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import singledispatchmethod

from carobladder.clock import Clock
from carobladder.entry.peers import PeerDirectory
from carobladder.fleet import (
    FleetTarget,
    HolderQuery,
    HolderReply,
    PromptLocations,
    PromptRegister,
    TargetTable,
)
from carobladder.retries import RetryBudget

__all__ = ["PromptDirectory"]

# A request waits at most this long for an answer, which usually takes a round trip.
_ANSWER_SECONDS = 0.015
# A home that did not answer is not waited for during this time.
_SILENT_HOME_SECONDS = 2.0
# A home that is away loses what it knew, so each prompt has two.
_HOMES = 2
# Shorter parts are read faster than an answer comes.
_LEAST_TOKENS = 64
# Two messages of 60 bytes for each question stay within 2.4 KB/s.
_QUESTIONS_PER_SECOND = 20.0
_QUESTIONS_BURST = 40.0
_MAX_WAITING = 256
_NUMBER_BITS = 30

SendMessage = Callable[[HolderQuery | HolderReply, str], None]


@dataclass(frozen=True, slots=True)
class _Waiting:
    """Wait for the answer of a home about a prefix."""

    prefix: int
    home: str
    answered: asyncio.Future[None]


class PromptDirectory:
    """Find a target to copy a prompt from, and tell the prompt's homes who reads it.

    Each prompt has two homes among the instances, which follow from a hash. An instance
    that sends a prompt to a target for the first time tells both, and asks one of them
    who else keeps it. So each request costs a few short messages, whatever the size of
    the fleet. Without an answer in time the source is guessed.
    """

    def __init__(
        self,
        targets: TargetTable,
        peers: PeerDirectory,
        clock: Clock,
        generator: random.Random,
    ) -> None:
        self.warmth = PromptLocations(targets)
        self._targets = targets
        self._register = PromptRegister(targets)
        self._peers = peers
        self._clock = clock
        self._send: SendMessage | None = None
        self._waiting: dict[int, _Waiting] = {}
        # An answer to a question before a restart must not fit one after it.
        self._last_number = generator.getrandbits(_NUMBER_BITS)
        self._silent_until: dict[str, float] = {}
        self._budget = RetryBudget(
            0.0,
            clock.monotonic(),
            burst=_QUESTIONS_BURST,
            minimum_per_second=_QUESTIONS_PER_SECOND,
        )

    def use_sender(self, send: SendMessage) -> None:
        """Send messages to other instances this way."""
        self._send = send

    async def find_source(
        self, prefixes: Sequence[int], sizes: Sequence[int], target: FleetTarget
    ) -> FleetTarget | None:
        """Return a target to copy a prompt from that ``target`` is about to read.

        ``prefixes`` are the keys of the shared prefixes, the longest first, ``sizes``
        the tokens of the parts that they end with.
        """
        answers = []
        for prefix, size in zip(prefixes, sizes, strict=True):
            if size >= _LEAST_TOKENS and not self.warmth.is_known_holder(
                prefix, target
            ):
                answers += self._ask(prefix, target)
        if answers:
            await asyncio.wait(answers, timeout=_ANSWER_SECONDS)
            self._note_silent_homes(answers)
        now = self._clock.monotonic()
        source = self.warmth.find_source(prefixes, target, now)
        for prefix in prefixes:
            self.warmth.note_read(prefix, target)
        return source

    @singledispatchmethod
    def take(self, message: HolderQuery | HolderReply, sender: str) -> None:
        """Take a message of another instance."""
        raise TypeError(f"no rule for {type(message).__name__}")

    @take.register
    def _(self, message: HolderQuery, sender: str) -> None:
        holders = self._register.take(message.prefix, message.reader_tag)
        if message.number and self._send is not None:
            self._send(HolderReply(message.number, holders), sender)

    @take.register
    def _(self, message: HolderReply, sender: str) -> None:
        waiting = self._waiting.pop(message.number, None)
        if waiting is None or waiting.home != sender:
            return
        self._note_holders(waiting.prefix, message.holder_tags)
        if not waiting.answered.done():
            waiting.answered.set_result(None)

    def _ask(self, prefix: int, target: FleetTarget) -> list[asyncio.Future[None]]:
        """Tell the homes of a prefix who reads it; return the answer to wait for."""
        now = self._clock.monotonic()
        if not self._budget.withdraw(now):
            return []
        homes = self._peers.find_homes(prefix, _HOMES)
        asked = self._choose_asked(prefix, homes, now)
        answers = []
        for home in homes:
            if home == self._peers.instance:
                holders = self._register.take(prefix, target.tag)
                self._note_holders(prefix, holders)
            elif self._send is not None:
                number = 0
                if home == asked:
                    number, answer = self._expect_answer(prefix, home)
                    answers.append(answer)
                self._send(HolderQuery(number, prefix, target.tag), home)
        return answers

    def _choose_asked(
        self, prefix: int, homes: Sequence[str], now: float
    ) -> str | None:
        """Return the home to wait for; none if a holder is known or this is a home."""
        if self._peers.instance in homes or self.warmth.find_holder(prefix, now):
            return None
        for home in homes:
            if now >= self._silent_until.get(home, now):
                return home
        return None

    def _expect_answer(
        self, prefix: int, home: str
    ) -> tuple[int, asyncio.Future[None]]:
        self._last_number += 1
        answered = asyncio.get_running_loop().create_future()
        self._waiting[self._last_number] = _Waiting(prefix, home, answered)
        while len(self._waiting) > _MAX_WAITING:
            del self._waiting[next(iter(self._waiting))]
        return self._last_number, answered

    def _note_holders(self, prefix: int, tags: Sequence[int]) -> None:
        for tag in tags:
            target = self._targets.find_by_tag(tag)
            if target is not None:
                self.warmth.note_reported_holder(prefix, target)

    def _note_silent_homes(self, answers: Sequence[asyncio.Future[None]]) -> None:
        """Forget the questions that got no answer in time."""
        late = {answer for answer in answers if not answer.done()}
        if not late:
            return
        until = self._clock.monotonic() + _SILENT_HOME_SECONDS
        for number, waiting in list(self._waiting.items()):
            if waiting.answered in late:
                del self._waiting[number]
                self._silent_until[waiting.home] = until
