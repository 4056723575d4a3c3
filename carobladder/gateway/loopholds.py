"""Times in which the event loop was held, and requests that waited for it."""

import asyncio
import socket
import struct

from carobladder.clock import Clock

__all__ = ["LoopHolds"]

_TICK_SECONDS = 0.25
# A later tick means that the loop was held, by a long callback or a paused process.
_HELD_SECONDS = 0.2
# What arrived while the loop was held is read within this time after it.
_BACKLOG_SECONDS = 0.5
# Offset of tcpi_last_data_recv in struct tcp_info, after eight bytes and 11 integers.
_LAST_DATA_OFFSET = 52
_INTEGER = struct.Struct("I")
_MS_PER_SECOND = 1000


class LoopHolds:
    """Watch for an event loop that is held, so that bytes wait in their sockets."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._ticked_at: float | None = None
        self._held_since = 0.0
        self._held_until = float("-inf")

    def start(self) -> None:
        """Watch the running event loop from now on."""
        if self._ticked_at is None:
            self._tick()

    def find_wait(self, sock: socket.socket) -> float:
        """Return for how many seconds the last bytes from a peer have waited at least.

        It is 0 unless the loop was held just before, and never longer than the hold.
        """
        held_seconds = self._find_hold()
        if not held_seconds:
            return 0.0
        return min(held_seconds, _read_data_age(sock))

    def _tick(self) -> None:
        now = self._clock.monotonic()
        if self._ticked_at is not None and self._is_late(now):
            self._held_since, self._held_until = self._ticked_at, now
        self._ticked_at = now
        asyncio.get_running_loop().call_later(_TICK_SECONDS, self._tick)

    def _is_late(self, now: float) -> bool:
        assert self._ticked_at is not None
        return now - self._ticked_at > _TICK_SECONDS + _HELD_SECONDS

    def _find_hold(self) -> float:
        """Return the time since the loop began to be held, or 0."""
        if self._ticked_at is None:
            return 0.0
        now = self._clock.monotonic()
        if self._is_late(now):
            return now - self._ticked_at
        if now - self._held_until <= _BACKLOG_SECONDS:
            return now - self._held_since
        return 0.0


def _read_data_age(sock: socket.socket) -> float:
    """Return the seconds since the kernel got data for a socket, 0 if it is unknown."""
    size = _LAST_DATA_OFFSET + _INTEGER.size
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size)
    except (OSError, ValueError):
        return 0.0
    if len(info) < size:
        return 0.0
    (milliseconds,) = _INTEGER.unpack_from(info, _LAST_DATA_OFFSET)
    return float(milliseconds) / _MS_PER_SECOND
