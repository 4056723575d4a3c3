"""Tests of the reader's task: readiness, snapshots and outages."""

import asyncio
import json
import unittest

from carobladder.clock import VirtualClock
from carobladder.exceptions import SnapshotError
from carobladder.resources import (
    Catalog,
    Change,
    ConfigReader,
    ReaderOptions,
    WatchHistory,
    encode_record,
)
from tests.resources.fake_log import FakeLog, drive

OPTIONS = ReaderOptions(poll_seconds=0, snapshot_seconds=900, snapshot_hold_seconds=10)


class ReaderTest(unittest.TestCase):
    """Guard against a wrong configuration taken as the right one."""

    def setUp(self):
        self.log = FakeLog()
        self.clock = VirtualClock()

    def make_reader(self, seed=0, peer=None):
        return ConfigReader(
            self.log.client,
            Catalog(),
            WatchHistory(),
            self.clock,
            peer_snapshot=peer,
            options=OPTIONS,
            seed=seed,
        )

    def append(self, count):
        for number in range(count):
            at = self.clock.now().timestamp()
            spec = {"weight": number + 1}
            change = Change(f"id-{number}", "x", at, "put", "team", "a", spec)
            self.log.history.append(encode_record(change).decode())

    def count_snapshots(self):
        kinds = [json.loads(text)["type"] for text in self.log.history]
        return kinds.count("snapshot")

    def test_empty_log_is_a_configuration_only_if_nothing_was_dropped(self):
        reader = self.make_reader()
        drive(reader.step())
        self.assertTrue(reader.catalog.loaded)
        self.append(2)
        self.log.oldest = 2
        late = self.make_reader()
        with self.assertRaises(SnapshotError):
            drive(late.step())
        self.assertFalse(late.catalog.loaded)

    def test_usually_one_of_several_instances_appends_a_due_snapshot(self):
        readers = [self.make_reader(seed) for seed in range(5)]
        self.append(1)
        for _ in range(3):
            for reader in readers:
                drive(reader.step())
        self.assertEqual(self.count_snapshots(), 0)
        self.clock.advance(1200)
        for _ in range(40):
            for reader in readers:
                drive(reader.step())
            self.clock.advance(1)
        self.assertEqual(self.count_snapshots(), 1)
        fresh = self.make_reader()
        for _ in range(20):
            drive(fresh.step())
            self.clock.advance(1)
        self.assertEqual(self.count_snapshots(), 1)

    def test_snapshot_is_repeated_although_nothing_changes(self):
        """Retention also drops the snapshot of a configuration that rests."""
        reader = self.make_reader()
        self.append(1)
        for _ in range(4):
            drive(reader.step())
            drive(reader.step())
            self.clock.advance(1200)
            drive(reader.step())
            self.clock.advance(10)
        self.assertGreaterEqual(self.count_snapshots(), 3)

    def test_instance_that_starts_in_an_outage_loads_from_a_peer(self):
        self.append(3)
        old = self.make_reader()
        drive(old.step())
        self.log.outage = True

        async def ask():
            return old.encode_snapshot()

        new = self.make_reader(peer=ask)

        async def run():
            task = asyncio.ensure_future(new.run())
            for _ in range(5):
                await asyncio.sleep(0)
            task.cancel()

        asyncio.run(run())
        self.assertEqual(new.catalog.state, old.catalog.state)
        self.assertTrue(new.catalog.loaded)
