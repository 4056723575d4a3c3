"""Identifiers of configuration changes."""

import secrets
import uuid
from datetime import datetime, timedelta

from carobladder.exceptions import MalformedRequestError

__all__ = ["CHANGE_ID_AGE", "check_change_id", "new_change_id"]

# The catalog recognises repeated ids among its newest changes only, so an old id
# must not be accepted again.
CHANGE_ID_AGE = timedelta(minutes=15)
_VERSION = 7
_RANDOM_BITS = 80
_TIMESTAMP_SHIFT = 80
_VERSION_SHIFT = 76
_VARIANT_SHIFT = 62


def new_change_id(now: datetime) -> str:
    """Return a UUIDv7."""
    milliseconds = int(now.timestamp() * 1000)
    value = milliseconds << _TIMESTAMP_SHIFT | secrets.randbits(_RANDOM_BITS)
    value &= ~(0xF << _VERSION_SHIFT) & ~(0x3 << _VARIANT_SHIFT)
    value |= _VERSION << _VERSION_SHIFT | 0x2 << _VARIANT_SHIFT
    return str(uuid.UUID(int=value))


def check_change_id(text: str, now: datetime) -> str:
    """Return a caller's change id in canonical form.

    Raises MalformedRequestError for another form, or an id older than CHANGE_ID_AGE.
    """
    try:
        identifier = uuid.UUID(text)
    except ValueError:
        identifier = uuid.UUID(int=0)
    if identifier.version != _VERSION:
        raise MalformedRequestError("change_id is not a UUIDv7")
    made_seconds = (identifier.int >> _TIMESTAMP_SHIFT) / 1000
    if abs(now.timestamp() - made_seconds) > CHANGE_ID_AGE.total_seconds():
        raise MalformedRequestError("change_id is older than 15 minutes; use a new one")
    return str(identifier)
