"""Run the engine as a process of its own."""

import cappa

from standins.engine.app import EngineApp
from standins.engine.options import EngineOptions
from standins.http import run_app


def main() -> None:
    """Parse the options and serve until a signal."""
    options = cappa.parse(EngineOptions)
    run_app(EngineApp(options), options.listen)


if __name__ == "__main__":
    main()
