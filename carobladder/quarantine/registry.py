"""Decisions on requests whose prompts have parts that crash targets."""

from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass

import xxhash

from carobladder.quarantine.evidence import Crash, CrashEvidence
from carobladder.quarantine.holds import HoldTable
from carobladder.quarantine.messages import (
    CrashReport,
    HoldReport,
    QuarantineNews,
    SoundReport,
)
from carobladder.telemetry import (
    PartQuarantined,
    PartReleased,
    PartTried,
    emit,
)

__all__ = ["PartQuarantine", "QuarantineDecision", "compute_part_tags"]

_MS_PER_SECOND = 1000
# Ages beyond this are not credible, and are not needed.
_MAX_AGE_MS = 86_400_000
_MAX_LEVEL = 100
# Limits of one message; what is left goes into the next one.
_MAX_CRASH_REPORTS = 8
_MAX_SOUND_REPORTS = 256
# Callers of a part that is being tried may come back after this time.
_MIN_RETRY_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class QuarantineDecision:
    """Decision on a request with these parts.

    ``held_index`` is the index of a part in quarantine, None if the request may be
    sent; ``retry_seconds`` is the time until the part may be tried. A request that is
    sent although a part is in quarantine is a trial, which must be sent before
    ``trial_until``.
    """

    held_index: int | None = None
    retry_seconds: float = 0.0
    trial_until: float | None = None

    @property
    def is_trial(self) -> bool:
        """Whether the request tries a part in quarantine."""
        return self.trial_until is not None


