"""Output of the operators' commands as tables or JSON."""

import sys
from collections.abc import Mapping, Sequence
from typing import Any

import msgspec

__all__ = ["print_progress", "print_rows", "show_error"]

_CELL_CHARACTERS = 60


def print_rows(
    rows: Sequence[Mapping[str, Any]], columns: Sequence[str], output: str
) -> None:
    """Print rows as aligned columns, or whole as one JSON value a line."""
    if output == "json":
        for row in rows:
            print(msgspec.json.encode(row).decode())
        return
    cells = [[_format_cell(row.get(name)) for name in columns] for row in rows]
    table = [[name.upper() for name in columns], *cells]
    widths = [max(len(line[index]) for line in table) for index in range(len(columns))]
    for line in table:
        padded = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        print("  ".join(padded).rstrip())


def print_progress(text: str, *, last: bool) -> None:
    """Print a line on standard error; overwrite it on a terminal."""
    if not sys.stderr.isatty():
        print(text, file=sys.stderr, flush=True)
        return
    end = "\n" if last else ""
    print(f"\r\x1b[K{text}", end=end, file=sys.stderr, flush=True)


def show_error(text: str) -> None:
    """Print an error on standard error."""
    print(f"error: {text}", file=sys.stderr)


def _format_cell(value: Any) -> str:
    if value is None:
        return ""
    text = value if isinstance(value, str) else msgspec.json.encode(value).decode()
    if len(text) > _CELL_CHARACTERS:
        return text[: _CELL_CHARACTERS - 3] + "..."
    return text
