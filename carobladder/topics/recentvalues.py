"""Recent versions of long values, as bases of deltas."""

from collections import OrderedDict
from collections.abc import Sequence

from carobladder.fleet.deltas import (
    Delta,
    apply_delta,
    build_delta,
    compute_value_digest,
)

__all__ = ["LARGE_VALUE_BYTES", "RecentValues"]

# Shorter values are sent as they are.
LARGE_VALUE_BYTES = 4096
# Versions that instances are likely to have. In a quick succession they have one of the
# last few, at other times the last one.
_MAX_VALUES = 8
_MAX_BYTES = 4_194_304
# Bases that an instance names; an answerer may lack the newest one.
_NAMED_BASES = 2
_MAX_DELTAS = 16


class RecentValues:
    """Versions of the configuration that were in force here, the newest last."""

    def __init__(self) -> None:
        self._values: OrderedDict[bytes, bytes] = OrderedDict()
        self._deltas: OrderedDict[tuple[bytes, bytes], Delta] = OrderedDict()
        self._last: tuple[bytes, bytes] | None = None

    def note(self, value: bytes) -> None:
        """Add a version that was applied; drop the oldest beyond the limits."""
        if len(value) < LARGE_VALUE_BYTES:
            return
        digest = self._compute_digest(value)
        self._values[digest] = value
        self._values.move_to_end(digest)
        while len(self._values) > _MAX_VALUES or self._is_too_large():
            self._values.popitem(last=False)

    def list_bases(self) -> list[bytes]:
        """Return the digests of the newest versions, the newest first."""
        return list(reversed(self._values))[:_NAMED_BASES]

    def build_delta(self, value: bytes, bases: Sequence[bytes]) -> Delta:
        """Return a delta from the first known base, or the compressed value.

        Each is built once, since many instances ask for the same.
        """
        base = next((digest for digest in bases if digest in self._values), b"")
        key = base, self._compute_digest(value)
        delta = self._deltas.get(key)
        if delta is None:
            delta = build_delta(self._values[base] if base else b"", value)
            self._deltas[key] = delta
            if len(self._deltas) > _MAX_DELTAS:
                self._deltas.popitem(last=False)
        return delta

    def apply_delta(self, delta: Delta) -> bytes:
        """Return the value of a delta; raises ValueError, also for an unknown base."""
        if delta.result in self._values:
            return self._values[delta.result]
        base = self._values.get(delta.base, b"")
        return apply_delta(delta, base)

    def _compute_digest(self, value: bytes) -> bytes:
        if self._last is None or self._last[0] is not value:
            self._last = value, compute_value_digest(value)
        return self._last[1]

    def _is_too_large(self) -> bool:
        size = sum(len(value) for value in self._values.values())
        return size > _MAX_BYTES and len(self._values) > 1
