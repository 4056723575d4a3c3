"""Base of the events that an instance logs, one line each."""

import logging
from dataclasses import dataclass, fields
from typing import Any, ClassVar

__all__ = ["Event", "list_events"]


@dataclass(frozen=True, slots=True)
class Event:
    """Base of all events.

    ``limited`` events are left out above a rate; how many is logged afterwards.
    """

    limited: ClassVar[bool] = False
    level: ClassVar[int] = logging.INFO

    @classmethod
    def name(cls) -> str:
        """Return the name under which the event is logged, such as target_seen."""
        letters = (f"_{c.lower()}" if c.isupper() else c for c in cls.__name__)
        return "".join(letters).lstrip("_")

    def to_fields(self) -> dict[str, Any]:
        """Return the fields of the event; empty ones are left out."""
        values = ((field.name, getattr(self, field.name)) for field in fields(self))
        return {name: value for name, value in values if value not in (None, "")}


def list_events() -> list[type[Event]]:
    """Return all events in the order of their definition.

    A class with slots replaces the one that the decorator was given, which stays
    among the subclasses until it is collected.
    """
    return list({kind.__name__: kind for kind in Event.__subclasses__()}.values())
