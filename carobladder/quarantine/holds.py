"""Parts of prompts in quarantine, and the trials that may end it."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

import xxhash

__all__ = ["Hold", "HoldTable"]

# The first trial comes soon, since a sound part may be in quarantine. Each failed trial
# costs a target, so the time grows.
_FIRST_HOLD_SECONDS = 15.0
_HOLD_GROWTH = 4.0
_MAX_HOLD_SECONDS = 3600.0
# Time in which the outcome of a trial becomes known.
_TRIAL_SECONDS = 5.0
# A request of a trial that is delayed for longer must not be sent any more, since
# another instance may already make the next trial when its outcome becomes known.
_TRIAL_SENDING_SECONDS = 2.0
# In each of these spans another instance may make the trial, and only in the middle of
# it, since instances know the end of a quarantine with small differences.
_TURN_SECONDS = 2.0
_TURN_MARGIN_SECONDS = 0.5
# Requests that were on their way when the quarantine began may crash targets this long
# after, which says nothing about a trial.
_UNDER_WAY_SECONDS = 3.0
_MAX_HOLDS = 64
# A part that no request has had for this long since it might have been tried.
_MAX_UNUSED_SECONDS = 3600.0


@dataclass(slots=True)
class Hold:
    """Quarantine of one part, for the ``level``-th time in a row.

    ``since`` is the time of the newest evidence, ``until`` the time from which the part
    may be tried. A ``provisional`` hold follows a record without times.
    """

    part: int
    level: int
    since: float
    until: float
    provisional: bool = False


class HoldTable:
    """Quarantined parts.

    ``has_turn`` tells whether this instance is the one for a 64-bit key.
    """

    def __init__(self, has_turn: Callable[[int], bool]) -> None:
        self._has_turn = has_turn
        self._holds: dict[int, Hold] = {}

    def __len__(self) -> int:
        """Return the number of quarantined parts."""
        return len(self._holds)

    def __contains__(self, part: object) -> bool:
        """Return whether a part is in quarantine."""
        return part in self._holds

    def __iter__(self) -> Iterator[Hold]:
        """Iterate over the quarantined parts."""
        return iter(self._holds.values())

    def find(self, part: int) -> Hold | None:
        """Return the quarantine of a part, or None."""
        return self._holds.get(part)

    def start(self, part: int, at: float, now: float) -> bool:
        """Put a part in quarantine; return whether it is there now."""
        return self._put(part, 1, at, now + _FIRST_HOLD_SECONDS)

    def expire(self, now: float) -> list[int]:
        """End the quarantines that nobody has tried for long; return their parts."""
        unused = [hold.part for hold in self if now - hold.until > _MAX_UNUSED_SECONDS]
        for part in unused:
            del self._holds[part]
        return unused

    def restore(self, part: int, level: int, now: float) -> None:
        """Put a part in quarantine that was in it before this instance started."""
        hold = self._holds.get(part)
        if hold is None or hold.level < level:
            until = now + _compute_seconds(level)
            self._put(part, level, now, until, provisional=True)

    def merge(self, part: int, level: int, since: float, until: float) -> bool:
        """Apply what another instance knows; return whether it is new."""
        hold = self._holds.get(part)
        if hold is None or hold.provisional or level > hold.level:
            return self._put(part, level, since, until)
        if level < hold.level or until - hold.until <= _TURN_MARGIN_SECONDS:
            return False
        hold.since, hold.until = max(since, hold.since), until
        return True

    def release(self, part: int, sound_at: float) -> bool:
        """End a quarantine that a whole answer refutes; return whether there was one.

        The record of an earlier quarantine has no time, so any answer refutes it.
        """
        hold = self._holds.get(part)
        if hold is None or (sound_at <= hold.since and not hold.provisional):
            return False
        del self._holds[part]
        return True

    def note_crash(self, part: int, at: float, now: float) -> bool:
        """Record a crash with a quarantined part; return whether a trial has failed."""
        hold = self._holds.get(part)
        if hold is None or at <= hold.since + _UNDER_WAY_SECONDS:
            return False
        return self._put(
            part, hold.level + 1, at, now + _compute_seconds(hold.level + 1)
        )

    def may_try(self, part: int, now: float) -> bool:
        """Return whether this instance may send one request with the part now."""
        hold = self._holds[part]
        if now < hold.until:
            return False
        turn, elapsed = divmod(now - hold.until, _TURN_SECONDS)
        if not _TURN_MARGIN_SECONDS <= elapsed <= _TURN_SECONDS - _TURN_MARGIN_SECONDS:
            return False
        return self._has_turn(xxhash.xxh3_64_intdigest(f"{part}/{turn:.0f}".encode()))

    def start_trial(self, part: int, now: float) -> float:
        """Let nobody else try the part until the outcome is known.

        Return the time until which the request may be sent.
        """
        hold = self._holds[part]
        hold.until = now + _TRIAL_SECONDS
        hold.provisional = False
        return now + _TRIAL_SENDING_SECONDS

    def _put(
        self,
        part: int,
        level: int,
        since: float,
        until: float,
        *,
        provisional: bool = False,
    ) -> bool:
        if part not in self._holds and len(self._holds) >= _MAX_HOLDS:
            oldest = min(self, key=lambda hold: hold.since)
            if oldest.since > since:
                return False
            del self._holds[oldest.part]
        self._holds[part] = Hold(part, level, since, until, provisional)
        return True


def _compute_seconds(level: int) -> float:
    seconds = _FIRST_HOLD_SECONDS * _HOLD_GROWTH ** (level - 1)
    return min(seconds, _MAX_HOLD_SECONDS)
