"""Follow the token index of an event stream so that it can be resumed."""

from enum import StrEnum

__all__ = ["EventTracker", "StreamFault", "StreamTracker"]

_EVENT_END = b"\n\n"
_DONE = b"data: [DONE]"
_DONE_WITHOUT_SPACE = b"data:[DONE]"
_MAX_EVENT_BYTES = 1_048_576


class StreamFault(StrEnum):
    """Name why the events of an attempt cannot be relayed further."""

    NONE = ""
    WRONG_INDEX = "wrong_index"
    BAD_INDEX = "bad_index"
    EVENT_TOO_LARGE = "event_too_large"


class StreamTracker:
    """Release whole events in the order of their token index.

    Only whole events are released, so that a cut inside an event leaves nothing
    at the caller that a resumed stream would repeat.
    """

    def __init__(self) -> None:
        self.last_index: int | None = None
        self.finished = False
        self.relayed = False
        self.fault = StreamFault.NONE
        self._numbered = True
        self._tail = b""

    @property
    def resumable(self) -> bool:
        """Tell whether the rest can be requested after the last index.

        An event without an index cannot be placed in a resumed stream.
        """
        if self.finished or not self._numbered:
            return False
        return self.last_index is not None or not self.relayed

    def start_attempt(self) -> None:
        """Drop the incomplete event of the attempt before."""
        self._tail = b""
        self.fault = StreamFault.NONE

    def end_attempt(self) -> None:
        """Take note that the attempt's answer has ended whole."""

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that may be relayed now.

        ``fault`` is set if an event is not the next one; it and all later bytes of
        the attempt are dropped. Bytes after the final event are dropped too.
        """
        if self.fault or self.finished:
            return b""
        if self._tail:
            data = self._tail + data
        data = self._unify_lines(data)
        start = 0
        while not self.finished:
            end = data.find(_EVENT_END, start)
            if end < 0:
                break
            if not self._accept(data, start, end):
                break
            start = end + len(_EVENT_END)
        self._keep_tail(data, start)
        if start:
            self.relayed = True
        return data[:start]

    def _unify_lines(self, data: bytes) -> bytes:
        return data.replace(b"\r\n", b"\n") if b"\r" in data else data

    def _keep_tail(self, data: bytes, start: int) -> None:
        if self.fault or self.finished:
            self._tail = b""
            return
        self._tail = data[start:]
        if len(self._tail) > _MAX_EVENT_BYTES:
            self.fault = StreamFault.EVENT_TOO_LARGE
            self._tail = b""

    def _accept(self, data: bytes, start: int, end: int) -> bool:
        if data.startswith(b"id:", start):
            line = start
        else:
            # Payloads are JSON on one line, so a line that starts with "id:" is
            # never part of one.
            line = data.find(b"\nid:", start, end) + 1
            if line == 0:
                self._accept_unnumbered(data[start:end])
                return True
        line_end = data.find(b"\n", line, end)
        return self._accept_index(data[line + 3 : line_end if line_end >= 0 else end])

    def _accept_index(self, text: bytes) -> bool:
        try:
            index = int(text)
        except ValueError:
            self.fault = StreamFault.BAD_INDEX
            return False
        expected = 0 if self.last_index is None else self.last_index + 1
        if index != expected:
            self.fault = StreamFault.WRONG_INDEX
            return False
        self.last_index = index
        return True

    def _accept_unnumbered(self, event: bytes) -> None:
        if event.startswith((_DONE, _DONE_WITHOUT_SPACE)):
            self.finished = True
        elif event.startswith(b"data:") or b"\ndata:" in event:
            self._numbered = False


class EventTracker(StreamTracker):
    """Follow a stream whose event ids grow and that ends with its answer.

    No event marks the end, so an answer that ends whole, and not inside an event,
    ends the stream. Bytes are relayed as the target sent them.
    """

    def end_attempt(self) -> None:
        """Finish the stream unless the answer ended inside an event."""
        self.finished = self.relayed and not self._tail

    def _accept_index(self, text: bytes) -> bool:
        try:
            index = int(text)
        except ValueError:
            self.fault = StreamFault.BAD_INDEX
            return False
        if self.last_index is not None and index <= self.last_index:
            self.fault = StreamFault.WRONG_INDEX
            return False
        self.last_index = index
        return True

    def _unify_lines(self, data: bytes) -> bytes:
        return data

    def _accept_unnumbered(self, event: bytes) -> None:
        if event.startswith(b"data:") or b"\ndata:" in event:
            self._numbered = False
