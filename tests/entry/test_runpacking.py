"""Tests of runs with long values in messages between instances."""

import random
import unittest

from carobladder.clock import VirtualClock
from carobladder.entry.runpacking import RunPacker
from carobladder.fleet import (
    KeyedRecord,
    PeerReply,
    PeerStatus,
    RecordRun,
    decode_datagram,
    encode_datagram,
)
from carobladder.topics import RecentValues
from tests.topics.configurations import build_document

ROUTES = 1640
KEY = b"k" * 32
MAX_BYTES = 56_000


def build_run(value: bytes, first: int = 0, offset: int = 5) -> RecordRun:
    """Return a run with a removal and a configuration."""
    removal = KeyedRecord(first, "order", None)
    records = (removal, KeyedRecord(offset, "config", value))
    return RecordRun(first, offset + 1, records)


class RunPackerTest(unittest.TestCase):
    """Guard against a configuration that each instance reads for itself."""

    def setUp(self):
        self.clock = VirtualClock()
        self.base = build_document(1, ROUTES)
        self.value = build_document(2, ROUTES, 1)
        self.sender_values, self.receiver_values = RecentValues(), RecentValues()
        for value in (self.base, self.value):
            self.sender_values.note(value)
        self.receiver_values.note(self.base)
        self.sender = RunPacker(self.sender_values, self.clock)
        self.receiver = RunPacker(self.receiver_values, self.clock)

    def transfer(self, run: RecordRun) -> tuple[RecordRun | None, int]:
        """Return a run as it arrives after a question, and the datagram's bytes."""
        accepted, bases = self.receiver.describe_question(1)
        question = PeerStatus(1, False, [], [0], accepted_bytes=accepted, bases=bases)
        sent = encode_datagram(question, "a", KEY)
        self.assertLess(len(sent), 200)
        packed = self.sender.pack(run, accepted, bases)
        data = encode_datagram(PeerReply(1, True, [None], [packed]), "a", KEY)
        _, reply = decode_datagram(data, lambda name: KEY)
        self.receiver.note_answer(1)
        run = reply.runs[0] and self.receiver.unpack(reply.runs[0])
        return run, len(data)

    def test_change_of_one_route_takes_one_small_datagram(self):
        run, size = self.transfer(build_run(self.value))
        self.assertEqual(run, build_run(self.value))
        self.assertLess(size, 600)

    def test_instance_without_the_base_gets_the_whole_value(self):
        self.receiver_values = RecentValues()
        self.receiver = RunPacker(self.receiver_values, self.clock)
        run, size = self.transfer(build_run(self.value))
        self.assertEqual(run, build_run(self.value))
        self.assertLess(size, 40_000)

    # Guards against a value that is taken for a removal, or is lost with its offsets.
    def test_value_that_does_not_fit_ends_the_run_before_it(self):
        value = random.Random(1).randbytes(MAX_BYTES + 1000)
        run, _ = self.transfer(build_run(value, offset=1))
        self.assertEqual(run, RecordRun(0, 1, (KeyedRecord(0, "order", None),)))
        run, _ = self.transfer(RecordRun(0, 1, (KeyedRecord(0, "config", value),)))
        self.assertIsNone(run)

    # Guards against offsets between that count as known; a version there may have been
    # replaced by the one that is missing.
    def test_run_ends_before_what_the_unsent_value_replaces(self):
        value = random.Random(1).randbytes(MAX_BYTES + 1000)
        last = KeyedRecord(8, "order", None)
        run = build_run(value, offset=9)
        run = RecordRun(0, 10, (run.records[0], last, run.records[1]))
        received, _ = self.transfer(run)
        self.assertEqual(received, RecordRun(0, 1, run.records[:1]))

    def test_instance_of_an_earlier_release_gets_no_delta(self):
        """It would take the record for the removal of the configuration."""
        packed = self.sender.pack(build_run(self.value, offset=1), 0, [])
        self.assertEqual([record.key for record in packed.records], ["order"])
        self.assertEqual(packed.next_offset, 1)

    # Guards against a mixture of two versions.
    def test_run_with_a_delta_for_an_unknown_base_is_dropped(self):
        accepted, bases = self.receiver.describe_question(1)
        packed = self.sender.pack(build_run(self.value), accepted, bases)
        other = RecentValues()
        other.note(build_document(7, ROUTES))
        receiver = RunPacker(other, self.clock)
        with self.assertLogs("carobladder", "WARNING") as logs:
            self.assertIsNone(receiver.unpack(packed))
        self.assertIn("peer_run_rejected", logs.output[0])
        self.assertEqual(receiver.rejected_runs, 1)
        self.assertGreater(self.sender.sent_delta_bytes, 0)

    def test_answers_are_bounded_in_bytes(self):
        value = random.Random(1).randbytes(MAX_BYTES - 1000)
        run = RecordRun(0, 1, (KeyedRecord(0, "config", value),))
        sent = 0
        for _ in range(100):
            packed = self.sender.pack(run, MAX_BYTES, [])
            sent += packed is not None
            self.clock.advance(0.1)
        self.assertLessEqual(sent * len(value), 128_000 + 10.0 * 64_000)
        self.assertGreater(sent, 10)

    def test_long_values_are_asked_of_one_instance_at_a_time(self):
        self.assertEqual(self.receiver.describe_question(1)[0], MAX_BYTES)
        self.assertEqual(self.receiver.describe_question(2), (0, []))
        self.receiver.note_answer(2)
        self.assertEqual(self.receiver.describe_question(3), (0, []))
        self.receiver.note_answer(1)
        self.assertEqual(self.receiver.describe_question(4)[0], MAX_BYTES)
        self.clock.advance(0.3)
        self.assertEqual(self.receiver.describe_question(5)[0], MAX_BYTES)

    def test_memory_of_versions_is_bounded(self):
        for version in range(40):
            self.sender_values.note(build_document(version, ROUTES))
        size = sum(map(len, self.sender_values._values.values()))
        self.assertLessEqual(size, 4_194_304)
        for version in range(40):
            self.sender_values.note(build_document(version, 60))
        self.assertLessEqual(len(self.sender_values._values), 8)
