"""Tests of the retry budgets of services."""

import unittest

from carobladder.clock import VirtualClock
from carobladder.fleet import ServiceBudgets, ShareLedger


class ServiceBudgetsTest(unittest.TestCase):
    """Guard against repeats of all instances beyond the operators' bound."""

    def count_repeats(self, budgets: ServiceBudgets, requests: int) -> int:
        budget = budgets.find("stock")
        granted = 0
        for _ in range(requests):
            budget.record_request()
            granted += budget.withdraw(0.0)
        while budget.withdraw(0.0):
            granted += 1
        return granted

    def test_all_instances_together_stay_within_ratio_and_slack(self):
        total = 0
        for index in range(9):
            ledger = ShareLedger(96)
            ledger.assign(frozenset(range(index, 96, 9)))
            budgets = ServiceBudgets(0.2, 58.0, ledger, VirtualClock())
            total += self.count_repeats(budgets, 50)
        self.assertLessEqual(total, 0.2 * 9 * 50 + 58)
        self.assertGreater(total, 60)

    def test_budget_follows_the_share(self):
        ledger = ShareLedger(96)
        ledger.assign(frozenset(range(96)))
        budgets = ServiceBudgets(0.0, 100.0, ledger, VirtualClock())
        budgets.find("stock")
        ledger.assign(frozenset(range(12)))
        budgets.resize()
        self.assertLessEqual(self.count_repeats(budgets, 0), 100 / 8)

    def test_services_do_not_share_a_budget(self):
        ledger = ShareLedger(96)
        budgets = ServiceBudgets(0.0, 100.0, ledger, VirtualClock())
        self.count_repeats(budgets, 0)
        self.assertTrue(budgets.find("other").withdraw(0.0))
