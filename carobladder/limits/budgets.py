"""Ledger of the slots of one target that its owner grants to the holders."""

import heapq
import itertools
import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from fractions import Fraction

__all__ = ["Allotment", "HolderReport", "SlotLedger", "Terms"]

# Holders that had requests within this time receive idle slots.
RECENT_ACTIVITY_SECONDS = 30.0
# Fraction of the unused slots that holders may keep idle; the rest stays with the owner
# for holders that ask.
IDLE_SHARE = Fraction(1, 2)
# Maximum idle slots of one holder, as a multiple of the ``unit`` that it reports.
IDLE_UNITS = 2
# Slots that stay with the owner, so that it can grant a request of any weight at once.
# Idle slots of another holder are returned only with its next heartbeat.
ASK_RESERVE = 4
# Grants kept for each holder; beyond this number the two oldest are merged.
MAX_GRANTS = 64


@dataclass(frozen=True, slots=True)
class Terms:
    """Current limits of a target, in slots.

    ``limit`` applies to the whole fleet. ``usable`` is false while the target may get
    no requests. ``load_cap`` is the load up to which one more request is allowed
    (multiple x mean of the pool), or None without such a rule.
    ``foreign`` is the number of slots that requests of silent or unknown instances
    may occupy, derived from the target's own load report.
    """

    limit: int
    usable: bool
    cold: bool
    load_cap: float | None = None
    foreign: int = 0


@dataclass(frozen=True, slots=True)
class HolderReport:
    """Report of the slots that a holder uses and wants.

    ``requests`` counts the requests in flight, ``unit`` is the weight of the first
    waiting one in slots, ``acked`` the sequence of the grant last applied.
    ``sent_floor`` is a time on the owner's clock at or before the sending of the
    report. ``kept`` is the number of slots to which the holder limits itself under the
    grants up to the acknowledged one; None if it returns no slots.
    """

    in_flight: int
    wanted: int
    unit: int
    acked: int
    sent_floor: float
    requests: int = 0
    kept: int | None = None


@dataclass(frozen=True, slots=True)
class Allotment:
    """Absolute number of slots granted to a holder, with the grant's sequence."""

    slots: int
    sequence: int


@dataclass(slots=True)
class _Grant:
    sequence: int
    slots: int
    expires: float


@dataclass(slots=True)
class _Delegation:
    share: Fraction
    expires: float
    confirmed: bool


@dataclass(slots=True)
class _Holder:
    in_flight: int = 0
    requests: int = 0
    wanted: int = 0
    unit: int = 1
    reported_at: float = -math.inf
    sent_floor: float = -math.inf
    active_at: float = -math.inf
    waiting_since: float = math.inf
    grants: list[_Grant] = field(default_factory=list)

    def count_used(self) -> int:
        """Return the greatest number of slots that the holder may have in flight."""
        return max([self.in_flight, *(grant.slots for grant in self.grants)])


