"""Tests of the client of the platform's store against the stand-in."""

import unittest

from carobladder.exceptions import LogUnavailableError, OffsetDroppedError
from carobladder.platform.store import KeyedTopic
from standins.store import StoreState
from tests.platform.fake_store import FakeStore

TOPIC = "keyed.op"


class PlatformStoreTest(unittest.IsolatedAsyncioTestCase):
    """Guard against answers that are misread and failures that look like success."""

    def setUp(self):
        self.store = FakeStore(StoreState(page_items=2))
        self.topic = KeyedTopic(self.store.client, TOPIC)

    async def test_empty_topic(self):
        page = await self.topic.read_newest()
        self.assertEqual((page.records, page.next_offset), ((), 0))

    async def test_newest_record_of_each_key_over_several_pages(self):
        for key in ("a", "b", "c", "a"):
            self.store.state.put(TOPIC, key, key.encode() * 2)
        page = await self.topic.read_newest()
        self.assertEqual(
            [(record.key, record.value, record.offset) for record in page.records],
            [("a", b"aa", 3), ("b", b"bb", 1), ("c", b"cc", 2)],
        )
        self.assertEqual(page.next_offset, 4)

    async def test_records_carry_offsets_and_drops(self):
        self.store.state.put(TOPIC, "a", b"1")
        self.store.state.put(TOPIC, "a", None)
        page = await self.topic.read_records(0, 1.0)
        self.assertEqual([r.value for r in page.records], [b"1", None])
        self.assertEqual([r.offset for r in page.records], [0, 1])
        self.assertEqual(page.next_offset, 2)

    async def test_write_under_a_condition_is_done_whole_or_not_at_all(self):
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

    async def test_write_whose_answer_was_lost_may_have_been_done(self):
        topic = KeyedTopic(self.store.client, "keyed.status")
        self.store.lose_answers = 1
        with self.assertRaises(LogUnavailableError) as caught:
            await topic.write_at(0, [("step/x", b"1")])
        self.assertTrue(caught.exception.may_have_taken_effect)
        self.assertEqual((await topic.read_newest()).next_offset, 1)

    async def test_malformed_record_is_passed_over_but_counted(self):
        part = self.store.state._find(TOPIC, 0)
        part.records += [b"", b"\x09ab"]
        self.store.state.put(TOPIC, "a", b"1")
        page = await self.topic.read_records(0, 1.0)
        self.assertEqual([(r.key, r.offset) for r in page.records], [("a", 2)])
        self.assertEqual(page.next_offset, 3)

    async def test_wait_extends_the_time_limit(self):
        await self.topic.read_records(0, 1.5)
        _, path, timeout_seconds = self.store.calls[-1]
        self.assertIn("waitMs=1500", path)
        self.assertAlmostEqual(timeout_seconds, 2.3)

    async def test_dropped_history(self):
        self.store.state.put(TOPIC, "a", b"1")
        self.store.state.compact(TOPIC)
        with self.assertRaises(OffsetDroppedError) as caught:
            await self.topic.read_records(0, 1.0)
        self.assertEqual(caught.exception.oldest_offset, 1)
        page = await self.topic.read_newest()
        self.assertEqual([r.value for r in page.records], [b"1"])

    async def test_answer_cut_inside_a_record_is_no_answer(self):
        self.store.state.put(TOPIC, "a", b"12345")
        self.store.cut_bytes = 2
        with self.assertRaises(LogUnavailableError):
            await self.topic.read_records(0, 1.0)

    async def test_unreadable_document_is_no_answer(self):
        self.store.cut_bytes = 3
        with self.assertRaises(LogUnavailableError):
            await self.topic.read_newest()

    async def test_refusal_had_no_effect(self):
        for status in (429, 503):
            self.store.status = status
            with self.assertRaises(LogUnavailableError) as caught:
                await self.store.client.append("own", [b"x"])
            self.assertFalse(caught.exception.may_have_taken_effect)

    async def test_lost_answer_may_have_taken_effect(self):
        self.store.lose_answers = 1
        with self.assertRaises(LogUnavailableError) as caught:
            await self.store.client.append("own", [b"x"])
        self.assertTrue(caught.exception.may_have_taken_effect)
        offset = await self.store.client.append("own", [b"y"])
        self.assertEqual(offset, 1)

    async def test_append_under_a_condition(self):
        self.assertEqual(
            await self.store.client.append("own", [b"x", b"y"], expected_end=0), 0
        )
        self.assertIsNone(await self.store.client.append("own", [b"z"], expected_end=0))

    async def test_topics_of_others_cannot_be_written(self):
        with self.assertRaises(LogUnavailableError):
            await self.store.client.append("keyed.servers", [b"x"])

    async def test_members_divide_the_partitions(self):
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
