"""Tests of the term and the lease of the holder of the duties."""

import random
import unittest

import hypothesis.strategies as st
from hypothesis import seed, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from carobladder.duties import DutyLease
from tests.duties.lease_simulation import (
    CALL_SECONDS,
    LEASE_SECONDS,
    LeaseSimulation,
)

MEMBERS = st.integers(0, 2)
KINDS = st.sampled_from(["term", "proof", "usage", "usage", "release"])
BACK = st.integers(0, 1)
DELAYS = st.sampled_from([0.0, CALL_SECONDS])
PAUSES = st.sampled_from([0.05, 0.4, 1.0, LEASE_SECONDS - 0.4, LEASE_SECONDS + 0.1])


class CallWithoutWait(DutyLease):
    """Lease whose holder does not wait for the end of the former one's lease."""

    def may_call(self, now, call_seconds):
        return self.token is not None


class CallWithoutProof(DutyLease):
    """Lease that is not proved again after the wait."""

    def may_call(self, now, call_seconds):
        return self.is_ready(now)


class RecordWithoutFloor(DutyLease):
    """Lease that records windows whose records a restored store may have lost."""

    def plan_term(self, first_window):
        return super().plan_term(0)


class CarriesOldLog(DutyLease):
    """Lease that carries records over without a proven term."""

    def note_era(self, era, now):
        log = self.log
        is_current = super().note_era(era, now)
        if self.log is None and log is not None:
            self._carried = log
        return is_current


class LeaseMachine(RuleBasedStateMachine):
    """Members with a variant of the lease, and the faults that hypothesis draws."""

    lease_class = DutyLease
    is_enforced = False

    def __init__(self):
        super().__init__()
        self.simulation = LeaseSimulation(
            self.lease_class, is_enforced=self.is_enforced
        )

    @rule(member=MEMBERS, kind=KINDS, back=BACK)
    def perform(self, member, kind, back):
        self.simulation.perform(member, kind, back)

    @rule(member=MEMBERS, back=BACK, delay=DELAYS)
    def report(self, member, back, delay):
        """Record a window, read it back if needed, and send it."""
        simulation = self.simulation
        if simulation.members[member].lease.log is None:
            simulation.perform(member, "usage", back)
        simulation.perform(member, "usage", back)
        simulation.perform(member, "proof", back)
        simulation.call(member, back, delay, lost=False)

    @rule(member=MEMBERS, waits=st.booleans(), back=BACK)
    def take_over(self, member, waits, back):
        """Become holder, by calls without a fault, and act."""
        simulation = self.simulation
        for kind in ("proof", "term", "term"):
            if not simulation.members[member].lease.is_holder:
                simulation.perform(member, kind)
        if waits:
            simulation.advance(LEASE_SECONDS + 0.1)
        self.report(member, back, 0.0)

    @rule(member=MEMBERS, kind=KINDS, back=BACK)
    def begin(self, member, kind, back):
        self.simulation.begin(member, kind, back)

    @rule(member=MEMBERS)
    def execute(self, member):
        self.simulation.execute(member)

    @rule(member=MEMBERS)
    def answer(self, member):
        self.simulation.answer(member)

    @rule(member=MEMBERS)
    def lose(self, member):
        self.simulation.lose(member)

    @rule(position=st.integers(0, 9))
    def repeat_write(self, position):
        self.simulation.repeat_write(position)

    @rule(member=MEMBERS, back=BACK, delay=DELAYS, lost=st.booleans())
    def call(self, member, back, delay, lost):
        self.simulation.call(member, back, delay, lost=lost)

    @rule(position=st.integers(0, 9))
    def execute_unanswered_call(self, position):
        self.simulation.execute_unanswered_call(position)

    @rule(seconds=PAUSES)
    def advance(self, seconds):
        self.simulation.advance(seconds)

    @rule(member=MEMBERS)
    def restart(self, member):
        self.simulation.restart(member)

    @rule()
    def take_copy(self):
        self.simulation.topic.take_copy()

    @rule(index=st.integers(0, 3))
    def restore(self, index):
        self.simulation.topic.restore(-1 - index)

    @rule(member=MEMBERS)
    def hear_era(self, member):
        simulation = self.simulation
        lease = simulation.members[member].lease
        lease.note_era(simulation.topic.era, simulation.now)

    @invariant()
    def keeps_the_safety_rules(self):
        assert not self.simulation.judge.violations, self.simulation.judge


def run_machine(lease_class, examples: int, *, is_enforced: bool = False) -> None:
    """Run the state machine of a variant of the lease."""
    variant = {"lease_class": lease_class, "is_enforced": is_enforced}
    machine = seed(1)(type("Machine", (LeaseMachine,), variant))
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=50,
            deadline=None,
            derandomize=True,
            database=None,
            print_blob=False,
        ),
    )


