"""Parsing of the log lines of one or more instances."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

import msgspec

__all__ = ["LogLine", "parse_log_lines"]

_COMMON_FIELDS = frozenset({"time", "level", "event", "instance", "incarnation"})


@dataclass(frozen=True, slots=True)
class LogLine:
    """Event parsed from a log line; ``order`` is the index of the line in the input.

    ``incarnation`` distinguishes the runs of an instance; it is 0 if not logged.
    """

    order: int
    time: str
    instance: str
    incarnation: int
    event: str
    fields: dict[str, Any]

    @property
    def run_id(self) -> tuple[str, int]:
        """Instance and incarnation, which together identify one run."""
        return self.instance, self.incarnation


def parse_log_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the events of log lines; skip truncated lines and other output.

    A prefix before the JSON object, as log collectors add it, is ignored.
    """
    for order, text in enumerate(texts):
        start = text.find("{")
        if start < 0:
            continue
        try:
            document = msgspec.json.decode(text[start:])
        except msgspec.DecodeError:
            continue
        if isinstance(document, dict) and isinstance(document.get("event"), str):
            yield _build_line(order, document)


def _build_line(order: int, document: dict[str, Any]) -> LogLine:
    return LogLine(
        order=order,
        time=str(document.get("time", "")),
        instance=str(document.get("instance", "")),
        incarnation=_parse_incarnation(document.get("incarnation")),
        event=document["event"],
        fields={
            key: value for key, value in document.items() if key not in _COMMON_FIELDS
        },
    )


def _parse_incarnation(value: object) -> int:
    return value if isinstance(value, int) else 0
