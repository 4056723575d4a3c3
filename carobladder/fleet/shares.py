"""Shares of fleet-wide limits that an instance may use."""

from collections.abc import Callable

from carobladder.placement.keys import hash_parts
from carobladder.placement.rendezvous import rank_members

__all__ = ["ColdPacer", "ReaderRole", "ShareLedger"]

# Number of instances per reader of the store, and minimum number of readers.
_INSTANCES_PER_READER = 16
_MIN_READERS = 3
# Requests of one partition to a cold target are spaced by slightly more than the
# interval over which the rate is measured.
_SPACING_FACTOR = 1.05
# Share of an instance before its first assignment: its share in the largest fleet.
_DEFAULT_SHARE = 1 / 800


class ShareLedger:
    """Partitions that the store has assigned to this instance.

    The store divides the partitions of a group among its live members. The fraction
    assigned to this instance is its share of every fleet-wide limit. The last
    assignment remains in use while the store is unavailable.
    """

    def __init__(self, total: int) -> None:
        self._all = [str(index) for index in range(total)]
        self._held: frozenset[str] = frozenset()
        self._assigned = False

    @property
    def held(self) -> frozenset[str]:
        """Return the assigned partitions, as decimal indices."""
        return self._held

    @property
    def partitions(self) -> list[str]:
        """Return all partitions, as decimal indices."""
        return self._all

    @property
    def share(self) -> float:
        """Return this instance's fraction of the fleet-wide limits.

        It is 0 for some instances of a fleet with more instances than partitions.
        """
        if not self._assigned:
            return _DEFAULT_SHARE
        return len(self._held) / len(self._all)

    @property
    def is_leader(self) -> bool:
        """Return whether this instance is the leader: the holder of partition 0."""
        return self._all[0] in self._held

    def assign(self, held: frozenset[int]) -> bool:
        """Set the assigned partitions; return whether they changed."""
        new_held = frozenset(str(index) for index in held)
        changed = new_held != self._held
        self._held = new_held
        self._assigned = True
        return changed


class ReaderRole:
    """Role of the instances that read the store on behalf of the others.

    A hash selects the same few partitions on every instance, and their holders are the
    readers. The store thus replaces a reader whose lease has expired.
    """

    def __init__(self, ledger: ShareLedger, count_peers: Callable[[], int]) -> None:
        self._ledger = ledger
        self._count_peers = count_peers
        self._ranked = rank_members(hash_parts("readers"), ledger.partitions)

    def is_held(self) -> bool:
        """Return whether this instance is currently a reader."""
        reader_count = (self._count_peers() + 1) // _INSTANCES_PER_READER
        reader_partitions = self._ranked[: max(_MIN_READERS, reader_count)]
        return not self._ledger.held.isdisjoint(reader_partitions)


class ColdPacer:
    """Fleet-wide rate limiter for requests to cold targets.

    For a target with a limit of N requests per second, a hash selects N partitions,
    and each of them may send one request per second. No messages between instances
    are needed, and an instance with few partitions can still use some cold targets.
    """

    def __init__(self, ledger: ShareLedger) -> None:
        self._ledger = ledger
        self._last_sent: dict[tuple[str, str], float] = {}
        self._selected: dict[tuple[str, int], frozenset[str]] = {}

    def can_send(self, target_id: str, per_second: float, now: float) -> bool:
        """Return whether a request may be sent to the cold target now."""
        return self._find_free_partition(target_id, per_second, now) is not None

    def acquire(self, target_id: str, per_second: float, now: float) -> bool:
        """Count one request against the limit; return whether it was allowed."""
        partition = self._find_free_partition(target_id, per_second, now)
        if partition is None:
            return False
        self._last_sent[target_id, partition] = now
        return True

    def forget(self, target_id: str) -> None:
        """Remove the state of a target."""
        for key in [key for key in self._last_sent if key[0] == target_id]:
            del self._last_sent[key]
        for selected in [key for key in self._selected if key[0] == target_id]:
            del self._selected[selected]

    def _find_free_partition(
        self, target_id: str, per_second: float, now: float
    ) -> str | None:
        if per_second <= 0.0:
            return None
        count = max(1, min(int(per_second), len(self._ledger.partitions)))
        spacing = max(1.0, count / per_second) * _SPACING_FACTOR
        for partition in self._select_partitions(target_id, count) & self._ledger.held:
            last = self._last_sent.get((target_id, partition))
            if last is None or now - last >= spacing:
                return partition
        return None

    def _select_partitions(self, target_id: str, count: int) -> frozenset[str]:
        selected = self._selected.get((target_id, count))
        if selected is None:
            key = hash_parts(target_id)
            selected = frozenset(rank_members(key, self._ledger.partitions)[:count])
            self._selected[target_id, count] = selected
        return selected
