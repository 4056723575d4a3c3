"""Shares of the fleet's sums that an instance may use."""

from collections.abc import Callable

from carobladder.placement.keys import hash_parts
from carobladder.placement.rendezvous import rank_members

__all__ = ["ColdPacer", "ReaderRole", "ShareLedger"]

# So many instances for each reader of the store, and at least so many readers.
_INSTANCES_FOR_READER = 16
_FEWEST_READERS = 3
# Sends of one share to one cold target lie further apart than the second in which
# they are counted.
_SPACING_SECONDS = 1.05
# Of an instance that no store has given any: what it may use in the largest fleet.
_DEFAULT_SHARE = 1 / 800


class ShareLedger:
    """Hold the partitions that the store has given to this instance.

    The partitions of a group are divided among its live members, so the held part
    of them is the instance's part of every sum over the fleet. What was held last
    stays in use while the store is away.
    """

    def __init__(self, total: int) -> None:
        self._all = [str(index) for index in range(total)]
        self._held: frozenset[str] = frozenset()
        self._assigned = False

    @property
    def held(self) -> frozenset[str]:
        """Return the held partitions by number."""
        return self._held

    @property
    def names(self) -> list[str]:
        """Return all partitions by number."""
        return self._all

    @property
    def share(self) -> float:
        """Return the part of the fleet's sums that belongs to this instance.

        In a fleet with more instances than partitions some have none.
        """
        if not self._assigned:
            return _DEFAULT_SHARE
        return len(self._held) / len(self._all)

    @property
    def leads(self) -> bool:
        """Tell whether this instance takes the decisions of which one is needed."""
        return self._all[0] in self._held

    def assign(self, held: frozenset[int]) -> bool:
        """Take the partitions now held; tell whether they changed."""
        names = frozenset(str(index) for index in held)
        changed = names != self._held
        self._held = names
        self._assigned = True
        return changed


class ReaderRole:
    """Tell whether this instance reads the store for others as well.

    Some partitions are drawn alike everywhere; their holders are the readers, so the
    store itself replaces a reader whose lease has lapsed.
    """

    def __init__(self, ledger: ShareLedger, count_peers: Callable[[], int]) -> None:
        self._ledger = ledger
        self._count_peers = count_peers
        self._ranked = rank_members(hash_parts("readers"), ledger.names)

    def is_held(self) -> bool:
        """Tell whether this instance is a reader now."""
        wanted = (self._count_peers() + 1) // _INSTANCES_FOR_READER
        drawn = self._ranked[: max(_FEWEST_READERS, wanted)]
        return not self._ledger.held.isdisjoint(drawn)


class ColdPacer:
    """Pace the requests to cold targets so that all instances stay within a rate.

    For each target as many partitions as the target bears requests a second may
    send; each of them sends at most once a second. Which ones follows from a hash,
    so no message between instances is needed, and an instance that holds few
    partitions still reaches some of the cold targets.
    """

    def __init__(self, ledger: ShareLedger) -> None:
        self._ledger = ledger
        self._last_sent: dict[tuple[str, str], float] = {}
        self._chosen: dict[tuple[str, int], frozenset[str]] = {}

    def can_send(self, target_id: str, per_second: float, now: float) -> bool:
        """Tell whether a request may go to the cold target now."""
        return self._find(target_id, per_second, now) is not None

    def take(self, target_id: str, per_second: float, now: float) -> bool:
        """Use the right to send one request; tell whether there was one."""
        partition = self._find(target_id, per_second, now)
        if partition is None:
            return False
        self._last_sent[target_id, partition] = now
        return True

    def forget(self, target_id: str) -> None:
        """Drop what is kept for a target."""
        for key in [key for key in self._last_sent if key[0] == target_id]:
            del self._last_sent[key]
        for chosen in [key for key in self._chosen if key[0] == target_id]:
            del self._chosen[chosen]

    def _find(self, target_id: str, per_second: float, now: float) -> str | None:
        if per_second <= 0.0:
            return None
        count = max(1, min(int(per_second), len(self._ledger.names)))
        spacing = max(1.0, count / per_second) * _SPACING_SECONDS
        for partition in self._choose(target_id, count) & self._ledger.held:
            last = self._last_sent.get((target_id, partition))
            if last is None or now - last >= spacing:
                return partition
        return None

    def _choose(self, target_id: str, count: int) -> frozenset[str]:
        chosen = self._chosen.get((target_id, count))
        if chosen is None:
            key = hash_parts(target_id)
            chosen = frozenset(rank_members(key, self._ledger.names)[:count])
            self._chosen[target_id, count] = chosen
        return chosen
