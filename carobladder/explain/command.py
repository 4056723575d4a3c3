"""The explain command."""

import fileinput
from dataclasses import dataclass
from typing import Annotated

import cappa
import msgspec

from carobladder.explain.lines import read_lines
from carobladder.explain.story import Story, StoryStep, explain_request

__all__ = ["ExplainCommand"]

_NOT_FOUND_STATUS = 1


@cappa.command(name="explain", help="Tell from log files why a request ended so.")
@dataclass
class ExplainCommand:
    """Tell from log files why a request ended so."""

    request_id: Annotated[str, cappa.Arg(help="Id of the request.")]
    files: Annotated[
        list[str], cappa.Arg(help="Log files of instances; - is standard input.")
    ]
    json: Annotated[bool, cappa.Arg(long=True, help="Print JSON.")] = False

    def __call__(self) -> None:
        """Print the story of the request."""
        with fileinput.input(self.files, errors="replace", encoding="utf-8") as texts:
            story = explain_request(self.request_id, list(read_lines(texts)))
        print(render_json(story) if self.json else render_table(story))
        if not story.steps:
            raise cappa.Exit(code=_NOT_FOUND_STATUS)


def render_table(story: Story) -> str:
    """Return the story as aligned lines."""
    rows = [_describe(step) for step in story.steps]
    widths = [max((len(row[i]) for row in rows), default=0) for i in range(3)]
    lines = [
        "  ".join((*(c.ljust(w) for c, w in zip(row, widths, strict=False)), row[3]))
        for row in rows
    ]
    return "\n".join([*lines, f"request {story.request_id}: {story.cause}"])


def render_json(story: Story) -> str:
    """Return the story as JSON for programs."""
    document = {
        "request_id": story.request_id,
        "cause": story.cause,
        "steps": [
            {
                "time": step.line.time,
                "instance": step.line.instance,
                "incarnation": step.line.incarnation,
                "event": step.line.event,
                "belief": step.belief,
                **step.line.fields,
            }
            for step in story.steps
        ],
    }
    return msgspec.json.encode(document).decode()


def _describe(step: StoryStep) -> tuple[str, str, str, str]:
    line = step.line
    shown = {k: v for k, v in line.fields.items() if k != "request_id"}
    details = " ".join(f"{name}={value}" for name, value in shown.items())
    event = f"({line.event})" if step.belief else line.event
    return line.time, line.instance, event, details
