"""Targets that the instance may use."""

from collections import OrderedDict

import xxhash

from carobladder.fleet.entries import TargetEntry
from carobladder.fleet.health import TargetHealth

__all__ = ["FleetTarget", "TargetTable"]

# Entries that lapsed while the store was away come back within this time of its
# return if the target is alive.
_RETURN_SECONDS = 2.0
# Bounds a pause that a target asks for, so that an absurd time cannot bar it for ever.
_LONGEST_PAUSE_SECONDS = 60.0
_MAX_REMOVED = 512


class FleetTarget:
    """Hold one run of a target, its entry and what was seen of it.

    ``tag`` is a short name for messages; two targets have the same one by chance only.
    """

    def __init__(self, entry: TargetEntry, now: float) -> None:
        self.entry = entry
        self.health = TargetHealth()
        self.seen_at = now
        self.cold_until = now + entry.cold_seconds
        self.misdirected = False
        self.leaving = False
        self._asked_to_wait_until = float("-inf")
        self.tag = xxhash.xxh32_intdigest(entry.target_id.encode())

    @property
    def target_id(self) -> str:
        """Return the id under which the target registered."""
        return self.entry.target_id

    def is_cold(self, now: float) -> bool:
        """Tell whether the target bears only its cold rate."""
        return now < self.cold_until

    def update(self, entry: TargetEntry, now: float) -> None:
        """Take a newer entry of the same run."""
        self.entry = entry
        self.cold_until = now + entry.cold_seconds
        self.misdirected = False

    @property
    def takes_requests(self) -> bool:
        """Tell whether the target is neither leaving nor replaced by another one."""
        return not (self.entry.draining or self.leaving or self.misdirected)

    def read_pause(self, now: float) -> float:
        """Return the seconds for which the target still wants no requests."""
        return max(0.0, self._asked_to_wait_until - now)

    def may_be_sent_to(self, now: float) -> bool:
        """Tell whether a request may be written to the target at this moment."""
        return self.takes_requests and now >= self._asked_to_wait_until

    def note_misdirected(self) -> None:
        """Note that another target answers at the address; a new entry ends that."""
        self.misdirected = True

    def note_leaving(self) -> bool:
        """Note that the target itself said that it leaves; tell whether that is new.

        It holds for the rest of its run, whatever its entry in the store says.
        """
        known = self.leaving
        self.leaving = True
        return not known

    def note_pause(self, seconds: float, now: float) -> None:
        """Leave the target alone for the time that it asked for in a refusal."""
        pause_seconds = min(max(0.0, seconds), _LONGEST_PAUSE_SECONDS)
        until = now + pause_seconds
        self._asked_to_wait_until = max(self._asked_to_wait_until, until)

    def note_cold(self, seconds: float, now: float) -> None:
        """Take the cold time that the target itself stated in an answer."""
        self.cold_until = now + seconds


class TargetTable:
    """Keep the registered targets, by service.

    A run that registers again after its removal is the same target, with all that was
    seen of it: that it said it leaves holds also where its entry lapsed and came back.
    """

    def __init__(self) -> None:
        self._targets: dict[str, FleetTarget] = {}
        self._removed: OrderedDict[str, FleetTarget] = OrderedDict()
        self._by_service: dict[str, list[FleetTarget]] = {}
        self._by_tag: dict[int, FleetTarget] = {}
        self._emptied: set[str] = set()
        self._lapsing: dict[str, float] = {}
        self._hold_until = 0.0

    def __len__(self) -> int:
        return len(self._targets)

    def find(self, target_id: str) -> FleetTarget | None:
        """Return the target of this id, or None."""
        return self._targets.get(target_id)

    def find_tagged(self, tag: int) -> FleetTarget | None:
        """Return a target with this tag, or None."""
        return self._by_tag.get(tag)

    def list_all(self) -> list[FleetTarget]:
        """Return all targets."""
        return list(self._targets.values())

    def apply(self, entry: TargetEntry, now: float) -> FleetTarget:
        """Take an entry; a restart under the same id is a new target."""
        self._lapsing.pop(entry.target_id, None)
        known = self._targets.get(entry.target_id)
        if known is None:
            known = self._removed.pop(entry.target_id, None)
        if known is None or _is_other_run(known.entry, entry):
            known = FleetTarget(entry, now)
        else:
            known.update(entry, now)
        self._targets[entry.target_id] = known
        self._regroup()
        return known

    def drop(self, target_id: str, now: float) -> bool:
        """Forget a target whose entry was removed; tell whether it is gone at once.

        Shortly after the store has returned, an entry may have lapsed only because
        its target could not renew it; it is then kept until it must be back.
        """
        if target_id not in self._targets:
            return False
        if now < self._hold_until:
            self._lapsing[target_id] = self._hold_until
            return False
        self._remove(target_id)
        return True

    def discard(self, target_id: str) -> bool:
        """Forget a target at once; tell whether it was known."""
        if target_id not in self._targets:
            return False
        self._remove(target_id)
        return True

    def note_store_return(self, now: float) -> None:
        """Start the time in which lapsed entries may come back."""
        self._hold_until = now + _RETURN_SECONDS

    def expire(self, now: float) -> list[str]:
        """Forget the lapsed targets that did not come back; return their ids."""
        expired = [key for key, until in self._lapsing.items() if now >= until]
        for target_id in expired:
            self._remove(target_id)
        return expired

    def set_emptied(self, data_centre: str, emptied: bool) -> None:
        """Stop or allow requests to the targets of a data centre."""
        if emptied:
            self._emptied.add(data_centre)
        else:
            self._emptied.discard(data_centre)

    def list_registered(self, service: str) -> list[FleetTarget]:
        """Return all targets of a service, also those that may not be used."""
        return list(self._by_service.get(service, ()))

    def list_reachable(self, service: str) -> list[FleetTarget]:
        """Return the targets of a service outside of emptied data centres."""
        return [
            target
            for target in self._by_service.get(service, ())
            if target.entry.data_centre not in self._emptied
        ]

    def list_open(self, service: str) -> list[FleetTarget]:
        """Return the targets of a service that may receive new requests."""
        return [
            target for target in self.list_reachable(service) if target.takes_requests
        ]

    def _remove(self, target_id: str) -> None:
        self._lapsing.pop(target_id, None)
        self._removed[target_id] = self._targets.pop(target_id)
        self._removed.move_to_end(target_id)
        if len(self._removed) > _MAX_REMOVED:
            self._removed.popitem(last=False)
        self._regroup()

    def _regroup(self) -> None:
        groups: dict[str, list[FleetTarget]] = {}
        for target in self._targets.values():
            groups.setdefault(target.entry.service, []).append(target)
        self._by_service = groups
        self._by_tag = {target.tag: target for target in self._targets.values()}


def _is_other_run(known: TargetEntry, entry: TargetEntry) -> bool:
    return (known.born_ms, known.address, known.service) != (
        entry.born_ms,
        entry.address,
        entry.service,
    )
