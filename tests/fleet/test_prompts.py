"""Tests of the directory of prompt holders."""

import unittest

from carobladder.fleet import PromptRegister
from tests.fleet.builders import build_entry, fill_table


class PromptRegisterTest(unittest.TestCase):
    """Guard against wrong holders and against unlimited growth."""

    def setUp(self):
        self.table, self.targets = fill_table(8)
        self.tags = [target.tag for target in self.targets]
        self.register = PromptRegister(self.table)

    def test_earlier_readers_of_a_prefix_are_returned(self):
        self.assertEqual(self.register.take(7, self.tags[0]), [])
        self.assertEqual(self.register.take(7, self.tags[1]), self.tags[:1])
        self.assertEqual(self.register.take(7, self.tags[0]), self.tags[:2])
        self.assertEqual(self.register.take(8, self.tags[0]), [])

    def test_removed_targets_are_not_returned(self):
        self.register.take(7, self.tags[0])
        self.table.discard("i-1")
        self.assertEqual(self.register.take(7, self.tags[1]), [])

    def test_new_run_under_the_same_id_is_still_returned(self):
        self.register.take(7, self.tags[0])
        self.table.apply(build_entry("i-1", started_ms=2), 5.0)
        self.assertEqual(self.register.take(7, self.tags[1]), self.tags[:1])

    def test_only_the_newest_holders_are_kept(self):
        for tag in self.tags:
            self.register.take(7, tag)
        self.assertEqual(self.register.take(7, self.tags[0]), self.tags[-4:])

    def test_memory_is_bounded(self):
        for prefix in range(21_000):
            self.register.take(prefix, self.tags[0])
        self.assertEqual(len(self.register._holders), 20_000)
        self.assertEqual(self.register.take(0, self.tags[1]), [])


if __name__ == "__main__":
    unittest.main()
