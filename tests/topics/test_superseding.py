"""Tests of configurations that newer ones of the same range replace."""

import asyncio
import random
import unittest
from unittest import mock

from carobladder.clock import VirtualClock
from carobladder.eras import EraMonitor
from carobladder.fleet import KeyedRecord, RecordRun
from carobladder.platform.names import (
    CONFIGURATION_KEY,
    EVACUATION_KEY_PREFIX,
    OPERATOR_TOPIC,
    ROLLOUT_KEY_PREFIX,
)
from carobladder.topics import RunHistory, superseding
from tests.platform.fake_store import FakeStore
from tests.topics.configurations import (
    CONFIGURATION_SECONDS,
    LinkedStore,
    OperatorInstance,
    advance,
    build_document,
    put_configuration,
)

ROUTES = 300
# Link of 5 Mbit/s.
NARROW_BYTES_PER_SECOND = 625_000.0
MALFORMED = b'{"version": 99, "routes": [{"name": ""}]}'
ROLLOUT_KEY = f"{ROLLOUT_KEY_PREFIX}svc"


def build_versions(first: int, last: int, offset: int = 0) -> list[KeyedRecord]:
    """Return records of successive versions."""
    return [
        KeyedRecord(
            offset + version - first,
            CONFIGURATION_KEY,
            build_document(version, ROUTES, 1),
        )
        for version in range(first, last + 1)
    ]


def draw_records(generator: random.Random, first: int) -> list[KeyedRecord]:
    """Return a run of good, malformed, withdrawn and lower versions, and others."""
    records = []
    for offset in range(first, first + generator.randint(1, 9)):
        kind = generator.choice(("good", "good", "good", "bad", "none", "order"))
        key, value = CONFIGURATION_KEY, None
        if kind == "good":
            value = build_document(generator.randint(1, 12), 2, 1)
        elif kind == "bad":
            value = generator.choice((MALFORMED, b"{", b"[" * 9))
        elif kind == "order":
            key = ROLLOUT_KEY
            order = b'{"service": "svc", "target": "v%d", "durationS": 9}'
            value = generator.choice((None, order % offset))
        records.append(KeyedRecord(offset, key, value))
    return records


