"""Tests of the target registry."""

import unittest

from carobladder.fleet import TargetTable
from tests.fleet.builders import build_entry


class TargetTableTest(unittest.TestCase):
    """Guard against requests to stopped targets and against the loss of live ones."""

    def setUp(self):
        self.table = TargetTable()
        self.target = self.table.apply(build_entry(), 0.0)

    def list_open(self):
        return [target.target_id for target in self.table.list_open("engine")]

    # Guards against requests to a leaving target whose older entry comes back.
    def test_outdated_entry_does_not_reopen_a_draining_run(self):
        self.table.apply(build_entry(draining=True), 1.0)
        self.table.apply(build_entry(), 2.0)
        self.assertEqual(self.table.list_open("engine"), [])
        self.table.apply(build_entry(started_ms=2), 3.0)
        self.assertEqual(len(self.table.list_open("engine")), 1)

    def test_draining_target_is_closed_but_registered(self):
        self.table.apply(build_entry(draining=True), 1.0)
        self.assertEqual(self.list_open(), [])
        self.assertEqual(len(self.table.list_reachable("engine")), 1)

    def test_update_keeps_the_health(self):
        self.target.health.note_failure(0.5)
        self.assertIs(self.table.apply(build_entry(slots=4), 1.0), self.target)
        self.assertEqual(self.target.health.failures, 1)

    def test_restart_under_the_same_id_is_another_target(self):
        self.target.health.note_failure(0.5)
        restarted = self.table.apply(build_entry(started_ms=2), 1.0)
        self.assertIsNot(restarted, self.target)
        self.assertEqual(restarted.health.failures, 0)

    def test_targets_of_an_emptied_data_centre_are_unusable_until_its_return(self):
        self.table.set_emptied("dc-1", True)
        self.assertEqual(self.list_open(), [])
        self.assertEqual(self.table.list_reachable("engine"), [])
        self.assertEqual(len(self.table.list_registered("engine")), 1)
        self.table.set_emptied("dc-1", False)
        self.assertEqual(self.list_open(), ["i-1"])

    def test_target_with_removed_entry_is_gone_at_once(self):
        self.assertTrue(self.table.drop("i-1", 1.0))
        self.assertEqual(self.list_open(), [])
        self.assertFalse(self.table.drop("i-1", 1.0))

    def test_entry_that_expired_in_an_outage_may_be_renewed(self):
        self.table.note_store_return(10.0)
        self.assertFalse(self.table.drop("i-1", 10.5))
        self.assertEqual(self.list_open(), ["i-1"])
        self.assertEqual(self.table.expire(11.0), [])
        self.table.apply(build_entry(), 11.5)
        self.assertEqual(self.table.expire(13.0), [])
        self.assertEqual(self.list_open(), ["i-1"])

    def test_expired_entry_that_is_not_renewed_in_two_seconds_is_removed(self):
        self.table.note_store_return(10.0)
        self.table.drop("i-1", 10.5)
        self.assertEqual(self.table.expire(11.99), [])
        self.assertEqual(self.table.expire(12.0), ["i-1"])
        self.assertEqual(self.list_open(), [])

    def test_removal_long_after_an_outage_is_immediate(self):
        self.table.note_store_return(10.0)
        self.assertTrue(self.table.drop("i-1", 12.1))

    def test_cold_time_starts_at_the_entry(self):
        target = self.table.apply(build_entry("i-2", cold_seconds=3.0), 5.0)
        self.assertTrue(target.is_cold(7.9))
        self.assertFalse(target.is_cold(8.0))
        target.note_cold(1.0, 9.0)
        self.assertTrue(target.is_cold(9.5))

    def test_misdirected_target_is_closed_until_its_next_entry(self):
        self.target.note_misdirected()
        self.assertEqual(self.list_open(), [])
        self.table.apply(build_entry(slots=4), 1.0)
        self.assertEqual(self.list_open(), ["i-1"])

    # Guards against requests to a target that has said that it leaves, after an entry
    # of another writer under its id.
    def test_run_that_leaves_keeps_leaving_after_an_entry_of_another_run(self):
        table = TargetTable()
        entry = build_entry("i-1")
        table.apply(entry, 0.0).note_leaving()
        other = table.apply(build_entry("i-1", started_ms=0, address="10.9.9.9:1"), 1.0)
        self.assertTrue(other.takes_requests)
        self.assertFalse(table.apply(entry, 2.0).takes_requests)
        self.assertTrue(
            table.apply(build_entry("i-1", started_ms=2), 3.0).takes_requests
        )
