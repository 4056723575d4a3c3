"""Headers of HTTP messages."""

from collections.abc import Iterable

__all__ = ["Headers", "encode_headers"]

# Names, in lower case where they were received, and values in their order.
Headers = tuple[tuple[str, str], ...]


def encode_headers(headers: Iterable[tuple[str, str]]) -> list[tuple[bytes, bytes]]:
    """Return the headers as bytes, received ones with the bytes that they had.

    Values may hold bytes outside ASCII, which are decoded as Latin-1.
    """
    return [
        (name.encode("latin-1"), value.encode("latin-1")) for name, value in headers
    ]
