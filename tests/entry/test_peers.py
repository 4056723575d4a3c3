"""Tests of the directory of instances."""

import unittest

from carobladder.clock import VirtualClock
from carobladder.entry.peers import PeerDirectory
from carobladder.fleet import KeyedRecord

KEY = "ab" * 32


class PeerDirectoryTest(unittest.TestCase):
    """Guard against instances that nobody knows and against keys of others."""

    def setUp(self):
        self.clock = VirtualClock()
        self.directory = PeerDirectory("a", "127.0.0.1:1", self.clock)

    def take(self, name: str, value: bytes | None) -> None:
        self.directory.take_record(KeyedRecord(0, name, value))

    def test_unusable_announcements_name_no_instance(self):
        for value in (None, b"", b"nonsense", b"\xff:x", b"127.0.0.1:5", b"h:5 ab"):
            self.take("b", value)
        self.assertEqual(self.directory.count_peers(), 0)
        self.take("b", f"127.0.0.1:5 {KEY}".encode())
        self.assertEqual(self.directory.find("b").address, ("127.0.0.1", 5))
        self.assertEqual(self.directory.find_key("b"), bytes.fromhex(KEY))
        self.take("b", None)
        self.assertIsNone(self.directory.find_key("b"))

    def test_restart_at_the_same_address_keeps_its_announcement(self):
        """Each new announcement is read by every instance of the fleet."""
        self.take("a", f"127.0.0.1:2 {KEY}".encode())
        self.assertIsNone(self.directory.own_key)
        self.take("a", f"127.0.0.1:1 {KEY}".encode())
        self.assertEqual(self.directory.own_key, bytes.fromhex(KEY))

    def test_own_announcement_can_be_read_by_others(self):
        value = self.directory.describe_self()
        self.directory.take_announcement(value)
        other = PeerDirectory("b", "127.0.0.1:2", self.clock)
        other.take_record(KeyedRecord(0, "a", value))
        self.assertEqual(other.find_key("a"), self.directory.own_key)

    def test_reader_that_is_not_heard_any_more_is_none(self):
        self.take("b", f"127.0.0.1:5 {KEY}".encode())
        self.directory.note_reader("b", True)
        self.assertEqual(len(self.directory.list_readers()), 1)
        self.clock.advance(2.0)
        self.assertEqual(self.directory.list_readers(), [])
        self.directory.note_reader("b", True)
        self.directory.note_reader("b", False)
        self.assertEqual(self.directory.list_readers(), [])
