"""Tests of the partitions that represent shares of fleet-wide limits."""

import unittest

from carobladder.clock import VirtualClock
from carobladder.entry.shares import (
    SHARE_PARTITIONS,
    ShareMembership,
    count_share_partitions,
    list_share_topics,
)
from carobladder.fleet import ShareLedger
from standins.store import StoreState
from tests.platform.fake_store import FakeStore

# Topics of a group whose partitions the store assigns.
ASSIGNED_TOPICS = 20


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


if __name__ == "__main__":
    unittest.main()
