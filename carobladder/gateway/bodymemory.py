"""Memory that the long bodies of all requests together may use."""

from carobladder.clock import Clock
from carobladder.exceptions import MemoryShortError
from carobladder.memory import MemoryBudget

__all__ = ["BodyMemory", "BodyReservation"]

# A body that was read whole is released with its answer, whose time is not known.
_RETRY_SECONDS = 0.3


class BodyReservation:
    """Bytes that are reserved for one body.

    ``read_ends_at`` is the monotonic time at which reading the body is given up.
    """

    def __init__(self, memory: "BodyMemory", read_ends_at: float) -> None:
        self.size = 0
        self.is_read = False
        self.read_ends_at = read_ends_at
        self._memory = memory

    def grow(self, size: int) -> None:
        """Reserve ``size`` more bytes; raise MemoryShortError if they are not free."""
        self._memory.reserve(self, size)

    def release(self) -> None:
        """Return all bytes."""
        self._memory.release(self)


class BodyMemory:
    """Reservations of the bodies that are being read or handled.

    ``budget`` is None if there is no bound.
    """

    def __init__(self, budget: MemoryBudget | None, clock: Clock) -> None:
        self._budget = budget
        self._clock = clock
        self._holders: set[BodyReservation] = set()

    def reserve(self, holder: BodyReservation, size: int) -> None:
        """Reserve bytes; raise MemoryShortError if they are not free."""
        if self._budget is None:
            return
        if not self._budget.reserve(size, holder.size):
            raise MemoryShortError(
                "other requests with long bodies use the memory",
                self._find_retry_seconds(holder),
            )
        holder.size += size
        self._holders.add(holder)

    def release(self, holder: BodyReservation) -> None:
        """Return the bytes of a body."""
        if self._budget is not None:
            self._budget.release(holder.size)
        holder.size = 0
        self._holders.discard(holder)

    def _find_retry_seconds(self, refused: BodyReservation) -> float:
        """Return the seconds after which a body will have returned its bytes."""
        others = self._holders - {refused}
        if not others or any(other.is_read for other in others):
            return _RETRY_SECONDS
        soonest = min(other.read_ends_at for other in others)
        return max(_RETRY_SECONDS, soonest - self._clock.monotonic())
