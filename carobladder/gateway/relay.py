"""Relay of event streams from engines to callers."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from carobladder.clients.http import AnswerStream
from carobladder.exceptions import CallerError, ConnectionBrokenError, TargetError
from carobladder.gateway.ports import Answer, Responder
from carobladder.gateway.problems import encode_problem
from carobladder.headers import Headers
from carobladder.retries import StreamFault, StreamTracker

__all__ = [
    "EVENT_STREAM",
    "LAST_EVENT_FIELD",
    "RelayTimes",
    "StreamAttempt",
    "StreamObserver",
    "StreamRelay",
    "StreamSession",
    "pick_content_type",
]

# Tells a target after which event of a stream to go on.
LAST_EVENT_FIELD = "Last-Event-ID"
EVENT_STREAM = "text/event-stream"
_Target = TypeVar("_Target")
# The end of an answer directly follows its final event.
_END_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class RelayTimes:
    """Bound the pauses of a target's answer."""

    first_byte_seconds: float = 20.0
    stream_gap_seconds: float = 10.0


@dataclass(frozen=True, slots=True)
class StreamObserver:
    """Receive the times of a stream in seconds.

    ``received`` is the monotonic time of the request.
    """

    monotonic: Callable[[], float]
    received: float
    observe_first: Callable[[float], None]
    observe_gap: Callable[[float], None]


class StreamAttempt(Protocol[_Target]):
    """Hold the answer of one attempt until closed."""

    answer: AnswerStream
    target: _Target

    @property
    def first_byte_seconds(self) -> float | None:
        """Return how long the target took to its first byte, once it is known."""

    def note_first_byte(self) -> None:
        """Record how long the target took to its first byte."""

    def close(self, *, failed: bool = False) -> None:
        """Close the answer; later calls do nothing."""


class StreamSession(Protocol[_Target]):
    """Run the attempts of one streamed call."""

    @property
    def remaining_seconds(self) -> float:
        """Return the time in which the first event must arrive."""

    async def open(self, extra_headers: Headers = ()) -> StreamAttempt[_Target]:
        """Return the first answer whose headers arrived; raises CallerError."""

    def note_relayed(self, target: _Target) -> None:
        """Note that the caller received a part of the answer."""

    def note_failure(
        self, target: _Target, error: TargetError, *, resumable: bool = False
    ) -> None:
        """Allow a further attempt, or raise the CallerError that ends the call."""


