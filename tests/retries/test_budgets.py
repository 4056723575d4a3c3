"""Tests of retry budgets."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from carobladder.retries import RetryBudget

RATIO = 0.1
BURST = 5.0
MINIMUM_PER_SECOND = 0.5


class RetryBudgetTest(unittest.TestCase):
    """Guard against retries that multiply the load of a failing fleet."""

    @settings(derandomize=True)
    @given(st.lists(st.sampled_from(["request", "retry", "wait"]), max_size=300))
    def test_retries_stay_within_the_documented_bound(self, steps):
        now = 0.0
        budget = RetryBudget(
            RATIO, now, burst=BURST, minimum_per_second=MINIMUM_PER_SECOND
        )
        requests = granted = 0
        for step in steps:
            if step == "request":
                budget.record_request()
                requests += 1
            elif step == "wait":
                now += 1.0
            else:
                granted += budget.withdraw(now)
            bound = BURST + RATIO * requests + MINIMUM_PER_SECOND * now
            self.assertLessEqual(granted, bound + 1e-9)

    def test_steady_requests_permit_their_ratio_of_retries(self):
        budget = RetryBudget(RATIO, 0.0, burst=10.0, minimum_per_second=0.0)
        granted = 0
        for _ in range(1000):
            budget.record_request()
            granted += budget.withdraw(0.0)
        self.assertAlmostEqual(granted, 10 + 100, delta=1)

    def test_clock_that_goes_back_adds_no_retries(self):
        budget = RetryBudget(0.0, 10.0, burst=1.0, minimum_per_second=1.0)
        self.assertTrue(budget.withdraw(10.0))
        self.assertFalse(budget.withdraw(5.0))
        self.assertFalse(budget.withdraw(10.0))


class CopyBudgetTest(unittest.TestCase):
    """Guard against copies that take the retries after failures, or add to them."""

    @settings(derandomize=True)
    @given(st.lists(st.sampled_from(["request", "retry", "copy"]), max_size=300))
    def test_copies_and_retries_share_one_income(self, steps):
        budget = RetryBudget(
            0.2, 0.0, burst=0.0, minimum_per_second=0.0, min_capacity=1.0, copy_ratio=1
        )
        requests = retries = copies = 0
        for step in steps:
            if step == "request":
                requests += 1
                budget.record_request()
            elif step == "retry":
                retries += budget.withdraw(0.0)
            else:
                copies += budget.withdraw_copy()
            self.assertLessEqual(retries + copies, 0.2 * requests + 1e-6)
            self.assertLessEqual(copies, 0.1 * requests + 1e-6)

    def test_copies_leave_half_of_the_income_to_retries(self):
        budget = RetryBudget(
            0.2, 0.0, burst=0.0, minimum_per_second=0.0, min_capacity=1.0, copy_ratio=1
        )
        retries = copies = 0
        for _ in range(1000):
            budget.record_request()
            copies += budget.withdraw_copy()
        while budget.withdraw(0.0):
            retries += 1
        self.assertAlmostEqual(copies, 100, delta=2)
        self.assertEqual(retries, 1)
        for _ in range(1000):
            budget.record_request()
            retries += budget.withdraw(0.0)
        self.assertGreaterEqual(retries, 100)

    def test_storm_of_retries_stops_copies_until_it_is_over(self):
        budget = RetryBudget(
            0.2, 0.0, burst=10.0, minimum_per_second=0.0, copy_ratio=0.05
        )
        for _ in range(100):
            budget.record_request()
        self.assertTrue(budget.has_copy())
        for _ in range(6):
            budget.withdraw(0.0)
        self.assertFalse(budget.withdraw_copy())
        for _ in range(20):
            budget.record_request()
        self.assertTrue(budget.withdraw_copy())

    def test_unused_copies_are_left_to_retries(self):
        budget = RetryBudget(
            0.2, 0.0, burst=0.0, minimum_per_second=0.0, min_capacity=1.0, copy_ratio=1
        )
        retries = 0
        for _ in range(1000):
            budget.record_request()
            retries += budget.withdraw(0.0)
        self.assertGreaterEqual(retries, 198)

    def test_budget_without_copies_grants_none(self):
        budget = RetryBudget(0.2, 0.0)
        for _ in range(1000):
            budget.record_request()
        self.assertFalse(budget.withdraw_copy())
        budget.set_copy_ratio(0.05)
        for _ in range(1000):
            budget.record_request()
        self.assertTrue(budget.withdraw_copy())
        budget.set_copy_ratio(0.0)
        self.assertFalse(budget.withdraw_copy())
