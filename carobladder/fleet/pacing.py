"""Fleet-wide rate limiters of the requests to single targets."""

import random
from dataclasses import dataclass

from carobladder.clock import Clock
from carobladder.fleet.shares import ShareLedger
from carobladder.fleet.targets import FleetTarget
from carobladder.placement.keys import hash_parts
from carobladder.placement.rendezvous import rank_members

__all__ = ["ColdPacer", "RatePacer"]

# Requests of one partition to a target are spaced by slightly more than the interval
# over which the rate is measured.
_SPACING_FACTOR = 1.05
# An instance whose lease has lapsed may share its partitions with their next holder.
_LAPSED_SPACING_FACTOR = 2.0
# A limit that nobody has confirmed for this time, or for this many intervals between
# requests, may have ended while the holders of its partitions have no requests.
_CONFIRMATION_SECONDS = 5.0
_CONFIRMATION_INTERVALS = 3.0
# Trials of all instances together, as a fraction of the limit.
_TRIAL_FRACTION = 0.25


class _PartitionPacer:
    """Spacing of requests to a target by each of a few partitions.

    A hash selects the partitions of a target, and the instances that hold them may send
    to it. No messages between instances are needed.
    """

    def __init__(self, ledger: ShareLedger) -> None:
        self._ledger = ledger
        self._last_sent: dict[tuple[str, str], float] = {}
        self._selected: dict[tuple[str, int], frozenset[str]] = {}

    def forget(self, target_id: str) -> None:
        """Remove the state of a target."""
        for key in [key for key in self._last_sent if key[0] == target_id]:
            del self._last_sent[key]
        for selected in [key for key in self._selected if key[0] == target_id]:
            del self._selected[selected]

    def _find_next(
        self, target_id: str, partitions: frozenset[str], spacing: float
    ) -> tuple[float, str] | None:
        """Return when the first of the partitions may send, and that partition."""
        times = (
            (self._last_sent.get((target_id, partition), float("-inf")), partition)
            for partition in partitions
        )
        earliest = min(times, default=None)
        return None if earliest is None else (earliest[0] + spacing, earliest[1])

    def _note_sent(self, target_id: str, partition: str, now: float) -> None:
        self._last_sent[target_id, partition] = now

    def _select_partitions(self, target_id: str, count: int) -> frozenset[str]:
        selected = self._selected.get((target_id, count))
        if selected is None:
            key = hash_parts(target_id)
            selected = frozenset(rank_members(key, self._ledger.partitions)[:count])
            self._selected[target_id, count] = selected
        return selected


class ColdPacer(_PartitionPacer):
    """Fleet-wide rate limiter for requests to cold targets.

    For a target with a limit of N requests per second, N partitions may send one
    request per second each. An instance with few partitions can still use some cold
    targets. Times are in monotonic seconds.
    """

    def can_send(self, target_id: str, per_second: float, now: float) -> bool:
        """Return whether a request may be sent to the cold target now."""
        return self._find_free_partition(target_id, per_second, now) is not None

    def acquire(self, target_id: str, per_second: float, now: float) -> bool:
        """Count one request against the limit; return whether it was allowed."""
        partition = self._find_free_partition(target_id, per_second, now)
        if partition is None:
            return False
        self._note_sent(target_id, partition, now)
        return True

    def _find_free_partition(
        self, target_id: str, per_second: float, now: float
    ) -> str | None:
        if per_second <= 0.0:
            return None
        count = max(1, min(int(per_second), len(self._ledger.partitions)))
        spacing = max(1.0, count / per_second) * _SPACING_FACTOR
        held = self._select_partitions(target_id, count) & self._ledger.held
        found = self._find_next(target_id, held, spacing)
        return found[1] if found is not None and found[0] <= now else None


@dataclass(frozen=True, slots=True)
class _Trial:
    """Time from which an instance may try a target, and that of its last statement."""

    stated_at: float
    due_at: float


