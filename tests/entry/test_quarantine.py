"""Tests of the records of the quarantine in the store."""

import asyncio
import random
import unittest

from carobladder.clock import VirtualClock
from carobladder.entry.quarantine import QuarantineKeeper, QuarantineSharing
from carobladder.eras import EraMonitor
from carobladder.exceptions import LogUnavailableError
from carobladder.fleet import KeyedRecord, PeerDirectory
from carobladder.platform.store import KeyedTopic
from carobladder.quarantine import PartQuarantine, QuarantineNews
from carobladder.topics import ReadPolicy, TopicFollower
from standins.store import StoreState
from tests.platform.fake_store import FakeStore
from tests.support.virtual import settle

PART = 0xAB
KEY = "quarantine/000000ab"
TOPIC = "keyed.instances"
# Time in which an instance reads a restored store, settles its keys and writes.
RESTORED_SECONDS = 5.0


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


class StoredQuarantine:
    """Quarantine of one instance that follows its records in a store."""

    def __init__(
        self, state: StoreState, clock: VirtualClock, name: str, names: tuple[str, ...]
    ) -> None:
        topic = KeyedTopic(FakeStore(state).client, TOPIC)
        eras = EraMonitor()
        peers = PeerDirectory(name, "127.0.0.1:1", clock)
        for other in names:
            value = f"127.0.0.1:2 {'ab' * 32}".encode()
            peers.apply_record(KeyedRecord(0, other, value))
        self.quarantine = PartQuarantine(lambda key: True)
        self.keeper = QuarantineKeeper(self.quarantine, topic, peers, clock, eras)
        self.follower = TopicFollower(
            "instances",
            topic,
            clock,
            ReadPolicy(0.0, 0.2, keeps_lost_keys=True),
            self._apply_record,
            lambda outage_seconds: None,
            random.Random(1),
            eras=eras,
        )
        self._clock = clock
        works = (self.follower.run(), self.keeper.run(), self._pace())
        self.tasks = [asyncio.create_task(work) for work in works]

    def _apply_record(self, record: KeyedRecord) -> None:
        self.keeper.apply_record(record)

    async def _pace(self) -> None:
        """Keep the clock in use, as reads of the simulated store do not wait."""
        while True:
            await self._clock.sleep(0.05)


class RestoredQuarantineTest(unittest.IsolatedAsyncioTestCase):
    """Guard against quarantines that a copy of the store ends or shortens."""

    async def asyncSetUp(self):
        # Debug mode would take most of a test's time.
        asyncio.get_running_loop().set_debug(False)
        self.clock = VirtualClock()
        self.state = StoreState()
        self.instances: list[StoredQuarantine] = []

    async def asyncTearDown(self):
        tasks = [task for instance in self.instances for task in instance.tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def start(self, *names: str) -> list[StoredQuarantine]:
        started = [StoredQuarantine(self.state, self.clock, n, names) for n in names]
        self.instances += started
        await self.run_for(1.0)
        return started

    async def run_for(self, seconds: float) -> None:
        """Let the instances work for this long."""
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)
            for _ in range(12):
                await asyncio.sleep(0)

    def crash(self, *instances: StoredQuarantine) -> None:
        """Let three targets end with the part, each some time after the other."""
        now = self.clock.boottime()
        for instance in instances:
            for number in range(3):
                at = now - 1.5 + 0.5 * number
                instance.quarantine.note_crash(number, [PART], (), at, now)

    async def read_levels(self) -> dict[str, bytes | None]:
        """Return the records of the quarantine in the store."""
        topic = KeyedTopic(FakeStore(self.state).client, TOPIC)
        return {r.key: r.value for r in (await topic.read_newest()).records}

    # Guards against a part that is in quarantine on running instances only, so that it
    # crashes targets again once they have ended.
    async def test_record_that_the_copy_lacks_is_written_again(self):
        first, second, third = await self.start("front-1", "front-2", "front-3")
        copy = self.state.take_copy()
        self.crash(first, second, third)
        await self.run_for(1.0)
        self.assertEqual(await self.read_levels(), {KEY: b"1"})
        self.state.restore(copy)
        await self.run_for(RESTORED_SECONDS)
        self.assertEqual(await self.read_levels(), {KEY: b"1"})
        levels = {i.quarantine.find_level(PART) for i in self.instances}
        self.assertEqual(levels, {1})
        (late,) = await self.start("front-9")
        self.assertEqual(late.quarantine.find_level(PART), 1)

    # Guards against the same, where the instances know the part from its record only.
    async def test_record_known_from_the_store_only_is_written_again(self):
        copy = self.state.take_copy()
        self.state.put(TOPIC, KEY, b"3")
        await self.start("front-1", "front-2")
        self.state.restore(copy)
        await self.run_for(RESTORED_SECONDS)
        self.assertEqual(await self.read_levels(), {KEY: b"3"})
        levels = {i.quarantine.find_level(PART) for i in self.instances}
        self.assertEqual(levels, {3})

    # Guards against trials that come earlier, as the copy has a lower level.
    async def test_lower_level_in_the_copy_does_not_lower_it(self):
        first, second = await self.start("front-1", "front-2")
        self.crash(first, second)
        await self.run_for(4.0)
        copy = self.state.take_copy()
        now = self.clock.boottime()
        for instance in (first, second):
            instance.quarantine.note_failed_trial([PART], now)
        await self.run_for(1.0)
        self.assertEqual(await self.read_levels(), {KEY: b"2"})
        until = first.quarantine._holds.find(PART).until
        self.state.restore(copy)
        self.assertEqual(await self.read_levels(), {KEY: b"1"})
        for _ in range(50):
            await self.run_for(RESTORED_SECONDS / 50)
            levels = {i.quarantine.find_level(PART) for i in self.instances}
            self.assertEqual(levels, {2})
        self.assertEqual(await self.read_levels(), {KEY: b"2"})
        self.assertEqual(first.quarantine._holds.find(PART).until, until)

    # Guards against a part that stays in quarantine for instances that start later,
    # although a whole answer has ended it before the store went back.
    async def test_ended_quarantine_that_the_copy_has_is_ended_again(self):
        first, second = await self.start("front-1", "front-2")
        self.crash(first, second)
        await self.run_for(1.0)
        self.assertEqual(await self.read_levels(), {KEY: b"1"})
        copy = self.state.take_copy()
        for instance in (first, second):
            instance.quarantine.note_sound([PART], self.clock.boottime())
        await self.run_for(1.0)
        self.assertEqual(await self.read_levels(), {})
        self.state.restore(copy)
        await self.run_for(RESTORED_SECONDS)
        self.assertEqual(await self.read_levels(), {})
        levels = {i.quarantine.find_level(PART) for i in self.instances}
        self.assertEqual(levels, {None})

    # Guards against a second copy that the writers take for the first one.
    async def test_record_is_written_again_after_a_second_restore(self):
        (first,) = await self.start("front-1")
        copy = self.state.take_copy()
        self.crash(first)
        await self.run_for(1.0)
        for _ in range(2):
            self.state.restore(copy)
            await self.run_for(RESTORED_SECONDS)
            self.assertEqual(await self.read_levels(), {KEY: b"1"})


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
