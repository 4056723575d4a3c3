"""Output of log events as key=value or JSON lines, one line per event."""

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
    "emit_dropped_event_counts",
    "log_event",
    "set_log_level",
]

_CHARACTERS_TO_QUOTE = frozenset(' "=\n\r\t')
_limiter = EventLimiter()
_package_logger = logging.getLogger("carobladder")
# Maximum number of lines queued for a slow reader of standard output; further lines
# are dropped.
_MAX_QUEUED_LINES = 2000
# Timeout for each of the two waits for that reader at shutdown.
_STOP_TIMEOUT_SECONDS = 0.3


class _KeyValueFormatter(BaseJsonFormatter):
    """Formatter that writes the fields of a record as key=value pairs."""

    def jsonify_log_record(self, log_data: dict[str, Any]) -> str:
        return " ".join(
            f"{key}={_format_value(value)}" for key, value in log_data.items()
        )


def _format_value(value: Any) -> str:
    text = "" if value is None else str(value)
    if not text or _CHARACTERS_TO_QUOTE.intersection(text):
        return json.dumps(text, ensure_ascii=False)
    return text


def configure_logging(level: str, instance_id: str) -> None:
    """Configure logging of key=value lines to standard error."""
    formatter = _KeyValueFormatter(
        "{asctime}{levelname}{message}",
        style="{",
        rename_fields={"asctime": "time", "levelname": "level", "message": "event"},
        static_fields={"instance": instance_id},
    )
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(formatter)
    _package_logger.handlers[:] = [handler]
    _package_logger.setLevel(level.upper())
    _package_logger.propagate = False


def set_log_level(level: str) -> None:
    """Set the minimum level of the events that are logged."""
    _package_logger.setLevel(level.upper())


def emit(event: Event) -> None:
    """Log an event unless its class has exceeded its rate limit."""
    now = time.monotonic()
    if _limiter.admit(event, now):
        _package_logger.log(event.level, event.name(), extra=event.to_fields())


def emit_dropped_event_counts() -> None:
    """Log the number of rate-limited events dropped since the last call."""
    for name, count in _limiter.take_dropped_counts().items():
        log_event("events_left_out", logging.WARNING, kind=name, count=count)


def log_event(event: str, level: int = logging.INFO, **fields: Any) -> None:
    """Log one event with its fields; no rate limit applies."""
    _package_logger.log(level, event, extra=fields)


class _BoundedQueueHandler(QueueHandler):
    """Handler that queues records without blocking; drops and counts them if full."""

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
    """Listener that writes queued records and stops within a bounded time."""

    def __init__(
        self, lines: "queue.Queue[logging.LogRecord | None]", output: logging.Handler
    ) -> None:
        super().__init__(lines, output)
        self._lines = lines

    def stop(self) -> None:
        try:
            # None marks the end of the queue for the listener.
            self._lines.put(None, timeout=_STOP_TIMEOUT_SECONDS)
        except queue.Full:
            return
        if self._thread is not None:
            self._thread.join(_STOP_TIMEOUT_SECONDS)
            self._thread = None


@contextmanager
def configure_json_logging(
    level: str, instance_id: str, incarnation: int
) -> Iterator[None]:
    """Log events as JSON lines to standard output from a separate thread.

    A reader that stops reading blocks only that thread. On exit, queued lines that the
    reader does not accept within the timeout are lost.
    """
    formatter = JsonFormatter(
        "{asctime}{levelname}{message}",
        style="{",
        rename_fields={"asctime": "time", "levelname": "level", "message": "event"},
        static_fields={"instance": instance_id, "incarnation": incarnation},
    )
    output = logging.StreamHandler(sys.stdout)
    output.setFormatter(formatter)
    lines: queue.Queue[logging.LogRecord | None] = queue.Queue(_MAX_QUEUED_LINES)
    listener = _BoundedQueueListener(lines, output)
    _package_logger.handlers[:] = [_BoundedQueueHandler(lines)]
    _package_logger.setLevel(level.upper())
    _package_logger.propagate = False
    listener.start()
    try:
        yield
    finally:
        listener.stop()
