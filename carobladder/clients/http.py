"""HTTP/1.1 client with a connection pool for each server address."""

import asyncio
from collections.abc import Callable

import h11

from carobladder.clients.answers import AnswerStream
from carobladder.clients.bodies import UnsentBodies, count_unsent_bytes
from carobladder.clients.connection import ClientConnection, DeadlineExtender
from carobladder.clients.ends import AnswerEnds
from carobladder.clients.ports import HttpAnswer
from carobladder.clients.reads import SharedReads
from carobladder.clients.timeouts import timeout_after_turns
from carobladder.clock import Clock
from carobladder.exceptions import ConnectionBrokenError, RequestWithheldError
from carobladder.headers import Headers, encode_headers
from carobladder.memory import MemoryBudget

__all__ = ["HttpClient"]

_CONNECT_TIMEOUT_SECONDS = 2.0
# Interval in which stale connections leave the pool.
_PRUNE_INTERVAL_SECONDS = 4.0
# A connection is closed if the peer's kernel sends no ACK for this long.
_TCP_USER_TIMEOUT_SECONDS = 15.0
# Longest time between two chunks of a body that has a timeout of its own.
_MAX_BODY_GAP_SECONDS = 0.8
_MAX_IDLE_FOR_ADDRESS = 128
_DEFAULT_MEMORY_BYTES = 67_108_864
_REPEATABLE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
_BODY_METHODS = frozenset({"POST", "PUT", "PATCH"})


