"""Directory of the targets that hold the prompts this instance is in charge of."""

from collections import OrderedDict

from carobladder.fleet.targets import TargetTable

__all__ = ["PromptRegister"]

_MAX_PROMPTS = 20_000
# Targets listed per prompt, newest last; one is enough to copy from.
_MAX_HOLDERS = 4


class PromptRegister:
    """This instance's part of the directory of prompt prefixes and their holders.

    Targets are identified by their tags. Targets that are gone are not returned.
    """

    def __init__(self, table: TargetTable) -> None:
        self._table = table
        self._holders: OrderedDict[int, list[int]] = OrderedDict()

    def take(self, prefix: int, tag: int) -> list[int]:
        """Register a target for a prefix; return the targets that already hold it."""
        known = [t for t in self._holders.get(prefix, ()) if self._table.find_by_tag(t)]
        others = [holder for holder in known if holder != tag]
        self._holders[prefix] = [*others[1 - _MAX_HOLDERS :], tag]
        self._holders.move_to_end(prefix)
        if len(self._holders) > _MAX_PROMPTS:
            self._holders.popitem(last=False)
        return known
