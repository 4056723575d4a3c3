"""Tests of the shares of fleet-wide limits and of the cold rate."""

import random
import unittest

from carobladder.fleet import ColdPacer, ShareLedger

TOTAL = 96


def assign_shares(members: int) -> list[ShareLedger]:
    """Return the ledgers of members that divide all partitions among them."""
    ledgers = [ShareLedger(TOTAL) for _ in range(members)]
    for index, ledger in enumerate(ledgers):
        ledger.assign(frozenset(range(index, TOTAL, members)))
    return ledgers


def count_sends(
    pacers: list[ColdPacer], per_second: float, seconds: float, seed: int
) -> list[float]:
    """Return the send times to one target if all instances send as much as they may."""
    generator = random.Random(seed)
    times = []
    now = 0.0
    while now < seconds:
        pacer = generator.choice(pacers)
        if pacer.acquire("i-1", per_second, now):
            times.append(now)
        now += 0.0005
    return times


def find_peak(times: list[float]) -> int:
    """Return the highest number of sends within any second."""
    peak = 0
    first = 0
    for last, time in enumerate(times):
        while time - times[first] > 1.0:
            first += 1
        peak = max(peak, last - first + 1)
    return peak


class ColdPacerTest(unittest.TestCase):
    """Guard against more requests to a cold target than it admits, over the fleet."""

    def test_all_instances_together_stay_within_the_rate(self):
        for members, per_second in ((1, 18.0), (9, 18.0), (88, 18.0), (9, 2.5)):
            with self.subTest(members=members, per_second=per_second):
                pacers = [ColdPacer(ledger) for ledger in assign_shares(members)]
                times = count_sends(pacers, per_second, 6.0, members)
                self.assertLessEqual(find_peak(times), per_second + 1)
                self.assertGreaterEqual(len(times), 0.7 * per_second * 6)

    def test_fleet_with_a_third_of_outdated_shares_stays_within_the_limit(self):
        """An instance that cannot reach the store keeps its partitions.

        The others divide them again, so that both may send. The limit is 1.5 times the
        rate plus five.
        """
        disconnected, connected = assign_shares(9)[:3], assign_shares(6)
        pacers = [ColdPacer(ledger) for ledger in (*disconnected, *connected)]
        times = count_sends(pacers, 18.0, 6.0, 3)
        self.assertLessEqual(find_peak(times), 18.0 * 1.5 + 5)

    def test_no_request_may_be_sent_without_a_share(self):
        pacer = ColdPacer(ShareLedger(TOTAL))
        self.assertFalse(pacer.can_send("i-1", 18.0, 0.0))

    def test_shares_sum_to_one_and_the_default_is_small(self):
        self.assertAlmostEqual(sum(ledger.share for ledger in assign_shares(7)), 1.0)
        self.assertLess(ShareLedger(TOTAL).share, 0.05)

    def test_can_send_does_not_count_a_request(self):
        (ledger,) = assign_shares(1)
        pacer = ColdPacer(ledger)
        self.assertTrue(pacer.can_send("i-1", 1.0, 0.0))
        self.assertTrue(pacer.acquire("i-1", 1.0, 0.0))
        self.assertFalse(pacer.acquire("i-1", 1.0, 0.5))
        pacer.forget("i-1")
        self.assertTrue(pacer.acquire("i-1", 1.0, 0.6))
