"""Bound on the bytes that peers make the process keep."""

__all__ = ["MemoryBudget"]


class MemoryBudget:
    """Bytes that several holders may keep together.

    A holder may keep as much as it leaves free. So a request for memory is refused to
    those that hold much before those that hold little, whatever their number, and one
    holder alone gets at most half of the limit.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0

    @property
    def free_bytes(self) -> int:
        """Bytes that are not reserved."""
        return self.limit_bytes - self.used_bytes

    def reserve(self, size: int, held: int = 0) -> bool:
        """Reserve ``size`` bytes; return False, and reserve nothing, if refused.

        ``held`` is the number of bytes that the same holder has reserved already.
        """
        if held + size > self.free_bytes - size:
            return False
        self.used_bytes += size
        return True

    def release(self, size: int) -> None:
        """Return reserved bytes.

        Raises ValueError if more are returned than are reserved.
        """
        if size > self.used_bytes:
            raise ValueError(
                f"{size} bytes released of {self.used_bytes} reserved; "
                "release each reservation once"
            )
        self.used_bytes -= size
