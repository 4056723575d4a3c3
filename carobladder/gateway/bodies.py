"""Bodies of requests while they are read."""

from carobladder.exceptions import MemoryShortError
from carobladder.gateway.bodymemory import BodyReservation
from carobladder.gateway.headchecks import SHORT_BODY_BYTES, HeadCheck
from carobladder.gateway.requests import RequestLimits, build_body_too_large_error

__all__ = ["RequestBody"]

# Memory for a body of unknown length is reserved in steps of this size.
_STEP_BYTES = 65_536


class RequestBody:
    """Body of one request, for which memory is reserved if it is long."""

    def __init__(self, check: HeadCheck, reservation: BodyReservation) -> None:
        self._check = check
        self._reservation = reservation
        self._size = 0
        self._parts: list[bytes] = []

    def begin(self, declared_bytes: int, *, is_awaited: bool) -> None:
        """Check the head, and reserve memory for the declared length.

        ``is_awaited`` states that the caller waits before it sends the body. Raises
        HeadRefusedError, or MemoryShortError if no handler takes it.
        """
        is_long = declared_bytes > SHORT_BODY_BYTES
        if is_long or is_awaited:
            self._check.run()
        if is_long:
            self._reserve(declared_bytes)

    def add(self, data: bytes, limits: RequestLimits) -> None:
        """Add bytes that arrived.

        Raises BodyTooLargeError, and the errors of ``begin``.
        """
        self._size += len(data)
        if self._size > limits.max_body_bytes:
            raise build_body_too_large_error(limits)
        if self._size > SHORT_BODY_BYTES:
            self._check.run()
            missing_bytes = self._size - self._reservation.size
            if missing_bytes > 0:
                self._reserve(max(missing_bytes, _STEP_BYTES))
        self._parts.append(data)

    def join(self) -> bytes:
        """Return the whole body."""
        self._reservation.is_read = True
        body = b"".join(self._parts)
        self._parts.clear()
        return body

    def _reserve(self, size: int) -> None:
        try:
            self._reservation.grow(size)
        except MemoryShortError as error:
            self._check.refuse(error)
