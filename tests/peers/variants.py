"""Deliberately broken variants of the protocol, which the tests must detect."""

import math
from collections.abc import Iterator
from contextlib import contextmanager
from fractions import Fraction
from unittest import mock

from carobladder.limits.allowances import AllowanceBook
from carobladder.limits.budgets import SlotLedger
from carobladder.membership.delegations import Delegator
from carobladder.membership.views import MemberView
from carobladder.peers import coordination, ownedtargets
from carobladder.peers.coordination import Coordinator


@contextmanager
def undivided_budget() -> Iterator[None]:
    """Allow each owner to grant the whole limit."""
    with mock.patch.object(SlotLedger, "_sum_shares", lambda *_: Fraction(1)):
        yield


@contextmanager
def immediate_move() -> Iterator[None]:
    """Delegate to a new owner before the old delegation has expired."""
    with mock.patch.object(Delegator, "choose", lambda self, target, owner, now: owner):
        yield


@contextmanager
def lease_from_receipt() -> Iterator[None]:
    """Start the lease of an allowance when it arrives, not when it was requested."""
    original = Coordinator._apply_allowance

    def apply(self, item, owner, incarnation, sent, now):
        original(self, item, owner, incarnation, now, now)

    with mock.patch.object(Coordinator, "_apply_allowance", apply):
        yield


@contextmanager
def delegation_from_receipt() -> Iterator[None]:
    """Start the lease of a delegation when it arrives, not when it was sent."""
    original = Coordinator._apply_report

    def apply_report(self, holder, report, share, confirmed, earliest_sent, now):
        original(self, holder, report, share, confirmed, now, now)

    with mock.patch.object(Coordinator, "_apply_report", apply_report):
        yield


@contextmanager
def no_recheck() -> Iterator[None]:
    """Send a request without checking its lease again."""
    with mock.patch.object(AllowanceBook, "is_valid", lambda *_: True):
        yield


@contextmanager
def forget_at_expiry() -> Iterator[None]:
    """Delete an allowance when it expires, without waiting for a later report."""
    original = SlotLedger.allot

    def allot(self, holder, terms, now):
        for state in self._holders.values():
            state.grants = [grant for grant in state.grants if grant.expires > now]
        return original(self, holder, terms, now)

    with mock.patch.object(SlotLedger, "allot", allot):
        yield


@contextmanager
def count_only_reports() -> Iterator[None]:
    """Count the slots that holders report but not those granted to them."""
    original = SlotLedger.allot

    def allot(self, holder, terms, now):
        for state in self._holders.values():
            state.grants.clear()
        return original(self, holder, terms, now)

    with mock.patch.object(SlotLedger, "allot", allot):
        yield


@contextmanager
def momentary_count() -> Iterator[None]:
    """Count the instances of the current list instead of those of the window."""

    def count_listed(self, now):
        return len(self._listed) or 1

    with (
        mock.patch.object(MemberView, "count_listed", count_listed),
        mock.patch.object(MemberView, "count_shares", count_listed),
    ):
        yield


@contextmanager
def no_joining_wait() -> Iterator[None]:
    """Allow a new instance to delegate immediately."""
    with (
        mock.patch.object(MemberView, "may_delegate", lambda *_: True),
        mock.patch.object(MemberView, "is_confirmed", lambda *_: True),
    ):
        yield


@contextmanager
def unconfirmed_shares() -> Iterator[None]:
    """Count shares of instances that others may no longer count."""
    with mock.patch.object(MemberView, "is_confirmed", lambda *_: True):
        yield


@contextmanager
def no_takeover_wait() -> Iterator[None]:
    """Grant slots before the holders of an earlier owner have reported."""
    original = SlotLedger.__init__

    def init(self, lease_seconds, hold_until):
        original(self, lease_seconds, -math.inf)

    with mock.patch.object(SlotLedger, "__init__", init):
        yield


@contextmanager
def ignore_unattributed_requests() -> Iterator[None]:
    """Ignore requests that unreachable instances have in flight."""
    with mock.patch.object(ownedtargets, "_count_unattributed_slots", lambda _: 0):
        yield


@contextmanager
def stale_probe() -> Iterator[None]:
    """Accept the last load report regardless of its age."""
    with mock.patch.object(coordination, "PROBE_VALID_INTERVALS", math.inf):
        yield


@contextmanager
def accept_reordered() -> Iterator[None]:
    """Accept reordered and duplicated heartbeats."""
    original = Coordinator._receive_heartbeat

    def receive(self, message, now):
        link = self._links.get(message.sender)
        if link is not None:
            link.received_sequence = min(link.received_sequence, message.sequence - 1)
        return original(self, message, now)

    with mock.patch.object(Coordinator, "_receive_heartbeat", receive):
        yield


@contextmanager
def always_informed() -> Iterator[None]:
    """Grant slots although a configuration change may have been missed."""
    with mock.patch.object(Coordinator, "has_current_config", lambda *_: True):
        yield


@contextmanager
def share_never_moves() -> Iterator[None]:
    """Keep a share delegated to its first owner."""

    def choose(self, target_id, owner, now):
        current = self._delegations.get(target_id)
        return owner if current is None or current.owner == owner else None

    with mock.patch.object(Delegator, "choose", choose):
        yield


@contextmanager
def no_load_cap() -> Iterator[None]:
    """Ignore the mean load of the pool."""
    with mock.patch.object(
        ownedtargets.OwnedTargets, "_compute_load_cap", lambda *_: None
    ):
        yield
