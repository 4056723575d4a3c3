"""Which targets keep which prompts, as far as this instance is asked about them."""

from collections import OrderedDict

from carobladder.fleet.targets import TargetTable

__all__ = ["PromptRegister"]

_MAX_PROMPTS = 20_000
# Targets kept for a prompt, newest last; one is enough to copy from.
_MAX_HOLDERS = 4


class PromptRegister:
    """Hold where the prompts were read whose home is this instance.

    Targets are named by their tags. A target that is gone is not named any more.
    """

    def __init__(self, table: TargetTable) -> None:
        self._table = table
        self._holders: OrderedDict[int, list[int]] = OrderedDict()

    def take(self, prefix: int, tag: int) -> list[int]:
        """Note that a target reads a prefix; return the targets that kept it before."""
        known = [t for t in self._holders.get(prefix, ()) if self._table.find_tagged(t)]
        others = [holder for holder in known if holder != tag]
        self._holders[prefix] = [*others[1 - _MAX_HOLDERS :], tag]
        self._holders.move_to_end(prefix)
        if len(self._holders) > _MAX_PROMPTS:
            self._holders.popitem(last=False)
        return known