def run_random(lease_class, seed_number: int, steps: int = 400) -> LeaseSimulation:
    """Run members that seek to act, with faults that a seed draws."""
    generator = random.Random(seed_number)
    simulation = LeaseSimulation(lease_class, is_enforced=generator.random() < 0.5)
    faults = (
        lambda member: simulation.restart(member),
        lambda member: simulation.topic.take_copy(),
        lambda member: simulation.topic.restore(-1 - generator.randrange(2)),
        lambda member: simulation.repeat_write(generator.randrange(9)),
        lambda member: simulation.execute_unanswered_call(generator.randrange(9)),
        lambda member: simulation.lose(member),
        lambda member: simulation.perform(member, "release"),
        lambda member: simulation.members[member].lease.note_era(
            simulation.topic.era, simulation.now
        ),
        lambda member: simulation.perform(member, "term"),
    )
    active = 0
    for _ in range(steps):
        if simulation.judge.violations:
            break
        if generator.random() < 0.05:
            active = generator.randrange(3)
        member = active if generator.random() < 0.85 else generator.randrange(3)
        draw = generator.random()
        back = generator.randrange(2)
        if draw < 0.12:
            generator.choice(faults)(member)
        elif draw < 0.3:
            simulation.advance(generator.choice([0.05, 0.4, 1.0, 3.1]))
        elif draw < 0.4:
            simulation.begin(member, generator.choice(["term", "usage"]), back)
        elif draw < 0.5:
            simulation.execute(member)
        elif draw < 0.6:
            simulation.answer(member)
        else:
            lease = simulation.members[member].lease
            kind = generator.choice(["usage", "proof"]) if lease.is_holder else "term"
            simulation.perform(member, kind, back)
            lost = generator.random() < 0.1
            delay = generator.choice([0.0, CALL_SECONDS])
            simulation.call(member, back, delay, lost=lost)
    return simulation


def run_lost_record(lease_class) -> list[str]:
    """Restore the store to before a record that was sent; return the violations."""
    simulation = LeaseSimulation(lease_class)
    for kind in ("proof", "term"):
        simulation.perform(0, kind)
    simulation.perform(2, "proof")
    simulation.advance(LEASE_SECONDS + 2.5)
    simulation.topic.take_copy()
    simulation.perform(0, "usage")
    simulation.call(0, 0, 0.0, lost=False)
    simulation.topic.restore(-1)
    simulation.members[2].lease.note_era(simulation.topic.era, simulation.now)
    for kind in ("proof", "term"):
        simulation.perform(2, kind)
    simulation.advance(LEASE_SECONDS + 0.1)
    for back in (0, 1):
        simulation.perform(2, "usage", back)
        simulation.perform(2, "usage", back)
        simulation.call(2, back, 0.0, lost=False)
    return simulation.judge.violations


class LeaseMachineTest(unittest.TestCase):
    """Guard against two holders that act at once and reports that contradict."""

    def test_no_order_of_faults_breaks_the_safety_rules(self):
        for is_enforced in (False, True):
            with self.subTest(is_enforced=is_enforced):
                run_machine(DutyLease, 150, is_enforced=is_enforced)

    def test_long_random_runs_keep_the_safety_rules(self):
        several = 0
        for number in range(300):
            simulation = run_random(DutyLease, number)
            with self.subTest(seed=number):
                self.assertEqual(simulation.judge.violations, [])
            several += len(simulation.judge.holders) > 1
        # Runs with a single holder would prove little.
        self.assertGreater(several, 150)

    def test_check_detects_broken_fences(self):
        expected = {
            CallWithoutWait: "the order A, B, A within the lease",
            CallWithoutProof: "a lower token than one already seen",
            RecordWithoutFloor: "two different counts for one window",
        }
        for lease_class, violation in expected.items():
            with self.subTest(lease_class.__name__):
                found = set()
                for number in range(300):
                    found |= set(run_random(lease_class, number).judge.violations)
                self.assertIn(violation, found)

    def test_record_that_the_restored_store_lost_is_not_replaced(self):
        self.assertEqual(run_lost_record(DutyLease), [])
        violation = "two different counts for one window"
        self.assertIn(violation, run_lost_record(CarriesOldLog))
        self.assertIn(violation, run_lost_record(RecordWithoutFloor))

    def test_state_machine_detects_broken_fences(self):
        for lease_class in (CallWithoutWait, CallWithoutProof):
            with (
                self.subTest(lease_class.__name__),
                self.assertRaises(AssertionError),
            ):
                run_machine(lease_class, 150)
