"""Sending of the bytes of responses to a caller."""

import asyncio
from collections.abc import Callable

from carobladder.exceptions import CallerGoneError
from carobladder.gateway.endings import ConnectionEnd, EndRecorder
from carobladder.gateway.sendmemory import SendMemory

__all__ = ["AnswerSender"]


class AnswerSender:
    """Sending side of a caller's connection.

    ``get_stall_seconds`` returns the time after which the connection of a caller that
    takes nothing is aborted. ``paused`` is set while the send buffer is full.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        recorder: EndRecorder,
        memory: SendMemory,
        get_stall_seconds: Callable[[], float],
    ) -> None:
        self.paused = False
        self._loop = asyncio.get_running_loop()
        self._transport = transport
        self._recorder = recorder
        self._memory = memory
        self._get_stall_seconds = get_stall_seconds
        self._resumed: asyncio.Future[None] | None = None

    @property
    def unsent_bytes(self) -> int:
        """Bytes in the send buffer."""
        return self._transport.get_write_buffer_size()

    def write(self, data: bytes) -> None:
        """Add bytes to the send buffer."""
        if data:
            self._transport.write(data)
            if self.paused:
                self._memory.note_write(self)

    def check_open(self) -> None:
        """Raise CallerGoneError if the connection is closed."""
        if self._transport.is_closing():
            raise CallerGoneError("the caller closed its connection")

    def pause(self) -> None:
        """Record that the send buffer is full because the caller reads slowly."""
        self.paused = True

    def resume(self) -> None:
        """Resume a handler that waits for space in the send buffer."""
        self.paused = False
        self._memory.forget(self)
        if self._resumed is not None and not self._resumed.done():
            self._resumed.set_result(None)

    async def drain(self) -> None:
        """Wait while the send buffer is full.

        Aborts the connection and raises CallerGoneError once the caller has taken
        nothing during a timeout.
        """
        while self.paused:
            unsent_bytes = self._transport.get_write_buffer_size()
            self._resumed = self._loop.create_future()
            try:
                async with asyncio.timeout(self._get_stall_seconds()):
                    await self._resumed
            except TimeoutError:
                if self._transport.get_write_buffer_size() >= unsent_bytes:
                    self._recorder.note(ConnectionEnd.CALLER_STALLED)
                    self._transport.abort()
                    raise CallerGoneError(
                        "the caller stopped reading its response"
                    ) from None
            finally:
                self._resumed = None

    def cut(self) -> None:
        """Abort the connection, as unsent answers use too much memory."""
        self._recorder.note_cut(ConnectionEnd.CALLER_SLOW)
        self._transport.abort()

    def end(self) -> None:
        """Forget the connection, which is closed."""
        self._memory.forget(self)

    def close(self) -> None:
        """Close the connection once its caller has taken what was sent."""
        self._transport.close()
        self._watch_close()

    def _watch_close(self) -> None:
        """Abort the closed connection once its caller takes nothing any more."""
        if unsent_bytes := self._transport.get_write_buffer_size():
            seconds = self._get_stall_seconds()
            self._loop.call_later(seconds, self._abort_if_stalled, unsent_bytes)

    def _abort_if_stalled(self, unsent_bytes: int) -> None:
        if self._transport.get_write_buffer_size() >= unsent_bytes:
            self._transport.abort()
        else:
            self._watch_close()
