"""Command ``carobladder explain``."""

import fileinput
from dataclasses import dataclass
from typing import Annotated

import cappa
import msgspec

from carobladder.explain.history import HistoryStep, RequestHistory, explain_request
from carobladder.explain.lines import parse_log_lines

__all__ = ["ExplainCommand"]

_NOT_FOUND_STATUS = 1


@cappa.command(name="explain", help="Explain the outcome of a request from log files.")
@dataclass
class ExplainCommand:
    """Explain the outcome of a request from log files."""

    request_id: Annotated[str, cappa.Arg(help="Id of the request.")]
    files: Annotated[
        list[str], cappa.Arg(help="Log files of instances; - is standard input.")
    ]
    json: Annotated[bool, cappa.Arg(long=True, help="Print JSON.")] = False

    def __call__(self) -> None:
        """Print the history of the request; exit with status 1 if none is found."""
        with fileinput.input(self.files, errors="replace", encoding="utf-8") as texts:
            history = explain_request(self.request_id, list(parse_log_lines(texts)))
        print(render_json(history) if self.json else render_table(history))
        if not history.steps:
            raise cappa.Exit(code=_NOT_FOUND_STATUS)


def render_table(history: RequestHistory) -> str:
    """Format the history as aligned lines, with context events in parentheses."""
    rows = [_format_step(step) for step in history.steps]
    widths = [max((len(row[i]) for row in rows), default=0) for i in range(3)]
    lines = [
        "  ".join((*(c.ljust(w) for c, w in zip(row, widths, strict=False)), row[3]))
        for row in rows
    ]
    return "\n".join([*lines, f"request {history.request_id}: {history.cause}"])


def render_json(history: RequestHistory) -> str:
    """Encode the history as JSON."""
    document = {
        "request_id": history.request_id,
        "cause": history.cause,
        "steps": [
            {
                "time": step.line.time,
                "instance": step.line.instance,
                "incarnation": step.line.incarnation,
                "event": step.line.event,
                "belief": step.is_context,
                **step.line.fields,
            }
            for step in history.steps
        ],
    }
    return msgspec.json.encode(document).decode()


def _format_step(step: HistoryStep) -> tuple[str, str, str, str]:
    line = step.line
    shown = {k: v for k, v in line.fields.items() if k != "request_id"}
    details = " ".join(f"{name}={value}" for name, value in shown.items())
    event = f"({line.event})" if step.is_context else line.event
    return line.time, line.instance, event, details
