"""Prefix cache of limited size with late and incomplete change events."""

import random
from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from carobladder.clock import Clock
from standins.engine.options import EngineOptions

__all__ = ["PrefixCache"]

_RETAINED_EVENTS = 10_000


@dataclass(frozen=True, slots=True)
class _Event:
    sequence: int
    published: float
    kind: str
    blocks: tuple[str, ...]


class PrefixCache:
    """Hold the hashes of cached blocks and evict the least recently used."""

    def __init__(self, options: EngineOptions, clock: Clock) -> None:
        self._options = options
        self._clock = clock
        self._random = random.Random(options.seed)
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: deque[_Event] = deque(maxlen=_RETAINED_EVENTS)
        self._next_sequence = 0

    def __len__(self) -> int:
        return len(self._blocks)

    def count_cached(self, hashes: Sequence[str]) -> int:
        """Return how many of the leading blocks are cached, and use them."""
        count = 0
        for block in hashes:
            if block not in self._blocks:
                break
            count += 1
        self._use(hashes[:count])
        return count

    def store(self, hashes: Sequence[str]) -> None:
        """Add the blocks of a prefix and evict what no longer fits."""
        kept = hashes[: self._options.cache_blocks]
        added = [block for block in kept if block not in self._blocks]
        for block in added:
            self._blocks[block] = None
        self._use(kept)
        removed = []
        while len(self._blocks) > self._options.cache_blocks:
            removed.append(self._blocks.popitem(last=False)[0])
        self._publish("stored", added)
        self._publish("removed", removed)

    def clear(self) -> None:
        """Drop all blocks."""
        self._blocks.clear()
        self._publish("cleared", [""])

    def _use(self, hashes: Sequence[str]) -> None:
        # The first block of a prefix is marked last, so that eviction removes the
        # end of a prefix before its beginning, which other prompts share.
        for block in reversed(hashes):
            self._blocks.move_to_end(block)

    def _publish(self, kind: str, blocks: Sequence[str]) -> None:
        if not blocks:
            return
        sequence = self._next_sequence
        self._next_sequence += 1
        if self._random.random() < self._options.event_gap_share:
            return
        published = self._clock.monotonic() + self._options.event_lag_seconds
        self._events.append(_Event(sequence, published, kind, tuple(blocks)))

    def list_events(self, start: int) -> dict[str, Any]:
        """Return the published events from a sequence number on."""
        now = self._clock.monotonic()
        visible = [
            event
            for event in self._events
            if event.sequence >= start and event.published <= now
        ]
        shown = [
            {"sequence": e.sequence, "type": e.kind, "blocks": list(e.blocks)}
            for e in visible
        ]
        return {
            "events": shown,
            "next": visible[-1].sequence + 1 if visible else start,
        }
