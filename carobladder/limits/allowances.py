"""Holder's book of allowances and the permits taken from it."""

from collections.abc import Container, Sequence
from dataclasses import dataclass, replace

__all__ = ["Allowance", "AllowanceBook", "BookPermit", "Usage"]


@dataclass(frozen=True, slots=True)
class Allowance:
    """State what an owner lets this instance do with a target.

    ``expires`` is on this instance's monotonic clock: sending of the answered
    heartbeat plus the lease.
    """

    target_id: str
    owner: str
    incarnation: int
    sequence: int
    slots: int
    expires: float
    ready: bool
    cold: bool
    boot_id: str
    load: int
    limit: int
    contended: bool = False


@dataclass(frozen=True, slots=True)
class Usage:
    """Count what this instance uses of a target; the last three are totals."""

    in_flight: int = 0
    requests: int = 0
    acked: int = 0
    answers: int = 0
    errors: int = 0
    first_byte_ms: int = 0


@dataclass(eq=False, slots=True)
class BookPermit:
    """Hold slots under one unbroken run of leases."""

    target_id: str
    weight: int
    lease_id: int
    released: bool = False


@dataclass(slots=True)
class _Entry:
    allowance: Allowance | None = None
    lease_id: int = 0
    in_flight: int = 0
    requests: int = 0
    answers: int = 0
    errors: int = 0
    first_byte_ms: int = 0
    seen_boot_id: str = ""


class AllowanceBook:
    """Track allowances and in-flight slots of all targets at this instance."""

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}

    def apply(self, allowance: Allowance, now: float) -> bool:
        """Take an allowance unless it is older than the present one.

        A lapse, another owner or another boot id starts a new lease, which ends
        the validity of permits whose request was not yet written.
        """
        entry = self._entries.setdefault(allowance.target_id, _Entry())
        current = entry.allowance
        if current is not None and _is_older(allowance, current):
            return False
        if current is None or not _continues(allowance, current, now):
            entry.lease_id += 1
        entry.allowance = allowance
        if allowance.boot_id == entry.seen_boot_id:
            entry.seen_boot_id = ""
        return True

    def note_boot(self, target_id: str, boot_id: str) -> None:
        """Take a boot id from an answer; a new one blocks the present allowance."""
        entry = self._entries.get(target_id)
        if entry is None or entry.allowance is None or not boot_id:
            return
        if boot_id != entry.allowance.boot_id:
            entry.seen_boot_id = boot_id
            entry.lease_id += 1

    def find(self, target_id: str, now: float) -> Allowance | None:
        """Return the unexpired allowance of a target, or None."""
        entry = self._entries.get(target_id)
        if entry is None or entry.allowance is None or now >= entry.allowance.expires:
            return None
        return entry.allowance

    def find_last(self, target_id: str) -> Allowance | None:
        """Return the newest allowance of a target, also an expired one, or None."""
        entry = self._entries.get(target_id)
        return None if entry is None else entry.allowance

    def count_free(self, target_id: str, now: float) -> int:
        """Return the slots that may be taken now."""
        allowance = self.find(target_id, now)
        entry = self._entries.get(target_id)
        if allowance is None or entry is None:
            return 0
        if not allowance.ready or entry.seen_boot_id:
            return 0
        return max(0, allowance.slots - entry.in_flight)

    def list_open(
        self, target_ids: Sequence[str], weight: int, load_multiple: float, now: float
    ) -> tuple[str, ...]:
        """Return the targets that can take the weight by the loads last reported."""
        known = [
            allowance
            for allowance in (self.find(target_id, now) for target_id in target_ids)
            if allowance is not None and allowance.ready
        ]
        if not known:
            return ()
        cap = load_multiple * sum(item.load for item in known) / len(known)
        return tuple(
            item.target_id
            for item in known
            if item.load <= cap and item.load + weight <= item.limit
        )

    def has_free(self, now: float, reserved: Container[str] = ()) -> bool:
        """Tell whether any target outside the reserved ones has a free slot."""
        return any(
            target_id not in reserved and self.count_free(target_id, now)
            for target_id in self._entries
        )

    def try_acquire(self, target_id: str, weight: int, now: float) -> BookPermit | None:
        """Return a permit for the weight in slots, or None."""
        if self.count_free(target_id, now) < weight:
            return None
        entry = self._entries[target_id]
        entry.in_flight += weight
        entry.requests += 1
        return BookPermit(target_id, weight, entry.lease_id)

    def is_valid(self, permit: BookPermit, now: float) -> bool:
        """Tell whether a request may still be written under the permit."""
        entry = self._entries[permit.target_id]
        allowance = self.find(permit.target_id, now)
        if permit.released or allowance is None:
            return False
        same_lease = permit.lease_id == entry.lease_id
        return same_lease and allowance.ready and not entry.seen_boot_id

    def release(
        self,
        permit: BookPermit,
        *,
        failed: bool = False,
        first_byte_seconds: float | None = None,
    ) -> None:
        """Give the slots back once and count the evidence."""
        if permit.released:
            return
        permit.released = True
        entry = self._entries[permit.target_id]
        entry.in_flight -= permit.weight
        entry.requests -= 1
        if failed:
            entry.errors += 1
        elif first_byte_seconds is not None:
            entry.answers += 1
            entry.first_byte_ms += round(first_byte_seconds * 1000)

    def give_back(self, target_id: str) -> int:
        """Reduce the allowance to the slots in flight and return their number."""
        entry = self._entries.get(target_id)
        if entry is None:
            return 0
        allowance = entry.allowance
        if allowance is not None and allowance.slots > entry.in_flight:
            entry.allowance = replace(allowance, slots=entry.in_flight)
        return entry.in_flight

    def count_in_flight(self, target_id: str) -> int:
        """Return the slots in flight at a target through this instance."""
        entry = self._entries.get(target_id)
        return 0 if entry is None else entry.in_flight

    def count_held(self, target_id: str) -> int:
        """Return the slots that the last allowance lets this instance use."""
        entry = self._entries.get(target_id)
        if entry is None or entry.allowance is None:
            return 0
        return max(entry.in_flight, entry.allowance.slots)

    def describe(self, target_id: str, owner: str) -> Usage:
        """Return the usage of a target as reported to the given owner."""
        entry = self._entries.get(target_id)
        if entry is None:
            return Usage()
        allowance = entry.allowance
        acked = 0
        if allowance is not None and allowance.owner == owner:
            acked = allowance.sequence
        return Usage(
            entry.in_flight,
            entry.requests,
            acked,
            entry.answers,
            entry.errors,
            entry.first_byte_ms,
        )

    def forget(self, keep: set[str]) -> None:
        """Drop targets that no longer exist and have nothing in flight."""
        for target_id, entry in list(self._entries.items()):
            if target_id not in keep and not entry.in_flight:
                del self._entries[target_id]


def _is_older(new: Allowance, current: Allowance) -> bool:
    if new.owner != current.owner:
        return False
    return (new.incarnation, new.sequence) <= (current.incarnation, current.sequence)


def _continues(new: Allowance, current: Allowance, now: float) -> bool:
    same_owner = (new.owner, new.incarnation) == (current.owner, current.incarnation)
    same_boot = new.boot_id == current.boot_id
    return same_owner and same_boot and now < current.expires
