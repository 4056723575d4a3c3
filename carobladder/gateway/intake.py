"""Reading of the bytes that a caller sends."""

import asyncio
import select
import socket
from collections.abc import Callable

__all__ = ["MAX_PIPELINED_BYTES", "CallerIntake"]

# Bytes beyond the current request after which reading pauses. One read of the
# transport may exceed it.
MAX_PIPELINED_BYTES = 65_536
# Interval in which a connection that is not read is checked for its caller.
_CHECK_SECONDS = 0.1
# After an early response the caller's bytes are discarded, because closing with unread
# bytes would reset the connection and lose the response.
_LINGER_SECONDS = 1.0
_LEFT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class CallerIntake:
    """Reading side of a caller's connection, which pauses while much is unparsed.

    The transport does not see the end of a connection that it does not read, so
    ``on_left`` is called if the caller closes the connection meanwhile. The kernel only
    tells so if all that the caller sent fits its receive buffer.
    """

    def __init__(self, transport: asyncio.Transport, on_left: Callable[[], None]):
        self._loop = asyncio.get_running_loop()
        self._transport = transport
        self._on_left = on_left
        self._unparsed_bytes = 0
        self._paused = False
        self.discarding = False
        self._arrived_at = 0.0
        self._check: asyncio.TimerHandle | None = None

    def add(self, byte_count: int) -> None:
        """Count bytes that arrived, and pause reading above the bound."""
        if self.discarding:
            self._arrived_at = self._loop.time()
            return
        self._unparsed_bytes += byte_count
        if self._unparsed_bytes > MAX_PIPELINED_BYTES and not self._paused:
            self._paused = True
            self._transport.pause_reading()
            self._schedule_check()

    def settle(self, unparsed_bytes: int) -> None:
        """Set the number of bytes that the parser left, and resume reading below it."""
        self._unparsed_bytes = unparsed_bytes
        if unparsed_bytes <= MAX_PIPELINED_BYTES:
            self.resume()

    def resume(self) -> None:
        """Resume reading."""
        if not self._paused:
            return
        self._paused = False
        self.stop_checks()
        self._transport.resume_reading()

    def discard(self, limit_seconds: float) -> None:
        """Discard all bytes, and abort the connection once the caller sends no more.

        The connection is aborted after ``limit_seconds`` at the latest, but not before
        the caller has had a second for the response.
        """
        self.discarding = True
        self._arrived_at = self._loop.time()
        self.resume()
        self._abort_when_silent(self._arrived_at + limit_seconds)

    def _abort_when_silent(self, ends_at: float) -> None:
        now = self._loop.time()
        silent_at = self._arrived_at + _LINGER_SECONDS
        if now >= silent_at or now >= ends_at:
            self._transport.abort()
            return
        self._loop.call_at(min(silent_at, ends_at), self._abort_when_silent, ends_at)

    def has_left(self) -> bool:
        """Return whether the caller has closed or reset the connection."""
        return _has_left(self._transport.get_extra_info("socket"))

    def stop_checks(self) -> None:
        """End the checks for the caller, as the connection is closed."""
        if self._check is not None:
            self._check.cancel()
            self._check = None

    def _schedule_check(self) -> None:
        self._check = self._loop.call_later(_CHECK_SECONDS, self._check_caller)

    def _check_caller(self) -> None:
        if self.has_left():
            self._check = None
            self._on_left()
        else:
            self._schedule_check()


def _has_left(sock: socket.socket) -> bool:
    """Return whether the peer has closed or reset the connection of a socket."""
    if sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return any(events & _LEFT_EVENTS for _, events in poll.poll(0))
