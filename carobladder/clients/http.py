"""HTTP/1.1 client with a connection pool for each target address."""

import asyncio
import math
import re
from collections.abc import Callable
from types import TracebackType
from typing import Self

import h11

from carobladder.clients.connection import ClientConnection, Sink
from carobladder.clients.ports import HttpAnswer
from carobladder.clock import Clock
from carobladder.exceptions import ConnectionBrokenError, RequestWithheldError
from carobladder.headers import Headers

__all__ = ["AnswerStream", "HttpClient"]

_CONNECT_SECONDS = 2.0
# Below the usual keep-alive limit of servers, so that few pooled connections are stale.
_IDLE_SECONDS = 4.0
# A connection is reused up to this part of the idle time that its server states.
_IDLE_PART = 0.7
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d+)")
# A peer whose kernel does not answer for this long has lost the connection.
_SILENCE_SECONDS = 15.0
# Between two pieces of a body that has a time limit of its own.
_BODY_GAP_SECONDS = 0.8
_MAX_IDLE_FOR_ADDRESS = 128
# Bytes of all answers that a client holds at the same time, and the part of them that
# one answer may take.
_MAX_HELD_BYTES = 67_108_864
_ANSWER_PART = 0.5
_REPEATABLE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
_BODY_METHODS = frozenset({"POST", "PUT", "PATCH"})


class AnswerStream:
    """Read the answer of one request piece by piece.

    Leaving the context before the end closes the connection, so that the rest of
    the answer can never reach another request.
    """

    def __init__(
        self, client: "HttpClient", connection: ClientConnection, response: h11.Response
    ) -> None:
        self.status = response.status_code
        self.headers: Headers = _decode_headers(response)
        self._client = client
        self._connection: ClientConnection | None = connection
        connection.idle_seconds = _read_idle_seconds(self.headers)

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

    async def read_all(
        self, timeout_seconds: float, gap_seconds: float = math.inf
    ) -> bytes:
        """Return the rest of the body; the time limit holds for all of it.

        ``gap_seconds`` bounds the time between two pieces. Raises
        ConnectionBrokenError, also for more bytes than the client may hold.
        """
        loop = asyncio.get_running_loop()
        limit_at = loop.time() + timeout_seconds
        parts = []
        size = 0
        try:
            while data := await self.read(
                min(gap_seconds, max(0.0, limit_at - loop.time()))
            ):
                parts.append(data)
                size += len(data)
                self._client.hold(len(data))
                if self._client.is_over(size):
                    self.close()
                    raise ConnectionBrokenError(
                        f"answer exceeds the memory for it at {size} bytes; "
                        "request less at a time",
                        request_written=True,
                    )
        finally:
            self._client.hold(-size)
        return b"".join(parts)

    async def skip_to_next(self, limit_at: float) -> None:
        """Drop this answer and read the next one on the connection.

        For an answer that belongs to an earlier request. Raises
        ConnectionBrokenError; ``limit_at`` is by the loop's time.
        """
        connection = self._connection
        if connection is None:
            raise ConnectionBrokenError(
                "the answer of another request ended its connection",
                request_written=True,
            )
        try:
            await connection.skip_answer(limit_at)
            response = await connection.read_response(limit_at)
        except BaseException:
            self.close()
            raise
        self.status = response.status_code
        self.headers = _decode_headers(response)

    def _release_if_complete(self, connection: ClientConnection) -> None:
        if connection.answer_complete:
            self._connection = None
            self._client._release(connection)

    def close(self) -> None:
        """Close the connection if the answer was not read to its end."""
        if self._connection is not None:
            self._connection.abort()
            self._connection = None