class RatePacer(_PartitionPacer):
    """Fleet-wide rate limiter for targets that name a limit in their responses.

    The limit is divided among the partitions of the target, one for each request per
    second. Only partitions count that this instance has held long enough for an
    earlier holder to know that it lost them.
    """

    def __init__(
        self, ledger: ShareLedger, clock: Clock, generator: random.Random
    ) -> None:
        super().__init__(ledger)
        self._clock = clock
        self._generator = generator
        self._trials: dict[str, _Trial] = {}

    def forget(self, target_id: str) -> None:
        """Remove the state of a target."""
        super().forget(target_id)
        self._trials.pop(target_id, None)

    def can_send(self, target: FleetTarget) -> bool:
        """Return whether a request may be sent to the target now."""
        wait = self.find_wait(target)
        return wait is not None and wait <= 0.0

    def find_wait(self, target: FleetTarget) -> float | None:
        """Return the seconds until a request may be sent to the target.

        Returns None if others may use the target, but not this instance.
        """
        if target.rate_limit is None:
            return 0.0
        times = [self._find_trial(target, target.rate_limit)]
        found = self._find_next_held(target.target_id, target.rate_limit)
        times.append(None if found is None else found[0])
        earliest = min((time for time in times if time is not None), default=None)
        if earliest is None:
            return None
        return max(0.0, earliest - self._clock.boottime())

    def compute_rate(self, target: FleetTarget) -> float:
        """Return the requests a second that this instance may send to the target."""
        if target.rate_limit is None:
            return float("inf")
        count = self._count_partitions(target.rate_limit)
        held = self._select_settled(target.target_id, count)
        return len(held) / self._compute_spacing(target.rate_limit, count)

    def acquire(self, target: FleetTarget) -> None:
        """Count a request to the target against its limit."""
        if target.rate_limit is None:
            return
        now = self._clock.boottime()
        self._trials.pop(target.target_id, None)
        found = self._find_next_held(target.target_id, target.rate_limit)
        if found is not None:
            self._note_sent(target.target_id, found[1], now)

    def _find_trial(self, target: FleetTarget, per_second: float) -> float | None:
        """Return when this instance may try a target whose limit nobody confirms.

        The holders of its partitions may get no requests. If only their statements do
        not arrive, the trials of all instances come on top of what the holders send.
        """
        now = self._clock.boottime()
        trust_seconds = max(_CONFIRMATION_SECONDS, _CONFIRMATION_INTERVALS / per_second)
        share = self._ledger.share
        if now - target.rate_stated_at <= trust_seconds or not share:
            return None
        trial = self._trials.get(target.target_id)
        if trial is None or trial.stated_at != target.rate_stated_at:
            trials_per_second = per_second * _TRIAL_FRACTION * share
            delay = self._generator.random() / trials_per_second
            trial = _Trial(target.rate_stated_at, now + delay)
            self._trials[target.target_id] = trial
        return trial.due_at

    def _find_next_held(
        self, target_id: str, per_second: float
    ) -> tuple[float, str] | None:
        count = self._count_partitions(per_second)
        held = self._select_settled(target_id, count)
        spacing = self._compute_spacing(per_second, count)
        return self._find_next(target_id, held, spacing)

    def _select_settled(self, target_id: str, count: int) -> frozenset[str]:
        now = self._clock.boottime()
        held = self._select_partitions(target_id, count) & self._ledger.held
        return frozenset(
            partition for partition in held if self._ledger.is_settled(partition, now)
        )

    def _count_partitions(self, per_second: float) -> int:
        return max(1, min(int(per_second), len(self._ledger.partitions)))

    def _compute_spacing(self, per_second: float, count: int) -> float:
        lapsed = self._ledger.has_lapsed(self._clock.boottime())
        factor = _LAPSED_SPACING_FACTOR if lapsed else 1.0
        return count / per_second * _SPACING_FACTOR * factor
