"""Entry program whose loading takes some seconds longer, as on a slow machine.

The environment states the seconds, for which the import of one library waits, and may
name a file that is created as the wait begins.
"""

import os
import runpy
import sys
import time
from importlib.abc import MetaPathFinder
from importlib.machinery import ModuleSpec
from pathlib import Path
from types import ModuleType

__all__ = ["LOAD_DELAY_VARIABLE", "MARK_VARIABLE", "MODULE"]

LOAD_DELAY_VARIABLE = "LOAD_DELAY_SECONDS"
MARK_VARIABLE = "LOAD_MARK_PATH"
MODULE = "tests.entry.slow_program"
_DELAYED_LIBRARY = "h11"


class _DelayingFinder(MetaPathFinder):
    """Finder that waits once before a library is loaded and finds nothing itself."""

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds

    def find_spec(
        self, name: str, path: object, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        if name == _DELAYED_LIBRARY:
            sys.meta_path.remove(self)
            if MARK_VARIABLE in os.environ:
                Path(os.environ[MARK_VARIABLE]).touch()
            time.sleep(self._seconds)
        return None


if __name__ == "__main__":
    sys.meta_path.insert(0, _DelayingFinder(float(os.environ[LOAD_DELAY_VARIABLE])))
    runpy.run_module("carobladder.entry", run_name="__main__", alter_sys=True)
