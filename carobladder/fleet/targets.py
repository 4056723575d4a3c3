"""Registry of the targets that an instance knows."""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from carobladder.fleet.entries import TargetEntry
from carobladder.fleet.exchanges import TargetLoad
from carobladder.fleet.health import TargetHealth
from carobladder.fleet.slowness import SlownessTrend, TargetSlowness

__all__ = ["FleetTarget", "TargetTable", "has_stated_slowness"]

# Live targets renew entries that expired during a store outage within this time after
# the store is back.
_REREGISTRATION_SECONDS = 2.0
# Limits the pause that a target may request, so that an absurd value cannot exclude it
# permanently.
_MAX_PAUSE_SECONDS = 60.0
_MAX_REMOVED_TARGETS = 512
# Lower limits are raised to this, so that some request finds out when they end.
_MIN_REQUESTS_PER_SECOND = 0.1


class FleetTarget:
    """One run of a target: its entry, its health and its announced state.

    ``rate_limit`` is the number of requests a second that it accepts from all instances
    together, stated at ``rate_stated_at`` in boot time; ``was_limited`` tells whether
    it has ever named one.
    ``tag`` is a short hash of the id for use in messages; collisions are possible but
    rare. ``trend`` is shared by the targets of a service.
    """

    def __init__(
        self, entry: TargetEntry, now: float, trend: SlownessTrend | None = None
    ) -> None:
        self.entry = entry
        self.health = TargetHealth()
        self.slowness = TargetSlowness(trend or SlownessTrend())
        self.seen_at = now
        self.cold_until = now + entry.cold_seconds
        self.misdirected = False
        # A run never takes its shutdown back, so an entry that says so is outdated.
        self.draining = entry.draining
        self.leaving = False
        self._paused_until = float("-inf")
        self.rate_limit: float | None = None
        self.rate_stated_at = float("-inf")
        self.was_limited = False
        self.tag = xxhash.xxh32_intdigest(entry.target_id.encode())

    @property
    def target_id(self) -> str:
        """Return the id under which the target registered."""
        return self.entry.target_id

    def is_cold(self, now: float) -> bool:
        """Return whether the target is still limited to its cold rate."""
        return now < self.cold_until

    def update(self, entry: TargetEntry, now: float) -> None:
        """Replace the entry by a newer one of the same run."""
        self.entry = entry
        self.draining = self.draining or entry.draining
        self.cold_until = now + entry.cold_seconds
        self.misdirected = False

    @property
    def takes_requests(self) -> bool:
        """Return whether the target is neither shutting down nor misdirected."""
        return not (self.draining or self.leaving or self.misdirected)

    def read_pause(self, now: float) -> float:
        """Return the remaining seconds of the pause that the target asked for."""
        return max(0.0, self._paused_until - now)

    def is_available(self, now: float) -> bool:
        """Return whether a request may be sent to the target now."""
        return self.takes_requests and now >= self._paused_until

    def note_misdirected(self) -> None:
        """Record that another target has the address; a new entry clears this."""
        self.misdirected = True

    def note_leaving(self) -> bool:
        """Record that the target announced its shutdown; return whether that is new.

        This holds for the rest of its run, whatever its entry in the store says.
        """
        was_leaving = self.leaving
        self.leaving = True
        return not was_leaving

    def note_pause(self, seconds: float, now: float) -> None:
        """Send no requests for the time that the target asked for in a refusal."""
        pause_seconds = min(max(0.0, seconds), _MAX_PAUSE_SECONDS)
        until = now + pause_seconds
        self._paused_until = max(self._paused_until, until)

    def note_rate_limit(self, per_second: float | None, stated_at: float) -> bool:
        """Record the rate limit of a response, None if it names none.

        The newest statement holds; ``stated_at`` is in seconds of boot time. Return
        whether a limit has begun or ended.
        """
        if stated_at < self.rate_stated_at:
            return False
        was_limited = self.rate_limit is not None
        self.rate_stated_at = stated_at
        self.rate_limit = per_second
        if per_second is not None:
            self.was_limited = True
            self.rate_limit = max(_MIN_REQUESTS_PER_SECOND, per_second)
        return was_limited != (per_second is not None)

    def note_load(self, load: TargetLoad, stated_at: float) -> None:
        """Record the load and the slowness that the target stated at a time."""
        self.health.note_load(load, stated_at)
        self.slowness.note_stated(load.slowness, stated_at)

    def note_cold(self, seconds: float, now: float) -> None:
        """Set the remaining cold time that the target reported in a response."""
        self.cold_until = now + seconds


@dataclass(frozen=True, slots=True)
class _Run:
    """Identity of one run of a target; a restart under the same id is another run."""

    target_id: str
    started_ms: int
    address: str
    service: str


def has_stated_slowness(targets: Sequence[FleetTarget]) -> bool:
    """Return whether any of the targets has stated its slowness."""
    return any(target.slowness.stated is not None for target in targets)


