"""Check that only the platform adapter knows the platform's names."""

import inspect
import re
import sys
from collections.abc import Iterator
from pathlib import Path

import msgspec

from carobladder.platform import documents

ROOT = Path(__file__).resolve().parent.parent
ADAPTER = ROOT / "carobladder" / "platform"
CHECKED = ("carobladder", "demo", "benchmarks")
MAX_ADAPTER_LINES = 1200

_HEADERS = re.compile(
    r"carobladder-(?:request|response|deadline|expect|server|prompt|token|not|cold|"
    r"instance|tenant|model|hold|pin|kv|duty|fencing)|x-api-key|kv-from|kv-fetch",
    re.IGNORECASE,
)
_PATHS = re.compile(r"/-/|keyed\.")


def list_field_names() -> set[str]:
    """Return the names of record fields that no project would use by itself."""
    names = set()
    for _, kind in inspect.getmembers(documents, inspect.isclass):
        if issubclass(kind, msgspec.Struct):
            names.update(kind.__struct_encode_fields__)
    return {name for name in names if name != name.lower()}


def find_names(path: Path, fields: re.Pattern[str]) -> Iterator[str]:
    """Return a line for each name of the platform in a file."""
    text = path.read_text(encoding="utf-8")
    for number, line in enumerate(text.splitlines(), 1):
        for pattern in (_HEADERS, _PATHS, fields):
            match = pattern.search(line)
            if match:
                place = path.relative_to(ROOT)
                yield f"{place}:{number}: '{match[0]}' belongs into {ADAPTER.name}/"


def check_tree() -> list[str]:
    """Return what breaks the boundary."""
    fields = re.compile(rf"\b(?:{'|'.join(sorted(list_field_names()))})\b")
    problems = []
    for folder in CHECKED:
        for path in sorted((ROOT / folder).rglob("*.py")):
            if ADAPTER not in path.parents:
                problems += find_names(path, fields)
    sizes = (len(path.read_text().splitlines()) for path in ADAPTER.rglob("*.py"))
    lines = sum(sizes)
    if lines > MAX_ADAPTER_LINES:
        problems.append(f"the adapter has {lines} lines, over {MAX_ADAPTER_LINES}")
    return problems


def main() -> int:
    """Print what breaks the boundary; return the exit status."""
    problems = check_tree()
    print("\n".join(problems) or "platform boundary: ok")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
