"""Ends of callers' connections, and what they leave unanswered."""

import asyncio
import socket
import termios
from enum import StrEnum

import h11

from carobladder.clock import Clock
from carobladder.sockets import read_queue_size
from carobladder.telemetry import ConnectionCut, ConnectionMetrics, emit

__all__ = [
    "WHOLE_ANSWER_STATES",
    "ConnectionEnd",
    "EndRecorder",
    "RequestProgress",
    "count_unread_bytes",
    "find_progress",
]

WHOLE_ANSWER_STATES = frozenset({h11.DONE, h11.MUST_CLOSE, h11.CLOSED})


class ConnectionEnd(StrEnum):
    """Reasons for the end of a caller's connection."""

    CALLER_CLOSED = "caller_closed"
    CALLER_STALLED = "caller_stalled"
    CALLER_SLOW = "caller_slow"
    IDLE_TIMEOUT = "idle_timeout"
    IDLE_IN_DRAIN = "idle_in_drain"
    ANSWERED = "answered"
    REFUSED = "refused"
    ANSWER_BROKEN = "answer_broken"
    INSTANCE_ENDED = "instance_ended"


class RequestProgress(StrEnum):
    """How far the last request of a connection had come at its end."""

    NONE = "none"
    HEAD = "head"
    BODY = "body"
    HANDLING = "handling"
    ANSWERING = "answering"
    PIPELINED = "pipelined"


# What a handler logs itself when its caller closes the connection.
_LOGGED_BY_HANDLER = frozenset({RequestProgress.HANDLING, RequestProgress.ANSWERING})


class EndRecorder:
    """Recorder of the reason for the end of one connection.

    ``answer_count`` is the number of requests that were answered on the connection.
    """

    def __init__(self, metrics: ConnectionMetrics, clock: Clock) -> None:
        self.answer_count = 0
        self._metrics = metrics
        self._clock = clock
        self._opened_at = clock.monotonic()
        self._end: ConnectionEnd | None = None
        self._drops_answer = False

    def note(self, end: ConnectionEnd) -> None:
        """Record why the instance ends the connection; the first reason holds."""
        if self._end is None:
            self._end = end

    def note_cut(self, end: ConnectionEnd) -> None:
        """Record why bytes are dropped that the caller has not taken yet.

        It holds even if the instance was to close the connection after them.
        """
        self._end = end
        self._drops_answer = True

    def report(self, parser: h11.Connection, transport: asyncio.Transport) -> None:
        """Count the end of the connection, and log what it leaves unanswered."""
        end = self._end or ConnectionEnd.CALLER_CLOSED
        unparsed_bytes = len(parser.trailing_data[0])
        unread_bytes = 0
        if end is not ConnectionEnd.CALLER_CLOSED:
            unread_bytes = count_unread_bytes(transport.get_extra_info("socket"))
        progress = find_progress(parser, bool(unparsed_bytes or unread_bytes))
        if self._drops_answer:
            progress = RequestProgress.ANSWERING
        self._metrics.count_end(end, progress)
        by_caller = end is ConnectionEnd.CALLER_CLOSED
        if progress is RequestProgress.NONE:
            return
        if by_caller and progress in _LOGGED_BY_HANDLER:
            return
        emit(
            ConnectionCut(
                reason=end,
                progress=progress,
                unparsed_bytes=unparsed_bytes,
                unread_bytes=unread_bytes,
                answers=self.answer_count,
                open_seconds=round(self._clock.monotonic() - self._opened_at, 4),
                caller=_format_address(transport.get_extra_info("peername")),
            )
        )


def find_progress(parser: h11.Connection, has_bytes: bool) -> RequestProgress:
    """Return the progress of the request that a connection ends with.

    ``has_bytes`` tells whether bytes arrived that are not parsed yet.
    """
    if parser.our_state in WHOLE_ANSWER_STATES:
        # The bytes belong to the body of a request that was refused before its end.
        if parser.their_state is h11.SEND_BODY:
            return RequestProgress.NONE
        return RequestProgress.PIPELINED if has_bytes else RequestProgress.NONE
    if parser.our_state is h11.IDLE:
        return RequestProgress.HEAD if has_bytes else RequestProgress.NONE
    if parser.our_state is not h11.SEND_RESPONSE:
        return RequestProgress.ANSWERING
    if parser.their_state is h11.SEND_BODY:
        return RequestProgress.BODY
    return RequestProgress.HANDLING


def count_unread_bytes(sock: socket.socket) -> int:
    """Return the number of bytes that wait in a socket, 0 if it is closed."""
    return read_queue_size(sock, termios.FIONREAD) or 0


def _format_address(peer_name: tuple[str, int] | None) -> str:
    """Return IP:PORT, or nothing if the connection was reset as it was accepted."""
    return f"{peer_name[0]}:{peer_name[1]}" if peer_name else ""
