"""Tests of the per-service retry budgets."""

import unittest

from carobladder.clock import VirtualClock
from carobladder.entry.shares import SHARE_PARTITIONS
from carobladder.fleet import ServiceBudgets, ShareLedger


def assign_shares(members: int) -> list[ShareLedger]:
    """Return the ledgers of members that divide all partitions among them."""
    ledgers = [ShareLedger(SHARE_PARTITIONS) for _ in range(members)]
    for index, ledger in enumerate(ledgers):
        # Each member had a share before the fleet grew.
        ledger.assign(frozenset({0}))
        ledger.assign(frozenset(range(index, SHARE_PARTITIONS, members)))
    return ledgers


def count_retries(budgets: ServiceBudgets, requests: int) -> int:
    """Return the retries that are granted during and after some requests."""
    budget = budgets.find("stock")
    granted = 0
    for _ in range(requests):
        budget.record_request()
        granted += budget.withdraw(0.0)
    while budget.withdraw(0.0):
        granted += 1
    return granted


class ServiceBudgetsTest(unittest.TestCase):
    """Guard against more retries by all instances than the operator allows."""

    def test_total_of_all_instances_stays_within_ratio_and_slack(self):
        total = 0
        for index in range(9):
            ledger = ShareLedger(96)
            ledger.assign(frozenset(range(index, 96, 9)))
            budgets = ServiceBudgets(0.2, 58.0, ledger, VirtualClock())
            total += count_retries(budgets, 50)
        self.assertLessEqual(total, 0.2 * 9 * 50 + 58)
        self.assertGreater(total, 60)

    def test_budget_follows_the_share(self):
        ledger = ShareLedger(96)
        ledger.assign(frozenset(range(96)))
        budgets = ServiceBudgets(0.0, 100.0, ledger, VirtualClock())
        budgets.find("stock")
        ledger.assign(frozenset(range(12)))
        budgets.resize()
        self.assertLessEqual(count_retries(budgets, 0), 100 / 8)

    def test_ratio_and_slack_of_zero_permit_no_retry(self):
        ledger = ShareLedger(96)
        ledger.assign(frozenset(range(96)))
        budgets = ServiceBudgets(0.0, 0.0, ledger, VirtualClock())
        self.assertEqual(count_retries(budgets, 50), 0)

    def test_services_have_separate_budgets(self):
        ledger = ShareLedger(96)
        ledger.assign(frozenset(range(96)))
        budgets = ServiceBudgets(0.0, 100.0, ledger, VirtualClock())
        count_retries(budgets, 0)
        self.assertTrue(budgets.find("other").withdraw(0.0))


class LargeFleetTest(unittest.TestCase):
    """Guard against too many retries in a fleet with more instances than partitions."""

    def build_budgets(self, count: int, slack: float) -> list[ServiceBudgets]:
        """Return the budgets of instances, a third of them disconnected.

        These keep their previous shares; the others divide all partitions among them.
        """
        cut_off = count // 3
        ledgers = assign_shares(count)[:cut_off] + assign_shares(count - cut_off)
        clock = VirtualClock()
        return [ServiceBudgets(0.2, slack, ledger, clock) for ledger in ledgers]

    def test_hundreds_of_instances_stay_within_the_limit(self):
        for count, slack in ((9, 58.0), (87, 214.0), (195, 430.0), (800, 1760.0)):
            with self.subTest(count=count):
                budgets = self.build_budgets(count, slack)
                requests = 20
                total = sum(count_retries(item, requests) for item in budgets)
                self.assertLessEqual(total, 0.2 * count * requests + slack)

    def test_instance_without_a_share_earns_retries_by_its_requests(self):
        ledger = ShareLedger(96)
        ledger.assign(frozenset({1}))
        ledger.assign(frozenset())
        budgets = ServiceBudgets(0.2, 430.0, ledger, VirtualClock())
        budget = budgets.find("stock")
        self.assertFalse(budget.withdraw(0.0))
        for _ in range(8):
            budget.record_request()
        self.assertTrue(budget.withdraw(0.0))
        self.assertFalse(budget.withdraw(0.0))

    def test_copies_of_195_instances_stay_within_their_share(self):
        requests = 200
        budgets = self.build_budgets(195, 430.0)
        copies = retries = 0
        for item in budgets:
            item.set_copy_share(0.05)
            budget = item.find("stock")
            for _ in range(requests):
                budget.record_request()
                copies += budget.withdraw_copy()
            while budget.withdraw(0.0):
                retries += 1
        self.assertLessEqual(copies, 0.05 * 195 * requests)
        self.assertGreater(copies, 0.04 * 195 * requests)
        self.assertLessEqual(copies + retries, 0.2 * 195 * requests + 430)
