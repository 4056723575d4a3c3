"""Server side of HTTP/1.1 connections from callers."""

import asyncio
import logging

import h11

from carobladder.exceptions import CallerError, CallerGoneError, RequestTimeoutError
from carobladder.gateway.bodies import RequestBody
from carobladder.gateway.bodymemory import BodyReservation
from carobladder.gateway.endings import WHOLE_ANSWER_STATES, ConnectionEnd, EndRecorder
from carobladder.gateway.exchanges import Exchange
from carobladder.gateway.headchecks import (
    HeadCheck,
    HeadRefusedError,
    read_declared_length,
)
from carobladder.gateway.intake import CallerIntake
from carobladder.gateway.ports import Request
from carobladder.gateway.requests import (
    RequestLimits,
    build_end_error,
    build_request,
    convert_protocol_error,
    create_parser,
    create_request_id,
    validate_head,
)
from carobladder.gateway.sending import AnswerSender
from carobladder.gateway.serverstate import ServerState
from carobladder.telemetry import log_event

__all__ = ["CallerConnection"]

# Time for which bytes are discarded after an early response.
_LINGER_SECONDS = 1.0
# Time for the next request on a connection whose idle time was not announced.
_UNANNOUNCED_IDLE_SECONDS = 0.5


class CallerConnection(asyncio.Protocol):
    """Connection of a caller, whose requests are handled in order.

    The task of the connection is cancelled when the caller closes it, which also
    cancels the request at its target. A caller that closes only its sending side is
    treated in the same way, because the two cases cannot be distinguished.
    """

    def __init__(self, state: ServerState) -> None:
        self._state = state
        self._loop = asyncio.get_running_loop()
        self._limits_before = state.limits
        self._http = create_parser(state.limits)
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._bytes_arrived: asyncio.Future[None] | None = None
        self._wait_began = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._idle = True
        self._handling = False
        self._usable_until = 0.0
        self._recorder = EndRecorder(state.metrics.connections, state.clock)
        self._intake: CallerIntake | None = None
        self._sender: AnswerSender | None = None
        self._reservation: BodyReservation | None = None

    @property
    def _limits(self) -> RequestLimits:
        """The wider of the limits now and as the request or idle time began.

        The caller may know either.
        """
        before, now = self._limits_before, self._state.limits
        return now if before is now else before.widen(now)

    @property
    def has_next_request(self) -> bool:
        """Whether bytes of the next request have been read already."""
        return bool(self._http.trailing_data[0])

    @property
    def writing_paused(self) -> bool:
        """Whether the send buffer is full because the caller reads slowly."""
        return self._open_sender.paused

    @property
    def _open_intake(self) -> CallerIntake:
        assert self._intake is not None
        return self._intake

    @property
    def _open_sender(self) -> AnswerSender:
        assert self._sender is not None
        return self._sender

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the task that handles the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._intake = CallerIntake(transport, self._cancel)
        self._sender = AnswerSender(
            transport,
            self._recorder,
            self._state.send_memory,
            lambda: self._limits.stalled_write_seconds,
        )
        self._state.add(self)
        self._task = self._loop.create_task(self._run())

    def data_received(self, data: bytes) -> None:
        """Buffer bytes until the task asks for the next event."""
        if self._open_intake.discarding:
            self._open_intake.add(len(data))
            return
        # Set here and not by the task: before the task runs, a drain could close this
        # connection as idle.
        self._idle = False
        self._http.receive_data(data)
        self._open_intake.add(len(data))
        _wake(self._bytes_arrived)

    def eof_received(self) -> bool:
        """Treat the end of the caller's bytes as the end of the connection."""
        self._cancel()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the request that is being handled."""
        assert self._task is not None
        assert self._transport is not None
        self._open_intake.stop_checks()
        self._open_sender.end()
        self._recorder.report(self._http, self._transport)
        self._task.cancel()
        self._task.add_done_callback(lambda _: self._state.remove(self))

    def pause_writing(self) -> None:
        """Record that the send buffer is full because the caller reads slowly."""
        self._open_sender.pause()

    def resume_writing(self) -> None:
        """Resume a handler that waits for space in the send buffer."""
        self._open_sender.resume()

    def close_if_idle(self) -> None:
        """Close the connection if it is waiting for its next request.

        Bytes that wait in the socket are read before the second of two iterations.
        """
        self._loop.call_soon(self._loop.call_soon, self._close_if_still_idle)

    def _close_if_still_idle(self) -> None:
        if not self._idle or self._transport is None:
            return
        if self._state.ended or self._loop.time() >= self._usable_until:
            self._close(ConnectionEnd.IDLE_IN_DRAIN)
        else:
            self._loop.call_at(self._usable_until, self.close_if_idle)

    def end_request(self) -> None:
        """Refuse the request that is being read, or cancel the one that is handled."""
        if self._handling:
            self._recorder.note(ConnectionEnd.INSTANCE_ENDED)
            self._cancel()
        elif self._idle:
            self.close_if_idle()
        else:
            _wake(self._bytes_arrived)

    def abort(self) -> None:
        """Abort the connection and cancel its request."""
        self._recorder.note(ConnectionEnd.INSTANCE_ENDED)
        self._cancel()
        if self._transport is not None:
            self._transport.abort()

    def write(self, event: h11.Event) -> None:
        """Send an event; raise CallerGoneError if the connection is closed."""
        self._open_sender.check_open()
        self._open_sender.write(self._http.send(event) or b"")

    async def drain(self) -> None:
        """Wait while the send buffer is full."""
        await self._open_sender.drain()

    def _cancel(self) -> None:
        if self._task is not None:
            self._task.cancel()

    def _abort_transport(self, end: ConnectionEnd) -> None:
        assert self._transport is not None
        self._recorder.note(end)
        self._transport.abort()

    async def _run(self) -> None:
        try:
            while await self._serve_next():
                self._release_body()
        except asyncio.CancelledError:
            if self._idle or self._http.our_state in WHOLE_ANSWER_STATES:
                self._close(ConnectionEnd.CALLER_CLOSED)
            else:
                self._abort_transport(ConnectionEnd.CALLER_CLOSED)
        except CallerGoneError:
            self._abort_transport(ConnectionEnd.CALLER_CLOSED)
        except h11.LocalProtocolError as error:
            log_event("response is not valid HTTP", logging.ERROR, error=str(error))
            self._abort_transport(ConnectionEnd.ANSWER_BROKEN)
        finally:
            self._release_body()

    def _release_body(self) -> None:
        if self._reservation is not None:
            self._reservation.release()
            self._reservation = None

    async def _serve_next(self) -> bool:
        """Handle one request; return whether another may follow."""
        request_id = create_request_id()
        exchange = Exchange(self, self._state, request_id)
        try:
            request = await self._read_request(request_id)
        except HeadRefusedError as error:
            await self._refuse_early(error, exchange)
            return False
        except CallerError as error:
            exchange.keep_alive = False
            await exchange.send_error(error)
            self._linger(_LINGER_SECONDS)
            return False
        if request is None:
            self._close(ConnectionEnd.IDLE_TIMEOUT)
            return False
        exchange.head_only = request.method == "HEAD"
        exchange.keep_alive = self._http.their_state is h11.DONE
        self._handling = True
        await exchange.handle(request)
        await self.drain()
        self._handling = False
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
            self._recorder.answer_count += 1
            self._note_reuse()
            return True
        if self._http.our_state is h11.MUST_CLOSE:
            self._close(ConnectionEnd.ANSWERED)
        else:
            self._abort_transport(ConnectionEnd.ANSWER_BROKEN)
        return False

    async def _refuse_early(
        self, refusal: HeadRefusedError, exchange: Exchange
    ) -> None:
        """Send the refusal of a request, whose caller may still send its body."""
        exchange.keep_alive = False
        exchange.head_only = refusal.request.method == "HEAD"
        handler = self._state.head_handler
        assert handler is not None
        await handler.refuse(refusal.request, refusal.error, exchange)
        self._linger(self._limits.read_seconds)

    def _note_reuse(self) -> None:
        """Note until when the caller may use the connection for another request.

        The headers of a response may have been sent before a drain, and have announced
        no close.
        """
        idle_seconds = self._state.announced_idle_seconds or _UNANNOUNCED_IDLE_SECONDS
        self._usable_until = self._loop.time() + idle_seconds
        if self._state.draining:
            self._loop.call_at(self._usable_until, self.close_if_idle)

    async def _read_request(self, request_id: str) -> Request | None:
        """Return the next request, or None after the idle timeout."""
        self._idle = not self.has_next_request
        try:
            if self._idle and not await self._wait_while_idle():
                return None
            self._idle = False
            self._renew_limits()
            request = await self._parse_request(request_id)
        except TimeoutError:
            raise RequestTimeoutError(
                f"the request was not complete after {self._limits.read_seconds} s"
            ) from None
        except h11.RemoteProtocolError as error:
            raise convert_protocol_error(error, self._limits) from None
        if self._state.ended:
            raise build_end_error()
        return request

    def _renew_limits(self) -> None:
        """Begin an idle time or a request with the present limits."""
        self._wait_began = self._loop.time()
        limits = self._state.limits
        if limits.max_header_bytes != self._limits_before.max_header_bytes:
            unparsed_bytes, _ = self._http.trailing_data
            self._http = create_parser(limits)
            if unparsed_bytes:
                self._http.receive_data(unparsed_bytes)
        self._limits_before = limits

    async def _wait_while_idle(self) -> bool:
        """Return whether bytes arrived before the idle timeout."""
        self._renew_limits()
        try:
            await self._wait_for_bytes()
        except TimeoutError:
            # Bytes that wait in the socket are read meanwhile.
            await asyncio.sleep(0)
            return not self._idle
        return True

    async def _parse_request(self, request_id: str) -> Request:
        waited_seconds = self._find_wait()
        received = self._state.clock.monotonic() - waited_seconds
        head = await self._next_event()
        if not isinstance(head, h11.Request):
            raise CallerGoneError("the caller closed its connection")
        validate_head(head, self._limits)
        check = HeadCheck(self._state, head, request_id, received)
        waits = self._http.they_are_waiting_for_100_continue
        self._reservation = BodyReservation(self._state.body_memory, self._read_end)
        body = RequestBody(check, self._reservation)
        body.begin(read_declared_length(head), is_awaited=waits)
        if waits:
            self.write(h11.InformationalResponse(status_code=100, headers=[]))
        while not isinstance(event := await self._next_event(), h11.EndOfMessage):
            assert isinstance(event, h11.Data)
            body.add(bytes(event.data), self._limits)
        if waited_seconds and self._open_intake.has_left():
            raise CallerGoneError("the caller left while its request was not read")
        # Reading goes on while the request is handled, to see its caller leave.
        self._open_intake.settle(len(self._http.trailing_data[0]))
        return build_request(
            head,
            body.join(),
            request_id,
            received,
            server_end=self._state.end,
        )

    def _find_wait(self) -> float:
        """Return how long the first bytes of the request have waited to be read."""
        if self._state.holds is None or self._transport is None:
            return 0.0
        return self._state.holds.find_wait(self._transport.get_extra_info("socket"))

    async def _next_event(self) -> object:
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            await self._wait_for_bytes()

    async def _wait_for_bytes(self) -> None:
        """Wait for more bytes after all received bytes have been parsed.

        Raises TimeoutError after the idle timeout, or the one of a request, and
        ShuttingDownError if the server has ended.
        """
        if self._state.ended and not self._idle:
            raise build_end_error()
        self._open_intake.settle(0)
        self._bytes_arrived = self._loop.create_future()
        self._set_timer()
        try:
            await self._bytes_arrived
        finally:
            self._bytes_arrived = None
            if self._timer is not None:
                self._timer.cancel()

    @property
    def _read_end(self) -> float:
        """Monotonic time at which reading the request is given up."""
        waited_seconds = self._loop.time() - self._wait_began
        remaining_seconds = self._limits.read_seconds - waited_seconds
        return self._state.clock.monotonic() + remaining_seconds

    @property
    def _wait_end(self) -> float:
        limits = self._limits
        seconds = limits.idle_seconds if self._idle else limits.read_seconds
        return self._wait_began + seconds

    def _set_timer(self) -> None:
        self._timer = self._loop.call_at(self._wait_end, self._end_wait)

    def _end_wait(self) -> None:
        """End the wait for bytes, unless bytes have arrived.

        A busy event loop first reads the bytes that waited in the socket, then calls
        this. Cancelling the task, as asyncio.timeout does, would lose sight of them.
        """
        waiter = self._bytes_arrived
        if waiter is None or waiter.done():
            return
        if self._loop.time() < self._wait_end:
            self._set_timer()  # New limits allow more time.
        else:
            waiter.set_exception(TimeoutError())

    def _close(self, end: ConnectionEnd) -> None:
        """Close the connection once its caller has taken what was sent."""
        self._recorder.note(end)
        self._open_sender.close()

    def _linger(self, limit_seconds: float) -> None:
        transport = self._transport
        assert transport is not None
        self._recorder.note(ConnectionEnd.REFUSED)
        if transport.is_closing():
            return
        if transport.can_write_eof():
            transport.write_eof()
        self._open_intake.discard(limit_seconds)


def _wake(waiter: asyncio.Future[None] | None) -> None:
    if waiter is not None and not waiter.done():
        waiter.set_result(None)
