"""Tests of the partitions that represent shares of fleet-wide limits."""

import asyncio
import json
import random
import unittest

from carobladder.clock import VirtualClock
from carobladder.entry.shares import (
    SHARE_PARTITIONS,
    ShareMembership,
    count_share_partitions,
    list_share_topics,
)
from carobladder.eras import EraMonitor
from carobladder.fleet import RatePacer, ShareLedger, TargetTable
from standins.store import StoreState
from tests.fleet.builders import build_entry
from tests.platform.fake_store import FakeStore
from tests.support.virtual import settle

# Topics of a group whose partitions the store assigns.
ASSIGNED_TOPICS = 20
PARTITIONS_PER_TOPIC = 12
RATE_PER_SECOND = 4.0
# Longer than it takes an earlier holder to know that it lost a partition.
SETTLED_SECONDS = 3.6
RENEWAL_SECONDS = 2.5


class JoinedStore(FakeStore):
    """Simulated store that keeps the generations that members send."""

    def __init__(self) -> None:
        super().__init__(StoreState(parts=PARTITIONS_PER_TOPIC))
        self.generations: list[int] = []

    async def fetch(self, method, address, path, *, body=b"", **options):
        """Keep the generation of a join and answer it."""
        if path.startswith("/-/log-join"):
            self.generations.append(json.loads(body)["generation"])
        return await super().fetch(method, address, path, body=body, **options)


class ShareMembershipTest(unittest.IsolatedAsyncioTestCase):
    """Guard against shares of limits that no instance can use.

    With 12 partitions a topic, the store assigned 240 of 384 partitions, so that more
    than a third of each limit belonged to nobody.
    """

    async def renew(self, store: FakeStore, member: str, per_topic: int) -> ShareLedger:
        ledger = ShareLedger(count_share_partitions(per_topic))
        membership = ShareMembership(
            store.client, ledger, member, per_topic, VirtualClock()
        )
        await membership._renew()
        return ledger

    async def test_single_member_holds_the_whole_of_each_limit(self):
        for per_topic in (12, 24, 25, 100):
            with self.subTest(per_topic=per_topic):
                store = FakeStore(StoreState(parts=per_topic))
                ledger = await self.renew(store, "front-1", per_topic)
                self.assertEqual(ledger.share, 1.0)
                self.assertEqual(ledger.held, frozenset(ledger.partitions))

    def test_topics_are_few_enough_for_the_store(self):
        for per_topic in (1, 12, 24, 1000):
            self.assertLessEqual(len(list_share_topics(per_topic)), ASSIGNED_TOPICS)
        self.assertGreaterEqual(count_share_partitions(24), SHARE_PARTITIONS)


