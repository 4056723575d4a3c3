"""Reference page of the log events, generated from the event classes."""

from dataclasses import fields

from carobladder.telemetry.events import Event, list_events

__all__ = ["render_events"]

_PAGE_HEADER = """# Log events

`python3 -m carobladder.entry` writes one JSON object a line to standard output. Each
has `time`, `level`, `event`, `instance` and the fields of its event; empty fields are
left out. Events marked "limited" are left out beyond 50 lines a second of their kind
(200 at once); `events_left_out` then states `kind` and `count`. A reader that is too
slow loses lines, which `lines_left_out` counts; it never slows the instance.

`carobladder explain REQUEST-ID FILE...` puts the lines of one request in order. This
page is generated: `make docs`.

| event | meaning | fields | |
| --- | --- | --- | --- |
"""


def render_events() -> str:
    """Return the reference page in Markdown."""
    return _PAGE_HEADER + "".join(
        _render_event(event_class) for event_class in list_events()
    )


def _render_event(event_class: type[Event]) -> str:
    meaning = " ".join((event_class.__doc__ or "").split())
    field_names = ", ".join(f"`{field.name}`" for field in fields(event_class))
    limit_note = "limited" if event_class.limited else ""
    return f"| `{event_class.name()}` | {meaning} | {field_names} | {limit_note} |\n"


if __name__ == "__main__":
    print(render_events(), end="")
