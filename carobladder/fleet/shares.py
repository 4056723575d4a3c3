"""Shares of fleet-wide limits that an instance may use."""

from collections.abc import Callable

from carobladder.placement.keys import hash_parts
from carobladder.placement.rendezvous import rank_members

__all__ = ["ReaderRole", "ShareLedger"]

# Number of instances per reader of the store, and minimum number of readers.
_INSTANCES_PER_READER = 16
_MIN_READERS = 3
# An earlier holder of a partition knows after this time that it lost it: the interval
# in which memberships are renewed, and the time for an answer.
_HANDOVER_SECONDS = 3.5
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
        self._held_since: dict[str, float] = {}
        self._lease_until = float("inf")
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

    def is_leader_settled(self, now: float) -> bool:
        """Return whether this instance leads, and no earlier leader believes to."""
        return self.is_leader and self.is_settled(self._all[0], now)

    def assign(self, held: frozenset[int], now: float = float("-inf")) -> bool:
        """Set the assigned partitions; return whether they changed.

        ``now`` is the time of the assignment in seconds of a clock that also counts
        while the machine is suspended; by default the partitions were held before.
        """
        new_held = frozenset(str(index) for index in held)
        changed = new_held != self._held
        self._held = new_held
        self._held_since = {
            partition: self._held_since.get(partition, now) for partition in new_held
        }
        self._assigned = True
        return changed

    def extend_lease(self, until: float) -> None:
        """Set the time until which no other instance gets the partitions."""
        self._lease_until = until

    def note_restored(self, now: float) -> None:
        """Record that the store may have given the held partitions to others."""
        self._lease_until = min(self._lease_until, now)
        self._held_since = dict.fromkeys(self._held, now)

    def has_lapsed(self, now: float) -> bool:
        """Return whether other instances may have got the partitions meanwhile."""
        return now > self._lease_until

    def is_settled(self, partition: str, now: float) -> bool:
        """Return whether no earlier holder still believes to hold a held partition."""
        return now - self._held_since[partition] >= _HANDOVER_SECONDS


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
