"""Tests of an owner's slot ledger with holders behind an unreliable network."""

import math
import random
import unittest
from dataclasses import dataclass, field
from fractions import Fraction

from hypothesis import given, settings
from hypothesis import strategies as st

from carobladder.limits.allowances import Allowance, AllowanceBook, SlotPermit
from carobladder.limits.budgets import HolderReport, SlotLedger, Terms
from tests.peers import variants

LEASE = 1.5
LIMIT = 4
TERMS = Terms(limit=LIMIT, usable=True, cold=True, foreign=LIMIT)


@dataclass
class _Holder:
    name: str
    book: AllowanceBook = field(default_factory=AllowanceBook)
    permits: list[SlotPermit] = field(default_factory=list)
    wanted: int = 0
    sequence: int = 0
    echo: float = -math.inf


@dataclass
class _Report:
    holder: _Holder
    sequence: int
    sent: float
    report: HolderReport


@dataclass
class _Answer:
    holder: _Holder
    allowance: Allowance | None
    owner_time: float


class LedgerSchedule:
    """Random schedule of reports and allowances: lost, late, duplicated, reordered."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now = 0.0
        self.ledger = SlotLedger(LEASE, 0.0)
        self.holders = [_Holder(name) for name in "xyz"]
        for holder in self.holders:
            self.ledger.delegate(holder.name, Fraction(1, 3), math.inf)
        self.last_sequences = dict.fromkeys("xyz", 0)
        self.in_transit: list[_Report | _Answer] = []
        self.most_in_flight = 0
        self.started = 0

    def step(self) -> None:
        self.now += self.random.choice((0.0, 0.0, 0.01, 0.02, 0.1, 0.3))
        holder = self.random.choice(self.holders)
        action = self.random.randrange(20)
        if action == 0 and self.in_transit:
            self.in_transit.pop(self.random.randrange(len(self.in_transit)))
        elif action <= 7:
            self._deliver()
        elif action <= 10:
            self._send_report(holder)
        elif action == 11:
            self.in_transit.append(_Answer(holder, None, self.now))
        elif action <= 13 and holder.permits:
            holder.book.release(holder.permits.pop())
        elif action == 14:
            holder.wanted = self.random.randrange(6)
        else:
            self._start(holder)
        self.most_in_flight = max(
            self.most_in_flight, sum(len(h.permits) for h in self.holders)
        )

    def _start(self, holder: _Holder) -> None:
        permit = holder.book.try_acquire("t", 1, self.now)
        if permit is not None:
            holder.permits.append(permit)
            holder.wanted = max(0, holder.wanted - 1)
            self.started += 1

    def _send_report(self, holder: _Holder) -> None:
        usage = holder.book.get_usage("t", "o")
        holder.sequence += 1
        report = HolderReport(
            usage.in_flight, holder.wanted, 1, usage.acked, holder.echo
        )
        self.in_transit.append(_Report(holder, holder.sequence, self.now, report))

    def _deliver(self) -> None:
        if not self.in_transit:
            return
        message = self.random.choice(self.in_transit)
        if self.random.random() < 0.8:
            self.in_transit.remove(message)
        if isinstance(message, _Answer):
            self._receive_answer(message)
        else:
            self._receive_report(message)

    def _receive_answer(self, message: _Answer) -> None:
        holder = message.holder
        holder.echo = max(holder.echo, message.owner_time)
        if message.allowance is None:
            return
        holder.book.apply(message.allowance, self.now)

    def _receive_report(self, message: _Report) -> None:
        name = message.holder.name
        if message.sequence <= self.last_sequences[name]:
            return
        self.last_sequences[name] = message.sequence
        if message.report.sent_floor == -math.inf:
            return
        self.ledger.report(name, message.report, self.now)
        allotment = self.ledger.allot(name, TERMS, self.now)
        allowance = _make_allowance(
            allotment.slots, allotment.sequence, message.sent + LEASE
        )
        self.in_transit.append(_Answer(message.holder, allowance, self.now))


def _make_allowance(slots: int, sequence: int, expires: float) -> Allowance:
    return Allowance(
        "t", "o", 1, sequence, slots, expires, True, True, "b", load=0, limit=LIMIT
    )


def run_schedule(seed: int) -> LedgerSchedule:
    """Return a schedule after 400 steps."""
    schedule = LedgerSchedule(seed)
    for _ in range(400):
        schedule.step()
    return schedule


class LedgerScheduleTest(unittest.TestCase):
    """Guard against more slots in flight than the limit of a target.

    Two tests break the ledger and check that the schedules then exceed the limit.
    """

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(st.integers(0, 2**32))
    def test_slots_in_flight_never_exceed_the_limit(self, seed):
        self.assertLessEqual(run_schedule(seed).most_in_flight, LIMIT)

    def test_schedules_reach_the_limit(self):
        reached = [run_schedule(seed).most_in_flight for seed in range(50)]
        self.assertGreater(reached.count(LIMIT), 10)

    def find_most_in_flight(self) -> int:
        return max(run_schedule(seed).most_in_flight for seed in range(200))

    def test_limit_is_exceeded_if_only_reports_count(self):
        with variants.count_only_reports():
            self.assertGreater(self.find_most_in_flight(), LIMIT)

    def test_limit_is_exceeded_if_expired_allowances_are_dropped(self):
        with variants.forget_at_expiry():
            self.assertGreater(self.find_most_in_flight(), LIMIT)


class DivisionTest(unittest.TestCase):
    """Guard against an unfair division of the slots between holders."""

    def make(self, *wanted: int, unit: int = 1) -> SlotLedger:
        ledger = SlotLedger(LEASE, 0.0)
        for index, amount in enumerate(wanted):
            name = f"h{index}"
            ledger.delegate(name, Fraction(1, len(wanted)), math.inf)
            ledger.report(name, HolderReport(0, amount, unit, 0, 0.0), float(index))
        return ledger

    def allot_all(self, ledger: SlotLedger, terms: Terms) -> list[int]:
        names = sorted(ledger.list_holders())
        return [ledger.allot(name, terms, 5.0).slots for name in names]

    def test_small_demand_is_met_and_the_rest_is_divided(self):
        terms = Terms(limit=12, usable=True, cold=False)
        ledger = self.make(2, 20, 20)
        self.assertEqual(self.allot_all(ledger, terms), [2, 5, 5])

    def test_large_requests_get_all_their_slots_or_none(self):
        terms = Terms(limit=6, usable=True, cold=False)
        ledger = self.make(4, 4, 4, unit=4)
        self.assertEqual(self.allot_all(ledger, terms), [4, 0, 0])

    def test_missing_delegations_reduce_the_capacity(self):
        ledger = self.make(9, 9, 9)
        ledger.delegate("h0", Fraction(1, 3), 9e9)
        terms = Terms(limit=4, usable=True, cold=False)
        self.assertEqual(ledger.count_capacity(terms, 1.0), 4)
        ledger.remove_holder("h0")
        self.assertEqual(ledger.count_capacity(terms, 1.0), 2)

    def test_idle_slots_go_to_recently_active_holders(self):
        ledger = SlotLedger(LEASE, 0.0)
        ledger.delegate("h0", Fraction(1), math.inf)
        ledger.report("h0", HolderReport(1, 0, 1, 0, 0.0), 0.0)
        ledger.report("h1", HolderReport(0, 0, 1, 0, 0.0), 0.0)
        terms = Terms(limit=12, usable=True, cold=False)
        self.assertGreater(ledger.allot("h0", terms, 1.0).slots, 1)
        self.assertEqual(ledger.allot("h1", terms, 1.0).slots, 0)

    def test_load_cap_admits_one_request_past_it(self):
        ledger = self.make(20, 20)
        terms = Terms(limit=32, usable=True, cold=False, load_cap=5.0)
        self.assertEqual(sum(self.allot_all(ledger, terms)), 6)
