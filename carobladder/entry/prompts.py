"""Distributed directory of the targets that have a prompt cached."""

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import singledispatchmethod

from carobladder.clock import Clock
from carobladder.fleet import (
    FleetTarget,
    HolderQuery,
    HolderReply,
    PeerDirectory,
    PromptLocations,
    PromptRegister,
    TargetTable,
)
from carobladder.retries import RetryBudget

__all__ = ["PromptDirectory"]

# Bounds the delay of a request; an answer usually takes one round trip.
_ANSWER_TIMEOUT_SECONDS = 0.015
# An owner that did not answer in time is not queried for this long.
_SILENT_OWNER_SECONDS = 2.0
# Two, since an instance that goes away loses its part of the directory.
_OWNERS_PER_PREFIX = 2
# A target computes shorter parts faster than an answer arrives.
_MIN_LOOKUP_TOKENS = 64
# Two messages of 60 bytes per lookup: at most 2.4 KB/s.
_LOOKUPS_PER_SECOND = 20.0
_LOOKUP_BURST = 40.0
_MAX_PENDING_LOOKUPS = 256
_LOOKUP_NUMBER_BITS = 30

SendMessage = Callable[[HolderQuery | HolderReply, str], None]


@dataclass(frozen=True, slots=True)
class _PendingLookup:
    """Lookup of a prefix that awaits the answer of an owner."""

    prefix: int
    owner: str
    answered: asyncio.Future[None]


class PromptDirectory:
    """Directory of which targets hold a prompt, sharded over the instances.

    Consistent hashing assigns two owners to each prompt prefix. An instance that sends
    a prefix to a target for the first time reports it to both and queries one of them
    for other holders. So each request costs a few short messages, regardless of the
    size of the fleet. Without an answer in time the source is estimated locally.
    """

    def __init__(
        self,
        targets: TargetTable,
        peers: PeerDirectory,
        clock: Clock,
        generator: random.Random,
    ) -> None:
        self.cached_prompts = PromptLocations(targets)
        self._targets = targets
        self._holder_register = PromptRegister(targets)
        self._peers = peers
        self._clock = clock
        self._send: SendMessage | None = None
        self._pending_lookups: dict[int, _PendingLookup] = {}
        # Random start, so that an answer to a lookup from before a restart matches none
        # that was sent after it.
        self._last_number = generator.getrandbits(_LOOKUP_NUMBER_BITS)
        self._silent_until: dict[str, float] = {}
        self._budget = RetryBudget(
            0.0,
            clock.monotonic(),
            burst=_LOOKUP_BURST,
            minimum_per_second=_LOOKUPS_PER_SECOND,
        )

    def set_sender(self, send: SendMessage) -> None:
        """Set the function that sends messages to other instances."""
        self._send = send

    async def find_source(
        self, prefixes: Sequence[int], sizes: Sequence[int], target: FleetTarget
    ) -> FleetTarget | None:
        """Return a target to copy the prompt from that is sent to ``target``, or None.

        ``prefixes`` are the keys of the shared prefixes, longest first, and ``sizes``
        the numbers of tokens in their last parts.
        """
        answers = []
        for prefix, size in zip(prefixes, sizes, strict=True):
            if size >= _MIN_LOOKUP_TOKENS and not self.cached_prompts.is_known_holder(
                prefix, target
            ):
                answers += self._look_up(prefix, target)
        if answers:
            await asyncio.wait(answers, timeout=_ANSWER_TIMEOUT_SECONDS)
            self._discard_late_lookups(answers)
        now = self._clock.monotonic()
        source = self.cached_prompts.find_source(prefixes, target, now)
        for prefix in prefixes:
            self.cached_prompts.note_read(prefix, target)
        return source

    @singledispatchmethod
    def handle_message(self, message: HolderQuery | HolderReply, sender: str) -> None:
        """Handle a message of another instance."""
        raise TypeError(f"unsupported type of message: {type(message).__name__}")

    @handle_message.register
    def _(self, message: HolderQuery, sender: str) -> None:
        holders = self._holder_register.take(message.prefix, message.reader_tag)
        if message.number and self._send is not None:
            self._send(HolderReply(message.number, holders), sender)

    @handle_message.register
    def _(self, message: HolderReply, sender: str) -> None:
        lookup = self._pending_lookups.pop(message.number, None)
        if lookup is None or lookup.owner != sender:
            return
        self._record_holders(lookup.prefix, message.holder_tags)
        if not lookup.answered.done():
            lookup.answered.set_result(None)

    def _look_up(self, prefix: int, target: FleetTarget) -> list[asyncio.Future[None]]:
        """Report a holder to the owners of a prefix; return the answers to await."""
        now = self._clock.monotonic()
        if not self._budget.withdraw(now):
            return []
        owners = self._peers.find_owners(prefix, _OWNERS_PER_PREFIX)
        owner_to_ask = self._choose_owner_to_ask(prefix, owners, now)
        answers = []
        for owner in owners:
            if owner == self._peers.instance:
                holders = self._holder_register.take(prefix, target.tag)
                self._record_holders(prefix, holders)
            elif self._send is not None:
                number = 0
                if owner == owner_to_ask:
                    number, answer = self._register_lookup(prefix, owner)
                    answers.append(answer)
                self._send(HolderQuery(number, prefix, target.tag), owner)
        return answers

    def _choose_owner_to_ask(
        self, prefix: int, owners: Sequence[str], now: float
    ) -> str | None:
        """Return the owner to query; None if a holder is known or this is an owner."""
        if self._peers.instance in owners or self.cached_prompts.find_holder(
            prefix, now
        ):
            return None
        for owner in owners:
            if now >= self._silent_until.get(owner, now):
                return owner
        return None

    def _register_lookup(
        self, prefix: int, owner: str
    ) -> tuple[int, asyncio.Future[None]]:
        self._last_number += 1
        answered = asyncio.get_running_loop().create_future()
        self._pending_lookups[self._last_number] = _PendingLookup(
            prefix, owner, answered
        )
        while len(self._pending_lookups) > _MAX_PENDING_LOOKUPS:
            del self._pending_lookups[next(iter(self._pending_lookups))]
        return self._last_number, answered

    def _record_holders(self, prefix: int, tags: Sequence[int]) -> None:
        for tag in tags:
            target = self._targets.find_by_tag(tag)
            if target is not None:
                self.cached_prompts.note_reported_holder(prefix, target)

    def _discard_late_lookups(self, answers: Sequence[asyncio.Future[None]]) -> None:
        """Drop lookups that timed out and skip their owners for a while."""
        late = {answer for answer in answers if not answer.done()}
        if not late:
            return
        until = self._clock.monotonic() + _SILENT_OWNER_SECONDS
        for number, lookup in list(self._pending_lookups.items()):
            if lookup.answered in late:
                del self._pending_lookups[number]
                self._silent_until[lookup.owner] = until