class PartQuarantine:
    """Quarantine of prompt parts that crash each target that begins to answer them.

    Each instance sees few of the crashes, so instances tell each other about them, and
    about whole answers to requests with suspected parts. Times are in seconds of a
    clock that also counts while the machine is suspended.
    """

    def __init__(self, has_turn: Callable[[int], bool]) -> None:
        self.on_news: Callable[[], None] = lambda: None
        self.on_change: Callable[[int], None] = lambda part: None
        self._evidence = CrashEvidence()
        self._holds = HoldTable(has_turn)
        self._new_crashes: dict[int, Crash] = {}
        self._new_sound: dict[int, float] = {}
        self._new_holds: set[int] = set()

    def count_held(self) -> int:
        """Return the number of parts in quarantine."""
        return len(self._holds)

    def list_held(self) -> list[int]:
        """Return the parts in quarantine."""
        return [hold.part for hold in self._holds]

    def find_level(self, part: int) -> int | None:
        """Return how often in a row a part has been put in quarantine, or None."""
        hold = self._holds.find(part)
        return hold.level if hold else None

    def decide(self, parts: Sequence[int], now: float) -> QuarantineDecision:
        """Return whether a request with these parts may be sent; count a trial."""
        if not len(self._holds):
            return QuarantineDecision()
        held = [(i, part) for i, part in enumerate(parts) if part in self._holds]
        for index, part in held:
            if not self._holds.may_try(part, now):
                return QuarantineDecision(index, self._find_seconds(part, now))
        trial_until = None
        for _, part in held:
            trial_until = self._holds.start_trial(part, now)
            emit(PartTried(_format_tag(part)))
            self._note_hold(part)
        return QuarantineDecision(trial_until=trial_until)

    def may_repeat(self, parts: Iterable[int], crash_id: int) -> bool:
        """Return whether a request that broke off when its answer had begun may repeat.

        One with a part that had begun at another crash could be the cause of both.
        """
        return not any(
            part in self._holds or self._evidence.is_suspected(part, crash_id)
            for part in parts
        )

    def note_sound(self, parts: Iterable[int], now: float) -> None:
        """Record a whole answer to a request with these parts."""
        for part in parts:
            self._apply_sound(part, now)

    def note_crash(
        self,
        crash_id: int,
        begun: Collection[int],
        others: Collection[int],
        at: float,
        now: float,
    ) -> None:
        """Record the end of a target's run and the parts of its unfinished requests."""
        self._apply_crash(Crash(crash_id, at, set(begun), set(others)), now)

    def note_failed_trial(self, parts: Iterable[int], now: float) -> None:
        """Record that the answer to a trial broke off."""
        for part in parts:
            if self._holds.note_crash(part, now, now):
                self._report_hold(part, now)

    def restore(self, part: int, level: int, now: float) -> None:
        """Put a part in quarantine that was in it before this instance started."""
        if 0 < level <= _MAX_LEVEL:
            self._holds.restore(part, level, now)

    def forget(self, part: int) -> None:
        """End a quarantine that is known only from a record that is deleted now."""
        hold = self._holds.find(part)
        if hold is not None and hold.provisional:
            self._holds.release(part, hold.since)

    def take(self, news: QuarantineNews, now: float) -> None:
        """Apply what another instance has learned."""
        for report in news.sound:
            if _is_credible(report.age_ms):
                self._apply_sound(report.part, _find_time(report.age_ms, now))
        for crash in news.crashes:
            if _is_credible(crash.age_ms):
                at = _find_time(crash.age_ms, now)
                parts = set(crash.begun), set(crash.others)
                self._apply_crash(Crash(crash.crash_id, at, *parts), now)
        self.take_holds(news.holds, now)

    def take_holds(self, reports: Iterable[HoldReport], now: float) -> None:
        """Apply the quarantines that another instance knows."""
        for report in reports:
            if not (
                _is_credible(report.age_ms)
                and _is_credible(abs(report.left_ms))
                and 0 < report.level <= _MAX_LEVEL
            ):
                continue
            since = _find_time(report.age_ms, now)
            sound_at = self._evidence.find_sound_time(report.part)
            if sound_at is not None and sound_at > since:
                self._note_sound_news(report.part, sound_at)
                continue
            until = now + report.left_ms / _MS_PER_SECOND
            if self._holds.merge(report.part, report.level, since, until):
                self._report_hold(report.part, now)

    def collect_news(self, now: float) -> QuarantineNews | None:
        """Return what others must be told now, or None; it counts as told."""
        if not (self._new_crashes or self._new_sound or self._new_holds):
            return None
        crashes = [
            _build_report(self._new_crashes.pop(crash_id), now)
            for crash_id in list(self._new_crashes)[:_MAX_CRASH_REPORTS]
        ]
        sound = [
            SoundReport(part, _find_age(self._new_sound.pop(part), now))
            for part in list(self._new_sound)[:_MAX_SOUND_REPORTS]
        ]
        holds = [h for h in self.collect_holds(now) if h.part in self._new_holds]
        self._new_holds.clear()
        return QuarantineNews(crashes, sound, holds)

    def collect_holds(self, now: float) -> list[HoldReport]:
        """Return the quarantines for the periodic messages.

        Those known only from records are left out, since every instance reads them.
        """
        for part in self._holds.expire(now):
            emit(PartReleased(_format_tag(part)))
            self.on_change(part)
        return [
            HoldReport(
                hold.part,
                hold.level,
                _find_age(hold.since, now),
                round((hold.until - now) * _MS_PER_SECOND),
            )
            for hold in self._holds
            if not hold.provisional
        ]

    def _find_seconds(self, part: int, now: float) -> float:
        hold = self._holds.find(part)
        left_seconds = hold.until - now if hold else 0.0
        return max(left_seconds, _MIN_RETRY_SECONDS)

    def _apply_sound(self, part: int, at: float) -> None:
        is_news = self._evidence.note_sound(part, at)
        if self._holds.release(part, at):
            emit(PartReleased(_format_tag(part)))
            self.on_change(part)
            is_news = True
        if is_news:
            self._note_sound_news(part, at)

    def _apply_crash(self, crash: Crash, now: float) -> None:
        merged = self._evidence.merge(crash)
        if merged is None:
            return
        self._new_crashes[merged.crash_id] = merged
        for part in merged.parts:
            sound_at = self._evidence.find_sound_time(part)
            if sound_at is not None and sound_at >= merged.at:
                self._note_sound_news(part, sound_at)
            elif self._holds.note_crash(part, merged.at, now):
                self._report_hold(part, now)
        for parts in (merged.begun, merged.others):
            self._hold_guilty(parts, merged.at, now)
        self.on_news()

    def _hold_guilty(self, parts: Collection[int], at: float, now: float) -> None:
        for part in parts:
            if part in self._holds:
                continue
            if self._evidence.is_guilty(part, self._is_explained) and self._holds.start(
                part, at, now
            ):
                self._report_hold(part, now)

    def _is_explained(self, crash: Crash) -> bool:
        """Return whether a part in quarantine explains a crash."""
        return any(part in self._holds for part in crash.begun or crash.others)

    def _report_hold(self, part: int, now: float) -> None:
        hold = self._holds.find(part)
        if hold is not None:
            seconds = round(hold.until - now, 1)
            emit(PartQuarantined(_format_tag(part), hold.level, seconds))
        self.on_change(part)
        self._note_hold(part)

    def _note_hold(self, part: int) -> None:
        self._new_holds.add(part)
        self.on_news()

    def _note_sound_news(self, part: int, at: float) -> None:
        self._new_sound[part] = at
        self.on_news()


def compute_part_tags(service: str, part_ids: Iterable[str]) -> tuple[int, ...]:
    """Return short hashes of parts; targets of other services may serve them soundly.

    Collisions are possible but rare.
    """
    return tuple(
        xxhash.xxh32_intdigest(f"{service}\0{part_id}".encode()) for part_id in part_ids
    )


def _build_report(crash: Crash, now: float) -> CrashReport:
    return CrashReport(
        crash.crash_id,
        _find_age(crash.at, now),
        sorted(crash.begun),
        sorted(crash.others - crash.begun),
    )


def _find_age(start: float, end: float) -> int:
    return max(0, round((end - start) * _MS_PER_SECOND))


def _find_time(age_ms: int, now: float) -> float:
    return now - age_ms / _MS_PER_SECOND


def _is_credible(age_ms: int) -> bool:
    return 0 <= age_ms <= _MAX_AGE_MS


def _format_tag(part: int) -> str:
    return f"{part:08x}"