class SlotLedger:
    """Divide the delegated part of a target's limit between the holders.

    Each instance delegates its share of the limit to the owner that it sees. Until
    ``hold_until`` (monotonic seconds) the ledger grants nothing.
    """

    def __init__(self, lease_seconds: float, hold_until: float) -> None:
        self._lease_seconds = lease_seconds
        # By then a previous owner's allowances have expired and the holders have
        # reported.
        self._hold_until = hold_until
        self._delegations: dict[str, _Delegation] = {}
        self._holders: dict[str, _Holder] = {}
        self._sequences = itertools.count(1)

    def delegate(
        self, holder: str, share: Fraction, expires: float, confirmed: bool = True
    ) -> None:
        """Record a delegated share, unless the holder's recorded one expires later."""
        current = self._delegations.get(holder)
        if current is None or expires >= current.expires:
            self._delegations[holder] = _Delegation(share, expires, confirmed)

    def report(self, holder: str, report: HolderReport, now: float) -> None:
        """Record a holder's report, which must not be older than the previous one."""
        state = self._holders.setdefault(holder, _Holder())
        state.in_flight = report.in_flight
        state.requests = report.requests
        state.unit = max(1, report.unit)
        state.reported_at = now
        state.sent_floor = max(state.sent_floor, report.sent_floor)
        if report.in_flight or report.wanted:
            state.active_at = now
        if report.wanted and not state.wanted:
            state.waiting_since = now
        if not report.wanted:
            state.waiting_since = math.inf
        state.wanted = report.wanted
        state.grants = [
            grant
            for grant in state.grants
            if grant.sequence >= report.acked and grant.expires > report.sent_floor
        ]
        if report.kept is not None:
            _reduce_grants(state.grants, report.acked, report.kept)

    def remove_holder(self, holder: str) -> None:
        """Remove a holder that has stopped, and its requests with it."""
        self._holders.pop(holder, None)
        self._delegations.pop(holder, None)

    def list_holders(self) -> Iterable[str]:
        """Return the holders that have reported."""
        return tuple(self._holders)

    def count_load(self, now: float) -> int:
        """Return the slots in flight of the holders that are not silent."""
        return sum(
            state.in_flight
            for state in self._holders.values()
            if not self._is_silent(state, now)
        )

    def count_silent_load(self, now: float) -> int:
        """Return the slots in flight that silent holders last reported.

        This is an upper bound: the requests of a stopped holder have ended.
        """
        return sum(
            state.in_flight
            for state in self._holders.values()
            if self._is_silent(state, now)
        )

    def count_requests(self, now: float) -> int:
        """Return the number of requests in flight of holders that are not silent."""
        return sum(
            state.requests
            for state in self._holders.values()
            if not self._is_silent(state, now)
        )

    def list_silent(self, now: float) -> frozenset[str]:
        """Return the holders with slots that have not reported for a lease time."""
        return frozenset(
            name
            for name, state in self._holders.items()
            if self._is_silent(state, now) and state.count_used()
        )

    def count_used(self, now: float) -> int:
        """Return the most slots that non-silent holders may have in flight."""
        return sum(
            state.count_used()
            for state in self._holders.values()
            if not self._is_silent(state, now)
        )

    def _is_silent(self, state: _Holder, now: float) -> bool:
        """Return whether all grants of a holder expired and no report came since."""
        if any(grant.expires > now for grant in state.grants):
            return False
        return state.sent_floor + self._lease_seconds <= now

    def _count_silent_slots(self, terms: Terms, now: float) -> int:
        """Return the slots that silent holders may still have in flight."""
        silent = sum(self._holders[name].count_used() for name in self.list_silent(now))
        return min(silent, terms.foreign)

    def count_capacity(self, terms: Terms, now: float) -> int:
        """Return the total of slots that this owner may grant."""
        if now < self._hold_until or not terms.usable:
            return 0
        share = self._sum_shares(terms.cold, now)
        unknown = self._count_silent_slots(terms, now)
        # Requests admitted by another owner may outlast the delegations to it. They are
        # unknown here only if some instance delegates elsewhere or not at all.
        if terms.cold and share < 1:
            unknown = max(unknown, terms.foreign)
        return max(0, min(math.floor(terms.limit * share), terms.limit - unknown))

    def _sum_shares(self, cold: bool, now: float) -> Fraction:
        # Another owner may count an unconfirmed share too, which would overload a cold
        # target.
        shares = (
            item.share
            for item in self._delegations.values()
            if item.expires > now and (item.confirmed or not cold)
        )
        return min(sum(shares, Fraction(0)), Fraction(1))

    def is_settled(self, now: float) -> bool:
        """Return whether the holders have had time to report to this owner."""
        return now >= self._hold_until

    def is_serving(self, now: float) -> bool:
        """Return whether any share is delegated to this owner."""
        return any(item.expires > now for item in self._delegations.values())

    def is_idle(self, now: float) -> bool:
        """Return whether no share is delegated and no holder reported recently."""
        recent = any(
            now - state.reported_at < RECENT_ACTIVITY_SECONDS
            for state in self._holders.values()
        )
        return not self.is_serving(now) and not recent

    def allot(self, holder: str, terms: Terms, now: float) -> Allotment:
        """Grant the holder the slots that it may have in flight from now on."""
        slots = self.compute_slots(holder, terms, now)
        state = self._holders[holder]
        sequence = next(self._sequences)
        self._add_grant(state, _Grant(sequence, slots, now + self._lease_seconds))
        return Allotment(slots, sequence)

    def compute_slots(self, holder: str, terms: Terms, now: float) -> int:
        """Return the slots that ``allot`` would grant to the holder now."""
        state = self._holders.setdefault(holder, _Holder())
        capacity = self.count_capacity(terms, now)
        others = self.count_used(now)
        if not self._is_silent(state, now):
            others -= state.count_used()
        shares, idle = self._divide_capacity(capacity, terms, now)
        slots = min(shares[holder], capacity - others)
        slots = min(slots, _limit_by_load(state, others, terms.load_cap))
        room = capacity - others
        if terms.load_cap is not None:
            room = min(room, math.floor(terms.load_cap) - others)
        extra = min(idle.get(holder, 0), room - ASK_RESERVE - slots)
        return max(0, slots + max(0, extra))

    def is_contended(self, now: float) -> bool:
        """Return whether any holder that is not silent waits for slots."""
        return any(
            state.wanted and not self._is_silent(state, now)
            for state in self._holders.values()
        )

    def list_unmet(self, terms: Terms, now: float) -> list[str]:
        """Return the waiting holders to which more slots can be granted now."""
        return [
            name
            for name, state in self._holders.items()
            if state.wanted
            and not self._is_silent(state, now)
            and (
                not state.grants
                or state.grants[-1].slots < state.in_flight + state.wanted
            )
            and self.compute_slots(name, terms, now)
            > (state.grants[-1].slots if state.grants else 0)
        ]

    def _add_grant(self, state: _Holder, grant: _Grant) -> None:
        state.grants.append(grant)
        if len(state.grants) > MAX_GRANTS:
            first, second = state.grants[:2]
            merged = _Grant(
                second.sequence,
                max(first.slots, second.slots),
                max(first.expires, second.expires),
            )
            state.grants[:2] = [merged]

    def _divide_capacity(
        self, capacity: int, terms: Terms, now: float
    ) -> tuple[dict[str, int], dict[str, int]]:
        """Return the fair share and the idle slots of each holder.

        Slots go to the holder with the fewest first.
        """
        shares = {name: state.in_flight for name, state in self._holders.items()}
        silent = self.list_silent(now)
        active = {
            name: state for name, state in self._holders.items() if name not in silent
        }
        spare = capacity - sum(state.in_flight for state in active.values())
        wanted = {name: state.wanted for name, state in active.items()}
        spare = self._distribute(shares, wanted, spare)
        idle_wanted = {
            name: max(0, IDLE_UNITS * state.unit - state.wanted)
            for name, state in active.items()
            if now - state.active_at <= RECENT_ACTIVITY_SECONDS
        }
        idle = dict.fromkeys(idle_wanted, 0)
        self._distribute(
            idle, idle_wanted, math.floor((spare - ASK_RESERVE) * IDLE_SHARE)
        )
        return shares, idle

    def _distribute(
        self, shares: dict[str, int], wanted: dict[str, int], spare: int
    ) -> int:
        """Add up to the wanted slots to the shares and return the slots left over."""
        queue = []
        for name, amount in wanted.items():
            if amount > 0:
                waiting = self._holders[name].waiting_since
                queue.append((shares[name], waiting, name, amount))
        heapq.heapify(queue)
        while queue and spare > 0:
            held, waiting, name, amount = heapq.heappop(queue)
            unit = min(self._holders[name].unit, amount)
            if unit > spare:
                continue
            spare -= unit
            shares[name] += unit
            if amount > unit:
                heapq.heappush(queue, (held + unit, waiting, name, amount - unit))
        return spare


def _reduce_grants(grants: list[_Grant], acked: int, kept: int) -> None:
    """Lower the grants that the holder has applied to the slots that it kept."""
    for grant in grants:
        if grant.sequence <= acked:
            grant.slots = min(grant.slots, kept)


def _limit_by_load(state: _Holder, others: int, load_cap: float | None) -> int:
    """Return the slots with which each request starts at a load within the cap."""
    if load_cap is None:
        return state.in_flight + state.wanted + IDLE_UNITS * state.unit
    if others > load_cap:
        return 0
    # Counted from zero and not from the requests in flight: each of those would be
    # replaced when it ends, so that the load would stay above the cap.
    requests = math.floor((load_cap - others) / state.unit) + 1
    return requests * state.unit
