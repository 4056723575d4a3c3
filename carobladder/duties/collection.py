"""Counts of windows that the holder collects from the instances."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

__all__ = ["CollectedWindow", "Completeness", "UsageCollection", "UsageTimes"]

# Parts of the time in which a window is due, from its end on. Requests that begin at
# the end of a window are counted, and clocks may differ a little.
_EARLIEST = 0.05
_FEW_MISSING_AT = 0.5
_LAST_CHANCE_AT = 0.72
# With fewer counts, a report would certainly be wrong.
_MIN_PRESENT = 0.5
_MAX_WINDOWS = 16


class Completeness(StrEnum):
    """Whether the counts of a window may be recorded."""

    WAIT = "wait"
    RECORD = "record"
    GIVE_UP = "give_up"


@dataclass(frozen=True, slots=True)
class UsageTimes:
    """Length of a window and the time after its end in which its report is due.

    ``tolerance`` is the part by which reported counts may differ from the true ones. As
    many instances may be missing for a report well before the due time.
    """

    window_seconds: float
    late_seconds: float
    tolerance: float = 0.05


@dataclass(slots=True)
class CollectedWindow:
    """Counts of a window by the run of an instance that sent them."""

    counts: dict[tuple[str, int], Mapping[str, int]] = field(default_factory=dict)

    def sum_up(self) -> dict[str, int]:
        """Return the counts by team of all instances."""
        sums: dict[str, int] = {}
        for counts in self.counts.values():
            for team, count in counts.items():
                sums[team] = sums.get(team, 0) + count
        return sums

    def list_senders(self) -> set[str]:
        """Return the names of the instances that sent counts."""
        return {name for name, _ in self.counts}


class UsageCollection:
    """Counts of the windows that are not recorded yet."""

    def __init__(self, times: UsageTimes) -> None:
        self._times = times
        self._windows: dict[int, CollectedWindow] = {}
        # Kept after the counts are recorded, to know which instances to wait for.
        self._senders: dict[int, set[str]] = {}

    def take(
        self, name: str, run: int, windows: Mapping[int, Mapping[str, int]]
    ) -> None:
        """Keep the counts of a run of an instance; later ones replace earlier ones.

        A run that sends again has counted more, if it ended before its window did.
        """
        for window, counts in windows.items():
            collected = self._windows.setdefault(window, CollectedWindow())
            collected.counts[name, run] = counts
            self._senders.setdefault(window, set()).add(name)
        for kept in (self._windows, self._senders):
            for window in sorted(kept)[:-_MAX_WINDOWS]:
                del kept[window]

    def find(self, window: int) -> CollectedWindow:
        """Return the counts of a window, possibly none."""
        return self._windows.get(window, CollectedWindow())

    def drop_until(self, window: int) -> None:
        """Drop the counts of the windows up to one that is recorded."""
        for key in [key for key in self._windows if key <= window]:
            del self._windows[key]

    def judge(self, window: int, now: float, others: Collection[str]) -> Completeness:
        """Return whether to record a window at a time in Unix seconds.

        ``others`` are the other announced instances. Some may have ended long ago, so
        the senders of the windows before are awaited, if there are any.
        """
        end = (window + 1) * self._times.window_seconds
        age = (now - end) / self._times.late_seconds
        if age < _EARLIEST:
            return Completeness.WAIT
        before = self._senders.get(window - 1, set())
        expected = (
            before | self._senders.get(window - 2, set()) if before else {*others}
        )
        missing = len(expected - self.find(window).list_senders())
        if before and not missing:
            return Completeness.RECORD
        if age >= _FEW_MISSING_AT and missing <= self._times.tolerance * len(expected):
            return Completeness.RECORD
        if age < _LAST_CHANCE_AT:
            return Completeness.WAIT
        if missing <= (1.0 - _MIN_PRESENT) * len(expected):
            return Completeness.RECORD
        return Completeness.WAIT if age < 1.0 else Completeness.GIVE_UP
