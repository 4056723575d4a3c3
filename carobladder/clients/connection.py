"""One HTTP/1.1 connection to a server, driven by h11."""

import asyncio
from collections.abc import Callable

import h11

from carobladder.clients.reads import (
    EVENTS_IN_A_TURN,
    LateReads,
    ReadFlow,
    SharedReads,
)
from carobladder.clients.sockets import enable_keepalive
from carobladder.exceptions import AnswerOverdueError, ConnectionBrokenError

__all__ = ["DEFAULT_IDLE_SECONDS", "ClientConnection", "DeadlineExtender", "Sink"]

Sink = Callable[[bytes], bool]
# Called when a deadline has passed; returns the seconds to go on waiting, or 0 to give
# the response up.
DeadlineExtender = Callable[[], float]

_MAX_ANSWER_HEADER_BYTES = 65_536
# Below the usual keep-alive timeout of servers, so that few pooled connections are
# stale.
DEFAULT_IDLE_SECONDS = 4.0
# Interim responses (1xx) that may precede the final response.
_MAX_INTERIM_ANSWERS = 16


class ClientConnection(asyncio.BufferedProtocol):
    """Client side of a persistent connection, which serves one request at a time."""

    def __init__(self, address: str, reads: SharedReads) -> None:
        self.address = address
        self.reused = False
        self.idle_since = 0.0
        self.idle_seconds = DEFAULT_IDLE_SECONDS
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
        self._buffer = reads.buffer
        self._flow = ReadFlow(reads, self._continue_parsing)
        # Whether parsing waits for a turn, as the bytes at hand hold many events.
        self._parsing_paused = False
        self._request: h11.Request | None = None
        self._sink: Sink | None = None
        self._push_result: asyncio.Future[bool] | None = None
        self._deadline = 0.0
        self._extend_deadline: DeadlineExtender | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._late_reads = LateReads()

    @property
    def usable(self) -> bool:
        """Whether the connection is open for a request."""
        transport = self._transport
        return not (
            self._lost or self._eof or transport is None or transport.is_closing()
        )

    @property
    def transport(self) -> asyncio.Transport | None:
        """Transport of the connection, or None before it is connected."""
        return self._transport

    def is_stale(self, now: float) -> bool:
        """Return whether the server may have closed the connection as idle."""
        return now - self.idle_since > self.idle_seconds

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._flow.start(transport)

    def enable_keepalive(self, seconds: float) -> None:
        """Let the kernel close the connection if the peer's kernel sends no ACKs."""
        if self._transport is not None:
            enable_keepalive(self._transport, seconds)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that all connections read into, one after the other."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Feed the parser, or abort the connection if no request is in flight."""
        if self._idle:
            self.abort()
            return
        self.answer_started = True
        self._http.receive_data(bytes(self._buffer[:nbytes]))
        self._flow.note_received(nbytes)
        if self._sink is not None:
            self._push_received(self._sink)
        self._flow.pause_if_full()
        self._wake()

    def eof_received(self) -> bool:
        """Pass the end of input to the parser and close this side too."""
        self._eof = True
        if not self._idle:
            self._http.receive_data(b"")
        if self._sink is not None:
            self._push_received(self._sink)
        self._wake()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Wake the reader, which then raises ConnectionBrokenError."""
        self._lost = True
        self._flow.close()
        self._cancel_timer()
        self._wake()
        if self._push_result is not None and not self._push_result.done():
            self._push_result.set_exception(
                self._build_error("connection closed inside the answer")
            )

    def abort(self) -> None:
        """Close the connection immediately, which cancels the request at the server."""
        self._lost = True
        self._flow.close()
        self._cancel_timer()
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close the connection after the bytes that were written."""
        self._lost = True
        self._cancel_timer()
        if self._transport is not None:
            self._transport.close()

    def send(self, request: h11.Request, body: bytes) -> None:
        """Write the whole request.

        Raises ConnectionBrokenError if the connection is closed already.
        """
        if not self.usable:
            raise self._build_error("connection closed before the request was written")
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

    async def read_response(
        self, deadline: float, extend_deadline: DeadlineExtender | None = None
    ) -> h11.Response:
        """Return the status line and headers of the response.

        ``deadline`` is in the event loop's time. Raises ConnectionBrokenError.
        """
        self._arm_timer(deadline, extend_deadline)
        interim_answers = 0
        while True:
            event = self._next_event()
            if isinstance(event, h11.Response):
                return event
            if event is h11.NEED_DATA:
                await self._wait()
            elif not isinstance(event, h11.InformationalResponse):
                raise self._build_error("connection closed before the answer")
            else:
                interim_answers += 1
                if interim_answers > _MAX_INTERIM_ANSWERS:
                    raise self._build_error("too many interim responses")

    async def read_data(
        self, timeout_seconds: float, extend_deadline: DeadlineExtender | None = None
    ) -> bytes:
        """Return the next bytes of the body, or ``b""`` at its end.

        Raises ConnectionBrokenError.
        """
        self._arm_timer(self._loop.time() + timeout_seconds, extend_deadline)
        while self._parsing_paused and not self._lost:
            await self._wait()
        parts: list[bytes] = []
        while True:
            event = self._next_event()
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                if self._pause_parsing(len(parts)):
                    return b"".join(parts)
            elif event is h11.NEED_DATA:
                if parts:
                    return parts[0] if len(parts) == 1 else b"".join(parts)
                await self._wait()
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            else:
                raise self._build_error("connection closed inside the answer")

    async def skip_answer(self, deadline: float) -> None:
        """Discard the current response and expect another one for the same request.

        A server may send a late response to an earlier request before the right one.
        ``deadline`` is in the event loop's time. Raises ConnectionBrokenError.
        """
        while not self.answer_complete:
            await self.read_data(max(0.0, deadline - self._loop.time()))
        rest, _ = self._http.trailing_data
        if self._http.their_state is not h11.DONE or self._request is None:
            raise self._build_error(
                "connection ended after the response to another request"
            )
        # h11 accepts one response for each request, so a new parser is put into the
        # state after sending the same request.
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

    async def push_data(
        self,
        sink: Sink,
        timeout_seconds: float,
        extend_deadline: DeadlineExtender | None = None,
    ) -> bool:
        """Pass the body to ``sink`` as it arrives; return True at its end.

        Return False once ``sink`` returned false. No byte extends the timeout, as only
        ``extend_deadline`` can tell whether the body has gone on. The bytes go from the
        socket to the sink within one callback, because waking a task for each chunk
        costs about as much as the rest of its path. Raises ConnectionBrokenError and
        what ``sink`` raises.
        """
        self._arm_timer(self._loop.time() + timeout_seconds, extend_deadline)
        at_end = self._push(sink)
        if at_end is not None:
            return at_end
        if self._lost:
            raise self._build_error("connection closed inside the answer")
        self._sink = sink
        pushed = self._push_result = self._loop.create_future()
        try:
            return await pushed
        finally:
            self._sink = None
            self._push_result = None
            if pushed.done() and not pushed.cancelled():
                # Marks the exception as retrieved if the task was cancelled meanwhile.
                pushed.exception()

    def finish_cycle(self) -> bool:
        """Prepare for the next request; return whether the connection can be reused."""
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
        self._extend_deadline = None
        self.request_written = False
        self._parsing_paused = False
        self._flow.reset()
        return True

    @property
    def answer_complete(self) -> bool:
        """Whether the whole response was received and parsed."""
        return self._http.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)

    def _push_received(self, sink: Sink) -> None:
        pushed = self._push_result
        if pushed is None or pushed.done():
            return
        try:
            at_end = self._push(sink)
        except Exception as error:
            self._sink = None
            pushed.set_exception(error)
            return
        if at_end is not None:
            self._sink = None
            pushed.set_result(at_end)

    def _push(self, sink: Sink) -> bool | None:
        """Return True at the end, False if the sink stops, None to go on later."""
        count = 0
        while True:
            event = self._next_event()
            if type(event) is h11.Data:
                if not sink(bytes(event.data)):
                    return False
                count += 1
                if self._pause_parsing(count):
                    return None
            elif event is h11.NEED_DATA:
                return None
            elif isinstance(event, h11.EndOfMessage):
                return True
            else:
                raise self._build_error("connection closed inside the answer")

    def _next_event(self) -> object:
        try:
            event = self._http.next_event()
        except h11.RemoteProtocolError as error:
            # What follows the kind of the fault may quote another caller's answer.
            kind = str(error).partition(":")[0]
            raise self._build_error(f"invalid answer: {kind}") from None
        if event is h11.NEED_DATA:
            self._flow.note_consumed(len(self._http.trailing_data[0]))
        return event

    def _pause_parsing(self, count: int) -> bool:
        """Return whether to go on in a later turn after this number of events."""
        if count < EVENTS_IN_A_TURN or self._eof or self._lost:
            return False
        self._parsing_paused = True
        self._flow.wait_for_turn()
        return True

    def _continue_parsing(self) -> None:
        if not self._parsing_paused:
            return
        self._parsing_paused = False
        if self._sink is not None:
            self._push_received(self._sink)
        self._wake()

    async def _wait(self) -> None:
        if self._lost:
            raise self._build_error("connection closed inside the answer")
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _arm_timer(
        self, deadline: float, extend_deadline: DeadlineExtender | None = None
    ) -> None:
        """Set the deadline; keep the running timer if it fires earlier.

        Rescheduling only when the timer fires, and not for each chunk, keeps the
        cost of the deadline out of the path of a relayed chunk.
        """
        self._deadline = deadline
        self._extend_deadline = extend_deadline
        if deadline > self._loop.time():
            self._late_reads.reset()
        if self._timer is not None and self._timer.when() > self._deadline:
            self._cancel_timer()
        if self._timer is None:
            self._timer = self._loop.call_at(self._deadline, self._check_deadline)

    def _has_unhandled_bytes(self) -> bool:
        """Return whether bytes have come that wait for an iteration or a turn."""
        is_woken = self._waiter is not None and self._waiter.done()
        return is_woken or self._parsing_paused or self._flow.waits_for_turn

    def _check_deadline(self) -> None:
        """Give the response up, unless there is time or bytes have come in time.

        An event loop that was held reads these only in the iteration of this check.
        """
        self._timer = None
        now = self._loop.time()
        if now < self._deadline:
            self._timer = self._loop.call_at(self._deadline, self._check_deadline)
        elif self._waiter is None and self._push_result is None:
            return
        elif self._late_reads.go_on(self._has_unhandled_bytes()):
            self._timer = self._loop.call_at(now, self._check_deadline)
        else:
            seconds = self._extend_deadline() if self._extend_deadline else 0.0
            if seconds > 0.0:
                self._deadline = now + seconds
                self._late_reads.reset()
                self._timer = self._loop.call_at(self._deadline, self._check_deadline)
                return
            self.timed_out = True
            self.abort()
            self._wake()

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _build_error(self, reason: str) -> ConnectionBrokenError:
        kind = ConnectionBrokenError
        if self.timed_out:
            kind = AnswerOverdueError
            reason = "the response did not go on before the deadline"
        return kind(
            f"{self.address}: {reason}; try another target",
            request_written=self.request_written,
            answer_started=self.answer_started,
        )
