"""Tests of the messages between instances."""

import unittest
import zlib

import msgspec

from carobladder.fleet import (
    DutyNotice,
    InFlightReport,
    KeyedRecord,
    LoadReport,
    PeerReply,
    PeerStatus,
    RecordRun,
    TopicState,
    UsageReceipt,
    UsageReport,
    decode_datagram,
    encode_datagram,
    pack_run,
    unpack_run,
)
from carobladder.fleet.messages import _compute_mac

KEYS = {"a": b"a" * 32, "b": b"b" * 32}
STATUS = PeerStatus(7, True, [LoadReport("i-1", 7, 250)], [4, 0])


class PeerMessageTest(unittest.TestCase):
    """Guard against forged, malformed or oversized messages."""

    def test_round_trip(self):
        run = RecordRun(
            3, 6, (KeyedRecord(3, "i-1", b"x"), KeyedRecord(5, "i-2", None))
        )
        answer = PeerReply(7, False, [TopicState(6, 12), None], [None, pack_run(run)])
        report = InFlightReport(4, {77: 3})
        with_report = msgspec.structs.replace(STATUS, in_flight=report)
        for message in (STATUS, answer, report, with_report):
            data = encode_datagram(message, "a", KEYS["a"])
            self.assertEqual(decode_datagram(data, KEYS.get), ("a", message))
        self.assertEqual(unpack_run(answer.runs[1]), run)

    def test_round_trip_of_the_messages_of_the_duties(self):
        """Counts that are misread become a wrong report, which cannot be taken back."""
        notice = DutyNotice((3 << 32) | 7, "front-1", 353_445_120)
        counts = {353_445_120: {"team-a": 412, "team-b": 1}, 353_445_121: {}}
        for message in (
            UsageReport(2**31, 1_767_225_600_000, counts),
            UsageReport(5, 0, {}),
            UsageReceipt(2**31, [353_445_120], 1_767_225_600_000, notice),
            msgspec.structs.replace(STATUS, duty=notice),
        ):
            data = encode_datagram(message, "a", KEYS["a"])
            self.assertEqual(decode_datagram(data, KEYS.get), ("a", message))

    def test_status_of_an_instance_without_duties_is_accepted(self):
        """A fleet is restarted one instance after the other."""
        payload = msgspec.msgpack.encode(STATUS)
        fields = msgspec.msgpack.decode(payload)[:-1]
        decoded = msgspec.msgpack.decode(
            msgspec.msgpack.encode(fields), type=PeerStatus
        )
        self.assertIsNone(decoded.duty)

    def test_forged_messages_are_rejected(self):
        """A forged topic state would keep a revoked key in use."""
        datagram = encode_datagram(STATUS, "a", KEYS["a"])
        version, sender, mac, compressed, payload = msgspec.msgpack.decode(datagram)
        other = msgspec.msgpack.encode(PeerStatus(7, True, [], [9, 9]))
        forged = {
            "no key": encode_datagram(STATUS, "a", b"c" * 32),
            "key of another instance": encode_datagram(STATUS, "a", KEYS["b"]),
            "unknown instance": encode_datagram(STATUS, "c", KEYS["a"]),
            "replaced sender": [version, "b", mac, compressed, payload],
            "replaced payload": [version, sender, mac, compressed, other],
            "no authentication code": [version, sender, b"", compressed, payload],
        }
        for name, data in forged.items():
            if isinstance(data, list):
                data = msgspec.msgpack.encode(data)
            with self.subTest(name), self.assertRaises(ValueError):
                decode_datagram(data, KEYS.get)

    def test_long_records_are_compressed(self):
        """A configuration of several hundred routes must fit into a datagram."""
        value = b"".join(b'{"route":"r-%d","timeout":1}' % n for n in range(1000))
        run = RecordRun(0, 1, (KeyedRecord(0, "config", value),))
        answer = PeerReply(1, True, [None], [pack_run(run)])
        data = encode_datagram(answer, "a", KEYS["a"])
        self.assertLess(len(data), len(value) / 5)
        self.assertEqual(decode_datagram(data, KEYS.get), ("a", answer))

    def test_decompressed_size_is_limited(self):
        huge = zlib.compress(b"\0" * 50_000_000)
        mac = _compute_mac("a", huge, KEYS["a"])
        version = msgspec.msgpack.decode(encode_datagram(STATUS, "a", KEYS["a"]))[0]
        data = msgspec.msgpack.encode([version, "a", mac, True, huge])
        with self.assertRaises(ValueError):
            decode_datagram(data, KEYS.get)

    def test_malformed_datagrams_and_other_versions_are_rejected(self):
        datagram = encode_datagram(STATUS, "a", KEYS["a"])
        version, *rest = msgspec.msgpack.decode(datagram)
        older = msgspec.msgpack.encode([version - 1, *rest])
        for data in (b"", b"\xff\x00", b"text", datagram[:-1], older):
            with self.subTest(data=data), self.assertRaises(ValueError):
                decode_datagram(data, KEYS.get)

    def test_implausible_reports_are_dropped(self):
        reports = [
            LoadReport("i-1", -1, 100),
            LoadReport("i-2", 10**9, 100),
            LoadReport("i-3", 1, -100),
            LoadReport("i-4", 1, 60_000),
            LoadReport("i-5", 1, 100),
        ]
        data = encode_datagram(PeerStatus(0, False, reports, []), "a", KEYS["a"])
        _, message = decode_datagram(data, KEYS.get)
        self.assertEqual([report.target_id for report in message.reports], ["i-5"])
