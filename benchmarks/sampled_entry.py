"""Run the command line of carobladder while sampling where its time goes.

SIGUSR1 clears the counts and SIGUSR2 writes them as JSON to the file that the
variable MEASURE_SAMPLES_PATH names.
"""

import json
import os
import signal
from collections import Counter
from pathlib import Path
from types import FrameType

from carobladder.cli import main as run_command

__all__ = ["SAMPLES_VARIABLE", "classify_file"]

SAMPLES_VARIABLE = "MEASURE_SAMPLES_PATH"
_INTERVAL_SECONDS = 0.004
_PARTS = {
    "/h11/": "h11",
    "/asyncio/": "event loop",
    "/selectors.py": "event loop",
    "/prometheus_client/": "libraries",
    "/zmq/": "libraries",
    # The last one, because a clone of this name holds the libraries as well.
    "/carobladder/": "carobladder",
}
_counts: Counter[str] = Counter()


def classify_file(path: str) -> str:
    """Return the part that a source file belongs to, or nothing for a helper."""
    for mark, part in _PARTS.items():
        if mark in path:
            return part
    return ""


def _sample(_: int, frame: FrameType | None) -> None:
    # A helper of the standard library counts for the part that called it.
    while frame is not None:
        part = classify_file(frame.f_code.co_filename)
        if part:
            _counts[part] += 1
            name = Path(frame.f_code.co_filename).name
            _counts[f"{part}: {name}:{frame.f_code.co_name}"] += 1
            return
        frame = frame.f_back
    _counts["other"] += 1


def _write(*_: object) -> None:
    path = Path(os.environ[SAMPLES_VARIABLE])
    part = path.with_suffix(".part")
    part.write_text(json.dumps(_counts))
    part.rename(path)


def main() -> None:
    """Start the samples, then run the command line."""
    signal.signal(signal.SIGPROF, _sample)
    signal.signal(signal.SIGUSR1, lambda *_: _counts.clear())
    signal.signal(signal.SIGUSR2, _write)
    signal.setitimer(signal.ITIMER_PROF, _INTERVAL_SECONDS, _INTERVAL_SECONDS)
    run_command()


if __name__ == "__main__":
    main()
