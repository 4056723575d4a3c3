"""Log lines of key=value pairs, one line an event."""

import json
import logging
import sys
from typing import Any

from pythonjsonlogger.core import BaseJsonFormatter

__all__ = ["configure_logging", "log_event"]

_NEEDS_QUOTES = frozenset(' "=\n\r\t')
_root = logging.getLogger("carobladder")


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


def log_event(event: str, level: int = logging.INFO, **fields: Any) -> None:
    """Write one event with its fields."""
    _root.log(level, event, extra=fields)