class SupersededRecordsTest(unittest.IsolatedAsyncioTestCase):
    """Guard against work for versions that are replaced before they are applied."""

    async def start(self, store: FakeStore | None = None, **options):
        self.clock = VirtualClock()
        self.store = store or FakeStore()
        instance = OperatorInstance(self.clock, self.store, **options)
        await instance.follower._read_snapshot()
        return instance

    # Guards against 7 ms of decoding for each version of 1,640 routes.
    async def test_one_of_twenty_versions_is_decoded_and_applied(self):
        instance = await self.start()
        decode = superseding.decode_operator_record
        run = RecordRun(0, 20, tuple(build_versions(1, 20)))
        with mock.patch.object(
            superseding, "decode_operator_record", side_effect=decode
        ) as decoding:
            instance.follower.apply_peer_run(run)
        self.assertEqual(decoding.call_count, 1)
        self.assertEqual(instance.versions, [20])
        self.assertEqual(instance.follower.next_offset, 20)

    # Guards against a malformed, withdrawn or lower version that hides a good one, and
    # against orders that are left out: the outcome is that of all records in order.
    async def test_outcome_is_that_of_all_records_in_order(self):
        generator = random.Random(5)
        for _ in range(300):
            skipping, full = await self.start(), await self.start()
            full.follower._records._selector = None
            first = 0
            for _ in range(3):
                records = draw_records(generator, first)
                end = first + len(records)
                run = RecordRun(first, end, tuple(records))
                skipping.follower.apply_peer_run(run)
                for record in records:
                    single = RecordRun(record.offset, record.offset + 1, (record,))
                    full.follower.apply_peer_run(single)
                first = end
                tables = [i.control_state.table for i in (skipping, full)]
                routes = [table and table.configuration for table in tables]
                self.assertEqual(routes[0], routes[1], records)
                self.assertEqual(skipping.orders, full.orders)

    async def test_malformed_version_does_not_replace_a_good_one(self):
        instance = await self.start()
        good = build_versions(1, 3)
        bad = KeyedRecord(3, CONFIGURATION_KEY, MALFORMED)
        instance.follower.apply_peer_run(RecordRun(0, 4, (*good, bad)))
        self.assertEqual(instance.control_state.version, 3)
        answer = instance.follower.collect_run(0)
        self.assertEqual(answer.records, (good[-1], bad))

    # Guards against an answer with every version since, and against 64 whole versions
    # in the memory of each instance.
    async def test_answer_carries_the_newest_version_and_all_other_keys(self):
        instance = await self.start()
        order = KeyedRecord(20, ROLLOUT_KEY, b"{}")
        removal = KeyedRecord(21, ROLLOUT_KEY, None)
        newer = build_versions(21, 22, offset=22)
        records = (*build_versions(1, 20), order, removal, *newer)
        for record in records:
            run = RecordRun(record.offset, record.offset + 1, (record,))
            instance.follower.apply_peer_run(run)
        answer = instance.follower.collect_run(5)
        self.assertEqual((answer.first, answer.next_offset), (5, 24))
        self.assertEqual(answer.records, (order, removal, newer[-1]))
        kept = instance.follower._records._history._list_records()
        self.assertEqual(sum(r.key == CONFIGURATION_KEY for r in kept), 1)

    # Guards against offsets that count as known although what replaces them is missing:
    # an equal offset of another instance would then prove a revoked key to be valid.
    async def test_answer_without_the_newest_version_ends_before_what_it_replaces(self):
        instance = await self.start()
        closing = KeyedRecord(0, EVACUATION_KEY_PREFIX + "dc", b"{}")
        opening = KeyedRecord(21, EVACUATION_KEY_PREFIX + "dc", None)
        versions = build_versions(1, 20, offset=1)
        large = KeyedRecord(22, CONFIGURATION_KEY, build_document(21, 2000))
        records = (closing, *versions, opening, large)
        instance.follower.apply_peer_run(RecordRun(0, 23, records))
        history = instance.follower._records._history
        answer = history.collect(0, 23, 131_072)
        self.assertEqual(answer, RecordRun(0, 1, (closing,)))
        self.assertIsNone(history.collect(1, 23, 131_072))

    # Guards against a copy of the store whose outdated values are taken for news.
    async def test_nothing_is_left_out_while_a_restored_store_is_settled(self):
        instance = await self.start()
        instance.follower._records.applier.restore([])
        versions = tuple(build_versions(1, 3))
        instance.follower.apply_peer_run(RecordRun(0, 3, versions))
        self.assertEqual(instance.versions, [1, 2, 3])
        history = instance.follower._records._history
        self.assertEqual(history.collect(0, 3, 1 << 20).records, versions)

    async def test_left_out_version_is_known_as_outdated_after_a_restoration(self):
        eras = EraMonitor()
        instance = await self.start(eras=eras)
        versions = build_versions(1, 5)
        instance.follower.apply_peer_run(RecordRun(0, 5, tuple(versions)))
        applier = instance.follower._records.applier
        applier.restore([versions[2]])
        self.assertEqual(instance.control_state.version, 5)
        self.assertEqual(instance.versions, [5])

    def test_history_without_a_selector_keeps_all_records(self):
        history = RunHistory()
        records = tuple(build_versions(1, 3))
        history.append(RecordRun(0, 3, records))
        self.assertEqual(history.collect(0, 3, 1 << 20).records, records)