class HttpClient:
    """HTTP client that sends requests to servers at IP:PORT over pooled connections.

    With ``body_timeout_seconds`` the timeout of ``fetch`` applies to the head of a
    response only, and this one to its body, so that a large response may cross a slow
    link. ``memory`` bounds the bytes of all responses that are kept.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        connect_timeout_seconds: float = _CONNECT_TIMEOUT_SECONDS,
        tcp_user_timeout_seconds: float = _TCP_USER_TIMEOUT_SECONDS,
        memory: MemoryBudget | None = None,
        body_timeout_seconds: float | None = None,
    ) -> None:
        self._clock = clock
        self._body_timeout_seconds = body_timeout_seconds
        self.memory = memory or MemoryBudget(_DEFAULT_MEMORY_BYTES)
        self._reads = SharedReads(self.memory)
        self._tcp_user_timeout_seconds = tcp_user_timeout_seconds
        self._connect_timeout_seconds = connect_timeout_seconds
        self._pool: dict[str, list[ClientConnection]] = {}
        self._prune_at = 0.0
        self._ends = AnswerEnds(self.release)
        self._bodies = UnsentBodies()

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
        """Return the whole response of the server; see ``open`` for the arguments."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_seconds
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
        began = loop.time()
        async with stream:
            if self._body_timeout_seconds is None:
                content = await stream.read_all(max(0.0, deadline - loop.time()))
            else:
                content = await stream.read_all(
                    self._body_timeout_seconds, _MAX_BODY_GAP_SECONDS
                )
        body_seconds = loop.time() - began
        return HttpAnswer(stream.status, stream.headers, content, body_seconds)

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
        extend_deadline: DeadlineExtender | None = None,
    ) -> AnswerStream:
        """Send a request and return its response once the headers have arrived.

        ``may_repeat`` allows a second attempt if a pooled connection proves stale; by
        default only GET, HEAD and OPTIONS are repeated. ``fresh`` avoids pooled
        connections, because a stale one can leave the outcome of the call unknown.
        ``confirm`` is called directly before the request is written, and
        ``extend_deadline`` when no headers have come in ``timeout_seconds``.
        Raises ConnectionBrokenError with ``request_written``, or
        RequestWithheldError if ``confirm`` returned false.
        """
        if may_repeat is None:
            may_repeat = method in _REPEATABLE_METHODS
        request = _build_request(method, address, path, headers, body)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_seconds
        connection = None if fresh else self._take_pooled(address)
        if connection is not None:
            self._check_confirmed(connection, confirm)
            try:
                return await self._exchange(
                    connection, request, body, deadline, extend_deadline
                )
            except ConnectionBrokenError as error:
                stale = not (connection.answer_started or connection.timed_out)
                if not (stale and (may_repeat or not error.request_written)):
                    raise
        connection = await self._connect(address, deadline)
        self._check_confirmed(connection, confirm)
        return await self._exchange(
            connection, request, body, deadline, extend_deadline
        )

    async def probe(self, address: str) -> bool:
        """Return whether the server accepts a connection, and add it to the pool."""
        loop = asyncio.get_running_loop()
        try:
            connection = await self._connect(
                address, loop.time() + self._connect_timeout_seconds
            )
        except ConnectionBrokenError:
            return False
        self._add_to_pool(connection, self._clock.monotonic())
        return True

    def close(self) -> None:
        """Close the connections that no request uses."""
        self._ends.close()
        self._bodies.close()
        for connections in self._pool.values():
            for connection in connections:
                connection.abort()
        self._pool.clear()

    def _check_confirmed(
        self, connection: ClientConnection, confirm: Callable[[], bool] | None
    ) -> None:
        """Return the connection to the pool and raise if ``confirm`` returns false."""
        if confirm is None or confirm():
            return
        self._add_to_pool(connection, self._clock.monotonic())
        raise RequestWithheldError(
            f"{connection.address}: the permit lapsed; acquire it again",
            request_written=False,
        )

    async def _exchange(
        self,
        connection: ClientConnection,
        request: h11.Request,
        body: bytes,
        deadline: float,
        extend_deadline: DeadlineExtender | None,
    ) -> AnswerStream:
        try:
            connection.send(request, body)
            response = await connection.read_response(deadline, extend_deadline)
        except BaseException:
            connection.abort()
            raise
        return AnswerStream(self, connection, response)

    async def _connect(self, address: str, deadline: float) -> ClientConnection:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        connect_at = min(loop.time() + self._connect_timeout_seconds, deadline)
        try:
            async with timeout_after_turns(connect_at):
                _, connection = await loop.create_connection(
                    lambda: ClientConnection(address, self._reads),
                    host.strip("[]"),
                    int(port),
                )
        except (OSError, ValueError, OverflowError) as error:
            raise ConnectionBrokenError(
                f"{address}: cannot connect ({error or 'timeout'}); try another target",
                request_written=False,
            ) from None
        connection.enable_keepalive(self._tcp_user_timeout_seconds)
        return connection

    def _take_pooled(self, address: str) -> ClientConnection | None:
        connections = self._pool.get(address)
        now = self._clock.monotonic()
        while connections:
            connection = connections.pop()
            if connection.usable and not connection.is_stale(now):
                connection.reused = True
                return connection
            connection.abort()
        return None

    def release(self, connection: ClientConnection) -> None:
        """Keep a connection whose response was read to its end, if it can be reused."""
        now = self._clock.monotonic()
        self._prune(now)
        if not connection.finish_cycle():
            connection.abort()
        elif count_unsent_bytes(connection):
            self._bodies.add(connection)
        else:
            self._add_to_pool(connection, now)

    def await_end(self, connection: ClientConnection) -> None:
        """Keep a connection once its response, which lacks only its end, has ended."""
        self._ends.add(connection)

    def _add_to_pool(self, connection: ClientConnection, now: float) -> None:
        connections = self._pool.setdefault(connection.address, [])
        if len(connections) >= _MAX_IDLE_FOR_ADDRESS:
            connection.abort()
            return
        connection.idle_since = now
        connections.append(connection)

    def _prune(self, now: float) -> None:
        if now < self._prune_at:
            return
        self._prune_at = now + _PRUNE_INTERVAL_SECONDS
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
    return h11.Request(method=method, target=path, headers=encode_headers(fields))
