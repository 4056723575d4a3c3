"""Tracking of the indices in event streams, so that broken streams can be resumed."""

from enum import StrEnum

from carobladder.memory import MemoryBudget

__all__ = ["EventIdTracker", "StreamFault", "StreamTracker"]

_EVENT_END = b"\n\n"
# The bytes of an event end, with CR LF as line end, before its last one.
_EVENT_END_OVERLAP_BYTES = 3
_DONE = b"data: [DONE]"
_DONE_WITHOUT_SPACE = b"data:[DONE]"
_MAX_EVENT_BYTES = 1_048_576


class StreamFault(StrEnum):
    """Reasons to stop relaying the events of an attempt."""

    NONE = ""
    WRONG_INDEX = "wrong_index"
    BAD_INDEX = "bad_index"
    EVENT_TOO_LARGE = "event_too_large"
    MEMORY_EXCEEDED = "memory_exceeded"


class StreamTracker:
    """Filter that passes complete events with consecutive token indices, from 0.

    Incomplete events are held back: if the stream breaks inside an event, the caller
    has no part of it that the resumed stream would repeat. ``budget`` bounds the bytes
    that all streams hold back; ``refused_bytes`` is the size of the event that it had
    no room for. The stream ends with a ``[DONE]`` event.
    """

    def __init__(self, budget: MemoryBudget | None = None) -> None:
        self.last_index: int | None = None
        self.finished = False
        self.relayed = False
        self.fault = StreamFault.NONE
        self._all_indexed = True
        self.budget = budget or MemoryBudget(2 * _MAX_EVENT_BYTES)
        self.refused_bytes = 0
        self._incomplete_event = bytearray()

    @property
    def resumable(self) -> bool:
        """Whether the rest of the stream can be requested by the last index.

        This is false after a data event without an index, as its position in a resumed
        stream is unknown.
        """
        if self.finished or not self._all_indexed:
            return False
        return self.last_index is not None or not self.relayed

    def start_attempt(self) -> None:
        """Discard the incomplete event and the fault of the previous attempt."""
        self.discard_incomplete()
        self.fault = StreamFault.NONE

    def end_attempt(self) -> None:
        """Handle the regular end of the attempt's response."""

    def discard_incomplete(self) -> None:
        """Discard the incomplete event and return its memory."""
        self.budget.release(len(self._incomplete_event))
        self._incomplete_event.clear()

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return the complete events to relay now.

        If an event is not the expected one, ``fault`` is set, and the event and all
        later bytes of the attempt are discarded. Bytes after the final event are
        discarded too.
        """
        if self.fault or self.finished:
            return b""
        if self._incomplete_event:
            if not self._ends_event(data):
                self._hold_back(data)
                return b""
            data = bytes(self._incomplete_event) + data
            self.discard_incomplete()
        data = self._normalise_line_ends(data)
        start = 0
        for event in data.split(_EVENT_END)[:-1]:
            if self.finished or not self._accept_event(event):
                break
            start += len(event) + len(_EVENT_END)
        if not (self.fault or self.finished):
            self._hold_back(data[start:])
        if start:
            self.relayed = True
        return data[:start]

    def _normalise_line_ends(self, data: bytes) -> bytes:
        return data.replace(b"\r\n", b"\n") if b"\r" in data else data

    def _ends_event(self, data: bytes) -> bool:
        """Return whether the event that is held back may end in these bytes.

        Only the new bytes are searched. A large event that arrives in small parts would
        otherwise be copied and searched with each of them, while all requests wait.
        """
        tail = bytes(self._incomplete_event[-_EVENT_END_OVERLAP_BYTES:])
        return _EVENT_END in self._normalise_line_ends(tail + data)

    def _hold_back(self, data: bytes) -> None:
        held = len(self._incomplete_event)
        if held + len(data) > _MAX_EVENT_BYTES:
            self._give_up_event(StreamFault.EVENT_TOO_LARGE)
        elif not self.budget.reserve(len(data), held):
            self.refused_bytes = held + len(data)
            self._give_up_event(StreamFault.MEMORY_EXCEEDED)
        else:
            self._incomplete_event += data

    def _give_up_event(self, fault: StreamFault) -> None:
        self.fault = fault
        self.discard_incomplete()

    def _accept_event(self, event: bytes) -> bool:
        if not event or (event.startswith(b":") and b"\n" not in event):
            # A comment, of which there may be thousands in the bytes of one read.
            return True
        if event.startswith(b"id:"):
            line = 0
        else:
            # Payloads are JSON on one line, so a line that starts with "id:" never
            # belongs to a payload.
            line = event.find(b"\nid:") + 1
            if line == 0:
                self._accept_unindexed(event)
                return True
        line_end = event.find(b"\n", line)
        return self._accept_index(event[line + 3 : line_end if line_end >= 0 else None])

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

    def _accept_unindexed(self, event: bytes) -> None:
        if event.startswith((_DONE, _DONE_WITHOUT_SPACE)):
            self.finished = True
        elif event.startswith(b"data:") or b"\ndata:" in event:
            self._all_indexed = False


class EventIdTracker(StreamTracker):
    """Tracker of streams with increasing event ids and without a final event.

    The ids may have gaps. The stream ends when the response ends regularly and not
    inside an event. Bytes are relayed exactly as the target sent them.
    """

    def end_attempt(self) -> None:
        """Mark the stream as finished unless the response ended inside an event."""
        self.finished = self.relayed and not self._incomplete_event

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

    def _normalise_line_ends(self, data: bytes) -> bytes:
        return data

    def _accept_unindexed(self, event: bytes) -> None:
        if event.startswith(b"data:") or b"\ndata:" in event:
            self._all_indexed = False
