"""Response to one HTTP request, whose body is read in chunks."""

import asyncio
import math
import re
from types import TracebackType
from typing import Protocol, Self

import h11

from carobladder.clients.connection import (
    DEFAULT_IDLE_SECONDS,
    ClientConnection,
    DeadlineExtender,
    Sink,
)
from carobladder.exceptions import ConnectionBrokenError, MemoryExceededError
from carobladder.headers import Headers
from carobladder.memory import MemoryBudget

__all__ = ["AnswerStream", "ConnectionOwner"]

# A connection is reused up to this fraction of the keep-alive timeout that its server
# announces.
_IDLE_FRACTION = 0.7
_KEEP_ALIVE_PATTERN = re.compile(r"timeout=(\d+)")
_FRAMING_HEADERS = frozenset({"content-length", "transfer-encoding"})


class ConnectionOwner(Protocol):
    """Client that keeps connections and bounds the bytes of all responses."""

    def release(self, connection: ClientConnection) -> None:
        """Take back a connection whose response was read to its end."""

    def await_end(self, connection: ClientConnection) -> None:
        """Take back a connection whose response lacks nothing but its end."""

    @property
    def memory(self) -> MemoryBudget:
        """Bound on the bytes of all responses that are kept."""


class AnswerStream:
    """Response to one request, whose body is read in chunks.

    Leaving the context before the end closes the connection, so that the rest of
    the response can never reach another request. ``on_kept_connection`` tells whether
    the request went out on a pooled connection.
    """

    def __init__(
        self,
        owner: "ConnectionOwner",
        connection: ClientConnection,
        response: h11.Response,
    ) -> None:
        self.status = response.status_code
        self.headers: Headers = _decode_headers(response)
        self.on_kept_connection = connection.reused
        self._owner = owner
        self._connection: ClientConnection | None = connection
        # Bytes that were read and put back.
        self._returned = b""
        connection.idle_seconds = _read_idle_seconds(self.headers)

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the end of the connection tells the end of the body."""
        return not any(name in _FRAMING_HEADERS for name, _ in self.headers)

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

    async def read(
        self, timeout_seconds: float, extend_deadline: DeadlineExtender | None = None
    ) -> bytes:
        """Return the next bytes of the body, or ``b""`` at its end.

        Raises ConnectionBrokenError if the response is cut off or no bytes arrive
        for ``timeout_seconds`` and what ``extend_deadline`` adds.
        """
        if self._returned:
            data, self._returned = self._returned, b""
            return data
        connection = self._connection
        if connection is None:
            return b""
        try:
            data = await connection.read_data(timeout_seconds, extend_deadline)
        except BaseException:
            self.close()
            raise
        self._release_if_complete(connection)
        return data

    def put_back(self, data: bytes) -> None:
        """Let the next ``read`` return these bytes, which were read already."""
        self._returned = data

    async def push(
        self,
        sink: Sink,
        timeout_seconds: float,
        extend_deadline: DeadlineExtender | None = None,
    ) -> bool:
        """Pass the rest of the body to ``sink`` as it arrives.

        Return True at the end of the body and False once ``sink`` returned false;
        the method may then be called again. Raises what ``sink`` raises, and
        ConnectionBrokenError if the response is cut off or lasts longer than
        ``timeout_seconds`` and what ``extend_deadline`` adds.
        """
        if self._returned and not sink(await self.read(timeout_seconds)):
            return False
        connection = self._connection
        if connection is None:
            return True
        try:
            at_end = await connection.push_data(sink, timeout_seconds, extend_deadline)
        except BaseException:
            self.close()
            raise
        self._release_if_complete(connection)
        return at_end

    async def read_all(
        self, timeout_seconds: float, gap_seconds: float = math.inf
    ) -> bytes:
        """Return the rest of the body; ``timeout_seconds`` applies to all of it.

        ``gap_seconds`` bounds the time between two chunks. Raises
        ConnectionBrokenError, and MemoryExceededError if there is no room for the body.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_seconds
        memory = self._owner.memory
        # Small parts in a list would each take the memory of an object.
        content = bytearray()
        try:
            while data := await self.read(
                min(gap_seconds, max(0.0, deadline - loop.time()))
            ):
                if not memory.reserve(len(data), len(content)):
                    self.close()
                    raise MemoryExceededError(
                        "a response is not complete", len(content) + len(data), memory
                    )
                content += data
            return bytes(content)
        finally:
            memory.release(len(content))

    async def skip_to_next(
        self, deadline: float, extend_deadline: DeadlineExtender | None = None
    ) -> None:
        """Discard this response and read the head of the next one on the connection.

        For a response that belongs to an earlier request. ``deadline`` is in the
        event loop's time; ``extend_deadline`` may extend the wait for the next one.
        Raises ConnectionBrokenError.
        """
        connection = self._connection
        if connection is None:
            raise ConnectionBrokenError(
                "connection ended after the response to another request",
                request_written=True,
            )
        try:
            await connection.skip_answer(deadline)
            response = await connection.read_response(deadline, extend_deadline)
        except BaseException:
            self.close()
            raise
        self.status = response.status_code
        self.headers = _decode_headers(response)

    def _release_if_complete(self, connection: ClientConnection) -> None:
        if connection.answer_complete:
            self._connection = None
            self._owner.release(connection)

    def leave_end(self) -> None:
        """Let the client read the end of the response, whose content is complete."""
        connection, self._connection = self._connection, None
        if connection is not None:
            self._owner.await_end(connection)

    def close(self) -> None:
        """Close the connection if the response was not read to its end."""
        if self._connection is not None:
            self._connection.abort()
            self._connection = None


def _read_idle_seconds(headers: Headers) -> float:
    """Return after how many idle seconds the connection counts as stale."""
    for name, value in headers:
        if name == "keep-alive" and (match := _KEEP_ALIVE_PATTERN.search(value)):
            return int(match[1]) * _IDLE_FRACTION
    return DEFAULT_IDLE_SECONDS


def _decode_headers(response: h11.Response) -> Headers:
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in response.headers
    )
