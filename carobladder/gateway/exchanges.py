"""Responses to the requests of callers."""

import logging
from typing import Protocol

import h11

from carobladder.exceptions import CallerError, CallerGoneError, InternalFaultError
from carobladder.gateway.ports import Answer, Request
from carobladder.gateway.problems import build_error_answer
from carobladder.gateway.serverstate import ServerState
from carobladder.headers import Headers, encode_headers
from carobladder.telemetry import log_event

__all__ = ["EventWriter", "Exchange"]

_NO_BODY_STATUSES = frozenset({204, 304})


class EventWriter(Protocol):
    """Connection that the events of a response are written to."""

    @property
    def writing_paused(self) -> bool:
        """Whether the send buffer is full because the caller reads slowly."""

    @property
    def has_next_request(self) -> bool:
        """Whether bytes of the next request have been read already."""

    def write(self, event: h11.Event) -> None:
        """Send an event; raise CallerGoneError if the connection is closed."""

    async def drain(self) -> None:
        """Wait while the send buffer is full."""


class Exchange:
    """Writer of the response to one request of a connection."""

    def __init__(
        self, connection: EventWriter, state: ServerState, request_id: str
    ) -> None:
        self.started = False
        self.keep_alive = True
        self.head_only = False
        self._connection = connection
        self._state = state
        self._request_id = request_id

    @property
    def ended(self) -> bool:
        """Whether the server has ended, so that the time for a response is over."""
        return self._state.ended

    async def handle(self, request: Request) -> None:
        """Let the handler respond, and send an error if it does not."""
        try:
            await self._state.handler.handle(request, self)
            if not self.started:
                raise InternalFaultError("the handler sent no response")
        except CallerError as error:
            if not self.started:
                await self.send_error(error)
        except CallerGoneError:
            raise
        except Exception as error:
            log_event(
                "request failed due to an internal error",
                logging.ERROR,
                request_id=request.request_id,
                path=request.path,
                error=repr(error),
            )
            if not self.started:
                await self.send_error(InternalFaultError("internal error"))

    async def send_answer(self, answer: Answer) -> None:
        """Send a complete response.

        The caller may take it after the handler has returned, which keeps a copy.
        """
        headers = list(answer.headers)
        has_length = any(name.lower() == "content-length" for name, _ in headers)
        # The body of a response to HEAD is omitted, so its length may be unknown.
        is_sized = bool(answer.body) or not self.head_only
        if answer.status not in _NO_BODY_STATUSES and is_sized and not has_length:
            headers.append(("Content-Length", str(len(answer.body))))
        self._start(answer.status, headers)
        if answer.body and not self.head_only:
            self._connection.write(h11.Data(data=answer.body))
        self._connection.write(h11.EndOfMessage())

    async def start_stream(self, status: int, headers: Headers) -> None:
        """Send the status and headers of a streamed response."""
        self._start(status, list(headers))

    async def send_chunk(self, data: bytes) -> None:
        """Send a part of a streamed response and wait while the send buffer is full."""
        if not self.write_chunk(data):
            await self.drain()

    def write_chunk(self, data: bytes) -> bool:
        """Send a part of a streamed response; return False if the buffer is full."""
        connection = self._connection
        connection.write(h11.Data(data=data))
        return not connection.writing_paused

    async def drain(self) -> None:
        """Wait while the send buffer is full because the caller reads slowly."""
        await self._connection.drain()

    async def end_stream(self) -> None:
        """Send the end of a streamed response."""
        self._connection.write(h11.EndOfMessage())

    async def send_error(self, error: CallerError) -> None:
        """Send an error as JSON and count it."""
        self._state.metrics.count_refusal(error.code)
        await self.send_answer(build_error_answer(error, self._state.generator))

    def _start(self, status: int, headers: list[tuple[str, str]]) -> None:
        if self._state.adds_request_id:
            headers.append(("X-Request-Id", self._request_id))
        if not self.keep_alive or self._closes_for_drain():
            headers.append(("Connection", "close"))
        elif idle_seconds := self._state.announced_idle_seconds:
            headers.append(("Keep-Alive", f"timeout={idle_seconds}"))
        fields = encode_headers(headers)
        self._connection.write(h11.Response(status_code=status, headers=fields))
        self.started = True
        self._state.metrics.count_answer(status)

    def _closes_for_drain(self) -> bool:
        """Return whether this is the last response of the connection due to a drain.

        A request that has been read would be lost with the connection.
        """
        return self._state.draining and not self._connection.has_next_request