class StreamRelay(Generic[_Target]):
    """Relay one streamed answer, resuming it where its connection breaks.

    With ``shows_errors`` a stream that cannot go on ends in a visible error event;
    without it the handler must cut the connection.
    """

    def __init__(
        self,
        session: StreamSession[_Target],
        responder: Responder,
        times: RelayTimes,
        observer: StreamObserver,
        answer_headers: Callable[[StreamAttempt[_Target]], Headers],
        tracker: StreamTracker | None = None,
        *,
        shows_errors: bool = True,
    ) -> None:
        self._session = session
        self._responder = responder
        self._times = times
        self._observer = observer
        self._answer_headers = answer_headers
        self._tracker = tracker or StreamTracker()
        self._shows_errors = shows_errors
        self._last_at: float | None = None
        self._first_at = 0.0
        self._chunks = 0
        self._first_byte_seconds: float | None = None
        self.served_by: _Target | None = None

    @property
    def first_byte_seconds(self) -> float | None:
        """Return how long the target that began the answer took to do so."""
        return self._first_byte_seconds

    @property
    def mean_gap_seconds(self) -> float | None:
        """Return the mean time between the relayed parts, None below two parts."""
        if self._last_at is None or self._chunks < 2:
            return None
        return (self._last_at - self._first_at) / (self._chunks - 1)

    async def run(self) -> CallerError | None:
        """Relay to the end; return the error that the caller saw in the stream.

        Raises CallerError if nothing was relayed yet.
        """
        try:
            while not await self._run_attempt():
                pass
        except CallerError as error:
            if not self._responder.started:
                raise
            if self._shows_errors:
                await self._send_error(error)
            return error
        return None

    async def _run_attempt(self) -> bool:
        """Relay one attempt; tell whether the answer is complete."""
        opened = await self._session.open(self._resume_headers())
        try:
            failure = await self._relay_answer(opened)
            if failure is None:
                self.served_by = opened.target
                return True
            opened.close(failed=True)
            self._session.note_failure(
                opened.target, failure, resumable=self._tracker.resumable
            )
            return False
        finally:
            opened.close()

    def _resume_headers(self) -> Headers:
        last_index = self._tracker.last_index
        if last_index is None:
            return ()
        return ((LAST_EVENT_FIELD, str(last_index)),)

    async def _relay_answer(self, opened: StreamAttempt[_Target]) -> TargetError | None:
        if pick_content_type(opened.answer.headers).startswith(EVENT_STREAM):
            return await self._relay_events(opened)
        if self._tracker.relayed:
            return _broken(f"answered {opened.answer.status} instead of resuming")
        return await self._relay_whole(opened)

    async def _relay_whole(self, opened: StreamAttempt[_Target]) -> TargetError | None:
        answer = opened.answer
        opened.note_first_byte()
        try:
            body = await answer.read_all(self._times.first_byte_seconds)
        except TargetError as error:
            return error
        headers = self._answer_headers(opened)
        await self._responder.send_answer(Answer(answer.status, headers, body))
        return None

    async def _relay_events(self, opened: StreamAttempt[_Target]) -> TargetError | None:
        """Relay whole events; return what broke the stream, or None at its end."""
        self._tracker.start_attempt()
        try:
            await self._relay_first_events(opened)
            while not self._tracker.finished:
                if await opened.answer.push(
                    self._relay_data, self._times.stream_gap_seconds
                ):
                    self._tracker.end_attempt()
                    break
                self._check_fault()
                await self._responder.drain()
        except TargetError as error:
            return error
        if not self._tracker.finished:
            return _broken("the stream ended without its final event")
        await self._responder.end_stream()
        await self._read_end(opened)
        return None

    async def _relay_first_events(self, opened: StreamAttempt[_Target]) -> None:
        """Start the caller's answer once a whole event has arrived."""
        events = b""
        limit_seconds = self._times.first_byte_seconds
        while not events:
            remaining_seconds = self._session.remaining_seconds
            data = await opened.answer.read(min(limit_seconds, remaining_seconds))
            if not data:
                self._tracker.end_attempt()
                raise _broken("the stream ended without an event")
            events = self._tracker.feed(data)
            if not events:
                self._check_fault()
        await self._note_first_events(opened)
        await self._responder.send_chunk(events)
        self._note_chunk()
        self._check_fault()

    def _relay_data(self, data: bytes) -> bool:
        """Relay whole events; return False if the stream must not go on at once.

        Runs for each chunk, so it neither logs nor waits nor parses JSON.
        """
        tracker = self._tracker
        writable = True
        events = tracker.feed(data)
        if events:
            writable = self._responder.write_chunk(events)
            self._note_chunk()
        return writable and not (
            tracker.finished or tracker.fault or (not events and self._is_stalled())
        )

    def _is_stalled(self) -> bool:
        """Tell whether bytes arrive, but no whole event within the longest pause."""
        if self._last_at is None:
            return False
        pause = self._observer.monotonic() - self._last_at
        return pause > self._times.stream_gap_seconds

    def _check_fault(self) -> None:
        if self._is_stalled():
            raise _broken("bytes arrived, but no whole event in the longest pause")
        fault = self._tracker.fault
        if fault is not StreamFault.NONE:
            raise _broken(f"the stream cannot be followed: {fault}")

    async def _note_first_events(self, opened: StreamAttempt[_Target]) -> None:
        opened.note_first_byte()
        if self._first_byte_seconds is None:
            self._first_byte_seconds = opened.first_byte_seconds
        self._session.note_relayed(opened.target)
        if not self._responder.started:
            await self._responder.start_stream(200, self._answer_headers(opened))

    def _note_chunk(self) -> None:
        now = self._observer.monotonic()
        self._chunks += 1
        if self._last_at is None:
            self._first_at = now
            self._observer.observe_first(now - self._observer.received)
        else:
            self._observer.observe_gap(now - self._last_at)
        self._last_at = now

    async def _read_end(self, opened: StreamAttempt[_Target]) -> None:
        """Read the end of the answer, so that its connection can be used again."""
        try:
            if await opened.answer.read(_END_SECONDS):
                opened.answer.close()
        except TargetError:
            opened.answer.close()

    async def _send_error(self, error: CallerError) -> None:
        """End the stream with a visible error and without the final event."""
        event = b"event: error\ndata: " + encode_problem(error) + b"\n\n"
        await self._responder.send_chunk(event)
        await self._responder.end_stream()


def pick_content_type(headers: Headers) -> str:
    """Return the content type of an answer."""
    for name, value in headers:
        if name == "content-type":
            return value
    return "application/octet-stream"


def _broken(reason: str) -> ConnectionBrokenError:
    return ConnectionBrokenError(f"{reason}; try another target", request_written=True)
