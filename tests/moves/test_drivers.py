"""Tests of driver leases, and of races between drivers and operators."""

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

FENCED = OrderTarget("a", checks_fencing=True)
UNFENCED = OrderTarget("b", checks_fencing=False)


class NonWaitingDriver(Driver):
    """Faulty variant that waits for no earlier lease and ignores its own expiry."""

    def may_order(self, target: OrderTarget, now: float) -> bool:
        """Allow orders after any accepted lease."""
        return self.view.offset > 0


def make_driver(instance: str = "i1") -> Driver:
    """Return a driver with leases of 10 s and orders that take up to 2 s."""
    return Driver(LeaseView("move"), instance)


def count_violations(driver_class: type[Driver], seeds: range) -> int:
    """Count reverted or repeated changes and diverged replicas over the seeds."""
    results = [OperatorRun(seed, driver_class).run() for seed in seeds]
    return sum(r.reverts + r.doubled + r.diverged for r in results)


class LeaseTest(unittest.TestCase):
    """Guard against two drivers that send orders at the same time."""

    def test_first_lease_allows_orders_immediately(self):
        driver = make_driver()
        driver.apply(driver.claim("c1", 0.0), 5, 0.5)
        self.assertTrue(driver.may_order(UNFENCED, 1.0))
        self.assertEqual(driver.fencing, 5)

    def test_lease_runs_from_the_append_and_reserves_time_for_an_order(self):
        driver = make_driver()
        driver.apply(driver.claim("c1", 0.0), 5, 3.0)
        self.assertTrue(driver.may_order(FENCED, 7.9))
        self.assertFalse(driver.may_order(FENCED, 8.0))
        self.assertFalse(driver.may_append(10.0))

    def test_takeover_waits_only_for_targets_that_ignore_fencing(self):
        driver = make_driver()
        driver.apply(LeaseRecord("move", "x", "i0", 0), 5, 0.0)
        driver.apply(driver.claim("c1", 1.0), 9, 1.0)
        self.assertTrue(driver.may_order(FENCED, 2.0))
        self.assertFalse(driver.may_order(UNFENCED, 2.0))
        self.assertIs(driver.status(True, 2.0), DriverStatus.WAITING_OUT)
        driver.apply(driver.claim("c2", 8.0), 12, 8.0)
        self.assertFalse(driver.may_order(UNFENCED, 11.0))
        self.assertTrue(driver.may_order(UNFENCED, 11.2))

    def test_second_of_two_racing_claims_loses(self):
        first, second = make_driver("i1"), make_driver("i2")
        records = [first.claim("c1", 0.0), second.claim("c2", 0.0)]
        for driver in (first, second):
            for offset, record in enumerate(records, start=1):
                driver.apply(record, offset, 0.1)
        self.assertTrue(first.may_order(FENCED, 0.2))
        self.assertFalse(second.may_order(FENCED, 0.2))

    def test_holder_stops_when_it_reads_a_newer_lease(self):
        driver = make_driver()
        driver.apply(driver.claim("c1", 0.0), 1, 0.0)
        driver.apply(LeaseRecord("move", "x", "i2", 1), 2, 1.0)
        self.assertFalse(driver.may_order(FENCED, 1.0))

    def test_claim_made_before_a_restart_allows_no_orders(self):
        driver = make_driver()
        driver.apply(LeaseRecord("move", "old-run", "i1", 0), 1, 0.0)
        self.assertFalse(driver.may_order(FENCED, 0.0))
        driver.apply(driver.claim("c1", 1.0), 2, 1.0)
        self.assertFalse(driver.may_order(UNFENCED, 2.0))

    def test_log_outage_holds_the_move_and_is_reported(self):
        driver = make_driver()
        driver.apply(driver.claim("c1", 0.0), 1, 0.0)
        driver.note_log(False)
        self.assertFalse(driver.may_append(1.0))
        self.assertFalse(driver.needs_claim(True, 20.0))
        self.assertIs(driver.status(True, 1.0), DriverStatus.HELD_BY_LOG)

    def test_lease_too_short_for_orders_is_rejected(self):
        with self.assertRaises(MoveError):
            Driver(LeaseView("move"), "i1", lease_seconds=3.0, order_seconds=2.0)


class OperatorRaceTest(unittest.TestCase):
    """Guard against reverted or repeated changes when drivers and operators race."""

    def test_races_and_lost_answers_revert_or_repeat_nothing(self):
        self.assertEqual(count_violations(Driver, range(1, 4)), 0)

    def test_check_detects_a_driver_that_does_not_wait(self):
        self.assertGreater(count_violations(NonWaitingDriver, range(1, 4)), 0)
