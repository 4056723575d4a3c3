"""Targets that probably have the shared prompt of a request in their cache."""

from collections import OrderedDict
from collections.abc import Sequence

from carobladder.fleet.health import Condition
from carobladder.fleet.targets import FleetTarget, TargetTable
from carobladder.placement.rendezvous import score_member

__all__ = ["PromptLocations"]

_MAX_PROMPTS = 20_000
# Targets listed per prompt, newest last.
_MAX_HOLDERS = 6
# Other instances may not yet send prompts to a target that joined more recently.
_SETTLING_SECONDS = 8.0


class PromptLocations:
    """Known holders of prompt prefixes, to find a target to copy a prompt from.

    All instances rank the targets of a prompt in the same order. A prompt without known
    holders is therefore probably at the first settled target in the ranking.
    """

    def __init__(self, table: TargetTable) -> None:
        self._table = table
        self._holders: OrderedDict[int, list[FleetTarget]] = OrderedDict()

    def is_known_holder(self, prefix: int, target: FleetTarget) -> bool:
        """Return whether a target is known to hold a prefix."""
        return target in self._holders.get(prefix, ())

    def find_holder(self, prefix: int, now: float) -> FleetTarget | None:
        """Return the most recent healthy holder of a prefix, or None."""
        holders = self._list_live_holders(prefix, now)
        return holders[-1] if holders else None

    def note_read(self, prefix: int, target: FleetTarget) -> None:
        """Record that a request with this shared prefix is sent to the target."""
        others = [h for h in self._list_registered(prefix) if h is not target]
        self._store_holders(prefix, [*others[1 - _MAX_HOLDERS :], target])

    def note_reported_holder(self, prefix: int, target: FleetTarget) -> None:
        """Record another instance's information that the target holds a prefix."""
        known = self._list_registered(prefix)
        if target not in known and len(known) < _MAX_HOLDERS:
            self._store_holders(prefix, [*known, target])

    def find_source(
        self, prefixes: Sequence[int], chosen: FleetTarget, now: float
    ) -> FleetTarget | None:
        """Return a target that probably holds more of a prompt than ``chosen``.

        ``prefixes`` are the keys of the shared prefixes, the longest first. Returns
        None if there is no such target.
        """
        for index, prefix in enumerate(prefixes):
            holders = self._list_live_holders(prefix, now)
            if chosen in holders:
                return None
            if holders:
                return holders[-1]
            if index == 0 and (first := self._guess_holder(prefix, chosen, now)):
                return first
        return None

    def _store_holders(self, prefix: int, holders: list[FleetTarget]) -> None:
        self._holders[prefix] = holders
        self._holders.move_to_end(prefix)
        if len(self._holders) > _MAX_PROMPTS:
            self._holders.popitem(last=False)

    def _list_registered(self, prefix: int) -> list[FleetTarget]:
        holders = self._holders.get(prefix, ())
        return [h for h in holders if self._table.find(h.target_id) is h]

    def _list_live_holders(self, prefix: int, now: float) -> list[FleetTarget]:
        return [h for h in self._holders.get(prefix, ()) if self._is_live(h, now)]

    def _guess_holder(
        self, affinity: int, chosen: FleetTarget, now: float
    ) -> FleetTarget | None:
        """Return the settled target that is ranked first, unless that is ``chosen``."""
        settled = [
            target
            for target in self._table.list_reachable(chosen.entry.service)
            if now - target.seen_at >= _SETTLING_SECONDS and self._is_live(target, now)
        ]
        if not settled:
            return None
        first = max(settled, key=lambda t: score_member(affinity, t.target_id))
        return None if first is chosen else first

    def _is_live(self, target: FleetTarget, now: float) -> bool:
        is_registered = self._table.find(target.target_id) is target
        health = target.health
        is_healthy = health.classify(
            now
        ) is Condition.SOUND and not health.is_reported_failed(now)
        return is_registered and is_healthy and not target.misdirected
