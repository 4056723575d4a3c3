"""Reading of log lines of several instances."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

import msgspec

__all__ = ["LogLine", "read_lines"]

_COMMON = frozenset({"time", "level", "event", "instance", "incarnation"})


@dataclass(frozen=True, slots=True)
class LogLine:
    """Carry one event; ``order`` is its place in the lines that were read.

    ``incarnation`` tells the runs of an instance apart; it is 0 if not stated.
    """

    order: int
    time: str
    instance: str
    incarnation: int
    event: str
    fields: dict[str, Any]

    @property
    def run(self) -> tuple[str, int]:
        """Return what names one run of an instance."""
        return self.instance, self.incarnation


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Return the events of lines; torn lines and other output are passed over.

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
        incarnation=_read_incarnation(document.get("incarnation")),
        event=document["event"],
        fields={key: value for key, value in document.items() if key not in _COMMON},
    )


def _read_incarnation(value: object) -> int:
    return value if isinstance(value, int) else 0
