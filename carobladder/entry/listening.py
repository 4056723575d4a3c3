"""The callers' listening socket, opened before the program is loaded.

Only the standard library is imported here. Loading the rest takes a fifth of a second,
during which connections would be refused instead of queued.
"""

import os
import socket
import tomllib
from contextlib import suppress

from carobladder.gateway.listeners import open_listener

__all__ = ["open_early_listener"]

# Duplicated from settings.entry, whose imports go beyond the standard library.
_SETTINGS_VARIABLE = "CAROBLADDER_SETTINGS"


def open_early_listener() -> socket.socket | None:
    """Listen at the address in the settings file, or return None.

    Faults in the settings are reported later, when they are loaded and checked.
    """
    with suppress(OSError, ValueError, KeyError, AttributeError):
        with open(os.environ[_SETTINGS_VARIABLE], "rb") as file:
            settings = tomllib.load(file)
        return open_listener(settings["listen"])
    return None
