"""Log lines of key=value pairs, one line an event."""

import json
import logging
import queue
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from logging.handlers import QueueHandler, QueueListener
from typing import Any

from pythonjsonlogger.core import BaseJsonFormatter
from pythonjsonlogger.json import JsonFormatter

from carobladder.telemetry.events import Event
from carobladder.telemetry.limits import EventLimiter

__all__ = [
    "configure_json_logging",
    "configure_logging",
    "emit",
    "emit_left_out",
    "log_event",
    "set_log_level",
]

_NEEDS_QUOTES = frozenset(' "=\n\r\t')
_limiter = EventLimiter()
_root = logging.getLogger("carobladder")
# Lines that wait for a slow reader of standard output; later ones are dropped.
_MAX_WAITING_LINES = 2000
# Wait for that reader when the process ends.
_END_SECONDS = 0.3


class _KeyValueFormatter(BaseJsonFormatter):
    """Print the fields of a record as key=value pairs instead of JSON."""

    def jsonify_log_record(self, log_data: dict[str, Any]) -> str:
        return " ".join(
            f"{key}={_format_value(value)}" for key, value in log_data.items()
        )


def _format_value(value: Any) -> str:
    text = "" if value is None else str(value)
    if not text or _NEEDS_QUOTES.intersection(text):
        return json.dumps(text, ensure_ascii=False)
    return text


def configure_logging(level: str, instance_id: str) -> None:
    """Send the package's events to standard error as key=value lines."""
    formatter = _KeyValueFormatter(
        "{asctime}{levelname}{message}",
        style="{",
        rename_fields={"asctime": "time", "levelname": "level", "message": "event"},
        static_fields={"instance": instance_id},
    )
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(formatter)
    _root.handlers[:] = [handler]
    _root.setLevel(level.upper())
    _root.propagate = False


def set_log_level(level: str) -> None:
    """Write events from this level on."""
    _root.setLevel(level.upper())


def emit(event: Event) -> None:
    """Write an event unless its kind has used up its rate."""
    now = time.monotonic()
    if _limiter.admit(event, now):
        _root.log(event.level, event.name(), extra=event.to_fields())


def emit_left_out() -> None:
    """Write how many limited events were left out since the last call."""
    for name, count in _limiter.take_left_out().items():
        log_event("events_left_out", logging.WARNING, kind=name, count=count)


def log_event(event: str, level: int = logging.INFO, **fields: Any) -> None:
    """Write one event with its fields."""
    _root.log(level, event, extra=fields)


class _BoundedQueueHandler(QueueHandler):
    """Queue records without waiting; count what a full queue leaves out."""

    dropped = 0

    def enqueue(self, record: logging.LogRecord) -> None:
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1
            return
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            log_event("lines_left_out", logging.WARNING, count=dropped)


class _BoundedQueueListener(QueueListener):
    """Write queued records; its end waits only a little for a slow reader."""

    def __init__(
        self, lines: "queue.Queue[logging.LogRecord | None]", output: logging.Handler
    ) -> None:
        super().__init__(lines, output)
        self._lines = lines

    def stop(self) -> None:
        try:
            # The listener takes None for the end of the queue.
            self._lines.put(None, timeout=_END_SECONDS)
        except queue.Full:
            return
        if self._thread is not None:
            self._thread.join(_END_SECONDS)
            self._thread = None


@contextmanager
def configure_json_logging(
    level: str, instance_id: str, incarnation: int
) -> Iterator[None]:
    """Send events as JSON lines to standard output from a thread of their own.

    A reader that stops delays only that thread; at the end the waiting lines are
    written only if the reader takes them.
    """
    formatter = JsonFormatter(
        "{asctime}{levelname}{message}",
        style="{",
        rename_fields={"asctime": "time", "levelname": "level", "message": "event"},
        static_fields={"instance": instance_id, "incarnation": incarnation},
    )
    output = logging.StreamHandler(sys.stdout)
    output.setFormatter(formatter)
    lines: queue.Queue[logging.LogRecord | None] = queue.Queue(_MAX_WAITING_LINES)
    listener = _BoundedQueueListener(lines, output)
    _root.handlers[:] = [_BoundedQueueHandler(lines)]
    _root.setLevel(level.upper())
    _root.propagate = False
    listener.start()
    try:
        yield
    finally:
        listener.stop()
