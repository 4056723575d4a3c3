"""Idempotency keys of service calls that must run at most once."""

import uuid
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta

from carobladder.exceptions import IdempotencyKeyError

__all__ = ["CLOCK_SKEW", "BookingKey", "parse_key"]

_UUID_VERSION = 7
_TIMESTAMP_SHIFT_BITS = 80
_MILLISECONDS_PER_SECOND = 1000

# Caller clocks may run ahead of the instance's by this much.
CLOCK_SKEW = timedelta(seconds=60)


@dataclass(frozen=True, slots=True)
class BookingKey:
    """Idempotency key of a team's call; ``issued_at`` is the time within the key."""

    team: str
    value: str
    issued_at: datetime

    def check_age(self, now: datetime, window: timedelta) -> None:
        """Refuse a key whose claim the log may no longer retain.

        Raises IdempotencyKeyError for a key from the future or older than the window.
        Without the check, a retry with a key older than the log's retention would run
        the call a second time.
        """
        if self.issued_at > now + CLOCK_SKEW:
            raise IdempotencyKeyError(
                "the time of the idempotency key is in the future"
            )
        if self.issued_at < now - window:
            raise IdempotencyKeyError(
                f"the idempotency key is older than {int(window.total_seconds())} s; "
                "look up the booking before you book again"
            )


def parse_key(team: str, text: str) -> BookingKey:
    """Return the key from the value of a header.

    Raises IdempotencyKeyError unless the value is a UUIDv7 (RFC 9562).
    """
    try:
        value = uuid.UUID(text)
    except ValueError:
        raise IdempotencyKeyError("the idempotency key is not a UUID") from None
    if value.version != _UUID_VERSION:
        raise IdempotencyKeyError("the idempotency key is not a UUID of version 7")
    milliseconds = value.int >> _TIMESTAMP_SHIFT_BITS
    try:
        issued_at = datetime.fromtimestamp(milliseconds / _MILLISECONDS_PER_SECOND, UTC)
    except (ValueError, OverflowError, OSError):
        raise IdempotencyKeyError("the idempotency key has an invalid time") from None
    return BookingKey(team, str(value), issued_at)
