"""Reading of the beginning of an answer before it is known whether it is used."""

from carobladder.clients.connection import DeadlineExtender
from carobladder.exceptions import ConnectionBrokenError
from carobladder.forwarding.attempts import OpenCall
from carobladder.forwarding.patience import compute_max_pause
from carobladder.forwarding.sends import ForwardedCall
from carobladder.gateway.relay import is_event_stream

__all__ = ["load_beginning"]

# A longer first event is left to the relay, which accounts for its memory.
_MAX_EVENT_BYTES = 16_384
_EVENT_ENDS = (b"\n\n", b"\r\n\r\n")


async def load_beginning(
    call: ForwardedCall,
    opened: OpenCall,
    remaining_seconds: float,
    extend_deadline: DeadlineExtender,
) -> None:
    """Read a whole answer, or a stream up to its first event, and put it back.

    Errors on a streaming route are left to the relay. Raises TargetError.
    """
    if not call.route.is_streaming:
        opened.begun_at = opened.clock.monotonic()
        opened.answer.put_back(await opened.answer.read_all(remaining_seconds))
    elif is_event_stream(opened.answer):
        pause_seconds = compute_max_pause(call.route)
        limit_seconds = min(remaining_seconds, pause_seconds)
        data = await _read_first_event(opened, limit_seconds, extend_deadline)
        opened.begun_at = opened.clock.monotonic()
        opened.answer.put_back(data)


async def _read_first_event(
    opened: OpenCall, limit_seconds: float, extend_deadline: DeadlineExtender
) -> bytes:
    ends_at = opened.clock.monotonic() + limit_seconds
    data = b""
    while len(data) < _MAX_EVENT_BYTES:
        left_seconds = max(0.0, ends_at - opened.clock.monotonic())
        part = await opened.answer.read(left_seconds, extend_deadline)
        if not part:
            raise ConnectionBrokenError(
                "the stream ended without an event; try another target",
                request_written=True,
            )
        data += part
        if any(end in data for end in _EVENT_ENDS):
            break
    return data
