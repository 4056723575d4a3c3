"""Headers of HTTP messages."""

__all__ = ["Headers"]

# Names, in lower case where they were received, and values in their order.
Headers = tuple[tuple[str, str], ...]
