"""Decoding of what other writers have left in shared places."""

import msgspec

__all__ = ["DECODE_ERRORS", "MAX_PORT", "parse_port"]

# Errors that msgspec raises for some input; RecursionError for deeply nested fields,
# also for unknown ones that it skips.
DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
MAX_PORT = 65_535
_MAX_PORT_DIGITS = 5


def parse_port(text: str) -> int | None:
    """Return the TCP or UDP port that decimal ASCII digits name, or None."""
    if not (text.isascii() and text.isdigit() and len(text) <= _MAX_PORT_DIGITS):
        return None
    port = int(text)
    return port if 0 < port <= MAX_PORT else None
