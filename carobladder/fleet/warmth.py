"""Which targets are likely to keep the shared prompt of a request."""

from collections import OrderedDict
from collections.abc import Sequence

from carobladder.fleet.health import Condition
from carobladder.fleet.targets import FleetTarget, TargetTable
from carobladder.placement.rendezvous import score_member

__all__ = ["PromptWarmth"]

_MAX_PROMPTS = 20_000
# Targets kept for a prompt, newest last.
_MAX_HOLDERS = 3
# A target that joined less than this time ago is not yet where others send a prompt.
_SETTLING_SECONDS = 8.0


class PromptWarmth:
    """Remember where prompts were sent, and name a target to copy one from.

    Instances rank targets alike, so a prompt that this instance has not sent yet is
    likely to be at the first target in the ranking that has been there for a while.
    """

    def __init__(self, table: TargetTable) -> None:
        self._table = table
        self._holders: OrderedDict[int, list[FleetTarget]] = OrderedDict()

    def note_sent(self, prefixes: Sequence[int], target: FleetTarget) -> None:
        """Take note that a request with these shared prefixes went to the target."""
        for prefix in prefixes:
            holders = self._holders.pop(prefix, [])
            kept = [holder for holder in holders if holder is not target]
            self._holders[prefix] = [*kept[1 - _MAX_HOLDERS :], target]
        while len(self._holders) > _MAX_PROMPTS:
            self._holders.popitem(last=False)

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
        sound = target.health.judge(now) is Condition.SOUND
        return registered and sound and not target.misdirected
