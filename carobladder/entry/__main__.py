"""Start an instance on the settings file that the environment names."""

import asyncio
import os
import sys

from carobladder.clock import SystemClock
from carobladder.entry.runtime import run_entry
from carobladder.exceptions import SettingsError
from carobladder.settings.entry import find_entry_settings, load_entry_settings
from carobladder.telemetry.logs import configure_json_logging

_USAGE_STATUS = 2
_MS_PER_SECOND = 1000


def main() -> int:
    """Run until the end signal; return the exit status."""
    try:
        path = find_entry_settings()
        settings = load_entry_settings(path)
    except SettingsError as error:
        print(f"carobladder: {error}", file=sys.stderr)
        return _USAGE_STATUS
    clock = SystemClock()
    incarnation = round(clock.now().timestamp() * _MS_PER_SECOND)
    with configure_json_logging(settings.log_level, settings.instance, incarnation):
        asyncio.run(run_entry(path, clock, incarnation))
    return 0


if __name__ == "__main__":
    # Ends without a flush of standard output, which would wait for a reader that
    # has stopped; each line was flushed when it was written.
    os._exit(main())
