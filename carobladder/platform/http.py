"""HTTP/1.1 client with a connection pool for each target address."""

import asyncio
from collections.abc import Callable
from types import TracebackType
from typing import Self

import h11

from carobladder.clock import Clock
from carobladder.exceptions import ConnectionBrokenError, RequestWithheldError
from carobladder.platform.ports import HttpAnswer

__all__ = ["AnswerStream", "HttpClient"]

Headers = tuple[tuple[str, str], ...]
Sink = Callable[[bytes], bool]

_CONNECT_SECONDS = 2.0
# Below the usual keep-alive limit of servers, so that few pooled connections are stale.
_IDLE_SECONDS = 4.0
_MAX_IDLE_FOR_ADDRESS = 128
_MAX_ANSWER_HEADER_BYTES = 65_536
_MAX_ANSWER_BYTES = 67_108_864
# Reading from the socket stops while this much is not yet consumed.
_HIGH_WATER_BYTES = 262_144
_REPEATABLE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
_BODY_METHODS = frozenset({"POST", "PUT", "PATCH"})


class _Connection(asyncio.Protocol):
    """Carry one request at a time to a server."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.reused = False
        self.idle_since = 0.0
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

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

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
        while True:
            event = self._next_event()
            if isinstance(event, h11.Response):
                return event
            if event is h11.NEED_DATA:
                await self._wait()
            elif not isinstance(event, h11.InformationalResponse):
                raise self._broken("connection closed before the answer")

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
        if self.timed_out:
            reason = "no bytes of the answer within the time limit"
        return ConnectionBrokenError(
            f"{self.address}: {reason}; try another target",
            request_written=self.request_written,
        )


class AnswerStream:
    """Read the answer of one request piece by piece.

    Leaving the context before the end closes the connection, so that the rest of
    the answer can never reach another request.
    """

    def __init__(
        self, client: "HttpClient", connection: _Connection, response: h11.Response
    ) -> None:
        self.status = response.status_code
        self.headers: Headers = _decode_headers(response)
        self._client = client
        self._connection: _Connection | None = connection

    async def __aenter__(self) -> Self:
        """Return the stream itself."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the stream."""
        self.close()

    async def read(self, timeout_seconds: float) -> bytes:
        """Return the next bytes, or nothing at the end.

        Raises ConnectionBrokenError when the answer breaks off or pauses too long.
        """
        connection = self._connection
        if connection is None:
            return b""
        try:
            data = await connection.read_data(timeout_seconds)
        except BaseException:
            self.close()
            raise
        self._release_if_complete(connection)
        return data

    async def push(self, sink: Sink, gap_seconds: float) -> bool:
        """Hand the rest of the body to ``sink`` as it arrives.

        Return True at the end of the body and False once ``sink`` returned false;
        it may be called again then. Raises what ``sink`` raises, and
        ConnectionBrokenError when the answer breaks off or pauses too long.
        """
        connection = self._connection
        if connection is None:
            return True
        try:
            at_end = await connection.push_data(sink, gap_seconds)
        except BaseException:
            self.close()
            raise
        self._release_if_complete(connection)
        return at_end

    async def read_all(self, timeout_seconds: float) -> bytes:
        """Return the rest of the body; the time limit holds for all of it."""
        loop = asyncio.get_running_loop()
        limit_at = loop.time() + timeout_seconds
        parts = []
        size = 0
        while data := await self.read(max(0.0, limit_at - loop.time())):
            parts.append(data)
            size += len(data)
            if size > _MAX_ANSWER_BYTES:
                self.close()
                raise ConnectionBrokenError(
                    f"answer exceeds {_MAX_ANSWER_BYTES} bytes; request less at a time",
                    request_written=True,
                )
        return b"".join(parts)

    def _release_if_complete(self, connection: _Connection) -> None:
        if connection.answer_complete:
            self._connection = None
            self._client._release(connection)

    def close(self) -> None:
        """Close the connection if the answer was not read to its end."""
        if self._connection is not None:
            self._connection.abort()
            self._connection = None


