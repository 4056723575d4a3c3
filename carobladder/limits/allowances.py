"""Allowances that this instance holds and the permits issued from them.

The owner of a target grants each holder (an instance that sends to the target) an
allowance: a number of slots for the time of a lease.
"""

from collections.abc import Container, Sequence
from dataclasses import dataclass, replace

# Slots beyond those in flight that a holder keeps for its next request while none
# waits.
KEPT_SLOTS = 2

__all__ = ["Allowance", "AllowanceBook", "SlotPermit", "Usage"]


@dataclass(frozen=True, slots=True)
class Allowance:
    """Slots of a target that its owner grants to this instance for a lease.

    ``expires`` is in monotonic seconds of this instance: the time at which it sent
    the answered heartbeat, plus the lease. ``load`` and ``limit`` are in slots and
    count the whole fleet; ``contended`` is true while any holder waits for slots.
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
    """Use of a target by this instance.

    ``in_flight`` counts slots and ``requests`` the requests that occupy them;
    ``acked`` is the sequence of the allowance last applied. ``answers``, ``errors``
    and ``first_byte_ms`` are running totals.
    """

    in_flight: int = 0
    requests: int = 0
    acked: int = 0
    answers: int = 0
    errors: int = 0
    first_byte_ms: int = 0


@dataclass(eq=False, slots=True)
class SlotPermit:
    """Slots taken by one request under one unbroken run of leases.

    ``weight`` is in slots.
    """

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
    conflicting_boot_id: str = ""


class AllowanceBook:
    """Allowances and in-flight slots of all targets at this instance."""

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}

    def apply(self, allowance: Allowance, now: float) -> bool:
        """Apply an allowance and return True, unless it is older than the current one.

        After an expiry, from another owner or with another boot id it starts a new
        lease, which invalidates the permits whose request is not written yet.
        """
        entry = self._entries.setdefault(allowance.target_id, _Entry())
        current = entry.allowance
        if current is not None and _is_older(allowance, current):
            return False
        if current is None or not _extends_lease(allowance, current, now):
            entry.lease_id += 1
        entry.allowance = allowance
        if allowance.boot_id == entry.conflicting_boot_id:
            entry.conflicting_boot_id = ""
        return True

    def note_boot(self, target_id: str, boot_id: str) -> None:
        """Record the boot id of an answer; another one blocks the current allowance.

        The allowance was granted for the process that ran before the restart.
        """
        entry = self._entries.get(target_id)
        if entry is None or entry.allowance is None or not boot_id:
            return
        if boot_id != entry.allowance.boot_id:
            entry.conflicting_boot_id = boot_id
            entry.lease_id += 1

    def find(self, target_id: str, now: float) -> Allowance | None:
        """Return the unexpired allowance of a target, or None."""
        entry = self._entries.get(target_id)
        if entry is None or entry.allowance is None or now >= entry.allowance.expires:
            return None
        return entry.allowance

    def find_last(self, target_id: str) -> Allowance | None:
        """Return the newest allowance of a target, even if expired, or None."""
        entry = self._entries.get(target_id)
        return None if entry is None else entry.allowance

    def count_free_slots(self, target_id: str, now: float) -> int:
        """Return the slots of a target that are free to be taken now."""
        allowance = self.find(target_id, now)
        entry = self._entries.get(target_id)
        if allowance is None or entry is None:
            return 0
        if not allowance.ready or entry.conflicting_boot_id:
            return 0
        return max(0, allowance.slots - entry.in_flight)

    def filter_by_load(
        self, target_ids: Sequence[str], weight: int, load_multiple: float, now: float
    ) -> tuple[str, ...]:
        """Return the targets that can take the weight by their last reported loads.

        A target qualifies if its load is at most ``load_multiple`` times the mean
        load of the ready targets and leaves room for the weight under its limit.
        """
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

    def has_free_slots(self, now: float, reserved: Container[str] = ()) -> bool:
        """Return whether any target outside the reserved ones has a free slot."""
        return any(
            target_id not in reserved and self.count_free_slots(target_id, now)
            for target_id in self._entries
        )

    def try_acquire(self, target_id: str, weight: int, now: float) -> SlotPermit | None:
        """Return a permit for the weight in slots, or None if too few are free."""
        if self.count_free_slots(target_id, now) < weight:
            return None
        entry = self._entries[target_id]
        entry.in_flight += weight
        entry.requests += 1
        return SlotPermit(target_id, weight, entry.lease_id)

    def is_valid(self, permit: SlotPermit, now: float) -> bool:
        """Return whether a request may still be written under the permit."""
        entry = self._entries[permit.target_id]
        allowance = self.find(permit.target_id, now)
        if permit.released or allowance is None:
            return False
        same_lease = permit.lease_id == entry.lease_id
        return same_lease and allowance.ready and not entry.conflicting_boot_id

    def release(
        self,
        permit: SlotPermit,
        *,
        failed: bool = False,
        first_byte_seconds: float | None = None,
    ) -> None:
        """Free the slots of a permit and count how its request ended.

        A second call for the same permit does nothing.
        """
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

    def release_idle_slots(self, target_id: str) -> int:
        """Reduce the allowance to the slots in flight plus ``KEPT_SLOTS``.

        Returns the number of slots that this instance may still use.
        """
        entry = self._entries.get(target_id)
        if entry is None:
            return 0
        allowance = entry.allowance
        kept = entry.in_flight + KEPT_SLOTS
        if allowance is None or allowance.slots <= kept:
            return self.count_held(target_id)
        entry.allowance = replace(allowance, slots=kept)
        return kept

    def count_in_flight(self, target_id: str) -> int:
        """Return the slots in flight at a target through this instance."""
        entry = self._entries.get(target_id)
        return 0 if entry is None else entry.in_flight

    def count_held(self, target_id: str) -> int:
        """Return the slots that this instance uses or may use by its last allowance."""
        entry = self._entries.get(target_id)
        if entry is None or entry.allowance is None:
            return 0
        return max(entry.in_flight, entry.allowance.slots)

    def get_usage(self, target_id: str, owner: str) -> Usage:
        """Return the usage of a target as reported to the given owner.

        ``acked`` is 0 if the current allowance came from another owner.
        """
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

    def prune(self, keep: set[str]) -> None:
        """Drop the targets outside ``keep`` that have nothing in flight."""
        for target_id, entry in list(self._entries.items()):
            if target_id not in keep and not entry.in_flight:
                del self._entries[target_id]


def _is_older(new: Allowance, current: Allowance) -> bool:
    if new.owner != current.owner:
        return False
    return (new.incarnation, new.sequence) <= (current.incarnation, current.sequence)


def _extends_lease(new: Allowance, current: Allowance, now: float) -> bool:
    same_owner = (new.owner, new.incarnation) == (current.owner, current.incarnation)
    same_boot = new.boot_id == current.boot_id
    return same_owner and same_boot and now < current.expires
