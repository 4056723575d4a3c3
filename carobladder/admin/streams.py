"""Watch answers as JSON lines or server-sent events."""

from collections.abc import AsyncIterator, Callable
from typing import Any

import msgspec

from carobladder.admin.submission import wait_or_sleep
from carobladder.clock import Clock
from carobladder.exceptions import BadCredentialsError, WatchExpiredError
from carobladder.resources import Watch, WatchEvent, WatchHistory

__all__ = ["StreamFormat", "stream_watch"]

# Shows a client behind a proxy that the connection still works.
_ALIVE_SECONDS = 15.0


class StreamFormat:
    """Write a message as one JSON line, or as one server-sent event."""

    def __init__(self, accept: str) -> None:
        self._events = "text/event-stream" in accept

    @property
    def content_type(self) -> str:
        """Return the content type of the stream."""
        return "text/event-stream" if self._events else "application/x-ndjson"

    def write(self, message: dict[str, Any]) -> bytes:
        """Return the bytes of a message with ``type`` and perhaps ``cursor``."""
        data = msgspec.json.encode(message)
        if not self._events:
            return data + b"\n"
        cursor = message.get("cursor")
        identity = f"id: {cursor}\n" if cursor else ""
        return f"{identity}event: {message['type']}\ndata: ".encode() + data + b"\n\n"


async def stream_watch(
    history: WatchHistory,
    watch: Watch,
    clock: Clock,
    form: StreamFormat,
    authenticate: Callable[[], object],
) -> AsyncIterator[bytes]:
    """Yield events, the instances that are waited for, and signs of life.

    ``authenticate`` raises BadCredentialsError once the credentials are revoked;
    the stream then ends.
    """
    waiter = history.subscribe()
    waiting: tuple[str, ...] = ()
    log_up = True
    try:
        yield form.write({"type": "started", "cursor": str(watch.cursor)})
        while True:
            waiter.clear()
            authenticate()
            for event in watch.poll():
                yield form.write(_to_message(event))
            if waiting != (waiting := watch.waiting_for()):
                yield form.write({"type": "waiting", "waiting_for": waiting})
            if log_up != (log_up := history.log_up):
                yield form.write({"type": "log", "log": "up" if log_up else "down"})
            if not waiter.is_set():
                start = clock.monotonic()
                await wait_or_sleep(waiter, clock, _ALIVE_SECONDS)
                if clock.monotonic() - start >= _ALIVE_SECONDS:
                    yield form.write({"type": "alive", "cursor": str(watch.cursor)})
    except (BadCredentialsError, WatchExpiredError) as error:
        yield form.write(
            {
                "type": "error",
                "error": {
                    "code": error.code,
                    "message": error.message,
                    "remedy": error.remedy,
                },
            }
        )
    finally:
        history.unsubscribe(waiter)


def _to_message(event: WatchEvent) -> dict[str, Any]:
    return {
        "type": event.type.value,
        "cursor": str(event.cursor),
        "change": msgspec.to_builtins(event.change),
    }