class NewestReadTest(unittest.IsolatedAsyncioTestCase):
    """Guard against reads of every version since, on a link that requests need too."""

    async def start(self, *, is_reader: bool = False) -> OperatorInstance:
        self.clock = VirtualClock()
        self.store = LinkedStore(self.clock, NARROW_BYTES_PER_SECOND)
        put_configuration(self.store, build_document(1, ROUTES, 1))
        instance = OperatorInstance(self.clock, self.store, is_reader=is_reader)
        task = asyncio.create_task(instance.follower.run())
        self.addCleanup(task.cancel)
        await advance(self.clock, 0.5)
        self.assertEqual(instance.versions, [1])
        return instance

    def put_versions(self, first: int, last: int, routes: int = 1000) -> int:
        """Write versions of about 240 KB; return the size of one."""
        for version in range(first, last + 1):
            put_configuration(self.store, build_document(version, routes, 1))
        return len(build_document(last, routes, 1))

    # Guards against 20 versions on a narrow link, which take 8 s.
    async def test_instance_twenty_versions_behind_reads_few_versions(self):
        instance = await self.start()
        size = self.put_versions(2, 21)
        before = self.store.received_bytes
        await advance(self.clock, 6.0)
        self.assertEqual(instance.control_state.version, 21)
        # The first page, which is read twice as its size is not known, and the newest.
        self.assertLess(self.store.received_bytes - before, 10 * size)

    async def test_two_missing_versions_are_read_as_the_newest(self):
        instance = await self.start()
        self.put_versions(2, 2)
        instance.follower.handle_peer_end(2)
        await advance(self.clock, 1.5)
        self.assertEqual(instance.control_state.version, 2)
        size = self.put_versions(3, 7)
        before = self.store.received_bytes
        instance.follower.handle_peer_end(7)
        for _ in range(100):
            await advance(self.clock, CONFIGURATION_SECONDS / 100)
            if instance.control_state.version == 7:
                break
        self.assertEqual(instance.versions, [1, 2, 7])
        self.assertLess(self.store.received_bytes - before, 1.5 * size)
        self.assertEqual(instance.follower.next_offset, 7)
        answer = instance.follower._records._history.collect(4, 7, 1 << 20)
        self.assertEqual([record.offset for record in answer.records], [6])

    # Guards against a revoked key that stays in use since a later version is malformed.
    async def test_malformed_newest_version_is_not_skipped_to(self):
        instance = await self.start()
        self.put_versions(2, 2)
        instance.follower.handle_peer_end(2)
        await advance(self.clock, 1.5)
        version = 2
        for newest in (MALFORMED, None, build_document(3, 2)):
            with self.subTest(newest=newest and newest[:20]):
                version += 2
                self.put_versions(version - 1, version, ROUTES)
                end = put_configuration(self.store, newest) + 1
                instance.follower.handle_peer_end(end)
                await advance(self.clock, CONFIGURATION_SECONDS)
                self.assertEqual(instance.control_state.version, version)
                self.assertEqual(instance.follower.next_offset, end)

    async def test_removed_key_in_the_skipped_range_is_removed(self):
        instance = await self.start()
        key = EVACUATION_KEY_PREFIX + "dc"
        self.store.state.put(OPERATOR_TOPIC, key, b"{}")
        self.put_versions(2, 2)
        instance.follower.handle_peer_end(3)
        await advance(self.clock, 1.5)
        self.store.state.put(OPERATOR_TOPIC, key, None)
        self.put_versions(3, 5)
        instance.follower.handle_peer_end(7)
        await advance(self.clock, CONFIGURATION_SECONDS)
        self.assertEqual(instance.control_state.version, 5)
        self.assertIn((key, None), [(r.key, r.value) for r in instance.applied])
        # The place of the removal is not known, so others are not answered from here.
        self.assertIsNone(instance.follower.collect_run(4))

    # Guards against newest records that were read before those another instance sent.
    async def test_newest_records_do_not_undo_newer_ones(self):
        instance = await self.start()
        self.put_versions(2, 4)
        reading = asyncio.create_task(instance.follower._reader.read_newest())
        await advance(self.clock, 3.0)
        page = reading.result()
        newer = KeyedRecord(4, EVACUATION_KEY_PREFIX + "dc", b"{}")
        version = KeyedRecord(3, CONFIGURATION_KEY, build_document(4, 2))
        instance.follower.apply_peer_run(RecordRun(1, 5, (version, newer)))
        self.assertFalse(instance.follower._records.apply_newest(page, "store", 0.0))
        self.assertEqual(instance.applied[-1], newer)


class LargeReadPauseTest(unittest.IsolatedAsyncioTestCase):
    """Guard against reads that fill a narrow link, and against a pause that is long."""

    async def run_storm(self, bytes_per_second: float) -> OperatorInstance:
        """Run a reader while 20 versions of 550 KB come within 7 s."""
        self.clock = VirtualClock()
        self.store = LinkedStore(self.clock, bytes_per_second)
        put_configuration(self.store, build_document(1, ROUTES))
        instance = OperatorInstance(self.clock, self.store)
        task = asyncio.create_task(instance.follower.run())
        self.addCleanup(task.cancel)
        await advance(self.clock, 1.0)
        self.store.received_bytes = 0
        for version in range(2, 22):
            put_configuration(self.store, build_document(version, 2300, 1))
            await advance(self.clock, 0.34)
        return instance

    async def test_reader_on_a_narrow_link_leaves_part_of_it_to_requests(self):
        instance = await self.run_storm(NARROW_BYTES_PER_SECOND)
        fraction = self.store.received_bytes / (6.8 * NARROW_BYTES_PER_SECOND)
        self.assertLess(fraction, 0.75)
        await advance(self.clock, CONFIGURATION_SECONDS)
        self.assertEqual(instance.control_state.version, 21)

    async def test_reader_on_a_wide_link_reads_most_versions(self):
        instance = await self.run_storm(20 * NARROW_BYTES_PER_SECOND)
        self.assertGreater(len(instance.versions), 14)

    # Guards against a second download beside the first, which delays both.
    async def test_large_answer_in_transit_is_not_read_twice(self):
        self.clock = VirtualClock()
        self.store = LinkedStore(self.clock, NARROW_BYTES_PER_SECOND)
        put_configuration(self.store, build_document(1, 2300))
        instance = OperatorInstance(self.clock, self.store, is_reader=False)
        task = asyncio.create_task(instance.follower.run())
        self.addCleanup(task.cancel)
        await advance(self.clock, 4.0)
        calls = len(self.store.calls)
        put_configuration(self.store, build_document(2, 2300))
        instance.follower.handle_peer_end(2)
        await advance(self.clock, 1.6)
        self.assertEqual(instance.control_state.version, 2)
        self.assertEqual(len(self.store.calls), calls + 1)
