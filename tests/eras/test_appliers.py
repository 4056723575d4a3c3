"""Tests of the application of records of a store that comes back from a copy."""

import unittest

from carobladder.eras import RecordApplier
from carobladder.fleet import KeyedRecord

TOPIC = "keyed.op"


class RecordApplierTest(unittest.TestCase):
    """Guard against keys that a copy of the store sets back, and against lost changes.

    ``passed`` are the changes that were passed on, ``moved`` the known records that got
    another offset.
    """

    def start(self, **options: bool) -> RecordApplier:
        self.passed: list[tuple[str, bytes | None]] = []
        self.moved: list[KeyedRecord] = []
        applier = RecordApplier(
            TOPIC,
            lambda record: self.passed.append((record.key, record.value)),
            self.moved.append,
            **options,
        )
        for offset, value in enumerate((b"1", b"2", b"3")):
            applier.apply(KeyedRecord(offset, "a", value))
        applier.apply(KeyedRecord(3, "b", b"x"))
        self.passed.clear()
        return applier

    # Guards against a key that the copy lacks and that is dropped before its writer
    # can write it again, or that is never dropped.
    def test_missing_key_is_removed_when_settled(self):
        applier = self.start()
        applier.restore([KeyedRecord(2, "a", b"3")])
        self.assertEqual(self.passed, [])
        self.assertEqual(applier.settle(), 1)
        self.assertEqual(self.passed, [("b", None)])
        self.assertEqual(applier.settle(), 0)

    # Guards against a change and a removal of a key that was written again in time.
    def test_missing_key_written_again_is_no_change(self):
        applier = self.start()
        applier.restore([KeyedRecord(2, "a", b"3")])
        self.assertFalse(applier.apply(KeyedRecord(3, "b", b"x")))
        self.assertEqual(applier.settle(), 0)
        self.assertEqual(self.passed, [])

    # Guards against records that only instances write being dropped for good.
    def test_missing_and_outdated_keys_are_kept_if_only_instances_write_them(self):
        applier = self.start(keeps_lost_keys=True)
        applier.restore([KeyedRecord(1, "a", b"2")])
        self.assertEqual(applier.settle(), 0)
        self.assertEqual(self.passed, [])
        self.assertTrue(applier.apply(KeyedRecord(2, "a", b"4")))
        # A record written after the end of that time is a change like any other.
        self.assertTrue(applier.apply(KeyedRecord(3, "b", b"x")))
        self.assertEqual(self.passed, [("a", b"4"), ("b", b"x")])

    # Guards against a known value that is applied a second time, and against an order
    # whose new offset stays unknown.
    def test_equal_value_is_told_as_moved_only(self):
        applier = self.start()
        again = [KeyedRecord(0, "a", b"3"), KeyedRecord(1, "b", b"x")]
        applier.restore(again)
        self.assertEqual(self.passed, [])
        self.assertEqual(self.moved, again)
        self.assertEqual(applier.settle(), 0)

    # Guards against a value of the copy that sets a key back for a moment.
    def test_outdated_value_waits_for_its_successor(self):
        applier = self.start()
        applier.restore([KeyedRecord(0, "a", b"1"), KeyedRecord(1, "b", b"x")])
        self.assertFalse(applier.apply(KeyedRecord(2, "a", b"2")))
        self.assertFalse(applier.apply(KeyedRecord(3, "a", b"3")))
        self.assertEqual(self.passed, [])
        self.assertEqual([record.offset for record in self.moved], [1, 3])
        self.assertEqual(applier.settle(), 0)

    # Guards against instances that disagree for good with the store about a key.
    def test_outdated_value_without_successor_is_taken_when_settled(self):
        applier = self.start()
        applier.restore([KeyedRecord(1, "a", b"2"), KeyedRecord(3, "b", b"x")])
        self.assertEqual(self.passed, [])
        self.assertEqual(applier.settle(), 1)
        self.assertEqual(self.passed, [("a", b"2")])
        self.assertTrue(applier.apply(KeyedRecord(4, "a", b"1")))

    # Guards against a new value that counts as old, since its offset is lower.
    def test_new_value_is_passed_on_at_once(self):
        applier = self.start()
        applier.restore([KeyedRecord(0, "a", b"4"), KeyedRecord(1, "c", b"y")])
        self.assertEqual(self.passed, [("a", b"4"), ("c", b"y")])
        self.assertTrue(applier.apply(KeyedRecord(2, "c", b"z")))
        self.assertFalse(applier.apply(KeyedRecord(2, "c", b"w")))

    # Guards against a removal in the new era that is passed over or that comes late.
    def test_removal_in_the_new_era_is_passed_on_at_once(self):
        applier = self.start()
        applier.restore([KeyedRecord(2, "a", b"3")])
        self.assertTrue(applier.apply(KeyedRecord(3, "a", None)))
        self.assertFalse(applier.apply(KeyedRecord(4, "c", None)))
        self.assertEqual(self.passed, [("a", None)])

    # Guards against a removal of the copy that drops a key written again after it.
    def test_outdated_removal_waits_for_its_successor(self):
        applier = self.start()
        applier.apply(KeyedRecord(4, "b", None))
        applier.apply(KeyedRecord(5, "b", b"w"))
        self.passed.clear()
        applier.restore([KeyedRecord(2, "a", b"3")])
        self.assertFalse(applier.apply(KeyedRecord(3, "b", b"x")))
        self.assertFalse(applier.apply(KeyedRecord(4, "b", None)))
        self.assertEqual(self.passed, [])
        self.assertEqual(applier.settle(), 1)
        self.assertEqual(self.passed, [("b", None)])

    # Guards against a key that was removed and that the copy brings back for a moment.
    def test_removed_key_of_the_copy_waits_for_its_removal(self):
        applier = self.start()
        applier.apply(KeyedRecord(4, "b", None))
        self.passed.clear()
        applier.restore([KeyedRecord(2, "a", b"3"), KeyedRecord(3, "b", b"x")])
        self.assertFalse(applier.apply(KeyedRecord(4, "b", None)))
        self.assertEqual(applier.settle(), 0)
        self.assertEqual(self.passed, [])

    # Guards against a withdrawn order that takes effect again in a second drill, as its
    # withdrawal came soon after the first.
    def test_key_removed_while_restoring_stays_removed_in_a_second_copy(self):
        applier = self.start()
        copy = [KeyedRecord(2, "a", b"3"), KeyedRecord(3, "b", b"x")]
        applier.restore(copy)
        self.assertTrue(applier.apply(KeyedRecord(4, "b", None)))
        applier.settle()
        self.passed.clear()
        applier.restore(copy)
        self.assertEqual(self.passed, [])
        self.assertFalse(applier.apply(KeyedRecord(4, "b", None)))
        self.assertEqual(applier.settle(), 0)

    # Guards against an entry that expired with the store away, and that counts as
    # outdated when its server writes it again.
    def test_expired_key_may_come_back_in_a_second_era(self):
        applier = self.start(keys_expire=True)
        applier.restore([KeyedRecord(2, "a", b"3"), KeyedRecord(3, "b", b"x")])
        self.assertTrue(applier.apply(KeyedRecord(4, "b", None)))
        applier.settle()
        self.passed.clear()
        applier.restore([KeyedRecord(2, "a", b"3"), KeyedRecord(3, "b", b"x")])
        self.assertEqual(self.passed, [("b", b"x")])

    # Guards against what was unconfirmed in one era being taken in the next one.
    def test_second_restore_before_the_first_is_settled(self):
        applier = self.start()
        applier.restore([KeyedRecord(0, "a", b"1")])
        applier.restore([KeyedRecord(0, "a", b"3"), KeyedRecord(1, "b", b"x")])
        self.assertEqual(applier.settle(), 0)
        self.assertEqual(self.passed, [])

    # Guards against a second copy that is taken for news of the first one.
    def test_second_restore_after_the_first_is_settled(self):
        applier = self.start()
        applier.restore([KeyedRecord(2, "a", b"3")])
        applier.apply(KeyedRecord(3, "a", b"4"))
        applier.settle()
        self.passed.clear()
        applier.restore([KeyedRecord(2, "a", b"3"), KeyedRecord(3, "b", b"x")])
        self.assertEqual(self.passed, [])
        applier.apply(KeyedRecord(4, "a", b"4"))
        self.assertEqual(applier.settle(), 1)
        self.assertEqual(self.passed, [("b", b"x")])

    # Guards against lost keys that are dropped early, as the store has just dropped
    # history, while a key removed in the new era stays.
    def test_all_keys_read_again_before_they_are_settled(self):
        applier = self.start()
        applier.restore([KeyedRecord(2, "a", b"3")])
        applier.apply(KeyedRecord(3, "c", b"y"))
        self.passed.clear()
        applier.apply_snapshot([KeyedRecord(2, "a", b"3")])
        self.assertEqual(self.passed, [("c", None)])
        applier.settle()
        self.assertEqual(self.passed, [("c", None), ("b", None)])

    # Guards against one record that cannot be applied keeping the others back.
    def test_failure_of_one_record_does_not_keep_others_back(self):
        applier = self.start()

        def fail(record: KeyedRecord) -> None:
            raise ValueError(record.key)

        applier._on_moved = fail
        with self.assertLogs("carobladder", "ERROR"):
            applier.restore([KeyedRecord(0, "a", b"3"), KeyedRecord(1, "c", b"y")])
        self.assertEqual(self.passed, [("c", b"y")])


if __name__ == "__main__":
    unittest.main()
