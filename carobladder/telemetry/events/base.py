"""Base class of log events."""

import logging
from dataclasses import dataclass, fields
from typing import Any, ClassVar

__all__ = ["Event", "list_events"]


@dataclass(frozen=True, slots=True)
class Event:
    """Base class of log events, each of which is logged as one line.

    ``limited`` events above a rate are dropped, and their number is logged later.
    """

    limited: ClassVar[bool] = False
    level: ClassVar[int] = logging.INFO

    @classmethod
    def name(cls) -> str:
        """Return the class name in snake case, such as target_seen, for the log."""
        letters = (f"_{c.lower()}" if c.isupper() else c for c in cls.__name__)
        return "".join(letters).lstrip("_")

    def to_fields(self) -> dict[str, Any]:
        """Return the fields of the event except those that are None or empty."""
        values = ((field.name, getattr(self, field.name)) for field in fields(self))
        return {name: value for name, value in values if value not in (None, "")}


def list_events() -> list[type[Event]]:
    """Return all event classes in the order of their definition.

    ``dataclass(slots=True)`` creates a new class, and the original one stays in
    ``__subclasses__`` until it is garbage-collected; the later one of a name is kept.
    """
    return list({cls.__name__: cls for cls in Event.__subclasses__()}.values())
