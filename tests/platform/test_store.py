"""Tests of the client of the platform's store against the simulated store."""

import unittest

from carobladder.exceptions import LogUnavailableError, OffsetDroppedError
from carobladder.fleet import ConditionalAppend
from carobladder.platform.store import KeyedTopic
from standins.store import StoreState
from tests.platform.fake_store import FakeStore

TOPIC = "keyed.op"


class PlatformStoreTest(unittest.IsolatedAsyncioTestCase):
    """Guard against misread responses and failures that are reported as success."""

    def setUp(self):
        self.store = FakeStore(StoreState(page_items=2))
        self.topic = KeyedTopic(self.store.client, TOPIC)

    async def test_newest_records_of_an_empty_topic(self):
        page = await self.topic.read_newest()
        self.assertEqual((page.records, page.next_offset), ((), 0))

    async def test_newest_record_of_each_key_is_read_over_several_pages(self):
        for key in ("a", "b", "c", "a"):
            self.store.state.put(TOPIC, key, key.encode() * 2)
        page = await self.topic.read_newest()
        self.assertEqual(
            [(record.key, record.value, record.offset) for record in page.records],
            [("a", b"aa", 3), ("b", b"bb", 1), ("c", b"cc", 2)],
        )
        self.assertEqual(page.next_offset, 4)

    async def test_records_include_offsets_and_deletions(self):
        self.store.state.put(TOPIC, "a", b"1")
        self.store.state.put(TOPIC, "a", None)
        page = await self.topic.read_records(0, 1.0)
        self.assertEqual([r.value for r in page.records], [b"1", None])
        self.assertEqual([r.offset for r in page.records], [0, 1])
        self.assertEqual(page.next_offset, 2)

    async def test_conditional_write_is_atomic(self):
        topic = KeyedTopic(self.store.client, "keyed.status")
        first = [("step/x", b"1"), ("rollout/x", b"2")]
        self.assertTrue(await topic.write_at(0, first))
        self.assertFalse(await topic.write_at(0, [("step/x", b"3")]))
        self.assertTrue(await topic.write_at(2, [("step/x", b"4")]))
        page = await topic.read_newest()
        self.assertEqual(
            [(record.key, record.value) for record in page.records],
            [("rollout/x", b"2"), ("step/x", b"4")],
        )

    async def test_conditional_append_tells_the_era(self):
        """An append may be accepted in a restored store whose end is the same."""
        topic = KeyedTopic(self.store.client, "keyed.duties")
        copy = self.store.state.take_copy()
        found = await topic.append_at(0, [("a", b"1")])
        self.assertEqual(found, ConditionalAppend(accepted=True, era=1))
        found = await topic.append_at(0, [("a", b"2")])
        self.assertEqual(found, ConditionalAppend(accepted=False, era=1))
        self.store.state.restore(copy)
        found = await topic.append_at(0, [("a", b"3")])
        self.assertEqual(found, ConditionalAppend(accepted=True, era=2))
        self.store.status = 503
        with self.assertRaises(LogUnavailableError):
            await topic.append_at(1, [("a", b"4")])

    async def test_write_whose_response_is_lost_may_have_taken_effect(self):
        topic = KeyedTopic(self.store.client, "keyed.status")
        self.store.lose_answers = 1
        with self.assertRaises(LogUnavailableError) as caught:
            await topic.write_at(0, [("step/x", b"1")])
        self.assertTrue(caught.exception.may_have_taken_effect)
        self.assertEqual((await topic.read_newest()).next_offset, 1)

    async def test_malformed_record_is_skipped_but_advances_the_offset(self):
        part = self.store.state._find(TOPIC, 0)
        part.records += [b"", b"\x09ab"]
        self.store.state.put(TOPIC, "a", b"1")
        page = await self.topic.read_records(0, 1.0)
        self.assertEqual([(r.key, r.offset) for r in page.records], [("a", 2)])
        self.assertEqual(page.next_offset, 3)

    async def test_wait_extends_the_timeout(self):
        await self.topic.read_records(0, 1.5)
        _, path, timeout_seconds = self.store.calls[-1]
        self.assertIn("waitMs=1500", path)
        self.assertAlmostEqual(timeout_seconds, 2.3)

    async def test_reading_dropped_records_raises_with_the_oldest_offset(self):
        self.store.state.put(TOPIC, "a", b"1")
        self.store.state.compact(TOPIC)
        with self.assertRaises(OffsetDroppedError) as caught:
            await self.topic.read_records(0, 1.0)
        self.assertEqual(caught.exception.oldest_offset, 1)
        page = await self.topic.read_newest()
        self.assertEqual([r.value for r in page.records], [b"1"])

    async def test_response_truncated_inside_a_record_is_rejected(self):
        self.store.state.put(TOPIC, "a", b"12345")
        self.store.truncate_bytes = 2
        with self.assertRaises(LogUnavailableError):
            await self.topic.read_records(0, 1.0)

    async def test_malformed_json_response_is_rejected(self):
        self.store.truncate_bytes = 3
        with self.assertRaises(LogUnavailableError):
            await self.topic.read_newest()

    async def test_refused_append_has_no_effect(self):
        for status in (429, 503):
            self.store.status = status
            with self.assertRaises(LogUnavailableError) as caught:
                await self.store.client.append("own", [b"x"])
            self.assertFalse(caught.exception.may_have_taken_effect)

    async def test_append_whose_response_is_lost_may_have_taken_effect(self):
        self.store.lose_answers = 1
        with self.assertRaises(LogUnavailableError) as caught:
            await self.store.client.append("own", [b"x"])
        self.assertTrue(caught.exception.may_have_taken_effect)
        offset = await self.store.client.append("own", [b"y"])
        self.assertEqual(offset, 1)

    async def test_append_requires_the_expected_end(self):
        self.assertEqual(
            await self.store.client.append("own", [b"x", b"y"], expected_end=0), 0
        )
        self.assertIsNone(await self.store.client.append("own", [b"z"], expected_end=0))

    async def test_append_to_a_topic_of_another_owner_is_refused(self):
        with self.assertRaises(LogUnavailableError):
            await self.store.client.append("keyed.servers", [b"x"])

    async def test_members_of_a_group_divide_the_partitions(self):
        client = self.store.client
        first = await client.join_group("g", "a", ("t",), 4.0, 0)
        self.assertEqual(len(first.parts), 12)
        second = await client.join_group("g", "b", ("t",), 4.0, 0)
        first = await client.join_group("g", "a", ("t",), 4.0, first.generation)
        self.assertEqual((len(first.parts), len(second.parts)), (6, 6))
        self.assertFalse(set(first.parts) & set(second.parts))
        await client.leave_group("g", "a")
        second = await client.join_group("g", "b", ("t",), 4.0, second.generation)
        self.assertEqual(len(second.parts), 12)
