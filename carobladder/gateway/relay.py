"""Relay of event streams from targets to callers."""

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Generic, Protocol, TypeVar

from carobladder.clients.answers import AnswerStream
from carobladder.exceptions import (
    CallerError,
    ConnectionBrokenError,
    MemoryExceededError,
    TargetError,
)
from carobladder.gateway.ports import Answer, Responder
from carobladder.gateway.problems import encode_error
from carobladder.headers import Headers
from carobladder.retries import StreamFault, StreamTracker

__all__ = [
    "EVENT_STREAM",
    "LAST_EVENT_HEADER",
    "RelayTimeouts",
    "StreamAttempt",
    "StreamObserver",
    "StreamRelay",
    "StreamSession",
    "find_content_type",
    "is_event_stream",
]

# Header with the id of the last event that the caller received; the target resumes
# after this event.
LAST_EVENT_HEADER = "Last-Event-ID"
EVENT_STREAM = "text/event-stream"
_Target = TypeVar("_Target")


@dataclass(frozen=True, slots=True)
class RelayTimeouts:
    """Timeouts for the first byte of a response and between events of a stream."""

    first_byte_seconds: float = 20.0
    stream_gap_seconds: float = 10.0


@dataclass(frozen=True, slots=True)
class StreamObserver:
    """Callbacks for the latencies of a stream, in seconds.

    ``received`` is the monotonic time at which the request was received.
    """

    monotonic: Callable[[], float]
    received: float
    observe_first: Callable[[float], None]
    observe_gap: Callable[[float], None]


class StreamAttempt(Protocol[_Target]):
    """Response of one attempt, whose body may still be arriving."""

    answer: AnswerStream
    target: _Target

    @property
    def first_byte_seconds(self) -> float | None:
        """Time that the target took to send its first byte; None until known."""

    def note_first_byte(self) -> None:
        """Record the time that the target took to send its first byte."""

    def close(self, *, failed: bool = False) -> None:
        """Close the response; do nothing if closed."""


class StreamSession(Protocol[_Target]):
    """Retry loop of one streamed call."""

    @property
    def remaining_seconds(self) -> float:
        """Time in which the first event must arrive, in seconds."""

    async def open(self, extra_headers: Headers = ()) -> StreamAttempt[_Target]:
        """Return the first response with its headers.

        Raises CallerError when no further attempt is allowed.
        """

    def note_relayed(self, target: _Target) -> None:
        """Record that the caller received a part of the response from this target."""

    def handle_failure(
        self, target: _Target, error: TargetError, *, resumable: bool = False
    ) -> None:
        """Record a failed attempt; raise CallerError unless the call may be retried."""


