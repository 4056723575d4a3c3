"""Tests of the records of the quarantine in the store."""

import asyncio
import unittest

from carobladder.clock import VirtualClock
from carobladder.entry.peers import PeerDirectory
from carobladder.entry.quarantine import QuarantineKeeper, QuarantineSharing
from carobladder.exceptions import LogUnavailableError
from carobladder.fleet import KeyedRecord
from carobladder.quarantine import PartQuarantine, QuarantineNews
from tests.support.virtual import settle

PART = 0xAB
KEY = "quarantine/000000ab"


class FakeTopic:
    """Topic that keeps what is written, or fails."""

    def __init__(self) -> None:
        self.records: list[tuple[str, bytes]] = []
        self.failures = 0

    async def write(self, key: str, value: bytes) -> None:
        """Keep a record; raises LogUnavailableError a few times."""
        if self.failures:
            self.failures -= 1
            raise LogUnavailableError("down")
        self.records.append((key, value))


class QuarantineKeeperTest(unittest.IsolatedAsyncioTestCase):
    """Guard against quarantines that are lost with the processes, or last for good."""

    async def asyncSetUp(self):
        self.clock = VirtualClock()
        self.topic = FakeTopic()
        self.quarantine = PartQuarantine(lambda key: True)
        self.peers = PeerDirectory("front-1", "127.0.0.1:1", self.clock)
        self.keeper = QuarantineKeeper(
            self.quarantine, self.topic, self.peers, self.clock
        )
        task = asyncio.create_task(self.keeper.run())
        self.addCleanup(task.cancel)

    def crash(self, start: float = 0.0) -> None:
        """Let three targets end with the part."""
        for number in range(3):
            at = start + number
            self.quarantine.note_crash(int(at), [PART], (), at, at)

    async def test_quarantine_and_its_end_are_written(self):
        self.crash()
        await settle()
        self.quarantine.note_sound([PART], 10.0)
        await settle()
        self.assertEqual(self.topic.records, [(KEY, b"1"), (KEY, b"")])

    async def test_write_is_tried_again_until_the_store_is_back(self):
        self.topic.failures = 2
        self.crash()
        for _ in range(3):
            await settle()
            self.clock.advance(1.0)
        await settle()
        self.assertEqual(self.topic.records, [(KEY, b"1")])

    async def test_two_of_many_instances_write(self):
        """As many writes as instances would use up the rate of the store."""
        writers = 0
        for number in range(20):
            peers = PeerDirectory(f"front-{number}", "127.0.0.1:1", self.clock)
            for other in range(20):
                value = f"127.0.0.1:{other + 1} {'ab' * 32}".encode()
                peers.apply_record(KeyedRecord(0, f"front-{other}", value))
            topic = FakeTopic()
            quarantine = PartQuarantine(lambda key: True)
            keeper = QuarantineKeeper(quarantine, topic, peers, self.clock)
            task = asyncio.create_task(keeper.run())
            for at in range(3):
                quarantine.note_crash(at, [PART], (), float(at), float(at))
            await settle()
            writers += len(topic.records)
            task.cancel()
        self.assertEqual(writers, 2)

    async def test_record_is_applied_and_not_written_again(self):
        self.assertTrue(self.keeper.apply_record(KeyedRecord(0, KEY, b"2")))
        self.assertEqual(self.quarantine.find_level(PART), 2)
        await settle()
        self.assertEqual(self.topic.records, [])
        self.keeper.apply_record(KeyedRecord(1, KEY, None))
        self.assertIsNone(self.quarantine.find_level(PART))

    async def test_other_and_unreadable_records_are_left_alone(self):
        self.assertFalse(self.keeper.apply_record(KeyedRecord(0, "front-1", b"x")))
        for key, value in (("quarantine/xyz", b"1"), (KEY, b"\xff"), (KEY, b"-3")):
            self.assertTrue(self.keeper.apply_record(KeyedRecord(0, key, value)))
        self.assertEqual(self.quarantine.count_held(), 0)


class QuarantineSharingTest(unittest.IsolatedAsyncioTestCase):
    """Guard against news that stay here, and against a message for each of them."""

    async def test_news_that_come_together_are_one_message(self):
        sent: list[QuarantineNews] = []
        quarantine = PartQuarantine(lambda key: True)
        sharing = QuarantineSharing(quarantine, VirtualClock())
        sharing.set_sender(sent.append)
        for crash_id in range(3):
            quarantine.note_crash(crash_id, [PART], (), 0.0, 0.0)
        await asyncio.sleep(0.1)
        self.assertEqual([len(news.crashes) for news in sent], [3])
        sharing.stop()
        quarantine.note_crash(9, [PART], (), 0.0, 0.0)
        await asyncio.sleep(0.05)
        self.assertEqual(len(sent), 1)