class HttpClient:
    """Send requests to servers at IP:PORT over pooled connections."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._pool: dict[str, list[_Connection]] = {}
        self._prune_at = 0.0

    async def fetch(
        self,
        method: str,
        address: str,
        path: str,
        *,
        headers: Headers = (),
        body: bytes = b"",
        timeout_seconds: float,
        may_repeat: bool | None = None,
        fresh: bool = False,
    ) -> HttpAnswer:
        """Return the whole answer of the server; see ``open`` for the arguments."""
        loop = asyncio.get_running_loop()
        limit_at = loop.time() + timeout_seconds
        stream = await self.open(
            method,
            address,
            path,
            headers=headers,
            body=body,
            timeout_seconds=timeout_seconds,
            may_repeat=may_repeat,
            fresh=fresh,
        )
        async with stream:
            content = await stream.read_all(max(0.0, limit_at - loop.time()))
        return HttpAnswer(stream.status, stream.headers, content)

    async def open(
        self,
        method: str,
        address: str,
        path: str,
        *,
        headers: Headers = (),
        body: bytes = b"",
        timeout_seconds: float,
        may_repeat: bool | None = None,
        fresh: bool = False,
        confirm: Callable[[], bool] | None = None,
    ) -> AnswerStream:
        """Send a request and return its answer once the headers have arrived.

        ``may_repeat`` allows a second try when a pooled connection proves stale; by
        default it follows the method. ``fresh`` avoids pooled connections, so that a
        stale one cannot leave the outcome of the call in doubt. ``confirm`` is asked
        directly before the request is written.
        Raises ConnectionBrokenError with ``request_written``, or
        RequestWithheldError if ``confirm`` returned false.
        """
        if may_repeat is None:
            may_repeat = method in _REPEATABLE_METHODS
        request = _build_request(method, address, path, headers, body)
        loop = asyncio.get_running_loop()
        limit_at = loop.time() + timeout_seconds
        connection = None if fresh else self._take(address)
        if connection is not None:
            self._confirm(connection, confirm)
            try:
                return await self._exchange(connection, request, body, limit_at)
            except ConnectionBrokenError as error:
                stale = not (connection.answer_started or connection.timed_out)
                if not (stale and (may_repeat or not error.request_written)):
                    raise
        connection = await self._connect(address, limit_at)
        self._confirm(connection, confirm)
        return await self._exchange(connection, request, body, limit_at)

    def close(self) -> None:
        """Close the idle connections."""
        for connections in self._pool.values():
            for connection in connections:
                connection.abort()
        self._pool.clear()

    def _confirm(
        self, connection: _Connection, confirm: Callable[[], bool] | None
    ) -> None:
        """Put the unused connection back and raise if the request must not go out."""
        if confirm is None or confirm():
            return
        self._keep(connection, self._clock.monotonic())
        raise RequestWithheldError(
            f"{connection.address}: the permit lapsed; acquire it again",
            request_written=False,
        )

    async def _exchange(
        self,
        connection: _Connection,
        request: h11.Request,
        body: bytes,
        limit_at: float,
    ) -> AnswerStream:
        try:
            connection.send(request, body)
            response = await connection.read_response(limit_at)
        except BaseException:
            connection.abort()
            raise
        return AnswerStream(self, connection, response)

    async def _connect(self, address: str, limit_at: float) -> _Connection:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        connect_at = min(loop.time() + _CONNECT_SECONDS, limit_at)
        try:
            async with asyncio.timeout_at(connect_at):
                _, connection = await loop.create_connection(
                    lambda: _Connection(address), host.strip("[]"), int(port)
                )
        except (OSError, ValueError) as error:
            raise ConnectionBrokenError(
                f"{address}: cannot connect ({error or 'timeout'}); try another target",
                request_written=False,
            ) from None
        return connection

    def _take(self, address: str) -> _Connection | None:
        connections = self._pool.get(address)
        oldest = self._clock.monotonic() - _IDLE_SECONDS
        while connections:
            connection = connections.pop()
            if connection.usable and connection.idle_since >= oldest:
                connection.reused = True
                return connection
            connection.abort()
        return None

    def _release(self, connection: _Connection) -> None:
        now = self._clock.monotonic()
        self._prune(now)
        if connection.finish_cycle():
            self._keep(connection, now)
        else:
            connection.abort()

    def _keep(self, connection: _Connection, now: float) -> None:
        connections = self._pool.setdefault(connection.address, [])
        if len(connections) >= _MAX_IDLE_FOR_ADDRESS:
            connection.abort()
            return
        connection.idle_since = now
        connections.append(connection)

    def _prune(self, now: float) -> None:
        if now < self._prune_at:
            return
        self._prune_at = now + _IDLE_SECONDS
        oldest = now - _IDLE_SECONDS
        for address, connections in list(self._pool.items()):
            kept = [c for c in connections if c.usable and c.idle_since >= oldest]
            for connection in set(connections) - set(kept):
                connection.abort()
            if kept:
                self._pool[address] = kept
            else:
                del self._pool[address]


def _build_request(
    method: str, address: str, path: str, headers: Headers, body: bytes
) -> h11.Request:
    fields = [("Host", address), *headers]
    if body or method in _BODY_METHODS:
        fields.append(("Content-Length", str(len(body))))
    return h11.Request(method=method, target=path, headers=fields)


def _decode_headers(response: h11.Response) -> Headers:
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in response.headers
    )
