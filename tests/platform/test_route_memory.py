"""Tests of the decoding of a configuration of which most routes are known."""

import random
import unittest

from carobladder.fleet import ConfigurationRecord, KeyedRecord, UnreadableRecord
from carobladder.platform.documents import RouteMemory, decode_operator_record
from tests.topics.configurations import build_document

ROUTES = 3000


def decode(value: bytes, memory: RouteMemory | None = None):
    """Decode a configuration."""
    return decode_operator_record(KeyedRecord(0, "config", value), memory)


class RouteMemoryTest(unittest.TestCase):
    """Guard against work for all routes when one changes, which blocks requests."""

    def test_change_of_one_route_decodes_one(self):
        memory = RouteMemory()
        before = decode(build_document(1, ROUTES, 1), memory)
        self.assertEqual(memory.decoded_count, ROUTES)
        after = decode(build_document(2, ROUTES, 1), memory)
        self.assertEqual(memory.decoded_count, ROUTES + 1)
        routes = zip(
            before.configuration.routes, after.configuration.routes, strict=True
        )
        self.assertEqual(sum(first is not second for first, second in routes), 1)

    def test_added_and_removed_routes_decode_only_new_ones(self):
        memory = RouteMemory()
        decode(build_document(1, 240), memory)
        decode(build_document(2, 1640), memory)
        self.assertEqual(memory.decoded_count, 1640)
        decode(build_document(3, 300), memory)
        self.assertEqual(memory.decoded_count, 1640)
        # Removed ones are forgotten, so that the memory does not grow.
        self.assertEqual(len(memory._routes), 300)

    # Guards against routes of another version.
    def test_outcome_is_that_of_decoding_all(self):
        generator = random.Random(2)
        memory = RouteMemory()
        for version in range(60):
            count = generator.randint(0, 30)
            value = build_document(version, count, generator.randint(0, count))
            if generator.random() < 0.3:
                value = value.replace(b": ", b":").replace(b"safe", b"streaming", 2)
            self.assertEqual(decode(value, memory), decode(value))

    def test_malformed_route_leaves_the_known_ones(self):
        memory = RouteMemory()
        good = build_document(1, 20)
        decode(good, memory)
        for bad in (b'{"name": ""}', b"null", b"[", b'{"name": "\xff"}'):
            value = good[:-2] + b", " + bad + b"]}"
            self.assertIsInstance(decode(value, memory), UnreadableRecord)
        self.assertIsInstance(decode(good, memory), ConfigurationRecord)
        self.assertEqual(memory.decoded_count, 20)
