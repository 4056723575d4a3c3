"""Tests of driver leases and of operators that race."""

import unittest

from benchmarks.move_operators import OperatorRun
from carobladder.moves.drivers import (
    Driver,
    DriverStatus,
    LeaseRecord,
    LeaseView,
    OrderTarget,
)
from carobladder.moves.records import MoveError

CHECKS = OrderTarget("a", checks_fencing=True)
IGNORES = OrderTarget("b", checks_fencing=False)


class ImpatientDriver(Driver):
    """Broken variant: neither waits out a lease nor stops at its end."""

    def may_order(self, target: OrderTarget, now: float) -> bool:
        """Allow an order whenever a lease was once accepted."""
        return self.view.offset > 0


def make_driver(instance: str = "i1") -> Driver:
    """Return a driver with a lease of 10 s and orders of up to 2 s."""
    return Driver(LeaseView("move"), instance)


def count_faults(driver_class: type[Driver], seeds: range) -> int:
    """Return reverts, doubled changes and diverged replicas over the seeds."""
    results = [OperatorRun(seed, driver_class).run() for seed in seeds]
    return sum(r.reverts + r.doubled + r.diverged for r in results)


class LeaseTest(unittest.TestCase):
    """Guard against two drivers that give orders at the same time."""

    def test_first_claim_drives_at_once(self):
        driver = make_driver()
        driver.apply(driver.claim("c1", 0.0), 5, 0.5)
        self.assertTrue(driver.may_order(IGNORES, 1.0))
        self.assertEqual(driver.fencing, 5)

    def test_lease_counts_from_the_append_and_leaves_time_for_the_order(self):
        driver = make_driver()
        driver.apply(driver.claim("c1", 0.0), 5, 3.0)
        self.assertTrue(driver.may_order(CHECKS, 7.9))
        self.assertFalse(driver.may_order(CHECKS, 8.0))
        self.assertFalse(driver.may_append(10.0))

    def test_takeover_waits_only_for_targets_that_ignore_fencing(self):
        driver = make_driver()
        driver.apply(LeaseRecord("move", "x", "i0", 0), 5, 0.0)
        driver.apply(driver.claim("c1", 1.0), 9, 1.0)
        self.assertTrue(driver.may_order(CHECKS, 2.0))
        self.assertFalse(driver.may_order(IGNORES, 2.0))
        self.assertIs(driver.status(True, 2.0), DriverStatus.WAITING_OUT)
        driver.apply(driver.claim("c2", 8.0), 12, 8.0)
        self.assertFalse(driver.may_order(IGNORES, 11.0))
        self.assertTrue(driver.may_order(IGNORES, 11.2))

    def test_second_of_two_racing_claims_loses(self):
        first, second = make_driver("i1"), make_driver("i2")
        records = [first.claim("c1", 0.0), second.claim("c2", 0.0)]
        for driver in (first, second):
            for offset, record in enumerate(records, start=1):
                driver.apply(record, offset, 0.1)
        self.assertTrue(first.may_order(CHECKS, 0.2))
        self.assertFalse(second.may_order(CHECKS, 0.2))

    def test_holder_stops_when_it_reads_of_a_newer_lease(self):
        driver = make_driver()
        driver.apply(driver.claim("c1", 0.0), 1, 0.0)
        driver.apply(LeaseRecord("move", "x", "i2", 1), 2, 1.0)
        self.assertFalse(driver.may_order(CHECKS, 1.0))

    def test_claim_of_an_earlier_run_gives_no_right(self):
        driver = make_driver()
        driver.apply(LeaseRecord("move", "old-run", "i1", 0), 1, 0.0)
        self.assertFalse(driver.may_order(CHECKS, 0.0))
        driver.apply(driver.claim("c1", 1.0), 2, 1.0)
        self.assertFalse(driver.may_order(IGNORES, 2.0))

    def test_log_outage_holds_the_move_and_is_reported(self):
        driver = make_driver()
        driver.apply(driver.claim("c1", 0.0), 1, 0.0)
        driver.note_log(False)
        self.assertFalse(driver.may_append(1.0))
        self.assertFalse(driver.needs_claim(True, 20.0))
        self.assertIs(driver.status(True, 1.0), DriverStatus.HELD_BY_LOG)

    def test_lease_shorter_than_orders_is_refused(self):
        with self.assertRaises(MoveError):
            Driver(LeaseView("move"), "i1", lease_seconds=3.0, order_seconds=2.0)


class OperatorRaceTest(unittest.TestCase):
    """Guard against reverted or doubled changes when drivers and operators race."""

    def test_races_and_lost_answers_do_no_harm(self):
        self.assertEqual(count_faults(Driver, range(1, 4)), 0)

    def test_check_of_races_catches_a_driver_that_does_not_wait(self):
        self.assertGreater(count_faults(ImpatientDriver, range(1, 4)), 0)
