"""Which targets are likely to keep the shared prompt of a request."""

from collections import OrderedDict
from collections.abc import Sequence

from carobladder.fleet.health import Condition
from carobladder.fleet.targets import FleetTarget, TargetTable
from carobladder.placement.rendezvous import score_member

__all__ = ["PromptWarmth"]

_MAX_PROMPTS = 20_000
# Targets kept for a prompt, newest last.
_MAX_HOLDERS = 6
# A target that joined less than this time ago is not yet where others send a prompt.
_SETTLING_SECONDS = 8.0


class PromptWarmth:
    """Remember where prompts were read, and name a target to copy one from.

    Instances rank targets alike, so a prompt of which nothing is known is likely to be
    at the first target in the ranking that has been there for a while.
    """

    def __init__(self, table: TargetTable) -> None:
        self._table = table
        self._holders: OrderedDict[int, list[FleetTarget]] = OrderedDict()

    def keeps(self, prefix: int, target: FleetTarget) -> bool:
        """Tell whether a target is known to keep a prefix."""
        return target in self._holders.get(prefix, ())

    def find_holder(self, prefix: int, now: float) -> FleetTarget | None:
        """Return the target that read a prefix last and can be copied from, or None."""
        holders = self._list_holders(prefix, now)
        return holders[-1] if holders else None

    def note_read(self, prefix: int, target: FleetTarget) -> None:
        """Note that a request with this shared prefix goes to the target."""
        kept = [h for h in self._list_registered(prefix) if h is not target]
        self._keep(prefix, [*kept[1 - _MAX_HOLDERS :], target])

    def note_told(self, prefix: int, target: FleetTarget) -> None:
        """Take from another instance that the target keeps a prefix."""
        known = self._list_registered(prefix)
        if target not in known and len(known) < _MAX_HOLDERS:
            self._keep(prefix, [*known, target])

    def find_source(
        self, prefixes: Sequence[int], chosen: FleetTarget, now: float
    ) -> FleetTarget | None:
        """Return a target that is likely to keep more of a prompt than ``chosen``.

        ``prefixes`` are the keys of the shared prefixes, the longest first.
        """
        for length, prefix in enumerate(prefixes):
            holders = self._list_holders(prefix, now)
            if chosen in holders:
                return None
            if holders:
                return holders[-1]
            if length == 0 and (first := self._find_first(prefix, chosen, now)):
                return first
        return None

    def _keep(self, prefix: int, holders: list[FleetTarget]) -> None:
        self._holders[prefix] = holders
        self._holders.move_to_end(prefix)
        if len(self._holders) > _MAX_PROMPTS:
            self._holders.popitem(last=False)

    def _list_registered(self, prefix: int) -> list[FleetTarget]:
        holders = self._holders.get(prefix, ())
        return [h for h in holders if self._table.find(h.target_id) is h]

    def _list_holders(self, prefix: int, now: float) -> list[FleetTarget]:
        return [h for h in self._holders.get(prefix, ()) if self._is_live(h, now)]

    def _find_first(
        self, affinity: int, chosen: FleetTarget, now: float
    ) -> FleetTarget | None:
        """Return where others are likely to have sent the prompt, if elsewhere."""
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
        registered = self._table.find(target.target_id) is target
        health = target.health
        sound = health.judge(now) is Condition.SOUND and not health.is_doubted(now)
        return registered and sound and not target.misdirected
