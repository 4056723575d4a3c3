"""Decision when an instance tries to become the holder of the duties."""

from enum import StrEnum

from carobladder.fleet.shares import ShareLedger

__all__ = ["Election", "HolderState"]

# Share partitions whose holders take over, in this order. The store gives the
# partitions of a killed instance to others only after up to 9 s, so one candidate
# would not be enough.
_CANDIDATE_COUNT = 3
# Unanswered probes after which the holder is taken for lost. One lost datagram or a
# delay of some 100 ms must not move the duties, as the next holder waits for a lease.
_MAX_UNANSWERED_PROBES = 4
# Further probes for which each next candidate leaves the duties to the one before.
_PROBES_PER_RANK = 2
# A longer interval between two ticks shows that this instance was paused itself.
_MAX_TICK_GAPS = 2.5


class HolderState(StrEnum):
    """What an instance knows of the holder of the duties."""

    UNKNOWN = "unknown"
    RELEASED = "released"
    KNOWN = "known"


class Election:
    """Candidate's view of the holder, by the answers to its probes.

    ``interval_seconds`` is the time between two ticks, each of which sends one probe.
    """

    def __init__(self, ledger: ShareLedger, interval_seconds: float) -> None:
        self._ledger = ledger
        self._max_gap_seconds = interval_seconds * _MAX_TICK_GAPS
        self._unanswered = 0
        self._last_tick_at = float("-inf")

    def find_rank(self) -> int | None:
        """Return the position of this instance among the candidates, or None."""
        held = self._ledger.held
        for rank, partition in enumerate(self._ledger.partitions[:_CANDIDATE_COUNT]):
            if partition in held:
                return rank
        return None

    def tick(self, now: float, state: HolderState) -> bool:
        """Return whether to try to become holder; ``now`` is in boot time."""
        was_paused = now - self._last_tick_at > self._max_gap_seconds
        self._last_tick_at = now
        rank = self.find_rank()
        if was_paused or rank is None:
            self._unanswered = 0
            return False
        if state is HolderState.UNKNOWN and not self._is_settled(rank, now):
            # A holder that this instance has not heard of yet may be alive.
            return False
        patience = _PROBES_PER_RANK * rank
        if state is HolderState.RELEASED:
            # A stopping holder is often the first candidate itself. The store accepts
            # the term of one of the others only.
            patience = 0
        elif state is HolderState.KNOWN:
            patience += _MAX_UNANSWERED_PROBES
        self._unanswered += 1
        return self._unanswered > patience

    def note_answer(self) -> None:
        """Record a sign of life of the holder."""
        self._unanswered = 0

    def _is_settled(self, rank: int, now: float) -> bool:
        return self._ledger.is_settled(self._ledger.partitions[rank], now)
