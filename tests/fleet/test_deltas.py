"""Tests of deltas between versions of a configuration."""

import random
import unittest
import zlib

import msgspec

from carobladder.fleet import Delta, apply_delta, build_delta, compute_value_digest
from tests.topics.configurations import build_document

ROUTES = 1640


class DeltaTest(unittest.TestCase):
    """Guard against a value other than the one that was sent, and against its bytes."""

    def check(self, base: bytes, value: bytes) -> Delta:
        """Check that a delta restores the value, and return it."""
        delta = build_delta(base, value)
        self.assertEqual(apply_delta(delta, base), value)
        return delta

    def test_change_of_one_route_takes_few_bytes(self):
        base = build_document(9, ROUTES)
        delta = self.check(base, build_document(10, ROUTES, 1))
        self.assertLess(delta.size, 400)

    def test_added_and_removed_routes_take_few_bytes(self):
        """A regular document of 550 KB is compressed to about a thirtieth."""
        small, large = build_document(1, 240), build_document(2, ROUTES)
        self.assertLess(self.check(small, large).size, 30_000)
        self.assertLess(self.check(large, small).size, 400)
        self.assertLess(self.check(b"", large).size, 40_000)

    def test_drawn_edits_are_restored(self):
        generator = random.Random(3)
        base = build_document(1, 60)
        for _ in range(400):
            value = bytearray(base)
            for _ in range(generator.randint(0, 6)):
                at = generator.randrange(len(value) + 1)
                end = min(len(value), at + generator.randint(0, 300))
                value[at:end] = generator.choice(
                    (b"", b"{", b"}{", generator.randbytes(9), base[at // 2 : at])
                )
            self.check(base, bytes(value))
            self.check(bytes(value), base)
            if value:
                base = bytes(value)[:20_000]

    def test_content_without_objects_is_restored(self):
        for value in (b"", b"x", b"{", b"{{{", b"x" * 9000):
            for base in (b"", b"x", b"{", b"{x", b"x" * 9001):
                self.check(base, value)

    # Guards against a configuration that is made of parts of two versions.
    def test_delta_for_another_base_is_rejected(self):
        base, value = build_document(1, 60), build_document(2, 60, 3)
        delta = build_delta(base, value)
        for wrong in (b"", value, build_document(3, 60, 60)):
            with self.assertRaises(ValueError):
                apply_delta(delta, wrong)
        # Without the check of the base, that of the result remains.
        forged = Delta(compute_value_digest(wrong), delta.result, delta.body)
        with self.assertRaises(ValueError):
            apply_delta(forged, wrong)

    def test_malformed_delta_is_rejected(self):
        base = b"{" * 40
        digest = compute_value_digest(base)
        bodies = [b"", b"x", zlib.compress(b"x"), zlib.compress(b"{}")[:-1]]
        for steps in ([(0, 41)], [(-1, 3)], [(3, -1)], [(0, 1 << 60)], ["x"], [None]):
            bodies.append(zlib.compress(msgspec.msgpack.encode(steps)))
        bodies.append(zlib.compress(msgspec.msgpack.encode([(0, 40)] * 500_000)))
        bodies.append(zlib.compress(b"\0" * 20_000_000))
        for body in bodies:
            with self.assertRaises(ValueError):
                apply_delta(Delta(digest, digest, body), base)

    def test_work_follows_the_document_once(self):
        """A search from the start for each piece would block the event loop."""
        value = build_document(2, 3000, 3000)
        steps = msgspec.msgpack.decode(
            zlib.decompress(build_delta(build_document(1, 3000), value).body)
        )
        self.assertLessEqual(len(steps), 2 * 3000 + 2)
