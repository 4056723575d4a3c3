"""Start an instance with the settings file that the environment names."""

import os

from carobladder.entry.listening import open_early_listener
from carobladder.entry.signals import hold_signals

if __name__ == "__main__":
    # Before the listener, as callers may connect from then on.
    early_signals = hold_signals()
    listener = open_early_listener()
    # Imported late, so that callers can already connect while the program loads.
    from carobladder.entry.program import main

    # Exit without flushing standard output, which would block if its reader has
    # stopped; each line was flushed when it was written.
    os._exit(main(listener, early_signals))