class HttpClient:
    """Send requests to servers at IP:PORT over pooled connections.

    With ``body_seconds`` the time limit of ``fetch`` holds for the head of an answer
    only, and this one for its body, so that a large answer may cross a slow link.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        connect_seconds: float = _CONNECT_SECONDS,
        silence_seconds: float = _SILENCE_SECONDS,
        max_held_bytes: int = _MAX_HELD_BYTES,
        body_seconds: float | None = None,
    ) -> None:
        self._clock = clock
        self._body_seconds = body_seconds
        self._max_held_bytes = max_held_bytes
        self._held_bytes = 0
        self._silence_seconds = silence_seconds
        self._connect_seconds = connect_seconds
        self._pool: dict[str, list[ClientConnection]] = {}
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
            if self._body_seconds is None:
                content = await stream.read_all(max(0.0, limit_at - loop.time()))
            else:
                content = await stream.read_all(self._body_seconds, _BODY_GAP_SECONDS)
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

    async def probe(self, address: str) -> bool:
        """Tell whether the server takes a connection, and keep it for a request."""
        loop = asyncio.get_running_loop()
        try:
            connection = await self._connect(
                address, loop.time() + self._connect_seconds
            )
        except ConnectionBrokenError:
            return False
        self._keep(connection, self._clock.monotonic())
        return True

    def hold(self, size: int) -> None:
        """Count bytes of answers that are held, or with a negative size released."""
        self._held_bytes += size

    def is_over(self, size: int) -> bool:
        """Tell whether an answer of this size so far must be given up."""
        most = self._max_held_bytes
        return self._held_bytes > most or size > most * _ANSWER_PART

    def close(self) -> None:
        """Close the idle connections."""
        for connections in self._pool.values():
            for connection in connections:
                connection.abort()
        self._pool.clear()

    def _confirm(
        self, connection: ClientConnection, confirm: Callable[[], bool] | None
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
        connection: ClientConnection,
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

    async def _connect(self, address: str, limit_at: float) -> ClientConnection:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        connect_at = min(loop.time() + self._connect_seconds, limit_at)
        try:
            async with asyncio.timeout_at(connect_at):
                _, connection = await loop.create_connection(
                    lambda: ClientConnection(address), host.strip("[]"), int(port)
                )
        except (OSError, ValueError) as error:
            raise ConnectionBrokenError(
                f"{address}: cannot connect ({error or 'timeout'}); try another target",
                request_written=False,
            ) from None
        connection.watch_for_silence(self._silence_seconds)
        return connection

    def _take(self, address: str) -> ClientConnection | None:
        connections = self._pool.get(address)
        now = self._clock.monotonic()
        while connections:
            connection = connections.pop()
            if connection.usable and not connection.is_stale(now):
                connection.reused = True
                return connection
            connection.abort()
        return None

    def _release(self, connection: ClientConnection) -> None:
        now = self._clock.monotonic()
        self._prune(now)
        if connection.finish_cycle():
            self._keep(connection, now)
        else:
            connection.abort()

    def _keep(self, connection: ClientConnection, now: float) -> None:
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
        for address, connections in list(self._pool.items()):
            kept = [c for c in connections if c.usable and not c.is_stale(now)]
            for connection in set(connections) - set(kept):
                connection.abort()
            if kept:
                self._pool[address] = kept
            else:
                del self._pool[address]


def _build_request(
    method: str, address: str, path: str, headers: Headers, body: bytes
) -> h11.Request:
    fields = list(headers)
    if not any(name.lower() == "host" for name, _ in headers):
        fields.insert(0, ("Host", address))
    if body or method in _BODY_METHODS:
        fields.append(("Content-Length", str(len(body))))
    return h11.Request(method=method, target=path, headers=fields)


def _read_idle_seconds(headers: Headers) -> float:
    """Return how long the connection may be idle before it counts as stale."""
    for name, value in headers:
        if name == "keep-alive" and (match := _KEEP_ALIVE_TIMEOUT.search(value)):
            return int(match[1]) * _IDLE_PART
    return _IDLE_SECONDS


def _decode_headers(response: h11.Response) -> Headers:
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in response.headers
    )