class RestoredMembershipTest(unittest.IsolatedAsyncioTestCase):
    """Guard against limits that two holders of a partition use up after a restore."""

    async def asyncSetUp(self):
        self.clock = VirtualClock()
        self.store = JoinedStore()
        self.eras = EraMonitor()
        self.ledger = ShareLedger(count_share_partitions(PARTITIONS_PER_TOPIC))
        self.membership = ShareMembership(
            self.store.client,
            self.ledger,
            "front-1",
            PARTITIONS_PER_TOPIC,
            self.clock,
            self.eras,
        )
        self.task = asyncio.create_task(self.membership.run())
        self.addCleanup(self.task.cancel)
        self.pacer = RatePacer(self.ledger, self.clock, random.Random(1))
        table = TargetTable()
        table.apply(build_entry("i-0"), 0.0)
        (self.target,) = table.list_all()
        self.target.rate_limit = RATE_PER_SECOND
        await self.run_for(SETTLED_SECONDS)
        self.state_rate()
        self.settled_rate = self.pacer.compute_rate(self.target)
        self.assertGreater(self.settled_rate, 0.0)

    async def run_for(self, seconds: float) -> None:
        """Renew the membership for this long."""
        await settle()
        for _ in range(round(seconds * 10)):
            self.clock.advance(0.1)
            await settle()

    def state_rate(self) -> None:
        """Let the target state its limit now, so that nobody tries it."""
        self.target.rate_stated_at = self.clock.boottime()

    # Guards against a generation of the era before, which the store refuses or takes
    # for one that it has given to other members since.
    async def test_generation_sent_after_a_restore_is_zero(self):
        await self.run_for(RENEWAL_SECONDS)
        self.assertEqual(self.store.generations[0], 0)
        self.assertNotIn(0, self.store.generations[1:])
        self.store.state.restore(self.store.state.take_copy())
        self.eras.note(self.store.state.era)
        count = len(self.store.generations)
        await self.run_for(2 * RENEWAL_SECONDS)
        self.assertEqual(self.store.generations[count], 0)
        self.assertNotIn(0, self.store.generations[count + 1 :])

    # Guards against requests by shares that the copy may give to another instance.
    async def test_held_partitions_are_settled_anew(self):
        self.assertTrue(self.pacer.can_send(self.target))
        self.eras.note(self.store.state.era + 1)
        self.assertEqual(self.ledger.share, 1.0)
        self.assertEqual(self.pacer.compute_rate(self.target), 0.0)
        self.assertIsNone(self.pacer.find_wait(self.target))
        await self.run_for(SETTLED_SECONDS)
        self.state_rate()
        self.assertTrue(self.pacer.can_send(self.target))

    # Guards against the same, where the first to tell of the restore is a join.
    async def test_partitions_are_settled_anew_after_a_join_tells_of_the_restore(self):
        self.store.state.restore(self.store.state.take_copy())
        await self.run_for(RENEWAL_SECONDS)
        self.assertEqual(self.eras.era, 2)
        self.state_rate()
        self.assertEqual(self.pacer.compute_rate(self.target), 0.0)
        self.assertFalse(self.ledger.has_lapsed(self.clock.boottime()))
        await self.run_for(SETTLED_SECONDS)
        self.assertEqual(self.pacer.compute_rate(self.target), self.settled_rate)

    # Guards against the generation of a join that tells of the restore being dropped,
    # or the one of the era before being sent again.
    async def test_generation_of_the_join_that_tells_of_the_restore_is_sent_next(self):
        self.store.state.restore(self.store.state.take_copy())
        await self.run_for(RENEWAL_SECONDS)
        count = len(self.store.generations)
        await self.run_for(RENEWAL_SECONDS)
        self.assertEqual(self.store.generations[count:], [1])

    # Guards against full rates on a lease that the restored store does not know.
    async def test_lease_counts_as_lapsed_until_the_next_join(self):
        self.store.silent = True
        self.assertFalse(self.ledger.has_lapsed(self.clock.boottime()))
        self.store.state.restore(self.store.state.take_copy())
        self.eras.note(self.store.state.era)
        await self.run_for(SETTLED_SECONDS)
        self.assertTrue(self.ledger.has_lapsed(self.clock.boottime()))
        lapsed_rate = self.pacer.compute_rate(self.target)
        self.assertAlmostEqual(lapsed_rate, self.settled_rate / 2)
        self.store.silent = False
        await self.run_for(RENEWAL_SECONDS)
        self.assertFalse(self.ledger.has_lapsed(self.clock.boottime()))
        self.assertEqual(self.pacer.compute_rate(self.target), self.settled_rate)

    # Guards against shares that an instance keeps although the copy knows a member
    # that has taken half of them.
    async def test_partitions_of_a_member_of_the_copy_are_given_up(self):
        other = ShareLedger(len(self.ledger.partitions))
        join = ShareMembership(
            self.store.client, other, "front-2", PARTITIONS_PER_TOPIC, self.clock
        )
        await join._renew()
        copy = self.store.state.take_copy()
        await join.leave()
        await self.run_for(RENEWAL_SECONDS)
        self.assertEqual(self.ledger.share, 1.0)
        self.store.state.restore(copy)
        await self.run_for(RENEWAL_SECONDS)
        self.assertEqual(self.ledger.share, 0.5)


if __name__ == "__main__":
    unittest.main()
