"""View of the fleet's instances from the lagging list and from heartbeats."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from carobladder.membership.delegations import MOVE_LEASES

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
    # When its N last grew; delegations under the smaller N may live on.
    raised: float
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
        self._move_seconds = MOVE_LEASES * lease_seconds
        self._peak_seconds = window_seconds + LIST_FRESH_SECONDS + self._move_seconds
        self._listed: dict[str, ListedInstance] = {}
        # A peer that the list has just dropped may still be at work.
        self._last_listed: dict[str, float] = {}
        self._list_read: float | None = None
        self._own_listed_since: float | None = None
        # As before, but starts again after a gap in the reading of the list, in
        # which the others may have dropped this instance.
        self._unbroken_since: float | None = None
        self._counted = False
        self._admitted = False
        self._contacts: dict[str, _Contact] = {}
        self._counts: deque[tuple[float, int]] = deque()
        self.own_leaving = False
        # Set while this instance may have missed a configuration change.
        self.own_uninformed = False

    def apply_list(self, instances: Iterable[ListedInstance], now: float) -> None:
        """Take an answer of the platform's list."""
        previous = self._listed
        gap = self._list_read is not None and now - self._list_read > LIST_FRESH_SECONDS
        self._listed = {item.instance_id: item for item in instances}
        self._last_listed.update(dict.fromkeys([*previous, *self._listed], now))
        self._list_read = now
        if gap or self.own_id not in self._listed:
            self._unbroken_since = None
            self._counted = False
        if self.own_id not in self._listed:
            self._admitted = False
            self._own_listed_since = None
        else:
            self._own_listed_since = _first(self._own_listed_since, now)
            self._unbroken_since = _first(self._unbroken_since, now)
        self._note_count(now)

    def hear(
        self, peer: str, incarnation: int, listed: int, leaving: bool, now: float
    ) -> None:
        """Take a heartbeat of a peer."""
        contact = self._contacts.get(peer)
        if contact is None:
            self._contacts[peer] = _Contact(
                incarnation, now, listed, leaving, live_from=now, raised=now
            )
            self._note_count(now)
            return
        silence = now - contact.heard
        if silence > self._lease_seconds:
            self._hold(contact, silence, now)
        contact.incarnation = incarnation
        contact.heard = now
        # During a silence its N may have been smaller.
        if listed > contact.listed or silence > self._lease_seconds:
            contact.raised = now
        contact.listed = listed
        contact.leaving = leaving

    def count_listed(self, now: float) -> int:
        """Return N, the largest number of instances within the window."""
        self._note_count(now)
        return max(count for _, count in self._counts)

    def count_shares(self, now: float) -> int:
        """Return the number that divides a budget: N, or a greater N of a peer.

        An instance that cannot read the list learns of others in this way. It is
        not reported as N, or else no N would ever fall.
        """
        reported = (
            contact.listed
            for contact in self._contacts.values()
            if now - contact.heard <= self._window_seconds
        )
        return max([self.count_listed(now), *reported])

    def list_live(self, now: float) -> tuple[str, ...]:
        """Return the sorted ids of instances that may own targets."""
        live = [] if self.own_leaving or self.own_uninformed else [self.own_id]
        for peer in self._listed:
            if peer != self.own_id and self._is_live(peer, now):
                live.append(peer)
        return tuple(sorted(live))

    def list_peers(self) -> tuple[ListedInstance, ...]:
        """Return the listed instances other than this one."""
        return tuple(item for name, item in self._listed.items() if name != self.own_id)

    def hears_half(self, now: float) -> bool:
        """Tell whether at least half of the listed instances are heard."""
        heard = sum(
            peer == self.own_id or self._is_heard(peer, now) for peer in self._listed
        )
        return 2 * heard >= len(self._listed)

    def is_gone(self, instance_id: str, now: float) -> bool:
        """Tell whether an instance is neither listed nor heard within the window."""
        if instance_id in self._listed or instance_id == self.own_id:
            return False
        contact = self._contacts.get(instance_id)
        return contact is None or now - contact.heard > self._window_seconds

    def may_delegate(self, now: float) -> bool:
        """Tell whether the others count this instance in their N.

        True once it has been listed for the window or each listed peer reports an
        N that is at least its own, and delegations under a smaller N have lapsed.
        With a fresh list that shows this instance it then stays true: peers that
        counted it once go on to do so, and the silence of one must not stop others.
        """
        if self.own_leaving:
            return False
        if self._is_counted_now(now):
            self._admitted = True
            return True
        return self._admitted and self._is_list_fresh(now)

    def _is_counted_now(self, now: float) -> bool:
        since = self._own_listed_since
        window = self._window_seconds + self._move_seconds
        listed_long = since is not None and now - since >= window
        return listed_long or self._peers_count_this(now)

    def is_confirmed(self, now: float) -> bool:
        """Tell whether no other instance can have dropped this one from its N.

        True with a fresh list that shows this instance, once the others have
        counted it. Without one, only while it hears all its peers with an N that is
        at least its own: then no known instance can be on the far side of a
        partition, with a list that no longer shows this instance.
        """
        if not self._is_list_fresh(now):
            return len(self._listed) > 1 and self._peers_count_this(now)
        self._counted = self._counted or self._is_counted(now)
        # A share that is delegated only because the peers counted this instance
        # before may be counted twice after a handover, which a cold target cannot bear.
        return self._counted and self._is_counted_now(now)

    def _is_list_fresh(self, now: float) -> bool:
        read = self._list_read
        return read is not None and now - read <= LIST_FRESH_SECONDS

    def _is_counted(self, now: float) -> bool:
        since = self._unbroken_since
        window = self._window_seconds + self._move_seconds
        alone = len(self._listed) == 1
        if alone and (since is None or now - since < window):
            return False
        return self._peers_count_this(now)

    def forget(self, now: float) -> None:
        """Drop contacts that are neither listed nor heard within the window."""
        for peer in [name for name in self._contacts if self.is_gone(name, now)]:
            del self._contacts[peer]
        for peer, last_listed in list(self._last_listed.items()):
            if peer not in self._listed and now - last_listed > self._window_seconds:
                del self._last_listed[peer]

    def _is_heard(self, peer: str, now: float) -> bool:
        contact = self._contacts.get(peer)
        return contact is not None and now - contact.heard <= self._lease_seconds

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
        for peer, last_listed in self._last_listed.items():
            dropped = now - last_listed > self._window_seconds
            if peer == self.own_id or (dropped and peer not in self._listed):
                continue
            contact = self._contacts.get(peer)
            if contact is None or now - contact.heard > self._lease_seconds:
                return False
            if contact.listed < own_count:
                return False
            if now - contact.raised < self._move_seconds:
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


def _first(since: float | None, now: float) -> float:
    return now if since is None else since
