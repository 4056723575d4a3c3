"""Evidence for and against parts of prompts, from the ends of targets."""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

__all__ = ["Crash", "CrashEvidence"]

# A part is guilty if it was in requests that had just begun at this many crashes, or in
# other requests at this many, with no whole answer in between. The others prove less,
# since all requests of a target wait or run when it ends.
_GUILTY_BEGUN_CRASHES = 3
_GUILTY_OTHER_CRASHES = 5
# Rounding errors of the sum of weights.
_TOLERANCE = 1e-6
# Targets that end together have a common cause, such as power, and count once.
_COMMON_CAUSE_SECONDS = 0.25
_MAX_CRASHES = 128
# A crash is known everywhere within seconds, and so must the whole answers before it.
_MAX_SOUND_PARTS = 4096
_MAX_PARTS_PER_CRASH = 64


@dataclass(slots=True)
class Crash:
    """End of a run of a target; the sets contain tags of parts.

    ``begun`` and ``others`` are as in ``CrashReport``; ``at`` is in seconds.
    """

    crash_id: int
    at: float
    begun: set[int] = field(default_factory=set)
    others: set[int] = field(default_factory=set)

    @property
    def parts(self) -> set[int]:
        """All suspected parts."""
        return self.begun | self.others

    def find_weight(self, part: int) -> float:
        """Return how much the crash proves against a part; 1 in total is proof."""
        if part in self.begun:
            return 1.0 / _GUILTY_BEGUN_CRASHES
        return 1.0 / _GUILTY_OTHER_CRASHES


class CrashEvidence:
    """Crashes, the parts of the requests that ended with them, and sound parts.

    A part that crashes targets never has a whole answer, so each whole answer refutes
    all earlier evidence against its parts. Times are in seconds of one clock.
    """

    def __init__(self) -> None:
        self._crashes: OrderedDict[int, Crash] = OrderedDict()
        self._crash_ids: dict[int, list[int]] = {}
        self._sound_at: OrderedDict[int, float] = OrderedDict()

    def note_sound(self, part: int, at: float) -> bool:
        """Record a whole answer; return whether it refutes evidence against the part.

        Older answers than the newest known one are ignored.
        """
        known = self._sound_at.get(part, float("-inf"))
        if at <= known:
            return False
        self._sound_at[part] = at
        self._sound_at.move_to_end(part)
        if len(self._sound_at) > _MAX_SOUND_PARTS:
            self._sound_at.popitem(last=False)
        return any(known < crash.at <= at for crash in self._find_crashes(part))

    def find_sound_time(self, part: int) -> float | None:
        """Return the time of the newest known whole answer, or None."""
        return self._sound_at.get(part)

    def merge(self, crash: Crash) -> Crash | None:
        """Add what one instance saw; return the whole crash if that is new."""
        known = self._crashes.get(crash.crash_id)
        if known is None:
            known = self._crashes[crash.crash_id] = Crash(crash.crash_id, crash.at)
        before = len(known.begun), len(known.others)
        self._add_parts(known, known.begun, crash.begun)
        self._add_parts(known, known.others, crash.others)
        self._drop_oldest()
        return known if (len(known.begun), len(known.others)) != before else None

    def is_suspected(self, part: int, except_crash: int | None = None) -> bool:
        """Return whether a request with the part had begun at an unrefuted crash."""
        return any(
            part in crash.begun and crash.crash_id != except_crash
            for crash in self._find_unrefuted(part)
        )

    def is_guilty(self, part: int, is_explained: Callable[[Crash], bool]) -> bool:
        """Return whether the part has crashed targets.

        ``is_explained`` tells of a crash whether another part has caused it.
        """
        total = 0.0
        weight = 0.0
        group_started_at = float("-inf")
        for crash in sorted(self._find_unrefuted(part), key=lambda crash: crash.at):
            if is_explained(crash):
                continue
            if crash.at - group_started_at > _COMMON_CAUSE_SECONDS:
                total += weight
                group_started_at, weight = crash.at, 0.0
            weight = max(weight, crash.find_weight(part))
        return total + weight >= 1.0 - _TOLERANCE

    def _find_crashes(self, part: int) -> Iterable[Crash]:
        return (self._crashes[crash_id] for crash_id in self._crash_ids.get(part, ()))

    def _find_unrefuted(self, part: int) -> Iterable[Crash]:
        sound_at = self._sound_at.get(part, float("-inf"))
        return (crash for crash in self._find_crashes(part) if crash.at > sound_at)

    def _add_parts(self, crash: Crash, known: set[int], parts: Iterable[int]) -> None:
        # Parts without a whole answer, or with an old one, are the likeliest cause.
        likeliest_first = sorted(
            parts, key=lambda part: self._sound_at.get(part, float("-inf"))
        )
        for part in likeliest_first:
            if part not in known and len(known) < _MAX_PARTS_PER_CRASH:
                if part not in crash.parts:
                    self._crash_ids.setdefault(part, []).append(crash.crash_id)
                known.add(part)

    def _drop_oldest(self) -> None:
        while len(self._crashes) > _MAX_CRASHES:
            crash_id, crash = self._crashes.popitem(last=False)
            for part in crash.parts:
                self._crash_ids[part].remove(crash_id)
                if not self._crash_ids[part]:
                    del self._crash_ids[part]
