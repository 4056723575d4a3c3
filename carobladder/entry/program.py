"""Main function of a platform instance."""

import asyncio
import sys

from carobladder.clock import SystemClock
from carobladder.entry.processstart import ProcessStart
from carobladder.entry.runtime import run_platform_instance
from carobladder.exceptions import SettingsError
from carobladder.settings.entry import find_entry_settings, load_entry_settings
from carobladder.telemetry.logs import configure_json_logging

__all__ = ["main"]

_USAGE_STATUS = 2
_MS_PER_SECOND = 1000


def main(start: ProcessStart) -> int:
    """Run until SIGTERM or SIGINT and return the exit status."""
    try:
        path = find_entry_settings()
        settings = load_entry_settings(path)
    except SettingsError as error:
        print(f"carobladder: {error}", file=sys.stderr)
        return _USAGE_STATUS
    clock = SystemClock()
    incarnation = round(clock.now().timestamp() * _MS_PER_SECOND)
    with configure_json_logging(settings.log_level, settings.instance, incarnation):
        asyncio.run(run_platform_instance(path, clock, incarnation, start))
    return 0
