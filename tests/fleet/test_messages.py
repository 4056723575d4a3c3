"""Tests of the messages that instances send each other."""

import unittest
import zlib

import msgspec

from carobladder.fleet import (
    KeyedRecord,
    LoadReport,
    PeerAnswer,
    PeerNews,
    RecordRun,
    TopicState,
    open_message,
    pack_run,
    seal_message,
    unpack_run,
)
from carobladder.fleet.messages import _authenticate

KEYS = {"a": b"a" * 32, "b": b"b" * 32}
NEWS = PeerNews(7, True, [LoadReport("i-1", 7, 250)], [4, 0])


class PeerMessageTest(unittest.TestCase):
    """Guard against messages that mislead or stop an instance."""

    def test_round_trip(self):
        run = RecordRun(
            3, 6, (KeyedRecord(3, "i-1", b"x"), KeyedRecord(5, "i-2", None))
        )
        answer = PeerAnswer(7, False, [TopicState(6, 12), None], [None, pack_run(run)])
        for message in (NEWS, answer):
            data = seal_message(message, "a", KEYS["a"])
            self.assertEqual(open_message(data, KEYS.get), ("a", message))
        self.assertEqual(unpack_run(answer.runs[1]), run)

    def test_forged_messages(self):
        """A forged proof would keep a revoked key in use."""
        sealed = seal_message(NEWS, "a", KEYS["a"])
        version, sender, code, packed, payload = msgspec.msgpack.decode(sealed)
        other = msgspec.msgpack.encode(PeerNews(7, True, [], [9, 9]))
        forged = {
            "no key": seal_message(NEWS, "a", b"c" * 32),
            "key of another instance": seal_message(NEWS, "a", KEYS["b"]),
            "unknown instance": seal_message(NEWS, "c", KEYS["a"]),
            "sent on in another name": [version, "b", code, packed, payload],
            "other payload": [version, sender, code, packed, other],
            "no code": [version, sender, b"", packed, payload],
        }
        for name, data in forged.items():
            if isinstance(data, list):
                data = msgspec.msgpack.encode(data)
            with self.subTest(name), self.assertRaises(ValueError):
                open_message(data, KEYS.get)

    def test_long_records_are_packed(self):
        """A configuration of some hundred routes has to fit a datagram."""
        value = b"".join(b'{"route":"r-%d","timeout":1}' % n for n in range(1000))
        run = RecordRun(0, 1, (KeyedRecord(0, "config", value),))
        answer = PeerAnswer(1, True, [None], [pack_run(run)])
        data = seal_message(answer, "a", KEYS["a"])
        self.assertLess(len(data), len(value) / 5)
        self.assertEqual(open_message(data, KEYS.get), ("a", answer))

    def test_packed_message_cannot_take_all_memory(self):
        huge = zlib.compress(b"\0" * 50_000_000)
        code = _authenticate("a", huge, KEYS["a"])
        version = msgspec.msgpack.decode(seal_message(NEWS, "a", KEYS["a"]))[0]
        data = msgspec.msgpack.encode([version, "a", code, True, huge])
        with self.assertRaises(ValueError):
            open_message(data, KEYS.get)

    def test_other_bytes_and_versions(self):
        sealed = seal_message(NEWS, "a", KEYS["a"])
        version, *rest = msgspec.msgpack.decode(sealed)
        older = msgspec.msgpack.encode([version - 1, *rest])
        for data in (b"", b"\xff\x00", b"text", sealed[:-1], older):
            with self.subTest(data=data), self.assertRaises(ValueError):
                open_message(data, KEYS.get)

    def test_unusable_reports_are_dropped(self):
        reports = [
            LoadReport("i-1", -1, 100),
            LoadReport("i-2", 10**9, 100),
            LoadReport("i-3", 1, -100),
            LoadReport("i-4", 1, 60_000),
            LoadReport("i-5", 1, 100),
        ]
        data = seal_message(PeerNews(0, False, reports, []), "a", KEYS["a"])
        _, message = open_message(data, KEYS.get)
        self.assertEqual([report.target_id for report in message.reports], ["i-5"])
