"""Tests of idempotency keys."""

import unittest
import uuid
from datetime import UTC, datetime, timedelta

from carobladder.bookings import parse_key
from carobladder.exceptions import IdempotencyKeyError

NOW = datetime(2026, 1, 1, tzinfo=UTC)
WINDOW = timedelta(minutes=30)


def make_key(issued_at: datetime, random_bits: int = 1) -> str:
    """Return a UUIDv7 of the given time."""
    milliseconds = int(issued_at.timestamp() * 1000)
    value = milliseconds << 80 | 7 << 76 | 2 << 62 | random_bits
    return str(uuid.UUID(int=value))


class BookingKeyTest(unittest.TestCase):
    """Guard against keys whose claim the log may no longer retain."""

    def test_time_is_read_from_the_key(self):
        self.assertEqual(parse_key("t", make_key(NOW)).issued_at, NOW)

    def test_key_older_than_window_is_refused(self):
        key = parse_key("t", make_key(NOW - WINDOW - timedelta(seconds=1)))
        with self.assertRaises(IdempotencyKeyError):
            key.check_age(NOW, WINDOW)

    def test_key_within_window_is_accepted(self):
        parse_key("t", make_key(NOW - WINDOW)).check_age(NOW, WINDOW)

    def test_key_from_the_future_is_refused(self):
        key = parse_key("t", make_key(NOW + timedelta(minutes=2)))
        with self.assertRaises(IdempotencyKeyError):
            key.check_age(NOW, WINDOW)

    def test_keys_other_than_uuid_version_7_are_refused(self):
        for text in ("", "booking-1", str(uuid.uuid4())):
            with self.subTest(text=text), self.assertRaises(IdempotencyKeyError):
                parse_key("t", text)