class StreamRelay(Generic[_Target]):
    """Relay of one streamed response, which is resumed if its connection breaks.

    If ``sends_error_event`` is true, a stream that cannot be resumed ends with an error
    event. Otherwise the handler must close the connection. ``extend_wait`` is called
    when the stream gap timeout has passed, with whether the stream can be resumed, and
    returns the seconds to go on waiting, or 0 to give the attempt up.
    """

    def __init__(
        self,
        session: StreamSession[_Target],
        responder: Responder,
        timeouts: RelayTimeouts,
        observer: StreamObserver,
        build_answer_headers: Callable[[StreamAttempt[_Target]], Headers],
        tracker: StreamTracker | None = None,
        *,
        sends_error_event: bool = True,
        extend_wait: Callable[[bool], float] | None = None,
    ) -> None:
        self._session = session
        self._responder = responder
        self._timeouts = timeouts
        self._observer = observer
        self._build_answer_headers = build_answer_headers
        self._tracker = tracker or StreamTracker()
        self._sends_error_event = sends_error_event
        self._extend_wait = extend_wait
        # Time since which the target owes the next complete event, and its limit.
        self._waits_since = 0.0
        self._wait_seconds = 0.0
        self._last_chunk_at: float | None = None
        self._first_chunk_at = 0.0
        self._chunk_count = 0
        self._first_byte_seconds: float | None = None
        self.served_by: _Target | None = None

    @property
    def first_byte_seconds(self) -> float | None:
        """Time that the first target took to send its first byte, or None."""
        return self._first_byte_seconds

    @property
    def mean_gap_seconds(self) -> float | None:
        """Mean time between relayed parts in seconds; None for fewer than two."""
        if self._last_chunk_at is None or self._chunk_count < 2:
            return None
        return (self._last_chunk_at - self._first_chunk_at) / (self._chunk_count - 1)

    async def run(self) -> CallerError | None:
        """Relay the response to its end; return the error that ended it, or None.

        Raises CallerError if the response to the caller has not started.
        """
        try:
            while not await self._run_attempt():
                pass
        except CallerError as error:
            if not self._responder.started:
                raise
            if self._sends_error_event:
                await self._send_error(error)
            return error
        return None

    async def _run_attempt(self) -> bool:
        """Relay one attempt; return whether the response is complete."""
        opened = await self._session.open(self._build_resume_headers())
        try:
            failure = await self._relay_answer(opened)
            if failure is None:
                self.served_by = opened.target
                return True
            opened.close(failed=True)
            self._session.handle_failure(
                opened.target, failure, resumable=self._tracker.resumable
            )
            return False
        finally:
            opened.close()
            self._tracker.discard_incomplete()

    def _build_resume_headers(self) -> Headers:
        last_index = self._tracker.last_index
        if last_index is None:
            return ()
        return ((LAST_EVENT_HEADER, str(last_index)),)

    async def _relay_answer(self, opened: StreamAttempt[_Target]) -> TargetError | None:
        if is_event_stream(opened.answer):
            return await self._relay_events(opened)
        if self._tracker.relayed:
            return _build_broken_error(
                f"answered {opened.answer.status} instead of resuming"
            )
        return await self._relay_complete_answer(opened)

    async def _relay_complete_answer(
        self, opened: StreamAttempt[_Target]
    ) -> TargetError | None:
        answer = opened.answer
        opened.note_first_byte()
        try:
            body = await answer.read_all(self._timeouts.first_byte_seconds)
        except TargetError as error:
            return error
        headers = self._build_answer_headers(opened)
        await self._responder.send_answer(Answer(answer.status, headers, body))
        return None

    async def _relay_events(self, opened: StreamAttempt[_Target]) -> TargetError | None:
        """Relay complete events; return the error that broke the stream, or None."""
        self._tracker.start_attempt()
        self._begin_attempt_wait()
        try:
            await self._relay_first_events(opened)
            self._wait_seconds = self._timeouts.stream_gap_seconds
            while not self._tracker.finished:
                if await opened.answer.push(
                    self._relay_data, self._remaining_wait, self._extend_gap
                ):
                    self._tracker.end_attempt()
                    break
                self._check_fault()
                await self._responder.drain()
                # Meanwhile nothing was read, so the target owed no event.
                self._waits_since = self._observer.monotonic()
        except TargetError as error:
            return error
        if not self._tracker.finished:
            return _build_broken_error("the stream ended without its final event")
        await self._responder.end_stream()
        opened.answer.leave_end()
        return None

    def _begin_attempt_wait(self) -> None:
        limit_seconds = self._timeouts.first_byte_seconds
        if self._extend_wait is not None:
            limit_seconds = min(limit_seconds, self._timeouts.stream_gap_seconds)
        self._wait_seconds = min(limit_seconds, self._session.remaining_seconds)
        self._waits_since = self._observer.monotonic()

    async def _relay_first_events(self, opened: StreamAttempt[_Target]) -> None:
        """Start the response to the caller once a complete event has arrived."""
        events = b""
        while not events:
            data = await opened.answer.read(self._remaining_wait, self._extend_gap)
            if not data:
                self._end_without_event(opened)
                break
            events = self._tracker.feed(data)
            if not events:
                self._check_fault()
        await self._start_answer(opened)
        if not events:
            return
        await self._responder.send_chunk(events)
        self._note_chunk()
        self._check_fault()

    def _end_without_event(self, opened: StreamAttempt[_Target]) -> None:
        """Finish a resumed stream whose last event was relayed before.

        Raises ConnectionBrokenError if the stream has no event or was broken off.
        """
        if not opened.answer.ends_with_connection:
            self._tracker.end_attempt()
        if not self._tracker.finished:
            raise _build_broken_error("the stream ended without an event")

    def _relay_data(self, data: bytes) -> bool:
        """Relay complete events; return False if reading must stop for now.

        Runs for each chunk and is performance-critical: it must not log, wait or parse
        JSON.
        """
        tracker = self._tracker
        writable = True
        events = tracker.feed(data)
        if events:
            writable = self._responder.write_chunk(events)
            self._note_chunk()
        return writable and not (tracker.finished or tracker.fault)

    @property
    def _remaining_wait(self) -> float:
        """Seconds in which the next complete event must arrive."""
        ends_at = self._waits_since + self._wait_seconds
        return max(0.0, ends_at - self._observer.monotonic())

    def _extend_gap(self) -> float:
        """Return the seconds to go on waiting for an event; 0 to give up."""
        if remaining_seconds := self._remaining_wait:
            return remaining_seconds
        if self._extend_wait is None:
            return 0.0
        return self._extend_wait(self._tracker.resumable)

    def _check_fault(self) -> None:
        fault = self._tracker.fault
        if fault is StreamFault.MEMORY_EXCEEDED:
            tracker = self._tracker
            raise MemoryExceededError(
                "an event is not complete", tracker.refused_bytes, tracker.budget
            )
        if fault is not StreamFault.NONE:
            raise _build_broken_error(f"the stream is invalid: {fault}")

    async def _start_answer(self, opened: StreamAttempt[_Target]) -> None:
        opened.note_first_byte()
        if self._first_byte_seconds is None:
            self._first_byte_seconds = opened.first_byte_seconds
        self._session.note_relayed(opened.target)
        if not self._responder.started:
            await self._responder.start_stream(200, self._build_answer_headers(opened))

    def _note_chunk(self) -> None:
        now = self._observer.monotonic()
        self._chunk_count += 1
        if self._last_chunk_at is None:
            self._first_chunk_at = now
            self._observer.observe_first(now - self._observer.received)
        else:
            self._observer.observe_gap(now - self._last_chunk_at)
        self._last_chunk_at = now
        self._waits_since = now

    async def _send_error(self, error: CallerError) -> None:
        """End the stream with an error event instead of the final event."""
        event = b"event: error\ndata: " + encode_error(error) + b"\n\n"
        await self._responder.send_chunk(event)
        await self._responder.end_stream()


def find_content_type(headers: Headers) -> str:
    """Return the content type of a response, or the default for unknown content."""
    for name, value in headers:
        if name == "content-type":
            return value
    return "application/octet-stream"


def is_event_stream(answer: AnswerStream) -> bool:
    """Return whether events may follow; errors can have the same content type."""
    content_type = find_content_type(answer.headers)
    return answer.status == HTTPStatus.OK and content_type.startswith(EVENT_STREAM)


def _build_broken_error(reason: str) -> ConnectionBrokenError:
    return ConnectionBrokenError(f"{reason}; try another target", request_written=True)
