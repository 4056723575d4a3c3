"""Tests of the mark of the newest era of the store that is settled."""

import asyncio
import random
import unittest

from carobladder.clock import VirtualClock
from carobladder.eras import ERA_MARK, EraMarkKeeper, EraMonitor, OwnedRecord
from carobladder.fleet import KeyedRecord, PeerDirectory
from tests.eras.test_configurationbackup import ROUNDS, FakeTopic

ANNOUNCEMENT = b"127.0.0.1:%d " + b"ab" * 32
LATEST_SECONDS = 25.0


class EraMarkTest(unittest.IsolatedAsyncioTestCase):
    """Guard against a restored store that is taken for one that lost nothing."""

    def setUp(self):
        self.clock = VirtualClock()
        self.topic = FakeTopic()

    def build(self, name: str = "n1", peers: int = 0) -> EraMarkKeeper:
        """Return the keeper of an instance that knows era 2 and some others."""
        self.eras = EraMonitor()
        self.eras.note(2)
        directory = PeerDirectory(name, "127.0.0.1:1", self.clock)
        for number in range(peers):
            value = ANNOUNCEMENT % (10 + number)
            directory.apply_record(KeyedRecord(number, f"p{number}", value))
        self.directory = directory
        record = OwnedRecord(ERA_MARK, self.topic, directory, self.clock)
        return EraMarkKeeper(self.eras, record, self.clock, random.Random(1))

    async def run_for(self, keeper: EraMarkKeeper, seconds: float) -> None:
        """Let the keeper run after its era was settled."""
        task = asyncio.create_task(keeper.run())
        await asyncio.sleep(0)
        self.eras.note_settled(2)
        for _ in range(ROUNDS):
            await asyncio.sleep(0)
        self.clock.advance(seconds)
        for _ in range(ROUNDS):
            await asyncio.sleep(0)
        task.cancel()

    async def test_mark_settles_its_era_for_an_instance_that_starts(self):
        await self.run_for(self.build(), 0.0)
        (record,) = self.topic.records
        starter = self.build("n2")
        self.assertFalse(self.eras.is_settled(2))
        self.assertTrue(starter.apply_record(record))
        self.assertTrue(self.eras.is_settled(2))

    async def test_mark_of_the_era_before_settles_nothing(self):
        await self.run_for(self.build(), 0.0)
        starter = self.build("n2")
        self.eras.note(3)
        starter.apply_record(self.topic.records[0])
        self.assertFalse(self.eras.is_settled(3))

    async def test_refused_write_is_repeated(self):
        self.topic.refusals = 1
        await self.run_for(self.build(), 1.0)
        self.assertEqual(len(self.topic.records), 1)

    async def test_unreadable_marks_and_other_records_settle_nothing(self):
        keeper = self.build()
        for value in (None, b"", b"x", b"-1", "²".encode()):
            self.assertTrue(keeper.apply_record(KeyedRecord(1, "settled-era", value)))
        self.assertFalse(keeper.apply_record(KeyedRecord(1, "n2", b"2")))
        self.assertFalse(self.eras.is_settled(0))

    # Guards against a write by each instance of a large fleet.
    async def test_others_write_only_if_the_owners_do_not(self):
        names = [name for name in map("n{}".format, range(40)) if self.is_other(name)]
        keeper = self.build(names[0], peers=8)
        await self.run_for(keeper, 0.0)
        self.assertEqual(self.topic.records, [])
        keeper = self.build(names[0], peers=8)
        await self.run_for(keeper, LATEST_SECONDS)
        self.assertEqual(len(self.topic.records), 1)

    def is_other(self, name: str) -> bool:
        """Return whether an instance among eight others is no owner."""
        self.build(name, peers=8)
        return name not in self.directory.find_owners(0, 2)
