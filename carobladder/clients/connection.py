"""One HTTP/1.1 connection to a server, driven by h11."""

import asyncio
import socket
from collections.abc import Callable

import h11

from carobladder.exceptions import AnswerOverdueError, ConnectionBrokenError

__all__ = ["ClientConnection", "Sink"]

Sink = Callable[[bytes], bool]

_MAX_ANSWER_HEADER_BYTES = 65_536
_DEFAULT_IDLE_SECONDS = 4.0
# Interim answers (1xx) before the answer itself.
_MAX_INTERIM_ANSWERS = 16
_KEEP_ALIVE_PROBES = 3
_MS_PER_SECOND = 1000
# Reading from the socket stops while this much is not yet consumed.
_HIGH_WATER_BYTES = 262_144


class ClientConnection(asyncio.Protocol):
    """Carry one request at a time to a server."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.reused = False
        self.idle_since = 0.0
        self.idle_seconds = _DEFAULT_IDLE_SECONDS
        self.request_written = False
        self.answer_started = False
        self._loop = asyncio.get_running_loop()
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_ANSWER_HEADER_BYTES
        )
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._idle = True
        self._lost = False
        self._eof = False
        self.timed_out = False
        self._paused = False
        self._unread_bytes = 0
        self._request: h11.Request | None = None
        self._sink: Sink | None = None
        self._pushed: asyncio.Future[bool] | None = None
        self._gap_seconds = 0.0
        self._limit_at = 0.0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def usable(self) -> bool:
        """Tell whether a request may still be written."""
        transport = self._transport
        return not (
            self._lost or self._eof or transport is None or transport.is_closing()
        )

    def is_stale(self, now: float) -> bool:
        """Tell whether the server may have closed the connection for idleness."""
        return now - self.idle_since > self.idle_seconds

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def watch_for_silence(self, seconds: float) -> None:
        """Let the kernel end the connection when the peer's kernel is silent."""
        transport = self._transport
        handle = transport.get_extra_info("socket") if transport else None
        if handle is None:
            return
        whole_seconds = max(1, round(seconds / _KEEP_ALIVE_PROBES))
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, whole_seconds)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, whole_seconds)
        handle.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEP_ALIVE_PROBES - 1
        )
        handle.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            round(seconds * _MS_PER_SECOND),
        )

    def data_received(self, data: bytes) -> None:
        """Pass bytes on; bytes that no request asked for end the connection."""
        if self._idle:
            self.abort()
            return
        self.answer_started = True
        self._http.receive_data(data)
        if self._sink is not None:
            self._push_received(self._sink)
            return
        self._unread_bytes += len(data)
        if self._unread_bytes > _HIGH_WATER_BYTES and not self._paused:
            self._paused = True
            assert self._transport is not None
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Note the end of the server's bytes and close this side too."""
        self._eof = True
        if not self._idle:
            self._http.receive_data(b"")
        if self._sink is not None:
            self._push_received(self._sink)
        self._wake()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Wake the reader, which then fails."""
        self._lost = True
        self._cancel_timer()
        self._wake()
        if self._pushed is not None and not self._pushed.done():
            self._pushed.set_exception(
                self._broken("connection closed inside the answer")
            )

    def abort(self) -> None:
        """Close the connection at once, which cancels the request at the server."""
        self._lost = True
        self._cancel_timer()
        if self._transport is not None:
            self._transport.abort()

    def send(self, request: h11.Request, body: bytes) -> None:
        """Write the whole request."""
        if not self.usable:
            raise self._broken("connection closed before the request")
        self._idle = False
        self._request = request
        self.answer_started = False
        parts = [self._http.send(request) or b""]
        if body:
            parts.append(self._http.send(h11.Data(data=body)) or b"")
        parts.append(self._http.send(h11.EndOfMessage()) or b"")
        self.request_written = True
        assert self._transport is not None
        self._transport.write(b"".join(parts))

    async def read_response(self, limit_at: float) -> h11.Response:
        """Return the status line and headers of the answer, by the loop's time."""
        self._arm_timer(limit_at)
        interim_answers = 0
        while True:
            event = self._next_event()
            if isinstance(event, h11.Response):
                return event
            if event is h11.NEED_DATA:
                await self._wait()
            elif not isinstance(event, h11.InformationalResponse):
                raise self._broken("connection closed before the answer")
            else:
                interim_answers += 1
                if interim_answers > _MAX_INTERIM_ANSWERS:
                    raise self._broken("interim answers without end")

    async def read_data(self, timeout_seconds: float) -> bytes:
        """Return the next bytes of the body, or nothing at its end."""
        self._arm_timer(self._loop.time() + timeout_seconds)
        parts: list[bytes] = []
        while True:
            event = self._next_event()
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif event is h11.NEED_DATA:
                if parts:
                    return parts[0] if len(parts) == 1 else b"".join(parts)
                await self._wait()
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            else:
                raise self._broken("connection closed inside the answer")

    async def skip_answer(self, limit_at: float) -> None:
        """Read the present answer to its end and expect one more for the request.

        A server may send the late answer of an earlier request before the right one.
        """
        while not self.answer_complete:
            await self.read_data(max(0.0, limit_at - self._loop.time()))
        rest, _ = self._http.trailing_data
        if self._http.their_state is not h11.DONE or self._request is None:
            raise self._broken("the answer of another request ended the connection")
        # A new parser that believes to have sent the same request.
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_ANSWER_HEADER_BYTES
        )
        headers = [(n, v) for n, v in self._request.headers if n != b"content-length"]
        self._http.send(
            h11.Request(
                method=self._request.method,
                target=self._request.target,
                headers=headers,
            )
        )
        self._http.send(h11.EndOfMessage())
        if rest:
            self._http.receive_data(rest)

    async def push_data(self, sink: Sink, gap_seconds: float) -> bool:
        """Hand the body to ``sink`` as it arrives; return True at its end.

        Return False once ``sink`` returned false. The bytes go from the socket to
        the sink within one callback, because waking a task for each chunk costs
        about as much as the rest of its path.
        """
        self._gap_seconds = gap_seconds
        self._arm_timer(self._loop.time() + gap_seconds)
        at_end = self._push(sink)
        if at_end is not None:
            return at_end
        if self._lost:
            raise self._broken("connection closed inside the answer")
        self._sink = sink
        pushed = self._pushed = self._loop.create_future()
        try:
            return await pushed
        finally:
            self._sink = None
            self._pushed = None
            if pushed.done() and not pushed.cancelled():
                # Marks the error as seen if the task was cancelled meanwhile.
                pushed.exception()

    def finish_cycle(self) -> bool:
        """Prepare for the next request; tell whether the connection allows one."""
        self._cancel_timer()
        if not self.usable or self._http.trailing_data[0]:
            return False
        both_done = (
            self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        )
        if not both_done:
            return False
        self._http.start_next_cycle()
        self._idle = True
        self.request_written = False
        self._unread_bytes = 0
        if self._paused:
            self._resume()
        return True

    @property
    def answer_complete(self) -> bool:
        """Tell whether the whole answer was received and parsed."""
        return self._http.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)

    def _push_received(self, sink: Sink) -> None:
        pushed = self._pushed
        if pushed is None or pushed.done():
            return
        try:
            at_end = self._push(sink)
        except Exception as error:
            self._sink = None
            pushed.set_exception(error)
            return
        if at_end is None:
            self._limit_at = self._loop.time() + self._gap_seconds
        else:
            self._sink = None
            pushed.set_result(at_end)

    def _push(self, sink: Sink) -> bool | None:
        """Return True at the end, False if the sink stops, None to wait for bytes."""
        while True:
            event = self._next_event()
            if type(event) is h11.Data:
                if not sink(bytes(event.data)):
                    return False
            elif event is h11.NEED_DATA:
                return None
            elif isinstance(event, h11.EndOfMessage):
                return True
            else:
                raise self._broken("connection closed inside the answer")

    def _next_event(self) -> object:
        try:
            event = self._http.next_event()
        except h11.RemoteProtocolError as error:
            raise self._broken(f"invalid answer: {error}") from None
        if event is h11.NEED_DATA:
            self._unread_bytes = 0
            if self._paused:
                self._resume()
        return event

    def _resume(self) -> None:
        self._paused = False
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    async def _wait(self) -> None:
        if self._lost:
            raise self._broken("connection closed inside the answer")
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _arm_timer(self, limit_at: float) -> None:
        """Move the time limit; the running timer is kept if it fires earlier.

        Re-arming once for each firing instead of for each chunk keeps the cost of
        the limit out of the path of a relayed chunk.
        """
        self._limit_at = limit_at
        if self._timer is not None and self._timer.when() > self._limit_at:
            self._cancel_timer()
        if self._timer is None:
            self._timer = self._loop.call_at(self._limit_at, self._check_limit)

    def _check_limit(self) -> None:
        self._timer = None
        if self._loop.time() < self._limit_at:
            self._timer = self._loop.call_at(self._limit_at, self._check_limit)
        elif self._waiter is not None or self._pushed is not None:
            self.timed_out = True
            self.abort()
            self._wake()

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _broken(self, reason: str) -> ConnectionBrokenError:
        kind = ConnectionBrokenError
        if self.timed_out:
            kind = AnswerOverdueError
            reason = "no bytes of the answer within the time limit"
        return kind(
            f"{self.address}: {reason}; try another target",
            request_written=self.request_written,
        )