class TargetTable:
    """Registered targets, indexed by id, service and tag.

    A run of a target that was removed, or replaced by an entry of another run, and
    registers again keeps its health and state. In particular, one that announced its
    shutdown still gets no requests when its entry has expired and reappeared.
    """

    def __init__(self) -> None:
        self._targets: dict[str, FleetTarget] = {}
        self._removed: OrderedDict[_Run, FleetTarget] = OrderedDict()
        self._by_service: dict[str, list[FleetTarget]] = {}
        self._by_tag: dict[int, FleetTarget] = {}
        self._emptied: set[str] = set()
        self._removal_times: dict[str, float] = {}
        self._trends: dict[str, SlownessTrend] = {}
        self._reregistration_until = 0.0

    def __len__(self) -> int:
        return len(self._targets)

    def find(self, target_id: str) -> FleetTarget | None:
        """Return the target of this id, or None."""
        return self._targets.get(target_id)

    def find_by_tag(self, tag: int) -> FleetTarget | None:
        """Return a target with this tag, or None."""
        return self._by_tag.get(tag)

    def list_all(self) -> list[FleetTarget]:
        """Return all targets."""
        return list(self._targets.values())

    def apply(self, entry: TargetEntry, now: float) -> FleetTarget:
        """Add or update a target; a restart under the same id is a new target."""
        self._removal_times.pop(entry.target_id, None)
        run = _identify_run(entry)
        target = self._targets.get(entry.target_id)
        if target is not None and _identify_run(target.entry) != run:
            self._retire(target)
            target = None
        if target is None:
            target = self._removed.pop(run, None)
        if target is None:
            trend = self._trends.setdefault(entry.service, SlownessTrend())
            target = FleetTarget(entry, now, trend)
        else:
            target.update(entry, now)
        self._targets[entry.target_id] = target
        self._rebuild_indexes()
        return target

    def drop(self, target_id: str, now: float) -> bool:
        """Remove a target whose entry was deleted; return whether it is gone at once.

        Shortly after a store outage, an entry may have expired only because its target
        could not renew it. The target is then kept until the time to renew is over.
        """
        if target_id not in self._targets:
            return False
        if now < self._reregistration_until:
            self._removal_times[target_id] = self._reregistration_until
            return False
        self._remove(target_id)
        return True

    def read_removal_delay(self, target_id: str, now: float) -> float:
        """Return the seconds until a deferred removal, or 0 if there is none."""
        return max(0.0, self._removal_times.get(target_id, now) - now)

    def discard(self, target_id: str) -> bool:
        """Remove a target at once; return whether it was known."""
        if target_id not in self._targets:
            return False
        self._remove(target_id)
        return True

    def note_store_return(self, now: float) -> None:
        """Start the time in which expired entries may be renewed after an outage."""
        self._reregistration_until = now + _REREGISTRATION_SECONDS

    def expire(self, now: float) -> list[str]:
        """Remove the expired targets that were not renewed; return their ids."""
        expired = [key for key, until in self._removal_times.items() if now >= until]
        for target_id in expired:
            self._remove(target_id)
        return expired

    def set_emptied(self, data_centre: str, emptied: bool) -> None:
        """Block or allow requests to the targets of a data centre."""
        if emptied:
            self._emptied.add(data_centre)
        else:
            self._emptied.discard(data_centre)

    @property
    def emptied(self) -> frozenset[str]:
        """Data centres whose targets get no requests."""
        return frozenset(self._emptied)

    def accepts(self, target: FleetTarget, now: float) -> bool:
        """Return whether a target that was chosen earlier may still get a request."""
        return (
            self._targets.get(target.target_id) is target
            and target.entry.data_centre not in self._emptied
            and target.is_available(now)
        )

    def list_registered(self, service: str) -> list[FleetTarget]:
        """Return all targets of a service, including unusable ones."""
        return list(self._by_service.get(service, ()))

    def states_slowness(self, service: str) -> bool:
        """Return whether any target of a service has stated its slowness."""
        return has_stated_slowness(self._by_service.get(service, ()))

    def list_reachable(self, service: str) -> list[FleetTarget]:
        """Return the targets of a service outside the emptied data centres."""
        return [
            target
            for target in self._by_service.get(service, ())
            if target.entry.data_centre not in self._emptied
        ]

    def list_open(self, service: str) -> list[FleetTarget]:
        """Return the targets of a service that accept new requests."""
        return [
            target for target in self.list_reachable(service) if target.takes_requests
        ]

    def _remove(self, target_id: str) -> None:
        self._removal_times.pop(target_id, None)
        self._retire(self._targets.pop(target_id))
        self._rebuild_indexes()

    def _retire(self, target: FleetTarget) -> None:
        """Keep a run that is no longer registered, in case that it registers again."""
        run = _identify_run(target.entry)
        self._removed[run] = target
        self._removed.move_to_end(run)
        if len(self._removed) > _MAX_REMOVED_TARGETS:
            self._removed.popitem(last=False)

    def _rebuild_indexes(self) -> None:
        groups: dict[str, list[FleetTarget]] = {}
        for target in self._targets.values():
            groups.setdefault(target.entry.service, []).append(target)
        self._by_service = groups
        self._by_tag = {target.tag: target for target in self._targets.values()}


def _identify_run(entry: TargetEntry) -> _Run:
    return _Run(entry.target_id, entry.started_ms, entry.address, entry.service)
