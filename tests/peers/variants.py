"""Deliberately broken variants of the protocol, which the checks must catch."""

import math
from collections.abc import Iterator
from contextlib import contextmanager
from fractions import Fraction
from unittest import mock

from carobladder.limits.allowances import AllowanceBook
from carobladder.limits.budgets import SlotLedger
from carobladder.membership.delegations import Delegator
from carobladder.membership.views import MemberView
from carobladder.peers import coordination, ownerside
from carobladder.peers.coordination import Coordinator


@contextmanager
def undivided_budget() -> Iterator[None]:
    """Let each owner hand out the whole limit."""
    with mock.patch.object(SlotLedger, "_sum_shares", lambda *_: Fraction(1)):
        yield


@contextmanager
def immediate_move() -> Iterator[None]:
    """Delegate to a new owner before the old delegation has expired."""
    with mock.patch.object(Delegator, "choose", lambda self, target, owner, now: owner):
        yield


@contextmanager
def lease_from_receipt() -> Iterator[None]:
    """Count allowances from when they arrive."""
    original = Coordinator._apply

    def apply(self, item, owner, incarnation, sent, now):
        original(self, item, owner, incarnation, now, now)

    with mock.patch.object(Coordinator, "_apply", apply):
        yield


@contextmanager
def delegation_from_receipt() -> Iterator[None]:
    """Count delegations from when they arrive."""
    original = Coordinator._take_report

    def take(self, holder, report, share, confirmed, floor, now):
        original(self, holder, report, share, confirmed, now, now)

    with mock.patch.object(Coordinator, "_take_report", take):
        yield


@contextmanager
def no_recheck() -> Iterator[None]:
    """Write a request without a look at its lease."""
    with mock.patch.object(AllowanceBook, "is_valid", lambda *_: True):
        yield


@contextmanager
def forget_at_expiry() -> Iterator[None]:
    """Forget an allowance when it expires, before a later report."""
    original = SlotLedger.allot

    def allot(self, holder, terms, now):
        for state in self._holders.values():
            state.grants = [grant for grant in state.grants if grant.expires > now]
        return original(self, holder, terms, now)

    with mock.patch.object(SlotLedger, "allot", allot):
        yield


@contextmanager
def count_only_reports() -> Iterator[None]:
    """Count what holders report and not what they were allowed."""
    original = SlotLedger.allot

    def allot(self, holder, terms, now):
        for state in self._holders.values():
            state.grants.clear()
        return original(self, holder, terms, now)

    with mock.patch.object(SlotLedger, "allot", allot):
        yield


@contextmanager
def momentary_count() -> Iterator[None]:
    """Take N from the present list instead of the window."""

    def count_listed(self, now):
        return len(self._listed) or 1

    with (
        mock.patch.object(MemberView, "count_listed", count_listed),
        mock.patch.object(MemberView, "count_shares", count_listed),
    ):
        yield


@contextmanager
def eager_joiner() -> Iterator[None]:
    """Let a fresh instance delegate at once."""
    with (
        mock.patch.object(MemberView, "may_delegate", lambda *_: True),
        mock.patch.object(MemberView, "is_confirmed", lambda *_: True),
    ):
        yield


@contextmanager
def unconfirmed_shares() -> Iterator[None]:
    """Count shares of instances that others may have dropped."""
    with mock.patch.object(MemberView, "is_confirmed", lambda *_: True):
        yield


@contextmanager
def no_takeover_wait() -> Iterator[None]:
    """Hand out slots before the holders of an earlier owner have reported."""
    original = SlotLedger.__init__

    def init(self, lease_seconds, hold_until):
        original(self, lease_seconds, -math.inf)

    with mock.patch.object(SlotLedger, "__init__", init):
        yield


@contextmanager
def ignore_foreign() -> Iterator[None]:
    """Ignore requests that an unreachable instance has in flight."""
    with mock.patch.object(ownerside, "_count_foreign", lambda _: 0):
        yield


@contextmanager
def stale_probe() -> Iterator[None]:
    """Trust the last load report for ever."""
    with mock.patch.object(coordination, "PROBE_INTERVALS", math.inf):
        yield


@contextmanager
def accept_reordered() -> Iterator[None]:
    """Take heartbeats in any order, as often as they come."""
    original = Coordinator._receive_heartbeat

    def receive(self, message, now):
        link = self._links.get(message.sender)
        if link is not None:
            link.heard_sequence = min(link.heard_sequence, message.sequence - 1)
        return original(self, message, now)

    with mock.patch.object(Coordinator, "_receive_heartbeat", receive):
        yield


@contextmanager
def always_informed() -> Iterator[None]:
    """Hand out slots although a configuration change may have been missed."""
    with mock.patch.object(Coordinator, "is_informed", lambda *_: True):
        yield


@contextmanager
def share_never_moves() -> Iterator[None]:
    """Keep a share with its first owner."""

    def choose(self, target_id, owner, now):
        current = self._delegations.get(target_id)
        return owner if current is None or current.owner == owner else None

    with mock.patch.object(Delegator, "choose", choose):
        yield


@contextmanager
def no_load_cap() -> Iterator[None]:
    """Ignore the mean load of the pool."""
    with mock.patch.object(ownerside.OwnedTargets, "_find_load_cap", lambda *_: None):
        yield
