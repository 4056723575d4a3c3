"""Live instances of the fleet, from the platform's list and from heartbeats.

The list may lag by up to the list window. N is the number of instances by which
each of them divides a budget.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from carobladder.membership.delegations import MOVE_LEASES

__all__ = ["ListedInstance", "MemberView"]

# A list older than this does not prove that the other instances count this one in N.
LIST_FRESH_SECONDS = 5.0
# Time for which a peer that returns after a silence is not considered live (hold-down).
# It doubles with each return after a silence within the list window.
FIRST_HOLD_DOWN_SECONDS = 0.5
MAX_HOLD_DOWN_SECONDS = 8.0


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """Entry of an instance in the platform's list."""

    instance_id: str
    peer_address: str
    data_centre: str
    leaving: bool = False


@dataclass(slots=True)
class _PeerState:
    incarnation: int
    heard_at: float
    listed_count: int
    leaving: bool
    live_from: float
    # Time at which its N last grew; delegations by the smaller N may still be valid.
    count_raised_at: float
    hold_down_seconds: float = 0.0


class MemberView:
    """Set of live instances, combined from the platform's list and heartbeats.

    Times are in monotonic seconds of this instance.
    """

    def __init__(
        self, own_id: str, lease_seconds: float, window_seconds: float, started: float
    ) -> None:
        self.own_id = own_id
        self._lease_seconds = lease_seconds
        self._window_seconds = window_seconds
        # An instance that was removed from the list learns of it up to a window plus
        # a list age later, and its last delegation is valid for two more leases.
        self._move_seconds = MOVE_LEASES * lease_seconds
        self._peak_seconds = window_seconds + LIST_FRESH_SECONDS + self._move_seconds
        self._listed: dict[str, ListedInstance] = {}
        # A peer that was just removed from the list may still be running.
        self._last_listed: dict[str, float] = {}
        self._list_read: float | None = None
        self._own_listed_since: float | None = None
        # The same, but restarted after a gap in the reading of the list, during which
        # the others may have dropped this instance.
        self._listed_without_gap_since: float | None = None
        self._counted_since_gap = False
        self._delegation_allowed = False
        self._peer_states: dict[str, _PeerState] = {}
        self._counts: deque[tuple[float, int]] = deque()
        self.own_leaving = False
        # Set while this instance may have missed a configuration change.
        self.own_uninformed = False

    def apply_list(self, instances: Iterable[ListedInstance], now: float) -> None:
        """Apply a newly read list of the platform."""
        previous = self._listed
        gap = self._list_read is not None and now - self._list_read > LIST_FRESH_SECONDS
        self._listed = {item.instance_id: item for item in instances}
        self._last_listed.update(dict.fromkeys([*previous, *self._listed], now))
        self._list_read = now
        if gap or self.own_id not in self._listed:
            self._listed_without_gap_since = None
            self._counted_since_gap = False
        if self.own_id not in self._listed:
            self._delegation_allowed = False
            self._own_listed_since = None
        else:
            self._own_listed_since = _keep_first(self._own_listed_since, now)
            self._listed_without_gap_since = _keep_first(
                self._listed_without_gap_since, now
            )
        self._note_count(now)

    def record_heartbeat(
        self, peer: str, incarnation: int, listed_count: int, leaving: bool, now: float
    ) -> None:
        """Record a heartbeat of a peer; ``listed_count`` is the N it reports."""
        state = self._peer_states.get(peer)
        if state is None:
            self._peer_states[peer] = _PeerState(
                incarnation,
                now,
                listed_count,
                leaving,
                live_from=now,
                count_raised_at=now,
            )
            self._note_count(now)
            return
        silence = now - state.heard_at
        if silence > self._lease_seconds:
            self._start_hold_down(state, silence, now)
        state.incarnation = incarnation
        state.heard_at = now
        # Its N may have been smaller during the silence.
        if listed_count > state.listed_count or silence > self._lease_seconds:
            state.count_raised_at = now
        state.listed_count = listed_count
        state.leaving = leaving

    def count_listed(self, now: float) -> int:
        """Return N, the largest number of instances counted within the peak window."""
        self._note_count(now)
        return max(count for _, count in self._counts)

    def count_shares(self, now: float) -> int:
        """Return the divisor of a budget: N, or a greater N of a peer.

        It accounts for instances that this one does not know because it cannot read
        the list. It is not reported as N to the peers, or no N would ever decrease.
        """
        reported_counts = (
            state.listed_count
            for state in self._peer_states.values()
            if now - state.heard_at <= self._window_seconds
        )
        return max([self.count_listed(now), *reported_counts])

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
        """Return whether heartbeats come from at least half of the listed instances."""
        heard_count = sum(
            peer == self.own_id or self._is_heard(peer, now) for peer in self._listed
        )
        return 2 * heard_count >= len(self._listed)

    def is_gone(self, instance_id: str, now: float) -> bool:
        """Return whether an instance is neither listed nor heard within the window."""
        if instance_id in self._listed or instance_id == self.own_id:
            return False
        state = self._peer_states.get(instance_id)
        return state is None or now - state.heard_at > self._window_seconds

    def may_delegate(self, now: float) -> bool:
        """Return whether the others count this instance in their N.

        True once it has been listed for the window, or once each listed peer reports
        an N of at least its own, and delegations by a smaller N have expired. It then
        stays true while a fresh list has this instance: peers that counted it once
        continue to do so, and the silence of one must not stop the others.
        """
        if self.own_leaving:
            return False
        if self._is_counted_now(now):
            self._delegation_allowed = True
            return True
        return self._delegation_allowed and self._is_list_fresh(now)

    def _is_counted_now(self, now: float) -> bool:
        since = self._own_listed_since
        window = self._window_seconds + self._move_seconds
        listed_long = since is not None and now - since >= window
        return listed_long or self._all_peers_count_this(now)

    def is_confirmed(self, now: float) -> bool:
        """Return whether no other instance can have dropped this one from its N.

        True with a fresh list that has this instance, once the others have counted it.
        Without such a list, true only while all its peers send heartbeats with an N of
        at least its own. Then no known instance can be on the other side of a
        partition, with a list that no longer has this instance.
        """
        if not self._is_list_fresh(now):
            return len(self._listed) > 1 and self._all_peers_count_this(now)
        self._counted_since_gap = self._counted_since_gap or self._is_counted_since_gap(
            now
        )
        # A share delegated only because the peers counted this instance in the past
        # may be counted twice after a change of owner, which overloads a cold target.
        return self._counted_since_gap and self._is_counted_now(now)

    def _is_list_fresh(self, now: float) -> bool:
        read = self._list_read
        return read is not None and now - read <= LIST_FRESH_SECONDS

    def _is_counted_since_gap(self, now: float) -> bool:
        since = self._listed_without_gap_since
        window = self._window_seconds + self._move_seconds
        alone = len(self._listed) == 1
        if alone and (since is None or now - since < window):
            return False
        return self._all_peers_count_this(now)

    def prune(self, now: float) -> None:
        """Drop the peers that are neither listed nor heard within the window."""
        for peer in [name for name in self._peer_states if self.is_gone(name, now)]:
            del self._peer_states[peer]
        for peer, last_listed in list(self._last_listed.items()):
            if peer not in self._listed and now - last_listed > self._window_seconds:
                del self._last_listed[peer]

    def _is_heard(self, peer: str, now: float) -> bool:
        state = self._peer_states.get(peer)
        return state is not None and now - state.heard_at <= self._lease_seconds

    def _start_hold_down(self, state: _PeerState, silence: float, now: float) -> None:
        """Start the hold-down of a returning peer, longer with each return."""
        if silence > self._window_seconds or state.hold_down_seconds == 0.0:
            state.hold_down_seconds = FIRST_HOLD_DOWN_SECONDS
        else:
            state.hold_down_seconds = min(
                2 * state.hold_down_seconds, MAX_HOLD_DOWN_SECONDS
            )
        state.live_from = now + state.hold_down_seconds

    def _is_live(self, peer: str, now: float) -> bool:
        state = self._peer_states.get(peer)
        if state is None or state.leaving or self._listed[peer].leaving:
            return False
        return now - state.heard_at <= self._lease_seconds and now >= state.live_from

    def _all_peers_count_this(self, now: float) -> bool:
        if self.own_id not in self._listed:
            return False
        own_count = self.count_listed(now)
        for peer, last_listed in self._last_listed.items():
            dropped = now - last_listed > self._window_seconds
            if peer == self.own_id or (dropped and peer not in self._listed):
                continue
            state = self._peer_states.get(peer)
            if state is None or now - state.heard_at > self._lease_seconds:
                return False
            if state.listed_count < own_count:
                return False
            if now - state.count_raised_at < self._move_seconds:
                return False
        return True

    def _note_count(self, now: float) -> None:
        heard_peers = {
            peer
            for peer, state in self._peer_states.items()
            if now - state.heard_at <= self._window_seconds
        }
        count = len(heard_peers.union(self._listed, {self.own_id}))
        while self._counts and self._counts[-1][1] <= count:
            self._counts.pop()
        self._counts.append((now, count))
        while self._counts[0][0] < now - self._peak_seconds:
            self._counts.popleft()


def _keep_first(since: float | None, now: float) -> float:
    return now if since is None else since
