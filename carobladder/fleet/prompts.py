"""Where prompts were read, as instances tell each other."""

import heapq
import struct
from dataclasses import dataclass

from carobladder.fleet.targets import FleetTarget, TargetTable
from carobladder.fleet.warmth import PromptWarmth

__all__ = ["PromptSharing"]

# Key of a prefix, tag of a target, size class of what is read with the prefix.
_REPORT = struct.Struct(">QIB")
# With the longest interval between messages these take under 1 KB/s.
_MAX_REPORTS = 20
# Times that an instance tells one report. As each goes to another instance drawn at
# random, a report reaches 98 of 100 instances if each tells it four times.
_TELLINGS = 4
_MAX_PENDING = 1024
# Shorter parts are read faster than a copy of them begins.
_LEAST_TOKENS = 64


@dataclass(slots=True)
class _PendingReport:
    """Wait to be told; ``size_class`` is the length in bits of the number of tokens."""

    size_class: int
    tellings: int = _TELLINGS


class PromptSharing:
    """Collect where this instance had prompts read, and take what others tell.

    A report that is new here is told on. Long parts go first, because reading them
    again costs most. A wrong report costs a copy that finds nothing.
    """

    def __init__(self, table: TargetTable, warmth: PromptWarmth) -> None:
        self._table = table
        self._warmth = warmth
        self._pending: dict[tuple[int, int], _PendingReport] = {}

    def note_read(self, prefix: int, tokens: int, target: FleetTarget) -> None:
        """Note that a target reads a prefix; ``tokens`` are those of its last part."""
        if self._warmth.note_sent(prefix, target) and tokens >= _LEAST_TOKENS:
            self._add(prefix, target, tokens.bit_length())

    def collect(self) -> bytes:
        """Return the reports to tell now, and count them as told once."""
        chosen = heapq.nlargest(
            _MAX_REPORTS, self._pending.items(), key=lambda item: item[1].size_class
        )
        packed = []
        for key, report in chosen:
            report.tellings -= 1
            if not report.tellings:
                del self._pending[key]
            packed.append(_REPORT.pack(*key, report.size_class))
        return b"".join(packed)

    def take(self, data: bytes) -> None:
        """Use the reports of another instance; a part of a report is left out."""
        whole = len(data) - len(data) % _REPORT.size
        for prefix, tag, size_class in _REPORT.iter_unpack(data[:whole]):
            target = self._table.find_tagged(tag)
            if target is not None and self._warmth.note_told(prefix, target):
                self._add(prefix, target, size_class)

    def _add(self, prefix: int, target: FleetTarget, size_class: int) -> None:
        if len(self._pending) >= _MAX_PENDING:
            del self._pending[next(iter(self._pending))]
        self._pending[prefix, target.tag] = _PendingReport(size_class)
