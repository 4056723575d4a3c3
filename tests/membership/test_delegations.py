"""Tests that two owners of a target together never grant more than its limit."""

import random
import unittest
from dataclasses import dataclass
from fractions import Fraction
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from carobladder.limits.budgets import SlotLedger, Terms
from carobladder.membership import delegations
from carobladder.membership.delegations import Delegator
from tests.peers import variants

LEASE = 1.5
LIMIT = 12
TERMS = Terms(limit=LIMIT, usable=True, cold=True)
HOLDERS = ("x", "y", "z")


@dataclass
class _Message:
    owner: str
    holder: str
    echo: float


class DelegationSchedule:
    """Random schedule in which holders switch owners while messages are late.

    An owner's allowance outlives its delegations by up to a lease. The checked sum is
    therefore over each owner's greatest capacity within a lease.
    """

    def __init__(self, seed: int, from_receipt: bool = False) -> None:
        self.random = random.Random(seed)
        self.from_receipt = from_receipt
        self.now = 0.0
        self.owners = {name: SlotLedger(LEASE, 0.0) for name in ("p", "q")}
        self.capacities: dict[str, list[tuple[float, int]]] = {"p": [], "q": []}
        self.delegators = {name: Delegator(LEASE, -60.0) for name in HOLDERS}
        self.chosen_owners = dict.fromkeys(HOLDERS, "p")
        self.last_echoes = {(h, o): 0.0 for h in HOLDERS for o in self.owners}
        self.in_transit: list[_Message] = []
        self.most_granted = 0

    def step(self) -> None:
        self.now += self.random.choice((0.0, 0.01, 0.02, 0.05, 0.3))
        holder = self.random.choice(HOLDERS)
        action = self.random.randrange(16)
        if action == 0:
            self.chosen_owners[holder] = self.random.choice(("p", "q"))
        elif action == 1 and self.in_transit:
            self.in_transit.pop(self.random.randrange(len(self.in_transit)))
        elif action <= 8:
            self._deliver()
        else:
            self._send(holder)
        self._measure()

    def _send(self, holder: str) -> None:
        owner = self.chosen_owners[holder]
        if self.random.random() < 0.7:
            self.last_echoes[holder, owner] = self.now
        if self.delegators[holder].choose("t", owner, self.now) == owner:
            self.delegators[holder].mark_sent("t", owner, self.now)
            self.in_transit.append(
                _Message(owner, holder, self.last_echoes[holder, owner])
            )

    def _deliver(self) -> None:
        if not self.in_transit:
            return
        message = self.random.choice(self.in_transit)
        if self.random.random() < 0.7:
            self.in_transit.remove(message)
        floor = self.now if self.from_receipt else message.echo
        ledger = self.owners[message.owner]
        ledger.delegate(message.holder, Fraction(1, len(HOLDERS)), floor + LEASE)

    def _measure(self) -> None:
        total = 0
        for name, ledger in self.owners.items():
            history = self.capacities[name]
            history.append((self.now, ledger.count_capacity(TERMS, self.now)))
            total += max(c for time, c in history if time > self.now - LEASE)
        self.most_granted = max(self.most_granted, total)


def find_most_granted(seed: int, from_receipt: bool = False) -> int:
    """Return the most slots that both owners together had granted."""
    schedule = DelegationSchedule(seed, from_receipt)
    for _ in range(200):
        schedule.step()
    return schedule.most_granted


class DelegationTest(unittest.TestCase):
    """Guard against two owners that both count the same delegated share.

    Four tests break the protocol and check that the schedules then exceed the limit.
    """

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(st.integers(0, 2**32))
    def test_owners_together_stay_within_the_limit(self, seed):
        self.assertLessEqual(find_most_granted(seed), LIMIT)

    def find_most_of_seeds(self, **options: bool) -> int:
        return max(find_most_granted(seed, **options) for seed in range(30))

    def test_limit_is_exceeded_by_immediate_moves(self):
        with variants.immediate_move():
            self.assertGreater(self.find_most_of_seeds(), LIMIT)

    def test_limit_is_exceeded_by_moves_after_one_lease(self):
        with mock.patch.object(delegations, "MOVE_LEASES", 1):
            self.assertGreater(self.find_most_of_seeds(), LIMIT)

    def test_limit_is_exceeded_if_delegations_start_at_receipt(self):
        self.assertGreater(self.find_most_of_seeds(from_receipt=True), LIMIT)

    def test_limit_is_exceeded_by_an_undivided_budget(self):
        with variants.undivided_budget():
            self.assertGreater(self.find_most_of_seeds(), LIMIT)

    def test_new_incarnation_waits_until_old_delegations_expired(self):
        delegator = Delegator(LEASE, 100.0)
        self.assertIsNone(delegator.choose("t", "p", 102.9))
        self.assertEqual(delegator.choose("t", "p", 103.0), "p")
