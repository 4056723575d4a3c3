"""Tests of a store that is restored, and of a stop, in a storm of configurations."""

import asyncio
import unittest

from carobladder.clock import VirtualClock
from carobladder.eras import EraMonitor
from carobladder.fleet import RecordRun
from carobladder.platform.names import EVACUATION_KEY_PREFIX, OPERATOR_TOPIC
from tests.topics.configurations import (
    CONFIGURATION_SECONDS,
    REVOCATION_SECONDS,
    LinkedStore,
    OperatorInstance,
    advance,
    build_document,
    put_configuration,
)

ROUTES = 1000
# Link of 25 Mbit/s. All records that a restored store retains are read.
BYTES_PER_SECOND = 3_125_000.0


class StormRestorationTest(unittest.IsolatedAsyncioTestCase):
    """Guard against a step back, and against offsets of another era."""

    async def start(self) -> OperatorInstance:
        self.clock = VirtualClock()
        self.store = LinkedStore(self.clock, BYTES_PER_SECOND)
        put_configuration(self.store, build_document(1, ROUTES))
        instance = OperatorInstance(self.clock, self.store, eras=EraMonitor())
        self.task = asyncio.create_task(instance.follower.run())
        self.addCleanup(self.task.cancel)
        await advance(self.clock, 1.0)
        return instance

    async def put_versions(
        self, instance: OperatorInstance, first: int, last: int
    ) -> None:
        """Write versions, one every 0.3 s; check that none in force is lower."""
        for version in range(first, last + 1):
            put_configuration(self.store, build_document(version, ROUTES, 1))
            await self.wait(instance, 0.3)

    async def wait(self, instance: OperatorInstance, seconds: float) -> None:
        """Advance the clock; check that the version in force does not go back."""
        for _ in range(round(seconds / 0.1)):
            before = instance.control_state.version
            await advance(self.clock, 0.1)
            self.assertGreaterEqual(instance.control_state.version, before)

    async def test_store_restored_in_the_storm(self):
        instance = await self.start()
        await self.put_versions(instance, 2, 6)
        copy = self.store.state.take_copy()
        await self.put_versions(instance, 7, 12)
        in_force = instance.control_state.version
        self.assertGreater(in_force, 6)
        self.store.state.restore(copy)
        await self.wait(instance, 1.0)
        self.assertGreaterEqual(instance.control_state.version, in_force)
        self.store.state.write_lost_again()
        await self.put_versions(instance, 13, 16)
        await self.wait(instance, REVOCATION_SECONDS)
        self.assertEqual(instance.control_state.version, 16)
        end = self.store.state.find_end(OPERATOR_TOPIC, 0)
        self.assertEqual(instance.follower.next_offset, end)

    # Guards against answers whose records are at the offsets of an earlier era.
    async def test_history_of_the_era_before_is_dropped(self):
        instance = await self.start()
        copy = self.store.state.take_copy()
        await self.put_versions(instance, 2, 6)
        await self.wait(instance, CONFIGURATION_SECONDS)
        self.assertIsNotNone(instance.follower.collect_run(1))
        self.store.state.restore(copy)
        await self.wait(instance, REVOCATION_SECONDS)
        self.assertEqual(instance.control_state.version, 6)
        answer = instance.follower.collect_run(1)
        self.assertTrue(answer is None or not answer.records)

    # Guards against a key that the newest records lack in a restored store, and that is
    # dropped before its writer can write it again.
    async def test_lost_key_stays_known_until_settled(self):
        instance = await self.start()
        copy = self.store.state.take_copy()
        key = EVACUATION_KEY_PREFIX + "dc"
        self.store.state.put(OPERATOR_TOPIC, key, b"{}")
        await self.put_versions(instance, 2, 5)
        await self.wait(instance, CONFIGURATION_SECONDS)
        self.store.state.restore(copy)
        await self.wait(instance, 1.0)
        records = instance.follower._records
        self.assertTrue(records.applier.is_restoring)
        self.assertFalse(records.prefers_newest(is_reader=True, is_overdue=True))
        removals = [r for r in instance.applied if r.key == key and r.value is None]
        self.assertEqual(removals, [])

    async def test_stop_during_the_pause_after_a_large_read(self):
        instance = await self.start()
        await self.put_versions(instance, 2, 5)
        self.task.cancel()
        result = await asyncio.gather(self.task, return_exceptions=True)
        self.assertIsInstance(result[0], asyncio.CancelledError)
        calls = len(self.store.calls)
        await advance(self.clock, CONFIGURATION_SECONDS)
        self.assertEqual(len(self.store.calls), calls)

    # Guards against a run of another instance that is applied beside an own read.
    async def test_run_during_an_own_read_is_applied_once(self):
        instance = await self.start()
        put_configuration(self.store, build_document(2, ROUTES, 1))
        await advance(self.clock, 0.1)
        page = self.store.state
        self.assertEqual(page.find_end(OPERATOR_TOPIC, 0), 2)
        reading = asyncio.create_task(instance.follower._reader.read_records(1, 0.0))
        await advance(self.clock, 1.5)
        run = RecordRun(1, 2, reading.result().records)
        instance.follower.apply_peer_run(run)
        instance.follower.apply_peer_run(run)
        self.assertEqual(instance.versions, [1, 2])
