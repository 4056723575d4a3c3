"""View of the fleet's instances from the lagging list and from heartbeats."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["ListedInstance", "MemberView"]

# A list answer older than this does not prove that the others count this instance.
LIST_FRESH_SECONDS = 5.0
# Hold time of a peer that was silent, doubled with each return within the window.
FIRST_HOLD_SECONDS = 0.5
MAX_HOLD_SECONDS = 8.0


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """Describe an instance as the platform's list shows it."""

    instance_id: str
    peer_address: str
    data_centre: str
    leaving: bool = False


@dataclass(slots=True)
class _Contact:
    incarnation: int
    heard: float
    listed: int
    leaving: bool
    live_from: float
    hold_seconds: float = 0.0


class MemberView:
    """Combine list and heartbeats into the instances that are live."""

    def __init__(
        self, own_id: str, lease_seconds: float, window_seconds: float, started: float
    ) -> None:
        self.own_id = own_id
        self._lease_seconds = lease_seconds
        self._window_seconds = window_seconds
        # An instance that is dropped from the list learns it up to a window plus
        # a list age later, and its last delegation lives two leases longer.
        self._peak_seconds = window_seconds + LIST_FRESH_SECONDS + 2 * lease_seconds
        self._listed: dict[str, ListedInstance] = {}
        self._list_read: float | None = None
        self._own_listed_since: float | None = None
        self._contacts: dict[str, _Contact] = {}
        self._counts: deque[tuple[float, int]] = deque()
        self.own_leaving = False

    def apply_list(self, instances: Iterable[ListedInstance], now: float) -> None:
        """Take an answer of the platform's list."""
        self._listed = {item.instance_id: item for item in instances}
        self._list_read = now
        if self.own_id not in self._listed:
            self._own_listed_since = None
        elif self._own_listed_since is None:
            self._own_listed_since = now
        self._note_count(now)

    def hear(
        self, peer: str, incarnation: int, listed: int, leaving: bool, now: float
    ) -> None:
        """Take a heartbeat of a peer."""
        contact = self._contacts.get(peer)
        if contact is None:
            self._contacts[peer] = _Contact(incarnation, now, listed, leaving, now)
            self._note_count(now)
            return
        silence = now - contact.heard
        if silence > self._lease_seconds:
            self._hold(contact, silence, now)
        contact.incarnation = incarnation
        contact.heard = now
        contact.listed = listed
        contact.leaving = leaving

    def count_listed(self, now: float) -> int:
        """Return N, the largest number of instances within the window."""
        self._note_count(now)
        return max(count for _, count in self._counts)

    def list_live(self, now: float) -> tuple[str, ...]:
        """Return the sorted ids of instances that may own targets."""
        live = [] if self.own_leaving else [self.own_id]
        for peer in self._listed:
            if peer != self.own_id and self._is_live(peer, now):
                live.append(peer)
        return tuple(sorted(live))

    def list_peers(self) -> tuple[ListedInstance, ...]:
        """Return the listed instances other than this one."""
        return tuple(item for name, item in self._listed.items() if name != self.own_id)

    def is_gone(self, instance_id: str, now: float) -> bool:
        """Tell whether an instance is neither listed nor heard within the window."""
        if instance_id in self._listed or instance_id == self.own_id:
            return False
        contact = self._contacts.get(instance_id)
        return contact is None or now - contact.heard > self._window_seconds

    def may_delegate(self, now: float) -> bool:
        """Tell whether the others count this instance in their N.

        True once it has been listed for the window or each listed peer reports an
        N that is at least its own.
        """
        if self.own_leaving:
            return False
        since = self._own_listed_since
        if since is not None and now - since >= self._window_seconds:
            return True
        return self._peers_count_this(now)

    def is_confirmed(self, now: float) -> bool:
        """Tell whether no other instance can have dropped this one from its N.

        True with a fresh list that shows this instance, or while every listed
        peer is heard with an N that is at least its own.
        """
        fresh = (
            self._list_read is not None and now - self._list_read <= LIST_FRESH_SECONDS
        )
        if fresh:
            return self.own_id in self._listed
        return self._peers_count_this(now)

    def forget(self, now: float) -> None:
        """Drop contacts that are neither listed nor heard within the window."""
        for peer in [name for name in self._contacts if self.is_gone(name, now)]:
            del self._contacts[peer]

    def _hold(self, contact: _Contact, silence: float, now: float) -> None:
        """Delay the return of a flapping peer, longer with each return."""
        if silence > self._window_seconds or contact.hold_seconds == 0.0:
            contact.hold_seconds = FIRST_HOLD_SECONDS
        else:
            contact.hold_seconds = min(2 * contact.hold_seconds, MAX_HOLD_SECONDS)
        contact.live_from = now + contact.hold_seconds

    def _is_live(self, peer: str, now: float) -> bool:
        contact = self._contacts.get(peer)
        if contact is None or contact.leaving or self._listed[peer].leaving:
            return False
        return now - contact.heard <= self._lease_seconds and now >= contact.live_from

    def _peers_count_this(self, now: float) -> bool:
        if self.own_id not in self._listed:
            return False
        own_count = self.count_listed(now)
        for peer in self._listed:
            if peer == self.own_id:
                continue
            contact = self._contacts.get(peer)
            if contact is None or now - contact.heard > self._lease_seconds:
                return False
            if contact.listed < own_count:
                return False
        return True

    def _note_count(self, now: float) -> None:
        heard = {
            peer
            for peer, contact in self._contacts.items()
            if now - contact.heard <= self._window_seconds
        }
        count = len(heard.union(self._listed, {self.own_id}))
        while self._counts and self._counts[-1][1] <= count:
            self._counts.pop()
        self._counts.append((now, count))
        while self._counts[0][0] < now - self._peak_seconds:
            self._counts.popleft()
