"""Tests of the directory of instances."""

import unittest

from carobladder.clock import VirtualClock
from carobladder.fleet import KeyedRecord, PeerDirectory

KEY = "ab" * 32


class PeerDirectoryTest(unittest.TestCase):
    """Guard against unknown instances and against keys of other addresses."""

    def setUp(self):
        self.clock = VirtualClock()
        self.directory = PeerDirectory("a", "127.0.0.1:1", self.clock)

    def apply_announcement(self, name: str, value: bytes | None) -> None:
        self.directory.apply_record(KeyedRecord(0, name, value))

    def test_malformed_announcements_are_ignored(self):
        for value in (None, b"", b"nonsense", b"\xff:x", b"127.0.0.1:5", b"h:5 ab"):
            self.apply_announcement("b", value)
        self.assertEqual(self.directory.count_peers(), 0)
        self.apply_announcement("b", f"127.0.0.1:5 {KEY}".encode())
        self.assertEqual(self.directory.find("b").address, ("127.0.0.1", 5))
        self.assertEqual(self.directory.find_key("b"), bytes.fromhex(KEY))
        self.apply_announcement("b", None)
        self.assertIsNone(self.directory.find_key("b"))

    # Guards against an instance that ends at an announcement, or at its next message.
    def test_announcements_with_an_unusable_port_are_ignored(self):
        for port in ("0", "65536", "9" * 5000, "\u0668", "+5"):
            self.apply_announcement("b", f"127.0.0.1:{port} {KEY}".encode())
        self.assertEqual(self.directory.count_peers(), 0)

    def test_restart_at_the_same_address_reuses_its_announcement(self):
        """Every instance of the fleet has to read each new announcement."""
        self.apply_announcement("a", f"127.0.0.1:2 {KEY}".encode())
        self.assertIsNone(self.directory.own_key)
        self.apply_announcement("a", f"127.0.0.1:1 {KEY}".encode())
        self.assertEqual(self.directory.own_key, bytes.fromhex(KEY))

    def test_own_announcement_can_be_read_by_others(self):
        value = self.directory.build_announcement()
        self.directory.apply_own_announcement(value)
        other = PeerDirectory("b", "127.0.0.1:2", self.clock)
        other.apply_record(KeyedRecord(0, "a", value))
        self.assertEqual(other.find_key("a"), self.directory.own_key)

    def test_reader_expires_without_updates(self):
        self.apply_announcement("b", f"127.0.0.1:5 {KEY}".encode())
        self.directory.set_reader("b", True)
        self.assertEqual(len(self.directory.list_readers()), 1)
        self.clock.advance(2.0)
        self.assertEqual(self.directory.list_readers(), [])
        self.directory.set_reader("b", True)
        self.directory.set_reader("b", False)
        self.assertEqual(self.directory.list_readers(), [])
