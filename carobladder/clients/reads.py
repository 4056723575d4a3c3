"""Bounds on what the connections of a client read and keep unread."""

import asyncio
from collections import deque
from collections.abc import Callable

from carobladder.exceptions import MemoryExceededError
from carobladder.memory import MemoryBudget

__all__ = ["EVENTS_IN_A_TURN", "LateReads", "ReadFlow", "SharedReads"]

# Bytes that are read from a socket at once.
_READ_BYTES = 16_384
# Reading pauses while more than this is neither parsed nor consumed.
_HIGH_WATER_BYTES = 16_384
# A connection that reads as much at once takes a turn: its peer may always have bytes
# ready.
_TURN_BYTES = 4096
# Events of the parser after which a connection waits for its next turn.
EVENTS_IN_A_TURN = 128
# Turns in one iteration of the event loop, in which all other requests wait.
_TURNS_IN_AN_ITERATION = 4

# Iterations of the event loop in which bytes at hand are read beyond a deadline, and
# those without any that end this: there may be a turn between two reads.
_MAX_LATE_ITERATIONS = 64
_MAX_QUIET_ITERATIONS = 2


class LateReads:
    """Bound on the iterations of the event loop that go on beyond a deadline."""

    def __init__(self) -> None:
        self._iterations = 0
        self._quiet_iterations = 0

    def reset(self) -> None:
        """Begin with a deadline that has not passed."""
        self._iterations = 0
        self._quiet_iterations = 0

    def go_on(self, has_bytes: bool) -> bool:
        """Return whether to read on in the next iteration; count this one."""
        self._iterations += 1
        self._quiet_iterations = 0 if has_bytes else self._quiet_iterations + 1
        return (
            self._iterations <= _MAX_LATE_ITERATIONS
            and self._quiet_iterations <= _MAX_QUIET_ITERATIONS
        )


class SharedReads:
    """What the connections of a client share to read: buffer, memory and turns."""

    def __init__(self, memory: MemoryBudget) -> None:
        self.memory = memory
        self.buffer = memoryview(bytearray(_READ_BYTES))
        self._waiting: deque[Callable[[], None]] = deque()
        self._is_scheduled = False

    def wait_for_turn(self, start_turn: Callable[[], None]) -> None:
        """Call ``start_turn`` in a later iteration of the event loop."""
        self._waiting.append(start_turn)
        self._schedule()

    def _schedule(self) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._start_turns)

    def _start_turns(self) -> None:
        self._is_scheduled = False
        for _ in range(min(_TURNS_IN_AN_ITERATION, len(self._waiting))):
            self._waiting.popleft()()
        self._schedule()


class ReadFlow:
    """Flow control of one connection.

    Reading pauses while a turn is awaited, and while the bytes that are not consumed
    exceed a limit or the memory that is left. ``on_turn`` is called when a turn starts.
    """

    def __init__(self, shared: SharedReads, on_turn: Callable[[], None]) -> None:
        self.waits_for_turn = False
        self._shared = shared
        self._on_turn: Callable[[], None] | None = on_turn
        self._transport: asyncio.Transport | None = None
        self._unread_bytes = 0
        self._reserved_bytes = 0
        self._is_full = False
        self._is_closed = False

    def start(self, transport: asyncio.Transport) -> None:
        """Control this transport."""
        self._transport = transport

    def note_received(self, size: int) -> None:
        """Record bytes that were passed to the parser."""
        self._unread_bytes += size
        if size >= _TURN_BYTES:
            self.wait_for_turn()

    def pause_if_full(self) -> None:
        """Reserve memory for the unread bytes; pause if they are too many."""
        missing = self._unread_bytes - self._reserved_bytes
        if missing > 0:
            has_memory = self._reserve(missing)
            self._is_full = not has_memory or self._unread_bytes > _HIGH_WATER_BYTES
            self._update_reading()

    def note_consumed(self, rest: int) -> None:
        """Record that the parser needs more than the ``rest`` bytes that it has.

        Raises MemoryExceededError if there is no memory for them.
        """
        self._unread_bytes = rest
        if rest < self._reserved_bytes:
            self._shared.memory.release(self._reserved_bytes - rest)
            self._reserved_bytes = rest
        elif not self._reserve(rest - self._reserved_bytes):
            raise MemoryExceededError(
                "a part of a response is not complete", rest, self._shared.memory
            )
        if self._is_full:
            self._is_full = False
            self._update_reading()

    def wait_for_turn(self) -> None:
        """Pause until the next turn."""
        if not self.waits_for_turn:
            self.waits_for_turn = True
            self._update_reading()
            self._shared.wait_for_turn(self._start_turn)

    def reset(self) -> None:
        """Forget the unread bytes at the end of a response."""
        self.note_consumed(0)

    def close(self) -> None:
        """Return the memory of a connection that has ended."""
        self._shared.memory.release(self._reserved_bytes)
        self._reserved_bytes = 0
        self._is_closed = True
        # Without this cycle the connection and its parser are freed at once, and not
        # only by the next full garbage collection.
        self._on_turn = None

    def _start_turn(self) -> None:
        self.waits_for_turn = False
        if self._on_turn is not None:
            self._on_turn()
            self._update_reading()

    def _reserve(self, size: int) -> bool:
        """Return whether there is memory; a closed connection needs none."""
        if self._is_closed or size == 0:
            return True
        if not self._shared.memory.reserve(size, self._reserved_bytes):
            return False
        self._reserved_bytes += size
        return True

    def _update_reading(self) -> None:
        if self._transport is None:
            return
        if self._is_full or self.waits_for_turn:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()
