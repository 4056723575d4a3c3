"""Tests of when a waiting read is taken to have missed a record."""

import asyncio
import random
import unittest

from carobladder.clock import VirtualClock
from carobladder.entry.followers import TopicFollower
from carobladder.entry.progress import PeerProgress
from carobladder.platform.store import KeyedTopic
from tests.platform.fake_store import FakeStore

TOPIC = "keyed.op"
WAIT_SECONDS = 8.0
CONFIRM_SECONDS = 1.0


async def settle() -> None:
    """Let the tasks come to rest."""
    for _ in range(20):
        await asyncio.sleep(0)


class Reader:
    """Follow a topic whose waiting reads miss every record."""

    def __init__(self, clock: VirtualClock, store: FakeStore, peers: int, seed: int):
        self.seen: dict[str, bytes | None] = {}
        self.reads = 0
        self._clock = clock
        self._store = store
        progress = PeerProgress(
            clock, random.Random(seed), CONFIRM_SECONDS, lambda: peers
        )
        self.follower = TopicFollower(
            "operator",
            KeyedTopic(self, TOPIC),
            clock,
            WAIT_SECONDS,
            0.2,
            progress,
            lambda record: self.seen.update({record.key: record.value}),
            lambda age: None,
        )

    async def read_newest(self, topic: str, after: str = ""):
        return await self._store.client.read_newest(topic, after)

    async def read_page(self, topic: str, part: int, first: int, wait_seconds: float):
        self.reads += 1
        if wait_seconds:
            await self._clock.sleep(wait_seconds)
        return await self._store.client.read_page(topic, part, first, 0.0)


class PeerProgressTest(unittest.IsolatedAsyncioTestCase):
    """Guard against missed records and against reads that nobody needs."""

    def start(self, count: int, *, peers: int | None = None) -> list[Reader]:
        self.clock = VirtualClock()
        self.generator = random.Random(3)
        self.store = FakeStore()
        peers = count - 1 if peers is None else peers
        readers = [Reader(self.clock, self.store, peers, n) for n in range(count)]
        for reader in readers:
            task = asyncio.create_task(reader.follower.run())
            self.addCleanup(task.cancel)
        return readers

    async def advance(self, seconds: float, readers=(), *, tell: bool = True) -> None:
        """Let time pass; each instance tells two others its end in 0.3 s."""
        for step in range(round(seconds * 10)):
            await settle()
            self.clock.advance(0.1)
            for index, reader in enumerate(readers):
                if tell and (step + index) % 3 == 0:
                    end = reader.follower.next_offset or 0
                    for peer in self.generator.sample(readers, 2):
                        peer.follower.note_peer_end(end)
        await settle()

    async def test_instance_alone_reads_again(self):
        (reader,) = self.start(1)
        await self.advance(0.5)
        self.store.state.put(TOPIC, "a", b"1")
        await self.advance(0.7)
        self.assertEqual(reader.seen, {"a": b"1"})

    async def test_instance_that_hears_nobody_reads_again(self):
        readers = self.start(40)
        await self.advance(0.5, readers, tell=False)
        self.store.state.put(TOPIC, "a", b"1")
        await self.advance(0.7, readers, tell=False)
        self.assertEqual([r.seen for r in readers], [{"a": b"1"}] * 40)

    async def test_record_that_all_missed_reaches_all_by_the_few_that_read_again(self):
        readers = self.start(40)
        await self.advance(0.5, readers)
        self.store.state.put(TOPIC, "a", b"1")
        await self.advance(0.7, readers)
        found = sum("a" in reader.seen for reader in readers)
        self.assertGreater(found, 0)
        self.assertLess(found, 30)
        await self.advance(2.0, readers)
        self.assertEqual([r.seen for r in readers], [{"a": b"1"}] * 40)

    async def test_record_that_others_know_is_read_at_once(self):
        (reader,) = self.start(1, peers=1000)
        await self.advance(0.3)
        self.store.state.put(TOPIC, "a", b"1")
        reader.follower.note_peer_end(1)
        await self.advance(0.4)
        self.assertEqual(reader.seen, {"a": b"1"})

    async def test_large_fleet_without_changes_reads_little(self):
        readers = self.start(40)
        await self.advance(WAIT_SECONDS * 3, readers)
        reads = sum(reader.reads for reader in readers)
        self.assertLess(reads, 40 * 3 * 1.4)

    async def test_end_of_another_history_costs_one_read_for_each_wait(self):
        (reader,) = self.start(1, peers=1000)
        for _ in range(160):
            reader.follower.note_peer_end(77)
            await self.advance(0.1)
        self.assertLessEqual(reader.reads, 5)
